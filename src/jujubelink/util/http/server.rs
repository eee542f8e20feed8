//! Server side of HTTP/1.1 and HTTP/2 connections.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use cyper_core::CompioTimer;
use derive_more::Display;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper::service::service_fn;
use hyper_util::server::conn::auto::Builder;

use super::unsent::{GatedBody, Unsent, UnsentEvent};
use super::{
    Body, BodyError, ClientConnection, ConnectionLoss, LocalExecutor, UnreadBody, attach_guard,
};
use crate::core::capacity::ConnectionPhase;
use crate::core::connection::{KnownLimits, Wait, WaitDecision, WaitKind, WaitLimits};
use crate::util::duration::ms;
use crate::util::memory_budget::Reservation;
use crate::util::net::Listener;

/// Number of waits before a draining HTTP/1.1 connection is closed. A stall of the process, in which
/// requests arrive unread, uses up one wait at most.
const CLOSE_WAITS: u32 = 2;

/// Duration of each wait. A client that has not been told may send a request until the connection is
/// closed, and one that is in transit at that time is lost. Requests that are accepted later may not end
/// within the time for the stop.
const CLOSE_WAIT: Duration = Duration::from_millis(400);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which a connection is read once more before it is closed, as bytes may have arrived while
/// the process was stalled.
const LAST_READ_TIME: Duration = Duration::from_millis(50);

/// Time for which the rest of a refused body is read in a stop, so that it does not prolong the stop. A
/// longer time begins anew until the stop begins.
const STOP_DISCARD_TIME: Duration = Duration::from_secs(1);

/// First bytes of a client that uses HTTP/2.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// Bytes of a head that need no reservation. The initial read buffer of a connection holds them.
pub const FREE_HEAD_BYTES: usize = 8 * 1024;

/// Buffers of heads grow by doubling, and the smaller ones before them leave gaps in the heap.
const HEAD_BUFFER_FACTOR: usize = 3;

/// Limits of connections whose handler states none.
pub const DEFAULT_WAIT_LIMITS: WaitLimits = WaitLimits {
    header_timeout: Duration::from_secs(15),
    idle_timeout: Duration::ZERO,
};

/// Handles the requests of a connection.
pub trait Handler: Clone + 'static {
    /// Handles one request and returns its response.
    fn handle(self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static;

    /// Returns the limits of the time that a client may take. They are asked for whenever the client
    /// begins to take time, and again when it is over.
    fn known_limits(&self) -> KnownLimits {
        KnownLimits::fixed(DEFAULT_WAIT_LIMITS)
    }

    /// Returns the most bytes of a read from the client. Large reads need fewer calls, but the buffers of many
    /// connections fill the memory.
    fn max_read_bytes(&self) -> usize {
        usize::MAX
    }

    /// Begins the reservation of memory for a head that is larger than [`FREE_HEAD_BYTES`]. Without one, the
    /// memory for heads is not limited.
    fn begin_head(&self) -> Option<Reservation> {
        None
    }

    /// Begins the reservation of memory for the bytes of a response that the client does not take. Without one, they
    /// are not counted.
    fn begin_response(&self) -> Option<Reservation> {
        None
    }

    /// Called when a response is not read further until its client takes what has been read, as no memory is left
    /// for more.
    fn on_held_back(&self) {}

    /// Called when the connection begins to do something else.
    fn on_phase(&self, _phase: ConnectionPhase) {}

    /// Completes once the connection has to end in favor of others.
    fn poll_end(&self, _cx: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }

    /// Called when the client turns out to use HTTP/2. Returns whether the connection may go on.
    fn on_http2(&self) -> bool {
        true
    }

    /// Called when a connection ends while it waits for a client, other than by the client's close
    /// between two requests.
    fn on_end(&self, _end: &ConnectionEnd<'_>) {}
}

/// Why a connection ends while it waits for its client.
#[derive(Debug, Display)]
pub enum ConnectionEnd<'a> {
    /// The client has sent no request for longer than it may.
    #[display("idle for more than {} ms", ms(*allowed))]
    Idle {
        /// How long the client could be idle.
        allowed: Duration,
    },
    /// The client has not sent the whole head of a request in time.
    #[display("no whole head after {} ms", ms(*allowed))]
    SlowHead {
        /// How long the head could take.
        allowed: Duration,
    },
    /// The head of a request is malformed or too large, or the connection has failed within it.
    #[display("{error}")]
    FailedHead {
        /// The error.
        error: &'a BodyError,
    },
    /// The memory for the head of a request is needed for others.
    #[display("no memory is left for the head")]
    NoMemory,
    /// The room of the connection is needed for others.
    #[display("its room is needed for others")]
    GaveWay {
        /// What the connection did.
        phase: ConnectionPhase,
    },
    /// The rest of a body that was refused did not end within the bounds for it.
    #[display("the refused body does not end")]
    EndlessBody,
}

/// Limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Maximum size of the headers of a request.
    pub max_header_bytes: usize,
    /// Maximum number of concurrent HTTP/2 streams of a connection.
    pub max_concurrent_streams: u32,
    /// Size of the HTTP/2 windows of a connection and of each of its streams: bytes of requests that are received
    /// before they are read.
    pub window_bytes: u32,
    /// Bytes of a response on an HTTP/2 stream that are held until the client's window has room for them.
    pub send_buffer_bytes: usize,
    /// Interval of HTTP/2 pings on a connection with open streams.
    pub ping_interval: Duration,
    /// Timeout of the response to a ping, after which the connection is closed.
    pub ping_timeout: Duration,
    /// Whether a client that has closed its sending side (half-close) still receives the response. If
    /// not, its request is cancelled.
    pub allows_half_close: bool,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            max_header_bytes: 64 * 1024,
            max_concurrent_streams: 128,
            window_bytes: 1024 * 1024,
            send_buffer_bytes: 400 * 1024,
            ping_interval: Duration::from_secs(10),
            ping_timeout: Duration::from_secs(10),
            allows_half_close: true,
        }
    }
}

/// Accepts and serves the connections of a listener. Calls `on_accept_error` for each failed accept,
/// usually caused by a lack of file descriptors.
pub async fn serve_listener<H: Handler>(
    listener: Listener,
    handler: H,
    on_accept_error: impl Fn(&std::io::Error),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                compio::runtime::spawn(async move {
                    let options = ServerOptions::default();
                    // A client whose connection fails is expected to retry.
                    let _ =
                        serve_connection(stream, handler, options, std::future::pending()).await;
                })
                .detach();
            }
            Err(error) => {
                on_accept_error(&error);
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it ends. Once `drain` completes, the requests in progress are finished
/// and the connection is closed.
///
/// An HTTP/1.1 connection whose client takes longer than the handler's limits is closed. HTTP/2
/// connections have pings instead, after the first request.
///
/// HTTP/2 has a handshake for the end of a connection. Under HTTP/1.1 a request that is sent while the
/// connection closes is lost, so responses announce the end with `connection: close`, and a connection
/// without it is closed only after [`CLOSE_WAITS`], or, while its client sends the head of a request,
/// after the time for it.
pub async fn serve_connection<I, H>(
    io: I,
    handler: H,
    options: ServerOptions,
    drain: impl Future<Output = ()>,
) -> Result<(), BodyError>
where
    I: Read + Write + Unpin + 'static,
    H: Handler,
{
    let mut builder = Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(CompioTimer)
        // The limits of hyper cannot change while a connection is open.
        .header_read_timeout(None)
        .max_buf_size(options.max_header_bytes)
        .half_close(options.allows_half_close);
    builder
        .http2()
        .timer(CompioTimer)
        .max_header_list_size(options.max_header_bytes as u32)
        .max_concurrent_streams(options.max_concurrent_streams)
        .initial_connection_window_size(options.window_bytes)
        .initial_stream_window_size(options.window_bytes)
        .max_send_buf_size(options.send_buffer_bytes)
        .keep_alive_interval(options.ping_interval)
        .keep_alive_timeout(options.ping_timeout);
    let state = Rc::new(ConnectionState::new(handler));
    state.begin_wait(WaitKind::Request);
    let service_state = Rc::clone(&state);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let connection = service_state.connection.clone();
        request.extensions_mut().insert(connection);
        let version = request.version();
        let expects_continue = request.headers().contains_key(header::EXPECT);
        let exchange = Rc::new(OpenExchange::new(&service_state, version));
        let response = service_state.handler.clone().handle(request);
        async move {
            let mut response = response.await;
            let state = &exchange.state;
            state.may_have_begun_head.set(false);
            let unread = response.extensions_mut().remove::<UnreadBody>();
            // A client that waits for permission to send its body may not send it any more.
            let is_body_uncertain = unread.is_some() && expects_continue;
            if (state.is_draining.get() || is_body_uncertain) && version <= Version::HTTP_11 {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            // Under HTTP/2 the rest is reset after the response.
            if let Some(unread) = unread.filter(|_| version <= Version::HTTP_11) {
                compio::runtime::spawn(discard_unread(unread, Rc::clone(&exchange))).detach();
            }
            let state = Rc::clone(state);
            let body = response.map(|body| attach_guard(body, exchange));
            let is_http2 = version == Version::HTTP_2;
            Ok::<_, Infallible>(body.map(|body| {
                match is_http2 {
                    false => GatedBody::new(body, Rc::clone(&state.unsent)),
                    true => GatedBody::new(body, Rc::clone(&state.unsent))
                        .with_http2(Box::new(move |is_unread| state.on_unread(is_unread))),
                }
            }))
        }
    });
    let io = ObservedIo {
        io,
        state: Rc::clone(&state),
    };
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut drain = pin!(drain.fuse());
    let mut timer = CheckTimer::default();
    loop {
        let event = poll_fn(|cx| {
            state.set_waker(cx.waker());
            // Bytes that have arrived take precedence over the end of a wait for them.
            state.is_polled.set(true);
            let polled = connection.as_mut().poll(cx);
            state.is_polled.set(false);
            if let Poll::Ready(result) = polled {
                return Poll::Ready(ConnectionEvent::Ended(result));
            }
            if state.lacks_memory(cx) {
                return Poll::Ready(ConnectionEvent::NoMemory);
            }
            if state.lacks_room.get() || state.handler.poll_end(cx).is_ready() {
                return Poll::Ready(ConnectionEvent::GaveWay);
            }
            if drain.as_mut().poll(cx).is_ready() {
                return Poll::Ready(ConnectionEvent::DrainBegan);
            }
            let check = state.check_at.get();
            timer.poll(cx, check).map(|()| ConnectionEvent::CheckDue)
        });
        match event.await {
            ConnectionEvent::Ended(result) => return state.end(result),
            ConnectionEvent::DrainBegan => break,
            ConnectionEvent::NoMemory => {
                state.handler.on_end(&ConnectionEnd::NoMemory);
                return Ok(());
            }
            ConnectionEvent::GaveWay => {
                let phase = state.phase.get();
                state.connection.record(ConnectionLoss::Server);
                state.handler.on_end(&ConnectionEnd::GaveWay { phase });
                return Ok(());
            }
            ConnectionEvent::CheckDue => {}
        }
        match state.check_wait() {
            Some(WaitKind::Request) if state.has_begun_exchange.get() => {
                connection.as_mut().graceful_shutdown();
                let result = connection.as_mut().await;
                return state.end(result);
            }
            Some(_) => return Ok(()),
            None => {}
        }
    }
    state.is_draining.set(true);
    for _ in 0..CLOSE_WAITS {
        if state.is_http2.get() {
            break;
        }
        let wait = compio::time::timeout(CLOSE_WAIT, connection.as_mut());
        if let Ok(result) = wait.await {
            return state.end(result);
        }
    }
    if state.may_have_begun_head.get() && !state.is_http2.get() {
        let limit = state.handler.known_limits().limits.header_timeout;
        let wait = compio::time::timeout(limit, connection.as_mut());
        if let Ok(result) = wait.await {
            return state.end(result);
        }
        if let Some(allowed) = state.head_wait() {
            state.handler.on_end(&ConnectionEnd::SlowHead { allowed });
            return Ok(());
        }
    }
    if !state.has_begun_exchange.get() && !state.is_http2.get() {
        // hyper would wait for the first request of a connection that has received an empty line.
        return Ok(());
    }
    connection.as_mut().graceful_shutdown();
    let result = connection.as_mut().await;
    state.end(result)
}

