//! Bounded retransmission of changes.

/// Factor of the number of times that a change is sent: `FACTOR * log2(members)`. 3 reaches all of
/// 1,024 members with a few in a thousand missed, which random refills then cover.
const RETRANSMIT_FACTOR: u32 = 3;

/// Number of times that an instance sends a change in a fleet of `members`.
pub(super) fn transmission_count(members: usize) -> u32 {
    RETRANSMIT_FACTOR * (usize::BITS - members.leading_zeros()).max(1)
}
