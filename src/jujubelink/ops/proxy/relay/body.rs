//! Forwarding of target responses to the client.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, Response};
use http_body::{Body as _, Frame};
use http_body_util::StreamBody;
use hyper::body::Incoming;

use super::exchange::Exchange;
use super::expiry::with_expiry;
use super::send::{SendFailure, SendOutcome};
use super::takeover::{SilentTarget, Takeover};
use crate::core::capacity::UNSENT_BYTES;
use crate::core::ids::Timestamp;
use crate::core::relay::{Failure, NoResend};
use crate::ops::proxy::waits::Awaited;
use crate::ops::services::AttemptOutcome;
use crate::platform::is_connection_header;
use crate::util::http::{Body, BodyError, attach_guard, full_in_parts};
use crate::util::memory_budget::Reservation;

/// A larger event is treated as a failed connection.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Shortest silence, also of a route that states a very short gap.
const MIN_SILENCE: Duration = Duration::from_millis(100);

/// Shortest wait for bytes of a target that shows that all earlier ones had been read. Reading bytes that have
/// arrived takes less.
const MIN_READ_WAIT: Duration = Duration::from_millis(10);

/// Longest single wait for bytes of a response that ends with its connection. It limits how far the time of the
/// end is in doubt, and is shorter than
/// [`RESTART_TIME`](crate::core::relay::RESTART_TIME).
const MAX_READ_WAIT: Duration = Duration::from_millis(250);

/// Bytes of a silent stream that are buffered while another target is asked to continue it.
const MAX_BUFFERED_SILENT_BYTES: usize = MAX_EVENT_BYTES / 2;

/// Frames of a silent stream that are read at once.
const MAX_FRAMES_PER_POLL: u32 = 16;

/// A resumable stream without a new event for this many times the route's maximum event gap is continued
/// by another target, if one can take it over. Clients give up after eight times the gap.
const MAX_SILENT_GAPS: u32 = 4;

/// Time for which a target has to send a response for its request to count as harmless. A request that
/// crashes targets does so soon after they begin to answer it.
const HARMLESS_RUN: Duration = Duration::from_secs(2);

/// A target's response, with its body buffered or not yet read.
pub(super) struct TargetResponse {
    head: Parts,
    body: TargetBody,
}

enum TargetBody {
    /// With the memory that is reserved for it.
    Buffered(Bytes, Reservation),
    Streamed(StreamedBody),
}

/// A body that is read as it arrives.
pub(super) struct StreamedBody {
    /// `None` once the connection is closed.
    incoming: Option<Incoming>,
    /// Frame that was read and is read again first.
    unread: Option<BodyFrame>,
}

/// Result of reading from a body: a frame, its end, or an error.
type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

impl StreamedBody {
    /// Puts a frame back, which is then read again first.
    pub(super) fn unread(&mut self, frame: BodyFrame) {
        self.unread = Some(frame);
    }

    /// Whether the body has a length or consists of chunks. Otherwise it ends with its connection.
    fn is_delimited(&self, headers: &HeaderMap) -> bool {
        let incoming = self.incoming.as_ref();
        let length = incoming.and_then(|incoming| incoming.size_hint().exact());
        length.is_some() || is_chunked(headers)
    }

    /// Polls for the next frame.
    pub(super) fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<BodyFrame> {
        match (self.unread.take(), &mut self.incoming) {
            (Some(frame), _) => Poll::Ready(frame),
            (None, Some(incoming)) => Pin::new(incoming).poll_frame(cx),
            (None, None) => Poll::Ready(None),
        }
    }
}

/// The stream of a silent target. Only a new event, or the end of the stream, continues it.
struct SilentStream<'a> {
    body: &'a mut StreamedBody,
    buffer: &'a mut BytesMut,
    /// Length of the events at the start of `buffer` that are not new.
    scanned_bytes: usize,
    /// Last event that the client has received.
    last_event: Option<u64>,
    has_failed: bool,
}

impl SilentStream<'_> {
    fn has_new_event(&mut self) -> bool {
        while let Some(length) = event_end(&self.buffer[self.scanned_bytes..]) {
            let end = self.scanned_bytes + length;
            let id = event_id(&self.buffer[self.scanned_bytes..end]);
            if id.is_some_and(|id| self.last_event.is_none_or(|last| id > last)) {
                return true;
            }
            self.scanned_bytes = end;
        }
        false
    }
}

