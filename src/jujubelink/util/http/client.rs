//! HTTP/1.1 client with one pool of idle connections per address.

use std::cell::{Cell, RefCell};
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

/// Maximum number of idle connections per address; further ones are closed after their response.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Maximum idle time of a connection that is used for a non-idempotent request.
const MAX_IDLE_FOR_NON_IDEMPOTENT: Duration = Duration::from_secs(2);

/// Size of a connection's read buffer, which also limits the headers of a response. Together with the
/// write buffer of the client's connection it limits how much of a stream is buffered.
const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Timeout of the TCP handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure of a request. The variants distinguish whether the peer may have received any of it.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// No connection was established, so nothing was sent.
    #[display("connect to {address}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A connection was established, but the caller's condition for the request no longer held. Nothing
    /// was sent.
    #[display("request to {address} was withheld")]
    Withheld {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// The request may have been received, partly or completely.
    #[display("request to {address} failed after it may have been sent")]
    MaybeSent {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
}

impl ClientError {
    /// Whether nothing accepts connections at the address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. }
            if source.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Failure of a request that returns the request if nothing of it was sent.
pub struct SendFailure {
    /// Cause.
    pub error: ClientError,
    /// The request, if nothing of it was sent; it can be sent again.
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

/// Options for the use of the connection pool.
#[derive(Debug, Clone, Copy)]
pub struct RequestOptions {
    /// Maximum idle time of a pooled connection that is used for the request. Zero always opens a new
    /// connection.
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
    /// Options for requests that must not be repeated: only recently used connections. A connection
    /// that has been idle for longer may be dead, and the request would be lost on it.
    pub fn for_non_idempotent() -> Self {
        Self {
            max_idle: MAX_IDLE_FOR_NON_IDEMPOTENT,
        }
    }

    /// Always opens a new connection, for recovery and for requests that must not be lost on a dead
    /// connection.
    pub fn with_new_connection(mut self) -> Self {
        self.max_idle = Duration::ZERO;
        self
    }
}

/// Why a request was sent on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum NewConnectionReason {
    /// The request must not use an earlier connection.
    Required,
    /// The pool had no connection to the address.
    NoneIdle,
    /// All pooled connections had been idle for too long.
    IdleTooLong,
    /// The peer had closed the pooled connections.
    ClosedByPeer,
}

impl NewConnectionReason {
    /// All reasons, in the order of [`ConnectionUse::opened`].
    pub const ALL: [Self; 4] = [
        Self::Required,
        Self::NoneIdle,
        Self::IdleTooLong,
        Self::ClosedByPeer,
    ];
}

/// Number of requests by the connections that they were sent on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Requests on a pooled connection.
    pub reused: u64,
    /// Requests on a new connection, by reason.
    pub opened: [u64; NewConnectionReason::ALL.len()],
}

/// A pooled connection.
struct IdleConnection {
    sender: http1::SendRequest<Body>,
    idle_since: Instant,
    /// Idle timeout of the peer, if it announced one.
    keep_alive_timeout: Option<Duration>,
}

impl IdleConnection {
    fn is_usable(&self, max_idle: Duration) -> bool {
        let idle = self.idle_since.elapsed();
        idle < max_idle
            && self
                .keep_alive_timeout
                .is_none_or(|timeout| idle + KEEP_ALIVE_MARGIN < timeout)
    }
}

/// Extension of a response about the use of its connection for other requests. The receiver can prevent
/// further use.
#[derive(Debug, Clone)]
pub struct ConnectionReuse {
    is_new: bool,
    is_discarded: Arc<AtomicBool>,
}

impl ConnectionReuse {
    fn new(is_new: bool) -> Self {
        Self {
            is_new,
            is_discarded: Arc::default(),
        }
    }

    /// Whether the response is the first one on its connection.
    pub fn is_new_connection(&self) -> bool {
        self.is_new
    }

    /// Excludes the connection from further requests, because the data that it delivers next may
    /// belong to the previous request.
    pub fn discard(&self) {
        self.is_discarded.store(true, Ordering::Relaxed);
    }

    fn is_discarded(&self) -> bool {
        self.is_discarded.load(Ordering::Relaxed)
    }
}

/// Safety margin before the peer's idle timeout at which a connection is no longer used: a request
/// sent while the peer closes the connection would be lost.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(400);

/// An HTTP client. Clones share the connection pool.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    connection_use: Rc<Cell<ConnectionUse>>,
    /// Size of the receive buffer of new connections; `None` if the kernel chooses it.
    receive_bytes: Option<usize>,
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits the receive buffer of new connections to this size, of which the kernel fills up to twice as much.
    /// `None` leaves the size to the kernel.
    pub fn with_receive_bytes(mut self, receive_bytes: Option<usize>) -> Self {
        self.receive_bytes = receive_bytes;
        self
    }

    /// Sends a request and returns the response once its head has arrived. There is no timeout; the
    /// caller has to set one.
    ///
    /// Dropping the response body before its end closes the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        options: RequestOptions,
    ) -> Result<Response<Incoming>, ClientError> {
        let result = self.send_or_return(address, request, options).await;
        result.map_err(|failure| failure.error)
    }

    /// Like [`Self::send`], but a failure includes the request if nothing of it was sent.
    ///
    /// Pooled connections that the peer has closed are skipped.
    pub async fn send_or_return(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        options: RequestOptions,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.send_if(address, request, options, || true).await
    }

    /// Like [`Self::send_or_return`], but withholds the request if `may_send` does not hold when a
    /// connection is ready, right before the request is sent. Until then, up to [`CONNECT_TIMEOUT`]
    /// may have passed.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        options: RequestOptions,
        may_send: impl Fn() -> bool,
    ) -> Result<Response<Incoming>, SendFailure> {
        let withheld = ClientError::Withheld { address };
        let mut is_closed_by_peer = false;
        let reason = loop {
            let mut sender = match self.take_idle(address, options.max_idle) {
                Ok(sender) => sender,
                Err(_) if is_closed_by_peer => break NewConnectionReason::ClosedByPeer,
                Err(reason) => break reason,
            };
            if !may_send() {
                return Err(SendFailure::unsent(withheld, request));
            }
            match sender.try_send_request(request).await {
                Ok(response) => {
                    self.count_connection(None);
                    return Ok(self.return_when_ready(address, sender, response, false));
                }
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) => {
                        request = unsent;
                        is_closed_by_peer = true;
                    }
                    None => return Err(SendFailure::sent(address, failure.into_error())),
                },
            }
        };
        self.count_connection(Some(reason));
        let mut sender = match connect(address, self.receive_bytes).await {
            Ok(sender) => sender,
            Err(error) => return Err(SendFailure::unsent(error, request)),
        };
        if !may_send() {
            return Err(SendFailure::unsent(withheld, request));
        }
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.return_when_ready(address, sender, response, true)),
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

    /// Closes connections that have been idle for `max_idle`.
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

    /// Returns how the requests so far were sent.
    pub fn connection_use(&self) -> ConnectionUse {
        self.connection_use.get()
    }

    fn count_connection(&self, reason: Option<NewConnectionReason>) {
        let mut counts = self.connection_use.get();
        match reason {
            None => counts.reused += 1,
            Some(reason) => counts.opened[reason as usize] += 1,
        }
        self.connection_use.set(counts);
    }

    /// Takes a pooled connection, or returns why a new one is needed.
    fn take_idle(
        &self,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Result<http1::SendRequest<Body>, NewConnectionReason> {
        if max_idle.is_zero() {
            return Err(NewConnectionReason::Required);
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address);
        let connections = connections.ok_or(NewConnectionReason::NoneIdle)?;
        let mut reason = NewConnectionReason::NoneIdle;
        while let Some(connection) = connections.pop() {
            if !connection.sender.is_ready() {
                reason = NewConnectionReason::ClosedByPeer;
            } else if connection.is_usable(max_idle) {
                return Ok(connection.sender);
            } else {
                // The others have been idle for longer. They may serve requests that allow that.
                connections.push(connection);
                return Err(NewConnectionReason::IdleTooLong);
            }
        }
        Err(reason)
    }

    /// Returns the connection of a response to the pool once the response has ended, unless the
    /// response's [`ConnectionReuse`], which this function attaches, excludes it.
    fn return_when_ready(
        &self,
        address: SocketAddr,
        mut sender: http1::SendRequest<Body>,
        mut response: Response<Incoming>,
        is_new: bool,
    ) -> Response<Incoming> {
        let idle = Rc::clone(&self.idle);
        let keep_alive_timeout = keep_alive_timeout(response.headers());
        let reuse = ConnectionReuse::new(is_new);
        response.extensions_mut().insert(reuse.clone());
        compio::runtime::spawn(async move {
            if sender.ready().await.is_err() || reuse.is_discarded() {
                return;
            }
            let mut idle = idle.borrow_mut();
            let connections = idle.entry(address).or_default();
            if connections.len() < MAX_IDLE_PER_ADDRESS {
                connections.push(IdleConnection {
                    sender,
                    idle_since: Instant::now(),
                    keep_alive_timeout,
                });
            }
        })
        .detach();
        response
    }
}

/// Parses the parameter `timeout` of the header `keep-alive`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|field| field.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

async fn connect(
    address: SocketAddr,
    receive_bytes: Option<usize>,
) -> Result<http1::SendRequest<Body>, ClientError> {
    let failed = |source| ClientError::Connect { address, source };
    let stream = timeout(
        CONNECT_TIMEOUT,
        Stream::connect_with(address, receive_bytes),
    )
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
        // The request in progress receives the error.
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}
