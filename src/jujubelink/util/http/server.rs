//! Server side of HTTP/1.1 and HTTP/2 connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use cyper_core::CompioTimer;
use futures_util::FutureExt;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::rt::{Read, Write};
use hyper::service::service_fn;
use hyper_util::server::conn::auto::Builder;

use super::{Body, LocalExecutor, attach_guard};
use crate::util::net::Listener;

/// Number of successive checks that have to find a draining HTTP/1.1 connection idle before it is closed.
/// A stall of the process, in which requests arrive unread, uses up one check at most.
const IDLE_CHECKS: u32 = 2;

/// Interval of these checks. A client that has not been told may send a request until the connection is
/// closed, and one that is in transit at that time is lost.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(400);

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
/// closed only after an idle time.
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
        .header_read_timeout(options.header_timeout)
        .max_buf_size(options.max_header_bytes)
        .half_close(options.allows_half_close);
    builder
        .http2()
        .timer(CompioTimer)
        .max_header_list_size(options.max_header_bytes as u32)
        .max_concurrent_streams(options.max_concurrent_streams)
        .keep_alive_interval(options.ping_interval)
        .keep_alive_timeout(options.ping_timeout);
    let activity = Rc::new(Activity::default());
    let service_activity = Rc::clone(&activity);
    let service = service_fn(move |request: Request<Incoming>| {
        let activity = Rc::clone(&service_activity);
        let version = request.version();
        let guard = activity.begin_request(version);
        let response = handler.clone().handle(request);
        async move {
            let mut response = response.await;
            if activity.is_draining.get() && version <= Version::HTTP_11 {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| attach_guard(body, guard)))
        }
    });
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut drain = pin!(drain.fuse());
    futures_util::select_biased! {
        result = connection.as_mut().fuse() => return result,
        () = drain => {}
    }
    activity.is_draining.set(true);
    let mut idle_checks = 0;
    while idle_checks < IDLE_CHECKS && !activity.is_http2.get() {
        let begun_before = activity.begun_requests.get();
        let wait = compio::time::timeout(IDLE_CHECK_INTERVAL, connection.as_mut());
        if let Ok(result) = wait.await {
            return result;
        }
        let is_idle =
            activity.running_requests.get() == 0 && activity.begun_requests.get() == begun_before;
        idle_checks = if is_idle { idle_checks + 1 } else { 0 };
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Requests of a connection.
#[derive(Default)]
struct Activity {
    is_draining: Cell<bool>,
    /// Whether a request has come over HTTP/2.
    is_http2: Cell<bool>,
    begun_requests: Cell<u64>,
    /// Requests whose response has not ended.
    running_requests: Cell<usize>,
}

impl Activity {
    fn begin_request(self: &Rc<Self>, version: Version) -> RunningRequest {
        self.is_http2.set(version == Version::HTTP_2);
        self.begun_requests.set(self.begun_requests.get() + 1);
        self.running_requests.set(self.running_requests.get() + 1);
        RunningRequest(Rc::clone(self))
    }
}

/// Counts a request as running until it is dropped.
struct RunningRequest(Rc<Activity>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let running = &self.0.running_requests;
        running.set(running.get() - 1);
    }
}