impl SilentTarget for SilentStream<'_> {
    const HAS_RESPONDED: bool = true;

    /// Whether the stream goes on. If not, it has ended.
    type Output = bool;

    fn poll_continued(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        for _ in 0..MAX_FRAMES_PER_POLL {
            if self.has_failed || self.buffer.len() > MAX_BUFFERED_SILENT_BYTES {
                return Poll::Pending;
            }
            match std::task::ready!(self.body.poll_frame(cx)) {
                None if self.buffer.is_empty() => return Poll::Ready(false),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                    if self.has_new_event() {
                        return Poll::Ready(true);
                    }
                }
                failure => {
                    self.body.unread(failure);
                    self.has_failed = true;
                }
            }
        }
        // Bytes that arrive without a pause must not keep the event loop.
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl TargetResponse {
    pub(super) fn buffered(head: Parts, body: Bytes, memory: Reservation) -> Self {
        Self {
            head,
            body: TargetBody::Buffered(body, memory),
        }
    }

    pub(super) fn streamed(head: Parts, body: Incoming) -> Self {
        Self {
            head,
            body: TargetBody::Streamed(StreamedBody {
                incoming: Some(body),
                unread: None,
            }),
        }
    }

    /// Returns the body if it is read as it arrives.
    pub(super) fn streamed_body(&mut self) -> Option<&mut StreamedBody> {
        match &mut self.body {
            TargetBody::Streamed(body) => Some(body),
            TargetBody::Buffered(..) => None,
        }
    }

    /// Whether the end of the body can be told from the end of the connection.
    fn is_delimited(&self) -> bool {
        match &self.body {
            TargetBody::Streamed(body) => body.is_delimited(&self.head.headers),
            TargetBody::Buffered(..) => true,
        }
    }

    /// Whether this is the rest of a stream of the given media type. A response of another type is an
    /// error, for example, even if its status is a success.
    fn continues_stream(&self, expected_type: Option<&str>) -> bool {
        matches!(self.body, TargetBody::Streamed(_))
            && self.head.status.is_success()
            && media_type(&self.head.headers).as_deref() == expected_type
    }

    /// Converts to the response for the client. The exchange lives until the body ends.
    pub(super) fn into_response(self, mut exchange: Exchange) -> Response<Body> {
        // Read before the headers of the connection are removed, which state that a body has chunks.
        let is_delimited = self.is_delimited();
        let mut head = self.head;
        let status = head.status.as_u16();
        let names: Vec<_> = head
            .headers
            .keys()
            .filter(|name| is_connection_header(name))
            .cloned()
            .collect();
        for name in names {
            head.headers.remove(name);
        }
        head.extensions.clear();
        let body = match self.body {
            TargetBody::Buffered(body, memory) => {
                exchange.record_first_token();
                exchange.record_complete_response(status);
                exchange.log_response("complete", status);
                exchange.end_placement(completed_outcome(&exchange, status));
                attach_guard(full_in_parts(body, UNSENT_BYTES), memory)
            }
            TargetBody::Streamed(body) => {
                let context = exchange.proxy.context.clone();
                let (id, deadline) = (exchange.head.id.clone(), exchange.deadline);
                exchange.is_response_begun = true;
                let is_event_stream = exchange.is_stream() && (200..300).contains(&status);
                if is_event_stream && exchange.is_resumable() {
                    // Another target may continue the stream with events of other lengths.
                    head.headers.remove(CONTENT_LENGTH);
                }
                let awaited_at = exchange.now();
                let mut relayed = RelayedBody {
                    is_delimited,
                    first_data_at: None,
                    media_type: media_type(&head.headers),
                    is_event_stream,
                    exchange,
                    status,
                    body,
                    buffer: BytesMut::new(),
                    has_data: false,
                    silence_ends_at: None,
                    forwarded_at: None,
                    awaited_at,
                };
                relayed.restart_silence();
                with_expiry(relayed.into_body(), &context, id, deadline)
            }
        };
        Response::from_parts(head, body)
    }
}

