//! Listener for calls from other instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tonic::server::NamedService;
use tower_service::Service;

use super::{PeerChannels, PeerToken};
use crate::core::connection::{KnownLimits, WaitLimits};
use crate::ops::kernel::{Context, DrainPhase, Plugin, PluginEntry, PluginScope, Shutdown};
use crate::util::http::{
    Body, DEFAULT_WAIT_LIMITS, Handler, ServerOptions, empty, serve_connection,
};
use crate::util::net::{Listener, Stream};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

/// Maximum number of connections from other instances. Further connections are closed immediately,
/// and the caller tries another instance or retries.
const MAX_CONNECTIONS: usize = 1_024;

/// Time within which a connection has to carry an authenticated call.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the headers of a call.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Maximum number of concurrent calls on a connection; the caller queues further ones.
const MAX_CALLS_PER_CONNECTION: u32 = 64;

/// Time allowed for calls in flight when the process stops.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between checks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Delay after a failed accept. The usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

inventory::submit! {
    PluginEntry::new(|| Box::new(PeerPlugin)).with_scope(PluginScope::Standalone)
}

type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>>>>;
type Route = Rc<dyn Fn(Request<Incoming>) -> ResponseFuture>;

/// gRPC services served to other instances, by service name.
#[derive(Default)]
pub struct PeerServices {
    routes: RefCell<HashMap<&'static str, Route>>,
}

impl PeerServices {
    /// Registers a generated server.
    pub fn add<S>(&self, service: S)
    where
        S: NamedService
            + Service<
                Request<Incoming>,
                Response = Response<tonic::body::Body>,
                Error = std::convert::Infallible,
            > + Clone
            + 'static,
    {
        let route: Route = Rc::new(move |request| {
            let mut service = service.clone();
            Box::pin(async move {
                let Ok(response) = service.call(request).await;
                response.map(|body| -> Body { Box::pin(body.map_err(Into::into)) })
            })
        });
        self.routes.borrow_mut().insert(S::NAME, route);
    }

    fn find(&self, path: &str) -> Option<Route> {
        let name = path.strip_prefix('/')?.split('/').next()?;
        self.routes.borrow().get(name).cloned()
    }
}

#[derive(Clone)]
struct PeerHandler {
    services: Rc<PeerServices>,
    token: PeerToken,
    local_address: SocketAddr,
    /// Whether this connection has carried an authenticated call.
    is_authenticated: Rc<Cell<bool>>,
}

impl Handler for PeerHandler {
    fn handle(self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static {
        let presented = request.headers().get(http::header::AUTHORIZATION);
        let is_accepted =
            presented.is_some_and(|value| self.token.verify(self.local_address, value.as_bytes()));
        if is_accepted {
            self.is_authenticated.set(true);
        }
        let route = self.services.find(request.uri().path());
        async move {
            match route {
                _ if !is_accepted => status_response(StatusCode::UNAUTHORIZED),
                None => status_response(StatusCode::NOT_FOUND),
                Some(route) => route(request).await,
            }
        }
    }

    fn known_limits(&self) -> KnownLimits {
        KnownLimits::fixed(WaitLimits {
            header_timeout: AUTHENTICATION_TIMEOUT,
            ..DEFAULT_WAIT_LIMITS
        })
    }
}

fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// Open connections from other instances.
#[derive(Default)]
struct Connections {
    count: Cell<usize>,
    closing: Shutdown,
}

/// Counts a connection for as long as it is open.
struct ConnectionGuard(Rc<Connections>);

impl ConnectionGuard {
    fn new(connections: &Rc<Connections>) -> Option<Self> {
        let count = connections.count.get();
        if count >= MAX_CONNECTIONS {
            return None;
        }
        connections.count.set(count + 1);
        Some(Self(Rc::clone(connections)))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
    }
}

struct PeerPlugin;

impl Plugin for PeerPlugin {
    fn name(&self) -> &'static str {
        "peer"
    }

    fn register(&self, context: &Context) -> Result<()> {
        let token = PeerToken::new(&context.settings().instance.cluster_key);
        context.provide(Rc::new(PeerChannels::new(token)));
        context.provide(Rc::new(PeerServices::default()));
        context.provide(Rc::new(Connections::default()));
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let address = context.settings().instance.peer_address;
        let listener = Listener::bind(address)
            .with_context(|| format!("listen for peer connections on {address}"))?;
        let handler = PeerHandler {
            services: context.service::<PeerServices>(),
            token: PeerToken::new(&context.settings().instance.cluster_key),
            local_address: address,
            is_authenticated: Rc::default(),
        };
        compio::runtime::spawn(close_idle(context.clone())).detach();
        let context = context.clone();
        compio::runtime::spawn(async move { accept(&context, listener, handler).await }).detach();
        Ok(())
    }

    fn drain(&self, context: &Context, phase: DrainPhase) -> LocalBoxFuture<'static, ()> {
        let context = context.clone();
        async move {
            if phase == DrainPhase::Close {
                close(&context).await;
            }
        }
        .boxed_local()
    }
}

/// Closes all connections once their calls have ended.
async fn close(context: &Context) {
    let connections = context.service::<Connections>();
    context.service::<PeerChannels>().close_all();
    connections.closing.request();
    let all_closed = async {
        while connections.count.get() > 0 {
            context.timers().sleep(Duration::from_millis(10)).await;
        }
    };
    context.timers().timeout(CLOSE_TIMEOUT, all_closed).await;
}

async fn close_idle(context: Context) {
    let channels = context.service::<PeerChannels>();
    let connections = context.service::<Connections>();
    let mut interval = context.timers().interval(IDLE_CHECK_INTERVAL);
    loop {
        interval.tick().await;
        channels.close_idle();
        let metrics = context.metrics();
        metrics.gauge("peer.connections_out", channels.open_count() as u64);
        metrics.gauge("peer.connections_in", connections.count.get() as u64);
    }
}

async fn accept(context: &Context, listener: Listener, handler: PeerHandler) {
    let connections = context.service::<Connections>();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match ConnectionGuard::new(&connections) {
                Some(guard) => {
                    let mut handler = handler.clone();
                    handler.is_authenticated = Rc::default();
                    compio::runtime::spawn(serve(context.clone(), stream, handler, guard)).detach();
                }
                None => context.metrics().count("peer.connections_refused", 1),
            },
            Err(error) => {
                slog::warn!(context.log(), "cannot accept a peer connection"; "error" => %error);
                context.timers().sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(context: Context, stream: Stream, handler: PeerHandler, guard: ConnectionGuard) {
    let options = ServerOptions {
        max_header_bytes: MAX_HEADER_BYTES,
        max_concurrent_streams: MAX_CALLS_PER_CONNECTION,
        ..ServerOptions::default()
    };
    let is_authenticated = Rc::clone(&handler.is_authenticated);
    let closing = guard.0.closing.clone();
    let draining = async move { closing.requested().await };
    let connection = serve_connection(stream, handler, options, draining);
    let mut connection = std::pin::pin!(connection.fuse());
    let mut unauthenticated = std::pin::pin!(
        async {
            context.timers().sleep(AUTHENTICATION_TIMEOUT).await;
            if is_authenticated.get() {
                std::future::pending::<()>().await;
            }
        }
        .fuse()
    );
    futures_util::select_biased! {
        // The instance that opened the connection handles its failure.
        _ = connection => {}
        () = unauthenticated => context.metrics().count("peer.unauthenticated", 1),
    }
}
