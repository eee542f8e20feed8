//! Readiness endpoint for the platform's entry proxy.

use std::future::Future;
use std::rc::Rc;

use anyhow::{Context as _, Result};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::ops::fleet::Fleet;
use crate::ops::kernel::{Context, Lifecycle, Plugin, PluginEntry, PluginScope};
use crate::ops::quarantine::Quarantine;
use crate::ops::share::Peers;
use crate::platform::READY_PATH;
use crate::util::http::{Body, Handler, empty, serve_listener};
use crate::util::net::Listener;

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
            quarantine: context.service(),
        };
        let log = context.log().clone();
        let served = serve_listener(listener, handler, move |error| {
            slog::warn!(log, "cannot accept a readiness check"; "error" => %error);
        });
        compio::runtime::spawn(served).detach();
        Ok(())
    }
}

#[derive(Clone)]
struct ReadyHandler {
    context: Context,
    fleet: Rc<Fleet>,
    peers: Rc<Peers>,
    quarantine: Rc<Quarantine>,
}

impl ReadyHandler {
    /// Whether this instance can serve requests: it is running, listed at the platform, has a
    /// configuration recent enough to check keys, knows which requests crash targets, and has at least one
    /// target.
    fn is_ready(&self) -> bool {
        self.context.shutdown().lifecycle() == Lifecycle::Running
            && self.fleet.policy().is_some()
            && self.fleet.check_config_fresh().is_ok()
            && self.peers.has_instance_list()
            && self.quarantine.is_ready()
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