fn completed_outcome(exchange: &Exchange, status: u16) -> AttemptOutcome {
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

/// Why reading from the target stopped.
enum ReadError {
    /// The connection failed, or an event is too large.
    ConnectionLost,
    DeadlinePassed,
    /// The target that took the response over from a silent one did not continue it.
    NotContinued,
}

/// A body that is forwarded as it arrives; an event stream is forwarded in complete events.
struct RelayedBody {
    exchange: Exchange,
    status: u16,
    /// Media type of the first response. A response that continues the stream has the same one.
    media_type: Option<String>,
    is_event_stream: bool,
    body: StreamedBody,
    /// Whether the end of the body can be told from the end of the connection.
    is_delimited: bool,
    /// Start of an event that has not arrived completely.
    buffer: BytesMut,
    has_data: bool,
    /// When the first data of the present target arrived, until the request counts as harmless.
    first_data_at: Option<Timestamp>,
    /// Time at which the target counts as silent unless a new event arrives before.
    silence_ends_at: Option<Timestamp>,
    /// When the last bytes were handed over, until the client has room for more.
    forwarded_at: Option<Timestamp>,
    /// When the last read began that had to wait for bytes of the target. The connection may have ended at any
    /// time since: the client may read slowly, or the process may have been suspended.
    awaited_at: Timestamp,
}

impl RelayedBody {
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

    /// Returns the next bytes for the client, or `None` at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        self.exclude_client_wait();
        let data = self.next_data().await?;
        self.exchange.progress.wait.set(Awaited::ClientRead);
        self.forwarded_at = Some(self.exchange.now());
        Ok(data)
    }

    /// Postpones `silence_ends_at` by the time that the client took to accept the last bytes, in which
    /// nothing was read from the target.
    fn exclude_client_wait(&mut self) {
        if let Some(forwarded_at) = self.forwarded_at.take() {
            let waited = self.exchange.now().saturating_sub(forwarded_at);
            self.silence_ends_at = self.silence_ends_at.map(|at| at + waited);
        }
    }

    async fn next_data(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            let error = match self.read().await {
                Ok(Some(data)) if self.is_event_stream => {
                    self.buffer.extend_from_slice(&data);
                    if self.buffer.len() <= MAX_EVENT_BYTES {
                        continue;
                    }
                    ReadError::ConnectionLost
                }
                Ok(Some(data)) => {
                    self.record_first_data();
                    return Ok(Some(data));
                }
                Ok(None) if self.buffer.is_empty() && self.is_complete().await => {
                    self.finish();
                    return Ok(None);
                }
                // The target ended the stream in the middle of an event, or has ended itself.
                Ok(None) => ReadError::ConnectionLost,
                Err(error) => error,
            };
            self.recover(error).await?;
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, ReadError> {
        let deadline = self.exchange.deadline;
        self.exchange.progress.wait.set(Awaited::ResponseBody);
        loop {
            let ends_at = self.silence_ends_at.map_or(deadline, |at| at.min(deadline));
            let remaining = ends_at.saturating_sub(self.exchange.now());
            let frame = std::future::poll_fn(|cx| self.body.poll_frame(cx));
            let timers = *self.exchange.proxy.context.timers();
            let wait = match self.is_delimited {
                true => remaining,
                false => remaining.min(MAX_READ_WAIT),
            };
            // Bytes that arrive without a pause must not put off the end.
            let asked_at = self.exchange.now();
            let frame = match remaining.is_zero() {
                true => None,
                false => timers.timeout(wait, frame).await,
            };
            if self.exchange.now().saturating_sub(asked_at) >= MIN_READ_WAIT {
                self.awaited_at = asked_at;
            }
            let frame = match frame {
                Some(frame) => frame,
                None if wait < remaining => continue,
                None if ends_at >= deadline => return Err(ReadError::DeadlinePassed),
                None => {
                    let goes_on = self.replace_silent_target().await?;
                    return Ok(goes_on.then(Bytes::new));
                }
            };
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(ReadError::ConnectionLost),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Has another target continue the stream, if that is possible. Returns whether the stream goes on;
    /// if not, the silent target has ended it meanwhile.
    async fn replace_silent_target(&mut self) -> Result<bool, ReadError> {
        let media_type = self.media_type.as_deref();
        let continues = |response: &TargetResponse| response.continues_stream(media_type);
        let mut silent = SilentStream {
            body: &mut self.body,
            buffer: &mut self.buffer,
            scanned_bytes: 0,
            last_event: self.exchange.last_event,
            has_failed: false,
        };
        let response = match self.exchange.take_over(&mut silent, &continues).await {
            Takeover::Continued(goes_on) => return Ok(goes_on),
            Takeover::Rejected => {
                self.restart_silence();
                return Ok(true);
            }
            Takeover::Responded(response) => SendOutcome::Response(*response),
        };
        match self.continue_stream(Ok(response)) {
            Ok(()) => Ok(true),
            Err(failure) => {
                self.exchange.record_failure(&failure);
                Err(ReadError::NotContinued)
            }
        }
    }

    /// Continues the stream with the response of another target, after the last complete event.
    fn continue_stream(
        &mut self,
        result: Result<SendOutcome, SendFailure>,
    ) -> Result<(), SendFailure> {
        let response = match result? {
            SendOutcome::Response(response) => response,
            SendOutcome::TargetFailure(_) => return Err(SendFailure::unusable()),
        };
        let continues = response.continues_stream(self.media_type.as_deref());
        let (TargetBody::Streamed(body), true) = (response.body, continues) else {
            return Err(SendFailure::unusable());
        };
        self.exchange.log_resumed();
        self.has_data = false;
        self.first_data_at = None;
        self.is_delimited = body.is_delimited(&response.head.headers);
        self.awaited_at = self.exchange.now();
        self.buffer.clear();
        self.body = body;
        self.restart_silence();
        Ok(())
    }

    /// Starts the time in which the target has to send the next event.
    fn restart_silence(&mut self) {
        let timeout = self.silence_timeout();
        self.silence_ends_at = timeout.map(|timeout| self.exchange.now() + timeout);
    }

    /// Returns how long the target may be silent before another one may take the stream over, or `None`
    /// if it cannot be resumed.
    fn silence_timeout(&self) -> Option<Duration> {
        if !self.exchange.is_resumable() || !self.is_event_stream {
            return None;
        }
        let route = &self.exchange.admission.as_ref()?.route;
        let timeout = match self.has_data {
            true => (route.max_event_gap * MAX_SILENT_GAPS).max(MIN_SILENCE),
            false => self
                .exchange
                .head_timeout(self.exchange.deadline.saturating_sub(self.exchange.now())),
        };
        Some(timeout)
    }

    /// Takes the next complete event from the buffer, skipping events that the client already has.
    fn take_event(&mut self) -> Option<Bytes> {
        while self.is_event_stream {
            let end = event_end(&self.buffer)?;
            let event = self.buffer.split_to(end).freeze();
            let id = event_id(&event);
            if let (Some(id), Some(last)) = (id, self.exchange.last_event)
                && id <= last
            {
                continue;
            }
            self.record_first_data();
            if id.is_some() {
                self.exchange.last_event = id;
                self.restart_silence();
            }
            return Some(event);
        }
        None
    }

    fn record_first_data(&mut self) {
        if !self.has_data {
            self.has_data = true;
            self.first_data_at = Some(self.exchange.now());
            self.exchange.record_first_token();
        }
        if let Some(at) = self.first_data_at
            && self.exchange.now().saturating_sub(at) >= HARMLESS_RUN
        {
            self.first_data_at = None;
            self.exchange.record_survival();
        }
    }

    /// Whether the end of the connection is the end of the response. The connection of a target that crashes
    /// may end in the same way as a response without a length, and may have ended at any time since the last
    /// bytes were awaited.
    async fn is_complete(&self) -> bool {
        self.is_delimited || self.exchange.is_end_proved(self.awaited_at).await
    }

    fn finish(&mut self) {
        self.exchange.record_complete_response(self.status);
        self.exchange.log_response("complete", self.status);
        let outcome = completed_outcome(&self.exchange, self.status);
        self.exchange.end_placement(outcome);
    }

    /// Resumes the stream at another target. If that is impossible, returns an error, which aborts
    /// the body so that the client can tell that it is incomplete.
    async fn recover(&mut self, error: ReadError) -> Result<(), BodyError> {
        let (reason, outcome) = match error {
            ReadError::ConnectionLost => ("the target broke off", AttemptOutcome::Interrupted),
            ReadError::DeadlinePassed => ("the deadline passed", AttemptOutcome::Cancelled),
            ReadError::NotContinued => ("the target fell silent", AttemptOutcome::TimedOut),
        };
        self.exchange.log_interruption(reason);
        if let Some(target) = self.exchange.current_target() {
            if outcome == AttemptOutcome::Interrupted {
                self.exchange.record_interruption(&target);
            }
            self.exchange.end_placement(outcome);
            self.exchange.record_failed_run(&target);
            self.exchange.excluded.push(target);
        }
        let resend = match error {
            ReadError::DeadlinePassed => NoResend::DeadlineNear.to_string(),
            _ if !self.is_event_stream => NoResend::NotRepeatable.to_string(),
            _ => match self.resume().await {
                Ok(()) => return Ok(()),
                Err(resend) => resend,
            },
        };
        self.exchange.log_early_end(reason, &resend);
        Err(reason.into())
    }

    /// Requests the rest of the stream from other targets until one continues it. Returns the reason if
    /// none does.
    async fn resume(&mut self) -> Result<(), String> {
        let mut failure = Failure::MayHaveRun;
        loop {
            let is_allowed = self.exchange.acquire_rest(failure).await;
            is_allowed.map_err(|reason| reason.to_string())?;
            let placed = self.exchange.place_rest().await;
            placed.map_err(|refusal| refusal.message)?;
            let media_type = self.media_type.as_deref();
            let continues = |response: &TargetResponse| response.continues_stream(media_type);
            let result = self.exchange.send(continues).await;
            let Err(failed) = self.continue_stream(result) else {
                return Ok(());
            };
            self.exchange.record_failure(&failed);
            if failed.is_final {
                return Err(failed.refusal.message);
            }
            failure = failed.kind;
        }
    }
}

/// Whether a body consists of chunks: that is the last one of its transfer codings.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns the media type of a body, without parameters such as the character set.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media_type = value.split(';').next()?;
    Some(media_type.trim().to_ascii_lowercase())
}

/// Returns the length of the first complete event, including its final empty line.
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

/// Returns the number in the event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
