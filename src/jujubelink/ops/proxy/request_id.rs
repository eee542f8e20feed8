//! Request ids.

use http::HeaderMap;

use crate::core::ids::RequestId;

pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Maximum length of a request id accepted from a client.
const MAX_ID_BYTES: usize = 64;

/// Returns the client's request id if it is well formed, otherwise a new one.
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

/// Returns the id under which a model request is sent to engines.
///
/// Engines look up streams by this id, and clients may reuse their ids. The random suffix keeps a
/// client from resuming or cancelling the stream of another request.
pub(super) fn engine_request_id(id: &RequestId) -> RequestId {
    format!("{id}.{:016x}", rand::random::<u64>()).into()
}

fn is_well_formed(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_allowed)
}
