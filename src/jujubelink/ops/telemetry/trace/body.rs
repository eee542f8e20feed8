//! Bodies that keep a span open.

use super::Span;
use crate::util::http::{Body, attach_guard};

/// Keeps `span` open until the body has ended or is dropped.
pub fn attach_span(body: Body, span: Span) -> Body {
    if !span.is_recorded() {
        return body;
    }
    attach_guard(body, span)
}
