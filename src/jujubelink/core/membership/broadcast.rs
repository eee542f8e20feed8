//! Bounded retransmission of membership changes.

/// Each instance sends a change about `RETRANSMIT_FACTOR * log2(members)` times. With 3, a change
/// misses a few in a thousand of 1,024 members, which then receive it through random fill records.
const RETRANSMIT_FACTOR: u32 = 3;

/// Returns how often an instance sends a change in a fleet of `members` instances.
pub(super) fn transmission_count(members: usize) -> u32 {
    RETRANSMIT_FACTOR * (usize::BITS - members.leading_zeros()).max(1)
}
