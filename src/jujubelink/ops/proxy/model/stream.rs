//! The body of a streamed response to a client.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Frame;
use http_body_util::StreamBody;

use super::exchange::Exchange;
use crate::core::ids::RequestId;
use crate::ops::proxy::refusal::Refusal;
use crate::util::http::{Body, BodyError};

/// Delay between the error event and the aborted end of the body. hyper discards unflushed data
/// when a body fails, and flushes only while the body is pending.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// What the body yields next.
enum Stage {
    First(Option<Bytes>),
    Running,
    /// Ends the body with this error.
    Abort(String),
    End,
}

struct ClientStream {
    /// Dropped when the client disconnects, which cancels the request.
    exchange: Exchange,
    stage: Stage,
    id: RequestId,
}

type Step = Option<(Result<Frame<Bytes>, BodyError>, Box<ClientStream>)>;

impl ClientStream {
    async fn step(mut self: Box<Self>) -> Step {
        let next = match std::mem::replace(&mut self.stage, Stage::Running) {
            Stage::First(first) => Ok(first),
            Stage::Running => self.exchange.next_data().await,
            Stage::Abort(reason) => {
                compio::time::sleep(FLUSH_DELAY).await;
                self.stage = Stage::End;
                return Some((Err(reason.into()), self));
            }
            Stage::End => return None,
        };
        match next {
            Ok(Some(data)) => Some((Ok(Frame::data(data_event(&data))), self)),
            Ok(None) => None,
            Err(refusal) => {
                self.stage = Stage::Abort(format!("{}: {}", refusal.code, refusal.message));
                let event = error_event(&refusal, &self.id);
                Some((Ok(Frame::data(event)), self))
            }
        }
    }
}

/// Returns a body that yields the events of a response.
pub(super) fn stream_body(exchange: Exchange, first: Option<Bytes>, id: RequestId) -> Body {
    // `unfold` moves the state at each event; boxing makes the move cheap.
    let stream = Box::new(ClientStream {
        exchange,
        stage: Stage::First(first),
        id,
    });
    let steps = futures_util::stream::unfold(stream, ClientStream::step);
    Box::pin(StreamBody::new(steps))
}

fn data_event(data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(data.len() + 8);
    for line in data.split(|byte| *byte == b'\n') {
        event.extend_from_slice(b"data: ");
        event.extend_from_slice(line);
        event.extend_from_slice(b"\n");
    }
    event.extend_from_slice(b"\n");
    event.freeze()
}

fn error_event(refusal: &Refusal, id: &RequestId) -> Bytes {
    let mut event = BytesMut::from(&b"event: error\n"[..]);
    event.extend_from_slice(&data_event(&refusal.to_json(id)));
    event.freeze()
}
