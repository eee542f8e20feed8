//! Request and response bodies.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Empty, Full};

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

/// Maximum number of bytes read of an unwanted body.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// Maximum capacity that is reserved for a body by its declared length.
const MAX_PREALLOCATED_BYTES: usize = 4 * 1024 * 1024;

/// Maximum time for which an unwanted body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads and discards a body, up to a limit. Closing a connection with unread data would reset it, and
/// the client might lose the response.
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

/// Reads a complete body of at most `limit_bytes`. Returns `None` if it is larger.
pub async fn collect_limited<B>(body: B, limit_bytes: usize) -> Result<Option<Bytes>, BodyError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    collect_reserved(body, |collected_bytes| collected_bytes <= limit_bytes).await
}

/// Reads a complete body, as long as `may_hold` allows its size so far. Returns `None` if it does not.
pub async fn collect_reserved<B>(
    body: B,
    mut may_hold: impl FnMut(usize) -> bool,
) -> Result<Option<Bytes>, BodyError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let mut body = std::pin::pin!(body);
    // Growth by doubling would hold up to twice the size of a long body.
    let declared = body.size_hint().exact().unwrap_or(0);
    let capacity = usize::try_from(declared).map_or(MAX_PREALLOCATED_BYTES, |bytes| {
        bytes.min(MAX_PREALLOCATED_BYTES)
    });
    let mut collected = BytesMut::with_capacity(capacity);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Into::into)?.into_data() else {
            continue;
        };
        if !may_hold(collected.len() + data.len()) {
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
