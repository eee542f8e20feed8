//! Logs, metrics and spans.

mod limited;
mod log;
mod metrics;
mod output;
mod served;
mod trace;

pub use limited::LogLimiter;
pub use log::{MAX_MESSAGES_PER_WINDOW, new_logger, new_logger_to};
pub use metrics::Metrics;
pub use served::ServedMetrics;
pub use trace::{
    AttributeValue, FinishedSpan, MAX_ATTRIBUTE_BYTES, MAX_BUFFERED_SPANS, MAX_SPAN_ATTRIBUTES,
    Span, TraceContext, Tracer, hold_span, to_otlp_json,
};