/// Discards the rest of a request's body beside its response.
async fn discard_unread<H: Handler>(unread: UnreadBody, exchange: Rc<OpenExchange<H>>) {
    let state = &exchange.state;
    state.discards.set(state.discards.get() + 1);
    state.update_phase();
    let mut discarded = pin!(unread.discard());
    let has_ended = loop {
        let was_draining = state.is_draining.get();
        match compio::time::timeout(STOP_DISCARD_TIME, discarded.as_mut()).await {
            Ok(has_ended) => break has_ended,
            Err(_) if was_draining => break false,
            Err(_) => {}
        }
    };
    if !has_ended {
        state.handler.on_end(&ConnectionEnd::EndlessBody);
    }
    state.may_have_begun_head.set(false);
    state.discards.set(state.discards.get() - 1);
    state.update_phase();
}

/// What a connection is served for next.
enum ConnectionEvent {
    Ended(Result<(), BodyError>),
    DrainBegan,
    /// No memory is left for the head that its client sends.
    NoMemory,
    /// The room of the connection is needed for others.
    GaveWay,
    /// The connection may have waited for its client for too long.
    CheckDue,
}

/// Wakes a connection for the check of its wait. The timer is set anew only if the check is due earlier
/// than before, so that requests in quick succession set none.
#[derive(Default)]
struct CheckTimer {
    sleep: Option<(Instant, LocalBoxFuture<'static, ()>)>,
}

impl CheckTimer {
    /// Completes once the check is due. Without a check it never does.
    fn poll(&mut self, cx: &mut Context<'_>, check_at: Option<Instant>) -> Poll<()> {
        let Some(check_at) = check_at else {
            return Poll::Pending;
        };
        loop {
            let now = Instant::now();
            if check_at <= now {
                self.sleep = None;
                return Poll::Ready(());
            }
            let sleep = self.sleep.take().filter(|(at, _)| *at <= check_at);
            let (at, mut sleep) =
                sleep.unwrap_or_else(|| (check_at, Box::pin(compio::time::sleep_until(check_at))));
            if sleep.as_mut().poll(cx).is_pending() {
                self.sleep = Some((at, sleep));
                return Poll::Pending;
            }
        }
    }
}

/// State that a connection shares with its requests.
struct ConnectionState<H> {
    handler: H,
    connection: ClientConnection,
    is_draining: Cell<bool>,
    /// Whether the client uses HTTP/2.
    is_http2: Cell<bool>,
    /// Whether there is no room for what the connection needs under HTTP/2.
    lacks_room: Cell<bool>,
    has_received: Cell<bool>,
    /// Whether bytes have arrived since the last response, which may be the start of a request.
    may_have_begun_head: Cell<bool>,
    /// Whether there has been a request.
    has_begun_exchange: Cell<bool>,
    /// Number of requests in progress.
    exchanges: Cell<usize>,
    /// Number of refused bodies that are still read.
    discards: Cell<usize>,
    /// Number of HTTP/2 responses of which the client has not taken the last frame.
    unread_streams: Rc<Cell<usize>>,
    /// What was reported to the handler.
    phase: Cell<ConnectionPhase>,
    /// The wait for the client and when it began. `None` while a request is in progress.
    wait: Cell<Option<(Wait, Instant)>>,
    /// When the wait is checked next.
    check_at: Cell<Option<Instant>>,
    /// Whether the wait is over and the connection is read for the last time.
    is_last_read: Cell<bool>,
    /// Whether the connection is polled now, so that it need not be woken.
    is_polled: Cell<bool>,
    /// Bytes of the head that has begun, up to the end of the last read.
    head_bytes: Cell<usize>,
    /// Memory for the head that has begun, and how much is reserved.
    head_memory: RefCell<Option<(Reservation, usize)>>,
    /// Responses of which the client has not taken everything.
    unsent: Rc<Unsent>,
    /// Wakes the task of the connection.
    waker: RefCell<Option<Waker>>,
}

impl<H: Handler> ConnectionState<H> {
    fn new(handler: H) -> Self {
        let memory_handler = handler.clone();
        let unsent = Rc::new(Unsent::new(Box::new(move |event| match event {
            UnsentEvent::Begun => memory_handler.begin_response(),
            UnsentEvent::HeldBack => {
                memory_handler.on_held_back();
                None
            }
        })));
        Self {
            handler,
            connection: ClientConnection::default(),
            is_draining: Cell::default(),
            is_http2: Cell::default(),
            lacks_room: Cell::default(),
            has_received: Cell::default(),
            may_have_begun_head: Cell::default(),
            has_begun_exchange: Cell::default(),
            exchanges: Cell::default(),
            discards: Cell::default(),
            unread_streams: Rc::default(),
            phase: Cell::new(ConnectionPhase::Idle),
            wait: Cell::default(),
            check_at: Cell::default(),
            is_last_read: Cell::default(),
            is_polled: Cell::default(),
            head_bytes: Cell::default(),
            head_memory: RefCell::default(),
            unsent,
            waker: RefCell::default(),
        }
    }

