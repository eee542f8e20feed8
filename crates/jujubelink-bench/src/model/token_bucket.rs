//! Token bucket that applies the rate limit of a workspace over all instances. It stands in for the
//! distributed limits, which the routing benchmark does not simulate.

use std::time::Duration;

/// A token bucket.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    updated_at: Duration,
}

impl Bucket {
    pub(super) fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            updated_at: Duration::ZERO,
        }
    }

    /// Takes `tokens` if the bucket contains enough, and returns whether it did.
    pub(super) fn try_take(&mut self, tokens: u64, now: Duration) -> bool {
        let accrued = (now - self.updated_at).as_secs_f64() * self.rate_per_s;
        self.level = (self.level + accrued).min(self.burst);
        self.updated_at = now;
        let is_enough = self.level >= tokens as f64;
        if is_enough {
            self.level -= tokens as f64;
        }
        is_enough
    }
}
