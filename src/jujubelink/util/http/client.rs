//! HTTP/1.1 client with one pool of idle connections per address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use compio::time::timeout;
use derive_more::{Display, Error};
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;

use super::Body;
use crate::util::net::{KeepaliveSettings, Stream};

/// Idle connections kept for an address; further ones are closed when their answer ends.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Longest idleness of a connection that may carry a request which must not be repeated.
const MAX_IDLE_FOR_NON_IDEMPOTENT: Duration = Duration::from_secs(2);

/// Read buffer of a connection, which also bounds the headers of an answer. Together with the write
/// buffer towards the client it bounds what is buffered of a stream.
const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Time for the TCP handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure of a request, by whether the other end can have received any of it.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// No connection was made: nothing was sent.
    #[display("connect to {address}")]
    Connect {
        /// Address that was tried.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The request may have been received, in part or whole.
    #[display("request to {address} failed after it may have been sent")]
    MaybeSent {
        /// Address that was tried.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
}

/// Failure of a request, with the request if nothing of it was sent.
pub struct SendFailure {
    /// Cause.
    pub error: ClientError,
    /// The request, if nothing of it was sent.
    pub unsent: Option<Request<Body>>,
}

impl SendFailure {
    fn sent(address: SocketAddr, source: hyper::Error) -> Self {
        Self {
            error: ClientError::MaybeSent { address, source },
            unsent: None,
        }
    }

    fn unsent(error: ClientError, request: Request<Body>) -> Self {
        Self {
            error,
            unsent: Some(request),
        }
    }
}

/// How a request uses the pool.
#[derive(Debug, Clone, Copy)]
pub struct RequestOptions {
    /// Longest idleness of a pooled connection that may carry the request. Zero always connects.
    pub max_idle: Duration,
}

impl Default for RequestOptions {
    fn default() -> Self {
        Self {
            max_idle: Duration::from_secs(10),
        }
    }
}

impl RequestOptions {
    /// Uses only connections that carried an answer a moment ago, for requests that must not be
    /// repeated: a connection that has been idle for longer may have gone silent.
    pub fn for_non_idempotent() -> Self {
        Self {
            max_idle: MAX_IDLE_FOR_NON_IDEMPOTENT,
        }
    }

    /// Uses a new connection, for recovery and for requests that must not meet a silent one.
    pub fn with_new_connection(mut self) -> Self {
        self.max_idle = Duration::ZERO;
        self
    }
}

struct IdleConnection {
    sender: http1::SendRequest<Body>,
    since: Instant,
    /// Time for which the other end keeps an idle connection, if it tells.
    kept_for: Option<Duration>,
}

impl IdleConnection {
    fn is_usable(&self, max_idle: Duration) -> bool {
        let idle = self.since.elapsed();
        idle < max_idle
            && self
                .kept_for
                .is_none_or(|kept| idle + KEEP_ALIVE_MARGIN < kept)
    }
}

/// Mark on an answer by which its connection is not used again.
#[derive(Debug, Clone, Default)]
pub struct ConnectionReuse {
    is_discarded: Arc<AtomicBool>,
}

impl ConnectionReuse {
    /// Keeps the connection from carrying another request: what it delivers next may belong to the
    /// request before.
    pub fn discard(&self) {
        self.is_discarded.store(true, Ordering::Relaxed);
    }

    fn is_discarded(&self) -> bool {
        self.is_discarded.load(Ordering::Relaxed)
    }
}

/// Time before the end of the other end's keep-alive at which a connection is no longer used: a
/// request that crosses the close would be lost.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(400);

/// A client; clones share the pool.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl Client {
    /// A client with an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and returns the answer's head; the caller bounds the time.
    ///
    /// Dropping the answer's body before its end closes the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        options: RequestOptions,
    ) -> Result<Response<Incoming>, ClientError> {
        let result = self.send_or_return(address, request, options).await;
        result.map_err(|failure| failure.error)
    }

    /// Like [`Self::send`], and returns a request of which nothing was sent.
    ///
    /// A pooled connection that the other end closed meanwhile is skipped.
    pub async fn send_or_return(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        options: RequestOptions,
    ) -> Result<Response<Incoming>, SendFailure> {
        while let Some(mut sender) = self.take_idle(address, options.max_idle) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.return_when_ready(address, sender, response)),
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendFailure::sent(address, failure.into_error())),
                },
            }
        }
        let mut sender = match connect(address).await {
            Ok(sender) => sender,
            Err(error) => return Err(SendFailure::unsent(error, request)),
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.return_when_ready(address, sender, response)),
            Err(mut failure) => match failure.take_message() {
                Some(unsent) => {
                    let source = io::Error::other(failure.into_error());
                    let error = ClientError::Connect { address, source };
                    Err(SendFailure::unsent(error, unsent))
                }
                None => Err(SendFailure::sent(address, failure.into_error())),
            },
        }
    }

    /// Closes idle connections that nothing has used for `max_idle`.
    pub fn close_idle(&self, max_idle: Duration) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(max_idle));
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub fn close_address(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Option<http1::SendRequest<Body>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(max_idle) && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Puts the connection of an answer back into the pool once the answer has ended. The answer
    /// carries a [`ConnectionReuse`].
    fn return_when_ready(
        &self,
        address: SocketAddr,
        mut sender: http1::SendRequest<Body>,
        mut response: Response<Incoming>,
    ) -> Response<Incoming> {
        let idle = Rc::clone(&self.idle);
        let kept_for = keep_alive(response.headers());
        let mark = ConnectionReuse::default();
        response.extensions_mut().insert(mark.clone());
        compio::runtime::spawn(async move {
            if sender.ready().await.is_err() || mark.is_discarded() {
                return;
            }
            let mut idle = idle.borrow_mut();
            let connections = idle.entry(address).or_default();
            if connections.len() < MAX_IDLE_PER_ADDRESS {
                connections.push(IdleConnection {
                    sender,
                    since: Instant::now(),
                    kept_for,
                });
            }
        })
        .detach();
        response
    }
}

/// Time in the field `timeout` of the header `keep-alive`.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|field| field.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

async fn connect(address: SocketAddr) -> Result<http1::SendRequest<Body>, ClientError> {
    let failed = |source| ClientError::Connect { address, source };
    let stream = timeout(CONNECT_TIMEOUT, Stream::connect(address))
        .await
        .map_err(|_| failed(io::ErrorKind::TimedOut.into()))?
        .map_err(failed)?;
    stream
        .set_keepalive(KeepaliveSettings::default())
        .map_err(failed)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(stream)
        .await
        .map_err(|error| failed(io::Error::other(error)))?;
    compio::runtime::spawn(async move {
        // The error reaches the request that was under way.
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}
