//! Filtering of the headers forwarded between clients and targets.

use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue};

/// Alternative header for a client's API key, beside `authorization`.
pub(super) const KEY_HEADER: &str = "x-api-key";

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Further hop-by-hop headers, and headers that only the router may set: clients could use them to
/// impersonate it.
const REMOVED_FROM_REQUESTS: [&str; 13] = [
    "keep-alive",
    "proxy-connection",
    "expect",
    KEY_HEADER,
    "x-request-id",
    "x-attempt",
    "x-workspace",
    "x-priority",
    "x-target-state",
    "x-engine-incarnation",
    "x-weights-version",
    "last-event-id",
    "http2-settings",
];

/// Response headers of targets that are meant for the router only.
const REMOVED_FROM_RESPONSES: [&str; 8] = [
    "keep-alive",
    "proxy-connection",
    "x-request-id",
    "x-attempt",
    "x-target-state",
    "x-engine-incarnation",
    "x-weights-version",
    "x-workspace",
];

/// Removes hop-by-hop headers, the client's credentials and the router's own headers from a
/// request.
pub fn strip_request_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(header::AUTHORIZATION);
    for name in REMOVED_FROM_REQUESTS {
        headers.remove(name);
    }
}

/// Removes hop-by-hop headers and those meant for the router from a target's response.
pub fn strip_response_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    for name in REMOVED_FROM_RESPONSES {
        headers.remove(name);
    }
}

/// Sets the credential that the target requires, if any.
pub fn set_credential(headers: &mut HeaderMap, credential: Option<&str>) {
    let value = credential.map(|credential| format!("Bearer {credential}"));
    let Some(Ok(mut value)) = value.map(HeaderValue::try_from) else {
        return;
    };
    value.set_sensitive(true);
    headers.insert(header::AUTHORIZATION, value);
}

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_specific: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_specific {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
