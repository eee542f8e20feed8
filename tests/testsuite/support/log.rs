//! The log of an instance in a file.

use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::WAIT_TIMEOUT;

static NEXT: AtomicUsize = AtomicUsize::new(0);

/// A log file. Dropping it removes the file.
pub(crate) struct LogFile(PathBuf);

impl LogFile {
    pub(crate) fn new() -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("jujubelink-log-{}-{number}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }

    /// Returns the output for an instance.
    pub(crate) fn output(&self) -> Stdio {
        std::fs::File::create(&self.0)
            .expect("create the log file")
            .into()
    }

    /// Returns the lines so far that have this message.
    pub(crate) fn lines(&self, message: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.0).unwrap_or_default();
        let lines = text.lines().filter_map(|line| {
            let line = serde_json::from_str::<Value>(line).ok()?;
            (line["msg"] == message).then_some(line)
        });
        lines.collect()
    }

    /// Waits for a line with this message that `matches` holds for.
    pub(crate) async fn wait_for(&self, message: &str, matches: impl Fn(&Value) -> bool) -> Value {
        let started = Instant::now();
        loop {
            if let Some(line) = self.lines(message).into_iter().find(&matches) {
                return line;
            }
            let text = || std::fs::read_to_string(&self.0).unwrap_or_default();
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "no {message:?} in: {}",
                text()
            );
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
