//! Limits how often the same kind of line is logged.

use std::cell::Cell;
use std::time::Duration;

use crate::core::ids::Timestamp;

/// Time between lines of one kind.
const LOG_EVERY: Duration = Duration::from_secs(5);

/// Lets one line through per period and counts the others.
#[derive(Debug, Default)]
pub struct LogLimiter {
    last: Cell<Option<Timestamp>>,
    suppressed: Cell<u64>,
}

impl LogLimiter {
    /// Whether a line may be written now, with the number of lines left out since the last one.
    pub fn admit(&self, now: Timestamp) -> Option<u64> {
        if self.last.get().is_some_and(|last| now < last + LOG_EVERY) {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.last.set(Some(now));
        Some(self.suppressed.take())
    }
}
