//! HTTP server that runs a stand-in on the event loop of the current thread.

use std::cell::RefCell;
use std::future::{Future, pending};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use compio::runtime::JoinHandle;
use http::{Request, Response};
use hyper::body::Incoming;
use jujubelink::util::http::{Body, Handler, ServerOptions, serve_connection};
use jujubelink::util::net::Listener;

/// A server that replaces an external system in tests and benchmarks.
pub trait StandIn: 'static {
    /// Handles one request.
    fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + 'static;
}

struct Shared<S>(Rc<S>);

impl<S> Clone for Shared<S> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<S: StandIn> Handler for Shared<S> {
    fn handle(self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static {
        self.0.answer(request)
    }
}

/// A running stand-in. Dropping the handle closes the listener and all connections, which looks to
/// clients like a crash of the process.
pub struct StandInHandle {
    address: SocketAddr,
    _accept: JoinHandle<()>,
}

impl StandInHandle {
    /// Starts a stand-in on a free loopback port.
    pub fn start<S: StandIn>(stand_in: Rc<S>) -> io::Result<Self> {
        Self::start_on(stand_in, SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }

    /// Starts a stand-in on the given address.
    pub fn start_on<S: StandIn>(stand_in: Rc<S>, address: SocketAddr) -> io::Result<Self> {
        let listener = Listener::bind(address)?;
        let address = listener.local_addr()?;
        let accept = compio::runtime::spawn(accept(listener, Shared(stand_in)));
        Ok(Self {
            address,
            _accept: accept,
        })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<S: StandIn>(listener: Listener, handler: Shared<S>) {
    // The tasks are owned by this future, so cancelling it closes all connections.
    let connections: RefCell<Vec<JoinHandle<()>>> = RefCell::default();
    while let Ok((stream, _)) = listener.accept().await {
        let handler = handler.clone();
        let connection = compio::runtime::spawn(async move {
            let options = ServerOptions::default();
            let _ = serve_connection(stream, handler, options, pending()).await;
        });
        let mut connections = connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        connections.push(connection);
    }
}