    fn set_waker(&self, waker: &Waker) {
        let mut current = self.waker.borrow_mut();
        if !current
            .as_ref()
            .is_some_and(|current| current.will_wake(waker))
        {
            *current = Some(waker.clone());
        }
    }

    /// Makes the task of the connection poll it again.
    fn wake(&self) {
        if let Some(waker) = &*self.waker.borrow() {
            waker.wake_by_ref();
        }
    }

    fn begin_wait(&self, kind: WaitKind) {
        let wait = Wait::new(kind, &self.handler.known_limits().limits);
        let now = Instant::now();
        self.wait.set(Some((wait, now)));
        self.check_at.set(Some(now + wait.allowed()));
        self.is_last_read.set(false);
        self.update_phase();
    }

    fn end_wait(&self) {
        self.wait.set(None);
        self.check_at.set(None);
    }

    /// Reports what the connection does, if that has changed.
    fn update_phase(&self) {
        let exchanges = self.exchanges.get();
        let is_stalled = self.discards.get() > 0
            || self.unsent.is_write_blocked()
            || self.unread_streams.get() >= exchanges;
        let phase = match exchanges {
            0 if self.head_wait().is_some() => ConnectionPhase::ReceivingHead,
            0 => ConnectionPhase::Idle,
            _ if is_stalled => ConnectionPhase::Stalled,
            _ => ConnectionPhase::Serving,
        };
        if self.phase.replace(phase) != phase {
            self.handler.on_phase(phase);
        }
    }

