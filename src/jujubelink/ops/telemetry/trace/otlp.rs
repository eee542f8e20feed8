//! JSON encoding of spans in the OpenTelemetry protocol (OTLP).

use std::time::Duration;

use serde_json::{Value, json};

use super::{AttributeValue, FinishedSpan};

/// Span kind "server", used for all spans.
const SPAN_KIND_SERVER: u32 = 2;

/// Status code of a failed span.
const STATUS_ERROR: u32 = 2;

/// Returns the body of an export request.
pub fn to_otlp_json(instance: &str, spans: &[FinishedSpan]) -> Value {
    let spans: Vec<Value> = spans.iter().map(span_json).collect();
    json!({ "resourceSpans": [{
        "resource": { "attributes": [
            { "key": "service.name", "value": { "stringValue": "jujubelink" } },
            { "key": "service.instance.id", "value": { "stringValue": instance } },
        ] },
        "scopeSpans": [{ "scope": { "name": "jujubelink" }, "spans": spans }],
    }] })
}

fn span_json(span: &FinishedSpan) -> Value {
    let attributes: Vec<Value> = span
        .attributes
        .iter()
        .map(|(key, value)| json!({ "key": key, "value": attribute_json(value) }))
        .collect();
    let mut encoded = json!({
        "traceId": format!("{:032x}", span.context.trace_id),
        "spanId": format!("{:016x}", span.context.span_id),
        "name": span.name,
        "kind": SPAN_KIND_SERVER,
        "startTimeUnixNano": nanos(span.started),
        "endTimeUnixNano": nanos(span.ended),
        "attributes": attributes,
    });
    if span.parent_span_id != 0 {
        encoded["parentSpanId"] = format!("{:016x}", span.parent_span_id).into();
    }
    if let Some(code) = &span.error {
        encoded["status"] = json!({ "code": STATUS_ERROR, "message": code });
    }
    encoded
}

fn attribute_json(value: &AttributeValue) -> Value {
    match value {
        AttributeValue::Text(text) => json!({ "stringValue": text }),
        // The JSON encoding of protobuf represents 64-bit integers as strings.
        AttributeValue::Number(number) => json!({ "intValue": number.to_string() }),
        AttributeValue::Flag(flag) => json!({ "boolValue": flag }),
    }
}

fn nanos(time: Duration) -> String {
    time.as_nanos().to_string()
}
