//! Server side of HTTP/1.1 and HTTP/2 connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use cyper_core::CompioTimer;
use futures_util::FutureExt;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::service::service_fn;
use hyper_util::server::conn::auto::Builder;

use super::{Body, LocalExecutor};
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

/// Handles the requests of a connection.
pub trait Handler: Clone + 'static {
    /// Handles one request and returns its response.
    fn handle(self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static;
}

/// Limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Timeout for a client to send the headers of a request.
    pub header_timeout: Duration,
    /// Time for which a client may leave the connection idle before a request.
    pub idle_timeout: Duration,
    /// Maximum size of the headers of a request.
    pub max_header_bytes: usize,
    /// Maximum number of concurrent HTTP/2 streams of a connection.
    pub max_concurrent_streams: u32,
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
            header_timeout: Duration::from_secs(15),
            idle_timeout: Duration::ZERO,
            max_header_bytes: 64 * 1024,
            max_concurrent_streams: 128,
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
/// HTTP/2 has a handshake for this. Under HTTP/1.1 a request that is sent while the connection closes
/// is lost, so responses announce the end with `connection: close`, and a connection without it is
/// closed only after [`CLOSE_WAITS`], or, while its client sends the head of a request, after the time
/// for it.
pub async fn serve_connection<I, H>(
    io: I,
    handler: H,
    options: ServerOptions,
    drain: impl Future<Output = ()>,
) -> Result<(), super::BodyError>
where
    I: Read + Write + Unpin + 'static,
    H: Handler,
{
    let mut builder = Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(CompioTimer)
        // hyper counts this time from the end of the last response.
        .header_read_timeout(options.idle_timeout + options.header_timeout)
        .max_buf_size(options.max_header_bytes)
        .half_close(options.allows_half_close);
    builder
        .http2()
        .timer(CompioTimer)
        .max_header_list_size(options.max_header_bytes as u32)
        .max_concurrent_streams(options.max_concurrent_streams)
        .keep_alive_interval(options.ping_interval)
        .keep_alive_timeout(options.ping_timeout);
    let state = Rc::new(ConnectionState::default());
    let service_state = Rc::clone(&state);
    let service = service_fn(move |request: Request<Incoming>| {
        let state = Rc::clone(&service_state);
        let version = request.version();
        state.is_http2.set(version == Version::HTTP_2);
        state.has_request.set(true);
        state.may_have_begun_head.set(false);
        let response = handler.clone().handle(request);
        async move {
            let mut response = response.await;
            state.may_have_begun_head.set(false);
            if state.is_draining.get() && version <= Version::HTTP_11 {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let io = ObservedIo {
        io,
        state: Rc::clone(&state),
    };
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut drain = pin!(drain.fuse());
    let first_request_state = Rc::clone(&state);
    // hyper limits the time for a head only once it knows the version of HTTP.
    let no_request = async move {
        compio::time::sleep(options.idle_timeout + options.header_timeout).await;
        if first_request_state.has_request.get() {
            std::future::pending::<()>().await;
        }
    };
    let mut no_request = pin!(no_request.fuse());
    futures_util::select_biased! {
        result = connection.as_mut().fuse() => return result,
        () = no_request => return Err("no request has arrived in time".into()),
        () = drain => {}
    }
    state.is_draining.set(true);
    for _ in 0..CLOSE_WAITS {
        if state.is_http2.get() {
            break;
        }
        let wait = compio::time::timeout(CLOSE_WAIT, connection.as_mut());
        if let Ok(result) = wait.await {
            return result;
        }
    }
    if state.may_have_begun_head.get() && !state.is_http2.get() {
        let wait = compio::time::timeout(options.header_timeout, connection.as_mut());
        if let Ok(result) = wait.await {
            return result;
        }
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// State that a connection shares with its requests.
#[derive(Default)]
struct ConnectionState {
    is_draining: Cell<bool>,
    has_request: Cell<bool>,
    /// Whether a request has come over HTTP/2.
    is_http2: Cell<bool>,
    /// Whether bytes have arrived since the last response, which may be the start of a request.
    may_have_begun_head: Cell<bool>,
}

/// Sets in the state of a connection that bytes have arrived.
struct ObservedIo<I> {
    io: I,
    state: Rc<ConnectionState>,
}

impl<I: Read + Unpin> Read for ObservedIo<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_read(cx, buffer))?;
        self.state.may_have_begun_head.set(true);
        Poll::Ready(Ok(()))
    }
}

impl<I: Write + Unpin> Write for ObservedIo<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, data)
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
        Pin::new(&mut self.io).poll_write_vectored(cx, slices)
    }
}
