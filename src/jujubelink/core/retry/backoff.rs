//! Delay before a retry.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Delay before the first retry without jitter; doubles with each further retry.
const FIRST_DELAY: Duration = Duration::from_millis(20);

/// Maximum delay without jitter.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Returns the exponential backoff before retry number `attempt` (starting at 0). Jitter reduces
/// the delay by up to half. Returns `None` if the delay would exceed the deadline.
pub fn backoff(attempt: u32, random: u64, now: Timestamp, deadline: Timestamp) -> Option<Duration> {
    let step = FIRST_DELAY
        .saturating_mul(1u32.checked_shl(attempt).unwrap_or(u32::MAX))
        .min(MAX_DELAY);
    let fraction = (random >> 11) as f64 / (1u64 << 53) as f64;
    let delay = step.mul_f64(0.5 + 0.5 * fraction);
    (now + delay < deadline).then_some(delay)
}
