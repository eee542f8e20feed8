//! Client for engines and their event streams.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body::Body as _;
use hyper::body::Incoming;

use super::{AttemptError, AttemptTag, set_credential};
use crate::core::config::Target;
use crate::core::ids::Incarnation;
use crate::util::http::sse::{SseEvent, SseParser};
use crate::util::http::{Body, Client, ClientError, RequestOptions, collect_limited, empty, full};

/// Maximum time between two events before a stream is considered stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for the response to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the size of an engine's error body.
const MAX_ERROR_BYTES: usize = 16 * 1024;

/// Timeout for reading an engine's error body.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Engine error messages are truncated to this length.
const MAX_MESSAGE_CHARS: usize = 512;

/// Why a stream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum StreamError {
    /// The connection ended before the final event.
    #[display("the connection ended early")]
    ConnectionLost,
    /// No event arrived within the stall timeout.
    #[display("the stream went silent")]
    Stalled,
    /// A sequence number was skipped.
    #[display("an event is missing")]
    MissingEvent,
    /// An event exceeds the size limit.
    #[display("an event is too large")]
    EventTooLarge,
}

/// Sends requests to engines over pooled connections. Clones share the pool.
#[derive(Clone, Default)]
pub struct EngineClient {
    client: Client,
}

impl EngineClient {
    /// Creates a client that uses the connection pool of `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Starts a streamed request.
    pub async fn open(
        &self,
        target: &Target,
        path: &str,
        mut headers: HeaderMap,
        body: Bytes,
        tag: &AttemptTag,
        head_timeout: Duration,
    ) -> Result<EngineStream, AttemptError> {
        tag.apply(&mut headers);
        let request = new_request(Method::POST, path, headers, full(body), target);
        let options = RequestOptions::default();
        let response = self.send(target, request, options, head_timeout).await?;
        EngineStream::open(response, tag).await
    }

    /// Resumes a stream after the last received event, on a new connection. The engine may be silent for as
    /// long as within a stream.
    pub async fn resume(
        &self,
        target: &Target,
        tag: &AttemptTag,
        next_sequence: u64,
    ) -> Result<EngineStream, AttemptError> {
        let mut headers = HeaderMap::new();
        tag.apply(&mut headers);
        if let Some(last) = next_sequence.checked_sub(1) {
            headers.insert("last-event-id", HeaderValue::from(last));
        }
        let path = format!("/v1/streams/{}", tag.request);
        let request = new_request(Method::GET, &path, headers, empty(), target);
        let options = RequestOptions::default().with_new_connection();
        let response = self.send(target, request, options, STALL_TIMEOUT).await?;
        let mut stream = EngineStream::open(response, tag).await?;
        stream.next_sequence = next_sequence;
        Ok(stream)
    }

    /// Cancels a request. Failures are ignored, because engines end abandoned requests themselves.
    pub async fn cancel(&self, target: &Target, tag: &AttemptTag) {
        let mut headers = HeaderMap::new();
        tag.apply(&mut headers);
        let path = format!("/v1/streams/{}", tag.request);
        let request = new_request(Method::DELETE, &path, headers, empty(), target);
        let options = RequestOptions::for_non_idempotent();
        let sent = self.send(target, request, options, CANCEL_TIMEOUT).await;
        if let Ok(response) = sent {
            // The connection returns to the pool once the body is read to its end.
            let read = collect_limited(response.into_body(), MAX_ERROR_BYTES);
            let _ = compio::time::timeout(ERROR_BODY_TIMEOUT, read).await;
        }
    }

    async fn send(
        &self,
        target: &Target,
        request: Request<Body>,
        options: RequestOptions,
        timeout: Duration,
    ) -> Result<Response<Incoming>, AttemptError> {
        let send = self.client.send(target.address, request, options);
        match compio::time::timeout(timeout, send).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(ClientError::Connect { .. } | ClientError::Withheld { .. })) => {
                Err(AttemptError::ConnectFailed)
            }
            Ok(Err(ClientError::MaybeSent { .. })) => Err(AttemptError::ConnectionLost),
            Err(_) => Err(AttemptError::TimedOut),
        }
    }
}

