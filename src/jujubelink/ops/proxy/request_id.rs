//! Identifiers of requests.

use http::HeaderMap;

use crate::core::ids::RequestId;

/// Header with the identifier of a request.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Longest identifier that is accepted from a client.
const MAX_ID_BYTES: usize = 64;

/// The client's identifier if it is well formed, else a new one.
pub(super) fn request_id(headers: &HeaderMap) -> RequestId {
    let requested = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|id| is_well_formed(id));
    match requested {
        Some(id) => id.into(),
        None => format!("{:032x}", rand::random::<u128>()).into(),
    }
}

/// The identifier under which engines know a model request.
///
/// Engines find streams by it, and clients repeat their identifiers, so that one of a client alone
/// could resume or cancel the stream of another request.
pub(super) fn engine_request_id(id: &RequestId) -> RequestId {
    format!("{id}.{:016x}", rand::random::<u64>()).into()
}

fn is_well_formed(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_allowed)
}
