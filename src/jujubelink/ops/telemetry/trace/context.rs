//! The `traceparent` header.

use std::fmt;

/// Identity of a span, by which other spans refer to it, as defined by W3C Trace Context, level 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    /// Identifier of the trace; never 0.
    pub trace_id: u128,
    /// Identifier of the span; never 0.
    pub span_id: u64,
    /// Whether the trace is recorded.
    pub is_sampled: bool,
}

impl TraceContext {
    /// Parses the value of a `traceparent` header. Returns `None` if it is invalid, as the standard
    /// requires.
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.trim().split('-');
        let version = hex_field(parts.next()?, 2)?;
        let trace_id = hex_field(parts.next()?, 32)?;
        let span_id = hex_field(parts.next()?, 16)?;
        let flags = hex_field(parts.next()?, 2)?;
        // Later versions may append fields; version 0 has none, and 255 is not allowed.
        let has_rest = parts.next().is_some();
        if version == 255 || (version == 0 && has_rest) || trace_id == 0 || span_id == 0 {
            return None;
        }
        Some(Self {
            trace_id,
            span_id: u64::try_from(span_id).ok()?,
            is_sampled: flags & 1 == 1,
        })
    }

    /// Parses the `traceparent` header of a request.
    pub fn from_headers(headers: &http::HeaderMap) -> Option<Self> {
        Self::parse(headers.get("traceparent")?.to_str().ok()?)
    }

    /// Sets the `traceparent` header.
    pub fn apply(self, headers: &mut http::HeaderMap) {
        if let Ok(value) = http::HeaderValue::from_str(&self.to_string()) {
            headers.insert("traceparent", value);
        }
    }

    /// Returns the context of a new child span.
    pub fn child(self) -> Self {
        Self {
            span_id: random_span_id(),
            ..self
        }
    }

    /// Returns the context of the first span of a new trace.
    pub fn new_root(is_sampled: bool) -> Self {
        Self {
            trace_id: rand::random::<u128>() | 1,
            span_id: random_span_id(),
            is_sampled,
        }
    }
}

fn random_span_id() -> u64 {
    rand::random::<u64>() | 1
}

fn hex_field(text: &str, digits: usize) -> Option<u128> {
    let is_hex = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
    if text.len() != digits || !is_hex {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "00-{:032x}-{:016x}-{:02x}",
            self.trace_id,
            self.span_id,
            u8::from(self.is_sampled)
        )
    }
}
