//! Reading request bodies within the memory for them.

use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::ops::proxy::connections::BodyReservation;

/// Bytes of each body that need no reservation, so that clients with large bodies do not exclude those
/// with small ones.
const UNRESERVED_BYTES: usize = 16 * 1024;

/// Why a request body was not read.
pub(super) enum BodyFailure {
    /// The bodies of all requests together are too large.
    NoMemory,
    /// The body ended early.
    Broken,
}

/// Reads a body of at most `limit_bytes`, and reserves the memory for it as it arrives. Returns `None` if
/// it is larger.
pub(super) async fn read_request_body(
    body: &mut Incoming,
    limit_bytes: usize,
    reservation: &mut BodyReservation,
) -> Result<Option<Bytes>, BodyFailure> {
    // Growth by doubling would hold up to twice the size of a long body. Memory that is not written to is not
    // in use yet.
    let declared_bytes = body.size_hint().exact().unwrap_or(0);
    let mut collected = BytesMut::with_capacity(limit_bytes.min(declared_bytes as usize));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFailure::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = collected.len() + data.len();
        if length > limit_bytes {
            return Ok(None);
        }
        let unreserved = length.saturating_sub(UNRESERVED_BYTES.max(collected.len()));
        if !reservation.grow(unreserved) {
            return Err(BodyFailure::NoMemory);
        }
        collected.extend_from_slice(&data);
    }
    Ok(Some(collected.freeze()))
}
