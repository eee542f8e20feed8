//! Readiness towards the platform's entry.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::ops::fleet::Fleet;
use crate::ops::kernel::{Context, Lifecycle, Plugin, PluginEntry, PluginScope};
use crate::ops::share::Peers;
use crate::platform::READY_PATH;
use crate::util::http::{Body, Handler, ServerOptions, empty, serve_connection};
use crate::util::net::Listener;

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

inventory::submit! {
    PluginEntry::new(|| Box::new(ReadyPlugin)).with_scope(PluginScope::FleetStore)
}

struct ReadyPlugin;

impl Plugin for ReadyPlugin {
    fn name(&self) -> &'static str {
        "ready"
    }

    fn start(&self, context: &Context) -> Result<()> {
        let fleet = context.service::<Fleet>();
        let address = fleet.settings().ready_address;
        let listener = Listener::bind(address)
            .with_context(|| format!("listen for readiness checks on {address}"))?;
        let handler = ReadyHandler {
            context: context.clone(),
            fleet,
            peers: context.service(),
        };
        compio::runtime::spawn(accept(handler, listener)).detach();
        Ok(())
    }
}

async fn accept(handler: ReadyHandler, listener: Listener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                compio::runtime::spawn(async move {
                    let never = std::future::pending();
                    // A questioner that breaks its connection asks again.
                    let options = ServerOptions::default();
                    let _ = serve_connection(stream, handler, options, never).await;
                })
                .detach();
            }
            Err(error) => {
                slog::warn!(handler.context.log(), "cannot accept a readiness check";
                    "error" => %error);
                handler.context.timers().sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

#[derive(Clone)]
struct ReadyHandler {
    context: Context,
    fleet: Rc<Fleet>,
    peers: Rc<Peers>,
}

impl ReadyHandler {
    /// Ready is who can serve: with a configuration that is recent enough for keys, and targets.
    fn is_ready(&self) -> bool {
        self.context.shutdown().lifecycle() == Lifecycle::Running
            && self.fleet.policy().is_some()
            && self.fleet.check_fresh().is_ok()
            && self.peers.is_listed()
            && self.fleet.state().targets().next().is_some()
    }
}

impl Handler for ReadyHandler {
    fn handle(self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static {
        let mut response = Response::new(empty());
        *response.status_mut() = match (request.uri().path() == READY_PATH, self.is_ready()) {
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            (false, _) => StatusCode::NOT_FOUND,
        };
        std::future::ready(response)
    }
}
