//! Body types.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Empty, Full};

/// Error of a body in either direction.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// A boxed body that stays on the event loop's thread.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BodyError>>>;

/// A body without data.
pub fn empty() -> Body {
    Box::pin(Empty::new().map_err(|never| match never {}))
}

/// A body of one chunk.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Part of an unwanted body that is read.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// Time for which an unwanted body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads and drops a bounded part of a body. A connection that is closed with unread data is reset,
/// and its client may lose the answer.
pub async fn discard<B>(mut body: B)
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let read = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    let _ = compio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Reads a whole body of at most `limit_bytes`. Returns `None` if it is larger.
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

/// Keeps `guard` until the body has ended or is dropped.
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
