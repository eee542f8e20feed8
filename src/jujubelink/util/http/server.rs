//! HTTP/1.1 and HTTP/2 connections of the serving side.

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

/// Time for the first request of a connection that is open when the stop begins.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time between looks for the first request.
const FIRST_REQUEST_POLL: Duration = Duration::from_millis(20);

/// Answers the requests of a connection.
pub trait Handler: Clone + 'static {
    /// Answers one request.
    fn handle(self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static;
}

/// Limits of a serving connection.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Longest time for a client to send the headers of a request.
    pub header_timeout: Duration,
    /// Largest size of the headers of a request.
    pub max_header_bytes: usize,
    /// Largest number of concurrent HTTP/2 streams of a connection.
    pub max_concurrent_streams: u32,
    /// Time between HTTP/2 pings on a connection with open streams.
    pub ping_interval: Duration,
    /// Time without an answer to a ping after which the connection is closed.
    pub ping_timeout: Duration,
    /// Whether a client that has closed its sending side still waits for the answer. If not, its
    /// request is cancelled.
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

/// Serves all connections of a listener, each until it ends. `report` hears of failed accepts, which
/// are usually a lack of descriptors.
pub async fn serve_listener<H: Handler>(
    listener: Listener,
    handler: H,
    report: impl Fn(&std::io::Error),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                compio::runtime::spawn(async move {
                    let options = ServerOptions::default();
                    // A caller that breaks its connection asks again.
                    let _ =
                        serve_connection(stream, handler, options, std::future::pending()).await;
                })
                .detach();
            }
            Err(error) => {
                report(&error);
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it ends. When `drain` completes, requests under way are answered
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
    let noted = Rc::clone(&has_request);
    let service = service_fn(move |request| {
        noted.set(true);
        let answer = handler.clone().handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut drain = pin!(drain.fuse());
    futures_util::select_biased! {
        result = connection.as_mut().fuse() => return result,
        () = drain => {}
    }
    // Closing a connection on which nothing was read would cut a first request that is on its way.
    let deadline = Instant::now() + FIRST_REQUEST_GRACE;
    while !has_request.get() && Instant::now() < deadline {
        let wait = compio::time::timeout(FIRST_REQUEST_POLL, connection.as_mut());
        if let Ok(result) = wait.await {
            return result;
        }
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}