    fn on_bytes(&self, bytes: &[u8]) {
        // Empty lines before a request are no part of its head.
        if bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n')) {
            return;
        }
        if !self.has_received.replace(true) && bytes.starts_with(HTTP2_PREFACE) {
            self.is_http2.set(true);
            self.lacks_room.set(!self.handler.on_http2());
        }
        self.may_have_begun_head.set(true);
        if self.is_http2.get() {
            // The wait for the first request goes on. Pings replace the other ones.
            return;
        }
        if matches!(self.wait.get(), Some((wait, _)) if wait.kind() == WaitKind::Request) {
            self.begin_wait(WaitKind::Head);
        }
        if self.head_wait().is_some() {
            self.head_bytes.set(self.head_bytes.get() + bytes.len());
        }
    }

    /// Records that the client of an HTTP/2 response has not taken its last frame yet, or has taken it.
    fn on_unread(&self, is_unread: bool) {
        let streams = self.unread_streams.get();
        self.unread_streams.set(match is_unread {
            true => streams + 1,
            false => streams - 1,
        });
        self.update_phase();
    }

    /// Reserves memory for the head that has begun. Returns whether too little is left for it.
    fn lacks_memory(&self, cx: &mut Context<'_>) -> bool {
        let excess = self.head_bytes.get().saturating_sub(FREE_HEAD_BYTES);
        if excess == 0 {
            return false;
        }
        let mut memory = self.head_memory.borrow_mut();
        if memory.is_none() {
            *memory = self.handler.begin_head().map(|memory| (memory, 0));
        }
        let Some((memory, reserved_bytes)) = &mut *memory else {
            return false;
        };
        let needed = excess * HEAD_BUFFER_FACTOR;
        let missing = needed.saturating_sub(*reserved_bytes);
        if missing > 0 && !memory.grow(missing) {
            return true;
        }
        *reserved_bytes += missing;
        memory.poll_end(cx).is_ready()
    }

    /// Releases the memory for a head that has arrived.
    fn release_head(&self) {
        self.head_bytes.set(0);
        self.head_memory.take();
    }

