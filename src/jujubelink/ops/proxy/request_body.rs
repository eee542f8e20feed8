//! Reading request bodies within the memory for them.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use hyper::body::Incoming;

use super::refusal::{Refusal, RefusalCode};
use super::relay::NO_TARGET_RETRY_AFTER;
use crate::ops::telemetry::Metrics;
use crate::util::memory_budget::Reservation;

/// Size from which the buffer of a body of unknown size is as large as the largest body.
const MAPPED_BODY_BYTES: usize = 16 * 1024;

/// Why a request body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFailure {
    /// The requests of all clients together are too large.
    NoMemory,
    /// The memory was needed for bodies that arrive faster, or for those of others.
    TooSlow,
    /// The body ended early.
    Broken,
}

impl BodyFailure {
    /// Returns the refusal of the request, and counts it.
    pub(super) fn refuse(self, metrics: &Metrics) -> Refusal {
        let overloaded = |message: &str| {
            Refusal::not_run(RefusalCode::Overloaded, message)
                .with_retry_after(NO_TARGET_RETRY_AFTER)
                .with_close()
        };
        match self {
            Self::NoMemory => {
                metrics.count("bodies_refused", 1);
                overloaded("no memory is left for the body")
            }
            Self::TooSlow => {
                metrics.count("bodies_ended", 1);
                overloaded(
                    "the memory of the body was needed, and it arrived more slowly than others",
                )
            }
            Self::Broken => Refusal::not_run(RefusalCode::InvalidRequest, "the body broke off"),
        }
    }
}

/// Reads a body of at most `limit_bytes`, and reserves the memory for it as it arrives. Returns `None` if
/// it is larger.
pub(super) async fn read_request_body(
    body: &mut Incoming,
    limit_bytes: usize,
    reservation: &Reservation,
) -> Result<Option<Bytes>, BodyFailure> {
    let (collected, excess) = read_start(body, limit_bytes, reservation).await?;
    Ok(excess.is_none().then_some(collected))
}

/// Reads a body until it ends or exceeds `limit_bytes`, and reserves the memory for it as it arrives. Returns the
/// bytes within the limit, and those of the frame that exceeds it.
pub(super) async fn read_start(
    body: &mut Incoming,
    limit_bytes: usize,
    reservation: &Reservation,
) -> Result<(Bytes, Option<Bytes>), BodyFailure> {
    // Growth by doubling would hold up to twice the size of a long body. Memory that is not written to is not
    // in use yet.
    let declared_bytes = body.size_hint().exact().unwrap_or(0);
    let mut collected = BytesMut::with_capacity(limit_bytes.min(declared_bytes as usize));
    loop {
        let next = poll_fn(|cx| match reservation.poll_end(cx) {
            Poll::Ready(()) => Poll::Ready(Err(BodyFailure::TooSlow)),
            Poll::Pending => Pin::new(&mut *body).poll_frame(cx).map(Ok),
        });
        let Some(frame) = next.await? else {
            break;
        };
        let frame = frame.map_err(|_| BodyFailure::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !reservation.grow(data.len()) {
            return Err(BodyFailure::NoMemory);
        }
        if collected.len() + data.len() > limit_bytes {
            return Ok((collected.freeze(), Some(data)));
        }
        // Growth by doubling leaves gaps in the heap. A buffer of this size is mapped, and the part of it that
        // is not written to is not in use.
        let length = collected.len() + data.len();
        if length > collected.capacity() && length > MAPPED_BODY_BYTES {
            collected.reserve(limit_bytes - collected.len());
        }
        // Copying releases the read buffer, of which a small chunk would keep the whole.
        collected.extend_from_slice(&data);
    }
    reservation.complete();
    Ok((collected.freeze(), None))
}
