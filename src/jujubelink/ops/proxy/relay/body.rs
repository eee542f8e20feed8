//! Answers on their way to the client.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http::response::Parts;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;

use super::exchange::Exchange;
use super::send::Opened;
use crate::core::relay::Failure;
use crate::ops::services::AttemptOutcome;
use crate::platform::is_reserved_answer_header;
use crate::util::http::{Body, BodyError, full};

/// Largest event of a stream; a larger one makes the stream broken.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Silence within a stream, in pauses that are still on time, after which a stream that can be
/// resumed goes on at another target. Clients give up after eight.
const SILENT_GAPS: u32 = 4;

/// A target's answer with its unread or whole body.
pub(super) struct Answer {
    head: Parts,
    body: AnswerBody,
}

enum AnswerBody {
    Whole(Bytes),
    Streamed(Incoming),
}

impl Answer {
    pub(super) fn whole(head: Parts, body: Bytes) -> Self {
        Self {
            head,
            body: AnswerBody::Whole(body),
        }
    }

    pub(super) fn streamed(head: Parts, body: Incoming) -> Self {
        Self {
            head,
            body: AnswerBody::Streamed(body),
        }
    }

    /// The answer for the client. The exchange ends with the body.
    pub(super) fn into_response(self, mut exchange: Exchange) -> Response<Body> {
        let mut head = self.head;
        let status = head.status.as_u16();
        let names: Vec<_> = head
            .headers
            .keys()
            .filter(|name| is_reserved_answer_header(name))
            .cloned()
            .collect();
        for name in names {
            head.headers.remove(name);
        }
        head.extensions.clear();
        let body = match self.body {
            AnswerBody::Whole(body) => {
                exchange.note_first_token();
                exchange.log_answer("complete", status);
                exchange.end_placement(completed(&exchange, status));
                full(body)
            }
            AnswerBody::Streamed(body) => {
                let relayed = Relayed {
                    is_events: exchange.is_stream() && (200..300).contains(&status),
                    exchange,
                    status,
                    body,
                    buffer: BytesMut::new(),
                    has_first: false,
                };
                relayed.into_body()
            }
        };
        Response::from_parts(head, body)
    }
}

fn completed(exchange: &Exchange, status: u16) -> AttemptOutcome {
    if status >= 500 {
        return AttemptOutcome::Failed;
    }
    AttemptOutcome::Completed {
        incarnation: 0,
        prompt_tokens: 0,
        cached_tokens: 0,
        completion_tokens: 0,
        first_token: exchange.now().saturating_sub(exchange.arrived),
    }
}

/// Why no more can be read from the target.
enum Break {
    /// The connection broke, or an event is too large.
    Broken,
    /// The deadline of the request passed.
    Deadline,
    /// The target was silent for too long.
    Silent,
}

/// A body that is passed on as it arrives; a stream in whole events.
struct Relayed {
    exchange: Exchange,
    status: u16,
    is_events: bool,
    body: Incoming,
    /// Part of an event that has not arrived whole.
    buffer: BytesMut,
    has_first: bool,
}

