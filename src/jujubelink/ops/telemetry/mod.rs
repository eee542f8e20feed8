//! Logs, metrics and spans.

mod log;
mod log_limiter;
mod metrics;
mod output;
mod served_metrics;
mod trace;

pub use log::{MAX_MESSAGES_PER_WINDOW, new_logger, new_logger_to};
pub use log_limiter::LogLimiter;
pub use metrics::Metrics;
pub use served_metrics::ServedMetrics;
pub use trace::{
    AttributeValue, FinishedSpan, MAX_ATTRIBUTE_BYTES, MAX_BUFFERED_SPANS, MAX_SPAN_ATTRIBUTES,
    Span, TraceContext, Tracer, attach_span, to_otlp_json,
};
