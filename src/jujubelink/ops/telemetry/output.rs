//! Non-blocking output of log lines to standard output.

use std::io::{self, Write};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Maximum length of a line: the size that a writable pipe accepts without blocking (`PIPE_BUF`).
/// Longer lines are dropped.
const MAX_LINE_BYTES: usize = 4_096;

/// Writes complete lines to standard output. A line is dropped if the output cannot accept it
/// immediately, so that a slow reader never delays requests. The next line that is written is preceded
/// by a notice with the number of dropped lines.
#[derive(Debug, Default)]
pub(super) struct LogOutput {
    line: Vec<u8>,
    dropped: u64,
}

impl LogOutput {
    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.dropped > 0 {
            let notice = format!(
                "{{\"msg\":\"log lines dropped\",\"level\":\"WARN\",\"count\":{}}}\n",
                self.dropped
            );
            if write_line(notice.as_bytes()) {
                self.dropped = 0;
            }
        }
        if self.dropped > 0 || !write_line(&line) {
            self.dropped += 1;
        }
    }
}

impl Write for LogOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.last() == Some(&b'\n') {
            self.end_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a line if the output can accept it without blocking. Returns whether it was written.
fn write_line(line: &[u8]) -> bool {
    let output = rustix::stdio::stdout();
    let mut polled = [PollFd::new(&output, PollFlags::OUT)];
    let no_wait = Timespec::default();
    let is_ready = matches!(poll(&mut polled, Some(&no_wait)), Ok(1))
        && polled[0].revents().contains(PollFlags::OUT);
    line.len() <= MAX_LINE_BYTES && is_ready && rustix::io::write(output, line).is_ok()
}
