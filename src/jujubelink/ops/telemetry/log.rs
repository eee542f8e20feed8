//! JSON-line logs.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use slog::{Drain, Level, Logger, OwnedKVList, Record, b, o};

use super::output::LogOutput;

/// Warnings and errors of one place in the code that are written in a window; further ones are
/// counted and reported with the next window's first message.
pub const MAX_MESSAGES_PER_WINDOW: u32 = 10;

/// Window of the limit.
const WINDOW: Duration = Duration::from_secs(10);

/// Places in the code whose messages are counted; messages of further places are not limited.
const MAX_PLACES: usize = 1024;

/// A logger that writes one JSON object a line to standard output, and never waits for its reader.
///
/// The drain is synchronous: slog's asynchronous drain starts a thread.
pub fn new_logger(level: Level) -> Logger {
    new_logger_to(LogOutput::default(), level)
}

/// A logger that writes to `output`.
pub fn new_logger_to(output: impl Write + Send + 'static, level: Level) -> Logger {
    let json = slog_json::Json::default(output);
    let limited = RateLimited::new(json);
    let drain = Mutex::new(limited)
        .map(slog::Fuse)
        .filter_level(level)
        .fuse();
    Logger::root(drain, o!())
}

type Place = (&'static str, u32);

struct Window {
    started: Instant,
    written: u32,
    dropped: u32,
}

/// Limits warnings and errors for each place in the code, so that a failure that meets every
/// request does not fill the log.
struct RateLimited<D> {
    inner: D,
    windows: Mutex<HashMap<Place, Window>>,
}

enum Verdict {
    Write,
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

    fn judge(&self, place: Place, now: Instant) -> Verdict {
        let Ok(mut windows) = self.windows.lock() else {
            return Verdict::Write;
        };
        if windows.len() >= MAX_PLACES && !windows.contains_key(&place) {
            return Verdict::Write;
        }
        let window = windows.entry(place).or_insert(Window {
            started: now,
            written: 0,
            dropped: 0,
        });
        let dropped = window.dropped;
        if now.duration_since(window.started) >= WINDOW {
            *window = Window {
                started: now,
                written: 0,
                dropped: 0,
            };
        }
        if window.written >= MAX_MESSAGES_PER_WINDOW {
            window.dropped += 1;
            return Verdict::Drop;
        }
        window.written += 1;
        match (window.written, dropped) {
            (1, dropped) if dropped > 0 => Verdict::WriteAfterDropped(dropped),
            _ => Verdict::Write,
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
        let place = (record.file(), record.line());
        match self.judge(place, Instant::now()) {
            Verdict::Drop => return Ok(()),
            Verdict::Write => {}
            Verdict::WriteAfterDropped(dropped) => {
                let message = format_args!("similar messages were dropped");
                let place = format!("{}:{}", record.file(), record.line());
                let note = slog::record_static!(Level::Warning, "");
                let fields = b!("dropped" => dropped, "place" => place);
                let note = Record::new(&note, &message, fields);
                self.inner.log(&note, values)?;
            }
        }
        self.inner.log(record, values).map(drop)
    }
}
