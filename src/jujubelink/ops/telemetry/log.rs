//! Logs in the JSON Lines format.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use slog::{Drain, Level, Logger, OwnedKVList, Record, b, o};

use super::output::LogOutput;

/// Maximum number of warnings and errors that one place in the code may write per window. Further ones
/// are dropped; their number is logged with the first message of the next window.
pub const MAX_MESSAGES_PER_WINDOW: u32 = 10;

/// Duration of a window of the limit.
const WINDOW_DURATION: Duration = Duration::from_secs(10);

/// Maximum number of places in the code whose messages are counted; messages of further places are not
/// limited.
const MAX_CALL_SITES: usize = 1024;

/// Creates a logger that writes one JSON object per line to standard output, without waiting for the
/// reader of the output.
///
/// The drain is synchronous, because slog's asynchronous drain starts a thread and the process is to
/// have a single one.
pub fn new_logger(level: Level) -> Logger {
    new_logger_to(LogOutput::default(), level)
}

/// Creates a logger that writes to `output`.
pub fn new_logger_to(output: impl Write + Send + 'static, level: Level) -> Logger {
    let json = slog_json::Json::default(output);
    let limited = RateLimited::new(json);
    let drain = Mutex::new(limited)
        .map(slog::Fuse)
        .filter_level(level)
        .fuse();
    Logger::root(drain, o!())
}

/// Source file and line of a log statement.
type CallSite = (&'static str, u32);

/// Message counts of one call site in the current window.
struct Window {
    started: Instant,
    written: u32,
    dropped: u32,
}

/// Limits the warnings and errors of each place in the code, so that a failure that affects every
/// request does not fill the log.
struct RateLimited<D> {
    inner: D,
    windows: Mutex<HashMap<CallSite, Window>>,
}

/// What happens to a message.
enum Decision {
    Write,
    /// Write the message after a notice with the number of messages dropped before it.
    WriteAfterDropped(u32),
    Drop,
}

impl<D> RateLimited<D> {
    fn new(inner: D) -> Self {
        Self {
            inner,
            windows: Mutex::default(),
        }
    }

    fn decide(&self, call_site: CallSite, now: Instant) -> Decision {
        let Ok(mut windows) = self.windows.lock() else {
            return Decision::Write;
        };
        if windows.len() >= MAX_CALL_SITES && !windows.contains_key(&call_site) {
            return Decision::Write;
        }
        let window = windows.entry(call_site).or_insert(Window {
            started: now,
            written: 0,
            dropped: 0,
        });
        let dropped = window.dropped;
        if now.duration_since(window.started) >= WINDOW_DURATION {
            *window = Window {
                started: now,
                written: 0,
                dropped: 0,
            };
        }
        if window.written >= MAX_MESSAGES_PER_WINDOW {
            window.dropped += 1;
            return Decision::Drop;
        }
        window.written += 1;
        match (window.written, dropped) {
            (1, dropped) if dropped > 0 => Decision::WriteAfterDropped(dropped),
            _ => Decision::Write,
        }
    }
}

impl<D: Drain> Drain for RateLimited<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        if !record.level().is_at_least(Level::Warning) {
            return self.inner.log(record, values).map(drop);
        }
        let call_site = (record.file(), record.line());
        match self.decide(call_site, Instant::now()) {
            Decision::Drop => return Ok(()),
            Decision::Write => {}
            Decision::WriteAfterDropped(dropped) => {
                let message = format_args!("similar messages were dropped");
                let place = format!("{}:{}", record.file(), record.line());
                let notice = slog::record_static!(Level::Warning, "");
                let fields = b!("dropped" => dropped, "place" => place);
                let notice = Record::new(&notice, &message, fields);
                self.inner.log(&notice, values)?;
            }
        }
        self.inner.log(record, values).map(drop)
    }
}
