//! Rate limit for log lines of one kind.

use std::cell::Cell;
use std::time::Duration;

use crate::core::ids::Timestamp;

/// Minimum interval between lines of one kind.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Admits one line per interval and counts the suppressed ones.
#[derive(Debug, Default)]
pub struct LogLimiter {
    last_admitted: Cell<Option<Timestamp>>,
    suppressed: Cell<u64>,
}

impl LogLimiter {
    /// Returns the number of lines suppressed since the last admitted one if a line may be written now,
    /// otherwise `None`.
    pub fn admit(&self, now: Timestamp) -> Option<u64> {
        if self
            .last_admitted
            .get()
            .is_some_and(|last| now < last + MIN_LOG_INTERVAL)
        {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.last_admitted.set(Some(now));
        Some(self.suppressed.take())
    }
}
