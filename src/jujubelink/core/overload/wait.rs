//! How long a request waits for a target, and when its client should return.

use std::time::Duration;

use super::urgency::Aims;
use crate::core::ids::Timestamp;

/// Maximum expected wait at a target behind work that is at least as urgent. A request that would wait
/// longer stays in the queue of its instance, where it can still be sent elsewhere.
const MAX_TARGET_WAIT_S: f64 = 0.2;

/// Part of the time between the objective and the deadline for which a late request waits. The rest is
/// left for a return of its client, which may reach an instance that knows of targets with places.
const LATE_WAIT_RATIO: f64 = 0.5;

/// Part of the remaining time that clients wait at most when they are asked to return later.
const RETURN_RATIO: f64 = 1.0 / 3.0;

/// Part of an estimated prefill that a request is assumed to need at least. The rest may turn out to be
/// cached.
const MIN_PREFILL_RATIO: f64 = 0.5;

/// What a request may expect at the best target known.
#[derive(Debug, Clone, Copy)]
pub struct Prospect {
    /// Expected wait at the target, in seconds.
    pub wait_s: f64,
    /// Expected prefill time, in seconds.
    pub prefill_s: f64,
    /// Share of the work at targets that is at least as urgent as the request.
    pub share_ahead: f64,
    /// Whether the target counts as free for a request of any rank.
    pub has_capacity: bool,
    /// Whether nothing but a queue delays requests to the target.
    pub is_reliable: bool,
}

/// What happens with a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the target.
    Place,
    /// Keep it until a place is free, its wait ends or its urgency changes.
    Wait,
    /// Refuse it, because it can't be finished before its deadline.
    Refuse,
}

/// Decides about a request that has a target.
pub fn decide(aims: &Aims, prospect: &Prospect, now: Timestamp) -> Decision {
    let min_prefill = Duration::from_secs_f64(prospect.prefill_s.max(0.0) * MIN_PREFILL_RATIO);
    if now + min_prefill >= aims.deadline {
        return Decision::Refuse;
    }
    if prospect.has_capacity {
        return Decision::Place;
    }
    let wait_s = prospect.wait_s * prospect.share_ahead;
    match aims.is_timely(now) && prospect.is_reliable && wait_s <= MAX_TARGET_WAIT_S {
        true => Decision::Place,
        false => Decision::Wait,
    }
}

/// Returns until when a request may wait for a target.
pub fn queue_deadline(aims: &Aims) -> Timestamp {
    let late_time = aims.deadline.saturating_sub(aims.latest_start);
    aims.latest_start.min(aims.deadline) + late_time.mul_f64(LATE_WAIT_RATIO)
}

/// Returns after which time a refused client should return: not before `expected`, and later by a part of
/// its `remaining` time that depends on the hash of the request, so that clients don't return together.
pub fn retry_after(expected: Duration, remaining: Duration, hash: u64) -> Duration {
    let latest = remaining.mul_f64(RETURN_RATIO);
    let spread = latest.saturating_sub(expected).max(latest / 2);
    let position = (hash >> 11) as f64 / (1u64 << 53) as f64;
    expected + spread.mul_f64(position)
}
