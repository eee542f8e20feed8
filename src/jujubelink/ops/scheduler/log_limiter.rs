//! Rate limit on repeated log lines of the scheduler.

use std::cell::RefCell;
use std::collections::HashMap;

use crate::core::ids::Timestamp;
use crate::ops::telemetry::LogLimiter;

/// One limiter for each kind of line. Kinds are constants in the code, so their number is bounded.
#[derive(Default)]
pub(super) struct LogRateLimiter {
    limiters: RefCell<HashMap<&'static str, LogLimiter>>,
}

impl LogRateLimiter {
    /// Returns `None` if the line must be suppressed, otherwise the number of lines suppressed since
    /// the last one.
    pub(super) fn allow(&self, kind: &'static str, now: Timestamp) -> Option<u64> {
        self.limiters
            .borrow_mut()
            .entry(kind)
            .or_default()
            .admit(now)
    }
}
