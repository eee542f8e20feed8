//! Conversion of durations for log lines and messages.

use std::time::Duration;

/// Returns the duration in whole milliseconds, rounded down.
pub fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
