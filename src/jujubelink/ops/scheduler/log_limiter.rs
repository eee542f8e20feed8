//! Limit on repeated log lines of the scheduler.

use std::cell::RefCell;
use std::collections::HashMap;

use crate::core::ids::Timestamp;
use crate::ops::telemetry::LogLimiter;

/// One limiter for each kind of line. Kinds are fixed names, so their number is bounded by the code.
#[derive(Default)]
pub(super) struct LogRateLimiter {
    limiters: RefCell<HashMap<&'static str, LogLimiter>>,
}

impl LogRateLimiter {
    /// Whether a line may be written now; the number is that of the lines left out before it.
    pub(super) fn allow(&self, kind: &'static str, now: Timestamp) -> Option<u64> {
        self.limiters
            .borrow_mut()
            .entry(kind)
            .or_default()
            .admit(now)
    }
}
