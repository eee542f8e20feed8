//! Server side of HTTP/1.1 and HTTP/2 connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cyper_core::CompioTimer;
use futures_util::FutureExt;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::rt::{Read, Write};
use hyper::service::service_fn;
use hyper_util::server::conn::auto::Builder;

use super::{Body, LocalExecutor};
use crate::util::net::Listener;

/// Time to wait for the first request of a connection that is open when the shutdown begins.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval of the checks for the first request.
const FIRST_REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    let has_request = Rc::new(Cell::new(false));
    let request_flag = Rc::clone(&has_request);
    let service = service_fn(move |request| {
        request_flag.set(true);
        let response = handler.clone().handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut drain = pin!(drain.fuse());
    futures_util::select_biased! {
        result = connection.as_mut().fuse() => return result,
        () = drain => {}
    }
    // Closing a connection before its first request was read would lose a request in transit.
    let deadline = Instant::now() + FIRST_REQUEST_GRACE;
    while !has_request.get() && Instant::now() < deadline {
        let wait = compio::time::timeout(FIRST_REQUEST_POLL_INTERVAL, connection.as_mut());
        if let Ok(result) = wait.await {
            return result;
        }
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}
