//! Request and response bodies.

use std::error::Error;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;

/// Error of a request or response body.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// A boxed body, which may not be `Send` because it stays on the thread of the event loop.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BodyError>>>;

/// Returns a body without data.
pub fn empty() -> Body {
    Box::pin(Empty::new().map_err(|never| match never {}))
}

/// Returns a body of one chunk.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Returns a body that is passed on in parts of at most `part_bytes`, so that no more than is asked for is held
/// elsewhere.
pub fn full_in_parts(bytes: Bytes, part_bytes: usize) -> Body {
    Box::pin(PartedBody {
        rest: bytes,
        part_bytes,
    })
}

struct PartedBody {
    rest: Bytes,
    part_bytes: usize,
}

impl http_body::Body for PartedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let length = self.part_bytes.min(self.rest.len());
        let part = self.rest.split_to(length);
        Poll::Ready((!part.is_empty()).then(|| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// Maximum number of bytes read of an unwanted body.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// Shortest time for which the rest of a body is read beside its response, so that the client gets the
/// response before the connection is closed.
const MIN_DISCARD_TIME: Duration = Duration::from_secs(1);

/// Longest such time.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(60);

/// Time for which a client is expected to send a body if it states no deadline.
pub const DEFAULT_SEND_TIME: Duration = Duration::from_secs(30);

/// Reads and discards a body, within bounds of bytes and time. Returns whether it has ended.
///
/// Closing a connection with unread data would reset it, and the client might lose the response.
pub async fn discard<B>(mut body: B, time_limit: Duration) -> bool
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let read = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                return false;
            }
        }
        true
    };
    compio::time::timeout(time_limit, read)
        .await
        .unwrap_or(false)
}

/// The rest of a request's body, attached to a response that does not depend on it. The server sends
/// the response at once and discards the rest beside it.
#[derive(Clone)]
pub struct UnreadBody {
    /// Shared because extensions of responses have to be `Clone`.
    body: Arc<Mutex<Option<Incoming>>>,
    time_limit: Duration,
}

impl UnreadBody {
    /// Attaches the rest of a body that the client sends for `send_time` at most.
    pub fn attach<B>(response: &mut Response<B>, body: Incoming, send_time: Duration) {
        if http_body::Body::is_end_stream(&body) {
            return;
        }
        response.extensions_mut().insert(Self {
            body: Arc::new(Mutex::new(Some(body))),
            time_limit: send_time.clamp(MIN_DISCARD_TIME, MAX_DISCARD_TIME),
        });
    }

    /// Discards the rest. Returns whether it has ended within its bounds.
    pub(super) async fn discard(self) -> bool {
        let body = self.body.lock().ok().and_then(|mut body| body.take());
        match body {
            Some(body) => discard(body, self.time_limit).await,
            None => true,
        }
    }
}

/// Reads a complete body of at most `limit_bytes`. Returns `None` if it is larger.
pub async fn collect_limited<B>(body: B, limit_bytes: usize) -> Result<Option<Bytes>, BodyError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let mut body = std::pin::pin!(body);
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Into::into)?.into_data() else {
            continue;
        };
        if collected.len() + data.len() > limit_bytes {
            return Ok(None);
        }
        collected.extend_from_slice(&data);
    }
    Ok(Some(collected.freeze()))
}

/// Attaches `guard` to a body: it is dropped together with the body.
pub fn attach_guard<G: Unpin + 'static>(body: Body, guard: G) -> Body {
    Box::pin(GuardedBody {
        body,
        _guard: guard,
    })
}

struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G: Unpin> http_body::Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
