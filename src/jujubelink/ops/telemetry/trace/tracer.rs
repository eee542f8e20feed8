//! Recording of spans into a bounded buffer.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use derive_more::From;

use super::TraceContext;

/// Maximum number of finished spans that wait for the export. If there are more, the oldest one is
/// dropped and counted.
pub const MAX_BUFFERED_SPANS: usize = 4096;

/// Maximum number of attributes of a span; further ones are ignored.
pub const MAX_SPAN_ATTRIBUTES: usize = 16;

/// Maximum size of a text attribute; longer text is truncated.
pub const MAX_ATTRIBUTE_BYTES: usize = 256;

/// Value of an attribute. API keys, prompts and responses must never be recorded as attributes.
#[derive(Debug, Clone, PartialEq, From)]
pub enum AttributeValue {
    /// Text.
    Text(String),
    /// A number.
    Number(i64),
    /// A boolean.
    Flag(bool),
}

impl From<&str> for AttributeValue {
    fn from(text: &str) -> Self {
        let mut end = text.len().min(MAX_ATTRIBUTE_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        Self::Text(text[..end].to_owned())
    }
}

/// A span that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedSpan {
    /// Name of the operation.
    pub name: &'static str,
    /// Trace context of this span.
    pub context: TraceContext,
    /// Identifier of the parent span; 0 for the first span of a trace.
    pub parent_span_id: u64,
    /// Start time since the Unix epoch.
    pub started: Duration,
    /// End time since the Unix epoch.
    pub ended: Duration,
    /// Attributes.
    pub attributes: Vec<(&'static str, AttributeValue)>,
    /// Error code, if the operation failed.
    pub error: Option<String>,
}

struct Shared {
    is_enabled: bool,
    sample_one_in: u32,
    /// Wall-clock time and monotonic time at the start of the process. The times of spans are the
    /// former plus the monotonic time since then, so that a step of the wall clock cannot make a span
    /// end before it started.
    clock_origin: (Duration, Instant),
    finished: RefCell<VecDeque<FinishedSpan>>,
    dropped: Cell<u64>,
}

impl Shared {
    fn now(&self) -> Duration {
        self.clock_origin.0 + self.clock_origin.1.elapsed()
    }

    fn finish(&self, span: FinishedSpan) {
        let mut finished = self.finished.borrow_mut();
        if finished.len() >= MAX_BUFFERED_SPANS {
            finished.pop_front();
            self.dropped.set(self.dropped.get() + 1);
        }
        finished.push_back(span);
    }
}

/// Creates spans. Clones share the buffer of finished spans.
#[derive(Clone)]
pub struct Tracer {
    shared: Rc<Shared>,
}

impl Tracer {
    /// Creates a tracer that records one in `sample_one_in` new traces, and all traces that the caller
    /// of a request has marked as sampled.
    pub fn new(sample_one_in: u32) -> Self {
        Self::with_state(true, sample_one_in)
    }

    /// Creates a tracer that records nothing but still propagates trace contexts.
    pub fn disabled() -> Self {
        Self::with_state(false, 1)
    }

    fn with_state(is_enabled: bool, sample_one_in: u32) -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            shared: Rc::new(Shared {
                is_enabled,
                sample_one_in: sample_one_in.max(1),
                clock_origin: (unix_time.unwrap_or_default(), Instant::now()),
                finished: RefCell::default(),
                dropped: Cell::new(0),
            }),
        }
    }

    /// Whether spans are recorded.
    pub fn is_enabled(&self) -> bool {
        self.shared.is_enabled
    }

    /// Starts a child span of `parent`, or the first span of a new trace if there is no parent.
    pub fn start_span(&self, name: &'static str, parent: Option<TraceContext>) -> Span {
        let context = match parent {
            Some(parent) => parent.child(),
            None => {
                let is_sampled =
                    self.shared.is_enabled && rand::random_range(0..self.shared.sample_one_in) == 0;
                TraceContext::new_root(is_sampled)
            }
        };
        let started = self.shared.now();
        Span {
            shared: Rc::clone(&self.shared),
            finished: FinishedSpan {
                name,
                context,
                parent_span_id: parent.map_or(0, |parent| parent.span_id),
                started,
                ended: started,
                attributes: Vec::new(),
                error: None,
            },
        }
    }

    /// Removes and returns up to `limit` finished spans, oldest first.
    pub fn take_finished(&self, limit: usize) -> Vec<FinishedSpan> {
        let mut finished = self.shared.finished.borrow_mut();
        let count = limit.min(finished.len());
        finished.drain(..count).collect()
    }

    /// Adds spans that could not be exported to the number of dropped spans.
    pub fn add_dropped(&self, count: u64) {
        self.shared.dropped.set(self.shared.dropped.get() + count);
    }

    /// Returns the number of spans dropped so far, because the buffer was full or the export failed.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.get()
    }
}

/// A span in progress. Dropping it ends it.
pub struct Span {
    shared: Rc<Shared>,
    finished: FinishedSpan,
}

impl Span {
    /// Returns the trace context, for child spans and `traceparent` headers.
    pub fn context(&self) -> TraceContext {
        self.finished.context
    }

    /// Whether the span is recorded.
    pub fn is_recorded(&self) -> bool {
        self.shared.is_enabled && self.finished.context.is_sampled
    }

    /// Adds an attribute.
    pub fn set_attribute(&mut self, key: &'static str, value: impl Into<AttributeValue>) {
        if self.is_recorded() && self.finished.attributes.len() < MAX_SPAN_ATTRIBUTES {
            self.finished.attributes.push((key, value.into()));
        }
    }

    /// Marks the span as failed, with a stable code.
    pub fn set_error(&mut self, code: &str) {
        if self.is_recorded() {
            self.finished.error = Some(code.to_owned());
        }
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        if self.is_recorded() {
            let mut finished = self.finished.clone();
            finished.ended = self.shared.now();
            self.shared.finish(finished);
        }
    }
}