    /// Checks the wait for the client. Returns what the connection waits for if it has to be closed.
    fn check_wait(&self) -> Option<WaitKind> {
        let (mut wait, began_at) = self.wait.get()?;
        let now = Instant::now();
        let decision = wait.check(now - began_at, &self.handler.known_limits());
        self.wait.set(Some((wait, began_at)));
        match decision {
            WaitDecision::Wait(time) => {
                self.check_at.set(Some(now + time));
                self.is_last_read.set(false);
                None
            }
            WaitDecision::Close if !self.is_last_read.replace(true) => {
                self.check_at.set(Some(now + LAST_READ_TIME));
                None
            }
            WaitDecision::Close => {
                let allowed = wait.allowed();
                self.handler.on_end(&match wait.kind() {
                    WaitKind::Request => ConnectionEnd::Idle { allowed },
                    WaitKind::Head => ConnectionEnd::SlowHead { allowed },
                });
                Some(wait.kind())
            }
        }
    }

    /// Returns how long the rest of a head may take, if the connection waits for it.
    fn head_wait(&self) -> Option<Duration> {
        let (wait, _) = self.wait.get()?;
        (wait.kind() == WaitKind::Head).then(|| wait.allowed())
    }

    /// Reports an error within the head of a request, and returns the result. Requests that are in progress
    /// are dropped afterwards.
    fn end(&self, result: Result<(), BodyError>) -> Result<(), BodyError> {
        self.connection.record(ConnectionLoss::Server);
        if let (Err(error), Some(_)) = (&result, self.head_wait()) {
            self.handler.on_end(&ConnectionEnd::FailedHead { error });
        }
        result
    }
}

/// A request in progress, up to the end of its response and of its body. Dropping it ends the exchange.
struct OpenExchange<H: Handler> {
    state: Rc<ConnectionState<H>>,
}

impl<H: Handler> OpenExchange<H> {
    fn new(state: &Rc<ConnectionState<H>>, version: Version) -> Self {
        state.is_http2.set(version == Version::HTTP_2);
        state.may_have_begun_head.set(false);
        state.has_begun_exchange.set(true);
        state.exchanges.set(state.exchanges.get() + 1);
        state.end_wait();
        state.release_head();
        state.update_phase();
        Self {
            state: Rc::clone(state),
        }
    }
}

impl<H: Handler> Drop for OpenExchange<H> {
    fn drop(&mut self) {
        let state = &self.state;
        state.exchanges.set(state.exchanges.get() - 1);
        if state.exchanges.get() == 0 && !state.is_http2.get() {
            state.begin_wait(WaitKind::Request);
        }
        state.update_phase();
        // hyper does not notice by itself that nobody reads the body any more.
        if !state.is_polled.get() {
            state.wake();
        }
    }
}

/// Reports the bytes that arrive to the state of a connection.
struct ObservedIo<I, H> {
    io: I,
    state: Rc<ConnectionState<H>>,
}

impl<I: Read + Unpin, H: Handler> Read for ObservedIo<I, H> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // SAFETY: the slice is only written to, through a `ReadBuf` that takes it as uninitialized.
        let unfilled = unsafe { buffer.as_mut() };
        let length = unfilled.len().min(self.state.handler.max_read_bytes());
        let mut received = ReadBuf::uninit(&mut unfilled[..length]);
        if let Err(error) = ready!(Pin::new(&mut self.io).poll_read(cx, received.unfilled())) {
            self.state.connection.record_read_error(&error);
            return Poll::Ready(Err(error));
        }
        let count = received.filled().len();
        match count {
            0 => self.state.connection.record(ConnectionLoss::Closed),
            _ => self.state.on_bytes(received.filled()),
        }
        // SAFETY: the first `count` bytes have been filled.
        unsafe { buffer.advance(count) };
        Poll::Ready(Ok(()))
    }
}

impl<I: Write + Unpin, H: Handler> Write for ObservedIo<I, H> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, data);
        self.record_write(&written, data.len());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, slices);
        self.record_write(&written, slices.iter().map(|slice| slice.len()).sum());
        written
    }
}

impl<I, H: Handler> ObservedIo<I, H> {
    fn record_write(&self, written: &Poll<io::Result<usize>>, length: usize) {
        self.state.unsent.on_write(written, length);
        if self.state.unsent.take_readable() {
            self.state.wake();
        }
        self.state.update_phase();
        if let Poll::Ready(Err(_)) = written {
            self.state.connection.record(ConnectionLoss::Write);
        }
    }
}