fn new_request(
    method: Method,
    path: &str,
    mut headers: HeaderMap,
    body: Body,
    target: &Target,
) -> Request<Body> {
    set_credential(&mut headers, target.credential.as_deref());
    headers.insert(http::header::HOST, host_value(target.address));
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = headers;
    request
}

fn host_value(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).expect("a socket address is a valid header value")
}

/// The events of one connection to an engine, in sequence.
pub struct EngineStream {
    body: Incoming,
    parser: SseParser,
    next_sequence: u64,
    last_event: Instant,
    /// Timeout for the next event. It is longer for the first event, which includes the prefill.
    event_timeout: Duration,
    /// Timer for the event timeout. It is renewed only when it fires, rather than at each event.
    stall_timer: Option<LocalBoxFuture<'static, ()>>,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Weights version that the engine uses.
    pub weights_version: String,
    /// Whether the engine has announced that it is leaving the fleet.
    pub is_leaving: bool,
}

impl EngineStream {
    async fn open(response: Response<Incoming>, tag: &AttemptTag) -> Result<Self, AttemptError> {
        let (head, body) = response.into_parts();
        if head.status != StatusCode::OK {
            return Err(error_from_response(head.status, body).await);
        }
        if !tag.is_echoed_by(&head.headers) {
            return Err(AttemptError::ResponseMismatch);
        }
        let text = |name: &str| {
            let value = head.headers.get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
        };
        Ok(Self {
            body,
            parser: SseParser::new(),
            next_sequence: 0,
            last_event: Instant::now(),
            event_timeout: STALL_TIMEOUT,
            stall_timer: None,
            incarnation: text("x-engine-incarnation").parse().unwrap_or(0),
            weights_version: text("x-weights-version").to_owned(),
            is_leaving: text("x-target-state") == "leaving",
        })
    }

    /// Sets a longer timeout for the first event.
    pub fn with_first_event_timeout(mut self, timeout: Duration) -> Self {
        self.event_timeout = timeout.max(STALL_TIMEOUT);
        self
    }

    /// Returns the sequence number of the next event.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Waits for the next event in sequence. This is cancel safe: dropping the future loses no
    /// event.
    pub async fn next(&mut self) -> Result<SseEvent, StreamError> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Polls for the next event in sequence.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<SseEvent, StreamError>> {
        loop {
            match self.parser.next_event() {
                Err(_) => return Poll::Ready(Err(StreamError::EventTooLarge)),
                Ok(Some(event)) => {
                    self.last_event = Instant::now();
                    self.event_timeout = STALL_TIMEOUT;
                    let sequence = event.id.unwrap_or(self.next_sequence);
                    if sequence > self.next_sequence {
                        return Poll::Ready(Err(StreamError::MissingEvent));
                    }
                    if sequence < self.next_sequence {
                        continue;
                    }
                    self.next_sequence += 1;
                    return Poll::Ready(Ok(event));
                }
                Ok(None) => {}
            }
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.parser.push(data);
                    }
                }
                Poll::Ready(_) => return Poll::Ready(Err(StreamError::ConnectionLost)),
                Poll::Pending => {
                    ready!(self.poll_stall(cx));
                    return Poll::Ready(Err(StreamError::Stalled));
                }
            }
        }
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let deadline = self.last_event + self.event_timeout;
            let stall_timer = self
                .stall_timer
                .get_or_insert_with(|| Box::pin(compio::time::sleep_until(deadline)));
            ready!(stall_timer.as_mut().poll(cx));
            self.stall_timer = None;
            if self.last_event.elapsed() >= self.event_timeout {
                return Poll::Ready(());
            }
        }
    }
}

async fn error_from_response(status: StatusCode, body: Incoming) -> AttemptError {
    match status.as_u16() {
        400 | 413 | 422 => AttemptError::Rejected {
            message: error_message(body).await,
        },
        status @ (404 | 408 | 409 | 425 | 429 | 503) => AttemptError::Refused { status },
        status => AttemptError::Failed { status },
    }
}

async fn error_message(body: Incoming) -> String {
    let read = collect_limited(body, MAX_ERROR_BYTES);
    let Ok(Ok(Some(body))) = compio::time::timeout(ERROR_BODY_TIMEOUT, read).await else {
        return String::new();
    };
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let message = body["error"]["message"].as_str().unwrap_or_default();
    message.chars().take(MAX_MESSAGE_CHARS).collect()
}
