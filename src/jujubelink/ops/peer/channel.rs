//! Client connections to other instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use cyper_core::CompioTimer;
use derive_more::{Display, Error};
use futures_util::lock::Mutex;
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use tonic::body::Body;
use tower_service::Service;

use super::PeerToken;
use crate::util::http::LocalExecutor;
use crate::util::net::{KeepaliveSettings, Stream};

/// Interval and response timeout of HTTP/2 pings on a connection with calls in flight. Idle
/// connections send none: 379 idle connections would cost 190 pings per second.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout until the head of the response. Callers set shorter deadlines of their own.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an idle connection is closed. Without it, calls to random members would leave
/// an open connection to every instance.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of channels. Beyond it, the least recently used one is removed.
const MAX_CHANNELS: usize = 1_024;

/// Transport error of a call, below the level of gRPC.
#[derive(Debug, Display, Error)]
pub enum PeerError {
    /// The connection could not be established.
    #[display("cannot connect to instance {address}")]
    Connect {
        /// Address of the instance.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The connection failed during the call.
    #[display("call to instance {address} failed")]
    Call {
        /// Address of the instance.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// No response arrived in time.
    #[display("instance {address} did not answer within {} s", RESPONSE_HEAD_TIMEOUT.as_secs())]
    Timeout {
        /// Address of the instance.
        address: SocketAddr,
    },
}

type Sender = http2::SendRequest<Body>;

struct Shared {
    sender: RefCell<Option<Sender>>,
    /// Incremented with each new connection.
    generation: Cell<u64>,
    /// Held while a connection is established, so that concurrent calls share the attempt.
    connecting: Mutex<()>,
    calls_in_flight: Cell<u32>,
    last_used: Cell<Instant>,
}

/// HTTP/2 connection to an instance. It is established on first use and again after a failure.
#[derive(Clone)]
pub struct PeerChannel {
    address: SocketAddr,
    connect_address: SocketAddr,
    token: PeerToken,
    shared: Rc<Shared>,
}

impl PeerChannel {
    /// Creates a channel without a connection.
    pub fn new(address: SocketAddr, token: PeerToken) -> Self {
        Self {
            address,
            connect_address: address,
            token,
            shared: Rc::new(Shared {
                sender: RefCell::new(None),
                generation: Cell::new(0),
                connecting: Mutex::new(()),
                calls_in_flight: Cell::new(0),
                last_used: Cell::new(Instant::now()),
            }),
        }
    }

    /// Connects to `connect_address` instead of the instance's address, for example to a forwarded
    /// port.
    pub fn connect_via(mut self, connect_address: SocketAddr) -> Self {
        self.connect_address = connect_address;
        self
    }

    /// Origin to pass to the `with_origin` constructor of a generated client.
    pub fn origin(&self) -> Uri {
        format!("http://{}", self.address)
            .parse()
            .expect("an address is a valid authority")
    }

    /// Whether the channel has an open connection.
    pub fn is_connected(&self) -> bool {
        self.open_sender().is_some()
    }

    /// Closes the connection when its calls have ended. The next call opens a new one.
    pub fn close(&self) {
        self.shared.sender.take();
    }

    fn is_idle(&self) -> bool {
        self.shared.calls_in_flight.get() == 0
    }

    fn open_sender(&self) -> Option<Sender> {
        let sender = self.shared.sender.borrow();
        sender
            .as_ref()
            .filter(|sender| !sender.is_closed())
            .cloned()
    }

    async fn get_or_connect(&self) -> Result<Sender, PeerError> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let _guard = self.shared.connecting.lock().await;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let sender = self.connect().await?;
        self.shared.generation.set(self.shared.generation.get() + 1);
        self.shared.sender.replace(Some(sender.clone()));
        Ok(sender)
    }

    async fn connect(&self) -> Result<Sender, PeerError> {
        let address = self.address;
        let connect_error = |source| PeerError::Connect { address, source };
        let stream = compio::time::timeout(CONNECT_TIMEOUT, Stream::connect(self.connect_address))
            .await
            .map_err(|_| connect_error(std::io::ErrorKind::TimedOut.into()))?
            .map_err(connect_error)?;
        stream
            .set_keepalive(KeepaliveSettings::default())
            .map_err(connect_error)?;
        let (sender, connection) = http2::Builder::new(LocalExecutor)
            .timer(CompioTimer)
            .keep_alive_interval(HEARTBEAT_INTERVAL)
            .keep_alive_timeout(HEARTBEAT_INTERVAL)
            .handshake(stream)
            .await
            .map_err(|source| PeerError::Call { address, source })?;
        compio::runtime::spawn(async move {
            // The calls in flight receive the error.
            let _ = connection.await;
        })
        .detach();
        Ok(sender)
    }

    async fn send_authenticated(
        self,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, PeerError> {
        let mut call = CallGuard::new(&self);
        let authorization = self.token.authorization_header(self.address);
        request
            .headers_mut()
            .insert(http::header::AUTHORIZATION, authorization);
        let mut sender = self.get_or_connect().await?;
        call.generation = Some(self.shared.generation.get());
        let result =
            compio::time::timeout(RESPONSE_HEAD_TIMEOUT, sender.send_request(request)).await;
        let address = self.address;
        match result {
            Ok(Ok(response)) => {
                call.generation = None;
                Ok(response)
            }
            Ok(Err(source)) => Err(PeerError::Call { address, source }),
            Err(_) => Err(PeerError::Timeout { address }),
        }
    }
}

/// Tracks a call in flight. If the call ends without a response, also because its caller gave up,
/// the connection may be hanging, so the channel opens a new one for the next call. Other calls on
/// the old connection continue.
struct CallGuard {
    shared: Rc<Shared>,
    generation: Option<u64>,
}

impl CallGuard {
    fn new(channel: &PeerChannel) -> Self {
        let shared = Rc::clone(&channel.shared);
        shared.calls_in_flight.set(shared.calls_in_flight.get() + 1);
        Self {
            shared,
            generation: None,
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared.calls_in_flight.set(shared.calls_in_flight.get() - 1);
        shared.last_used.set(Instant::now());
        if self.generation == Some(shared.generation.get()) {
            shared.sender.take();
        }
    }
}

impl Service<Request<Body>> for PeerChannel {
    type Response = Response<Incoming>;
    type Error = PeerError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        Box::pin(self.clone().send_authenticated(request))
    }
}

/// Pool of channels, one for each instance that was called recently.
pub struct PeerChannels {
    token: PeerToken,
    channels: RefCell<HashMap<SocketAddr, PeerChannel>>,
}

impl PeerChannels {
    /// Creates an empty pool.
    pub fn new(token: PeerToken) -> Self {
        Self {
            token,
            channels: RefCell::default(),
        }
    }

    /// Returns the channel to an instance, creating it if needed.
    pub fn channel(&self, address: SocketAddr) -> PeerChannel {
        let mut channels = self.channels.borrow_mut();
        if channels.len() >= MAX_CHANNELS && !channels.contains_key(&address) {
            let oldest = channels
                .iter()
                .min_by_key(|(_, channel)| channel.shared.last_used.get())
                .map(|(address, _)| *address);
            oldest.and_then(|address| channels.remove(&address));
        }
        channels
            .entry(address)
            .or_insert_with(|| PeerChannel::new(address, self.token.clone()))
            .clone()
    }

    /// Removes the channel to an instance that is no longer a member.
    pub fn remove(&self, address: SocketAddr) {
        self.channels.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for `IDLE_TIMEOUT`.
    pub fn close_idle(&self) {
        self.channels.borrow_mut().retain(|_, channel| {
            let is_unused = channel.shared.last_used.get().elapsed() >= IDLE_TIMEOUT;
            let is_idle = is_unused && channel.is_idle();
            if is_idle {
                // Clones of the channel that callers still hold reconnect on the next call.
                channel.close();
            }
            !is_idle
        });
    }

    /// Closes all connections once their calls have ended.
    pub fn close_all(&self) {
        for (_, channel) in self.channels.borrow_mut().drain() {
            channel.close();
        }
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        let channels = self.channels.borrow();
        channels
            .values()
            .filter(|channel| channel.is_connected())
            .count()
    }
}
