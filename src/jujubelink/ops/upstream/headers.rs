//! Headers that pass between clients and targets.

use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue};

/// Header that may carry a client's key instead of `authorization`.
pub(super) const KEY_HEADER: &str = "x-api-key";

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Further hop-by-hop headers without a constant, and headers that only the router sets: a client
/// that could set them would pose as the router.
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

/// Headers of targets that are meant for the router.
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

/// Removes from a client's headers what no target may see.
pub fn strip_request_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(header::AUTHORIZATION);
    for name in REMOVED_FROM_REQUESTS {
        headers.remove(name);
    }
}

/// Removes from a target's headers what no client may see.
pub fn strip_response_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    for name in REMOVED_FROM_RESPONSES {
        headers.remove(name);
    }
}

/// Sets the target's own credential, if it has one.
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
