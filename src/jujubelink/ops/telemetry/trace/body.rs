//! Response bodies that keep a span open.

use super::Span;
use crate::util::http::{Body, attach_guard};

/// Attaches `span` to a body: the span ends when the body is dropped.
pub fn attach_span(body: Body, span: Span) -> Body {
    if !span.is_recorded() {
        return body;
    }
    attach_guard(body, span)
}