impl Relayed {
    fn into_body(self) -> Body {
        let frames = futures_util::stream::unfold(Some(self), |relayed| async move {
            let mut relayed = relayed?;
            match relayed.next().await {
                Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(relayed))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        Box::pin(StreamBody::new(frames))
    }

    /// The next bytes for the client; `None` after the last ones.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            let broken = match self.read().await {
                Ok(Some(data)) if self.is_events => {
                    self.buffer.extend_from_slice(&data);
                    if self.buffer.len() <= MAX_EVENT_BYTES {
                        continue;
                    }
                    Break::Broken
                }
                Ok(Some(data)) => {
                    self.note_first();
                    return Ok(Some(data));
                }
                Ok(None) if self.buffer.is_empty() => {
                    self.finish();
                    return Ok(None);
                }
                // The target ended the stream within an event.
                Ok(None) => Break::Broken,
                Err(broken) => broken,
            };
            self.recover(broken).await?;
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, Break> {
        let left = self.exchange.deadline.saturating_sub(self.exchange.now());
        let gap = self.gap_limit();
        let limit = gap.map_or(left, |gap| gap.min(left));
        loop {
            let frame = self.body.frame();
            let frame = self.exchange.proxy.context.timers().timeout(limit, frame);
            match frame.await {
                None if limit < left => return Err(Break::Silent),
                None => return Err(Break::Deadline),
                Some(None) => return Ok(None),
                Some(Some(Err(_))) => return Err(Break::Broken),
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Longest silence of a stream that may go on elsewhere.
    fn gap_limit(&self) -> Option<Duration> {
        if !self.exchange.is_resumable() || !self.is_events {
            return None;
        }
        let route = &self.exchange.admission.as_ref()?.route;
        let gap = match self.has_first {
            true => route.max_event_gap * SILENT_GAPS,
            false => self
                .exchange
                .head_limit(self.exchange.deadline.saturating_sub(self.exchange.now())),
        };
        Some(gap)
    }

    /// Takes a whole event off the buffer. Events that the client has already are dropped.
    fn take_event(&mut self) -> Option<Bytes> {
        while self.is_events {
            let end = event_end(&self.buffer)?;
            let event = self.buffer.split_to(end).freeze();
            let id = event_id(&event);
            if let (Some(id), Some(last)) = (id, self.exchange.last_event)
                && id <= last
            {
                continue;
            }
            if id.is_some() {
                self.exchange.last_event = id;
            }
            self.note_first();
            return Some(event);
        }
        None
    }

    fn note_first(&mut self) {
        if !self.has_first {
            self.has_first = true;
            self.exchange.note_first_token();
        }
    }

    fn finish(&mut self) {
        self.exchange.log_answer("complete", self.status);
        let outcome = completed(&self.exchange, self.status);
        self.exchange.end_placement(outcome);
    }

    /// Goes on at another target, or ends the answer so that the client sees that it is incomplete.
    async fn recover(&mut self, broken: Break) -> Result<(), BodyError> {
        let (reason, outcome) = match broken {
            Break::Broken => ("the target broke off", AttemptOutcome::Crashed),
            Break::Deadline => ("the deadline passed", AttemptOutcome::Cancelled),
            Break::Silent => ("the target fell silent", AttemptOutcome::TimedOut),
        };
        self.exchange.log_answer(reason, self.status);
        if let Some(placement) = &self.exchange.placement {
            let target = placement.target.clone();
            self.exchange.excluded.push(target);
        }
        self.exchange.end_placement(outcome);
        self.exchange.runs += 1;
        self.exchange.may_have_run = true;
        let may_resume = self.exchange.is_resumable()
            && self.is_events
            && !matches!(broken, Break::Deadline)
            && self.exchange.may_resend(Failure::MayHaveRun);
        if !may_resume {
            return Err(reason.into());
        }
        match self.exchange.resume().await {
            Some(body) => {
                self.buffer.clear();
                self.body = body;
                Ok(())
            }
            None => Err(reason.into()),
        }
    }
}

impl Exchange {
    /// Opens the rest of the stream at another target.
    async fn resume(&mut self) -> Option<Incoming> {
        let refused = |exchange: &Self, reason: &str| {
            slog::info!(exchange.proxy.context.log(), "stream not resumed";
                "request" => &*exchange.head.id, "last_event" => exchange.last_event,
                "reason" => reason);
        };
        if let Err(refusal) = self.place().await {
            refused(self, &refusal.message);
            return None;
        }
        match self.send().await {
            Ok(Opened::Answer(Answer {
                body: AnswerBody::Streamed(body),
                head,
            })) if head.status.is_success() => {
                slog::info!(self.proxy.context.log(), "stream resumed";
                    "request" => &*self.head.id, "last_event" => self.last_event,
                    "target" => self.placement.as_ref().map(|held| held.target.to_string()));
                Some(body)
            }
            Ok(_) => {
                refused(self, "the target gave no stream");
                None
            }
            Err(failure) => {
                refused(self, &failure.refusal.message);
                self.end_placement(failure.outcome);
                None
            }
        }
    }
}

/// Length of the first whole event with its empty line.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

/// Number in the field `id` of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
