//! The client's side of a streamed answer.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Frame;
use http_body_util::StreamBody;

use super::exchange::Exchange;
use crate::core::ids::RequestId;
use crate::ops::proxy::refusal::Refusal;
use crate::util::http::{Body, BodyError};

/// Pause between the error event and the abnormal end. hyper drops what it has not flushed when a
/// body fails, and flushes when the body has nothing to give.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// What the body gives next.
enum Stage {
    First(Option<Bytes>),
    Running,
    Abort,
    End,
}

struct ClientStream {
    /// Dropped when the client goes away, which cancels the request.
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
            Stage::Abort => {
                compio::time::sleep(FLUSH_DELAY).await;
                self.stage = Stage::End;
                return Some((Err("the stream broke".into()), self));
            }
            Stage::End => return None,
        };
        match next {
            Ok(Some(data)) => Some((Ok(Frame::data(data_event(&data))), self)),
            Ok(None) => None,
            Err(refusal) => {
                self.stage = Stage::Abort;
                let event = error_event(&refusal, &self.id);
                Some((Ok(Frame::data(event)), self))
            }
        }
    }
}

/// Body with the events of an answer.
pub(super) fn stream_body(exchange: Exchange, first: Option<Bytes>, id: RequestId) -> Body {
    // The state moves at each event, so it is boxed.
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
