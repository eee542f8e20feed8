//! Durations in log lines and messages.

use std::time::Duration;

/// Whole milliseconds.
pub fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
