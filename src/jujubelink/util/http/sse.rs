//! Parser of server-sent events.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Maximum size of an event. A larger event makes the stream fail.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SseEvent {
    /// Value of the field `id`, if it is a number.
    pub id: Option<u64>,
    /// Value of the field `event`; empty if absent.
    pub kind: Bytes,
    /// Lines of the field `data`, joined by line feeds.
    pub data: Bytes,
}

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Incremental parser of a stream. Comments and events without data are skipped.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
    /// Start of the first incomplete line.
    line_start: usize,
    /// Position up to which the incomplete line has been searched for a line feed.
    scanned: usize,
}

impl SseParser {
    /// Creates a parser with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, EventTooLarge> {
        while let Some(block) = self.next_block()? {
            let event = parse_block(&block);
            if !event.data.is_empty() {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// Removes and returns the bytes up to and including the next empty line.
    fn next_block(&mut self) -> Result<Option<Bytes>, EventTooLarge> {
        loop {
            let feed = self.buffer[self.scanned..]
                .iter()
                .position(|byte| *byte == b'\n');
            let Some(feed) = feed else {
                self.scanned = self.buffer.len();
                if self.scanned > MAX_EVENT_BYTES {
                    return Err(EventTooLarge);
                }
                return Ok(None);
            };
            let line_end = self.scanned + feed;
            let line = &self.buffer[self.line_start..line_end];
            let is_empty = line.is_empty() || line == b"\r";
            self.line_start = line_end + 1;
            self.scanned = self.line_start;
            if is_empty {
                let block = self.buffer.split_to(self.line_start).freeze();
                self.line_start = 0;
                self.scanned = 0;
                return Ok(Some(block));
            }
        }
    }
}

fn parse_block(block: &Bytes) -> SseEvent {
    let mut event = SseEvent::default();
    let mut joined: Option<BytesMut> = None;
    for line in block.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            continue;
        };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"id" => {
                event.id = std::str::from_utf8(value)
                    .ok()
                    .and_then(|id| id.parse().ok())
            }
            b"event" => event.kind = block.slice_ref(value),
            b"data" if event.data.is_empty() && joined.is_none() => {
                event.data = block.slice_ref(value);
            }
            b"data" => {
                let joined = joined.get_or_insert_with(|| BytesMut::from(&event.data[..]));
                joined.extend_from_slice(b"\n");
                joined.extend_from_slice(value);
            }
            _ => {}
        }
    }
    if let Some(joined) = joined {
        event.data = joined.freeze();
    }
    event
}
