//! Distributed tracing: spans with W3C trace context, exported over OTLP.

mod body;
mod context;
mod export;
mod otlp;
mod tracer;

pub use body::attach_span;
pub use context::TraceContext;
pub use otlp::to_otlp_json;
pub use tracer::{
    AttributeValue, FinishedSpan, MAX_ATTRIBUTE_BYTES, MAX_BUFFERED_SPANS, MAX_SPAN_ATTRIBUTES,
    Span, Tracer,
};
