//! Listener of the administration API.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context as _, Result};

use super::server::AdminHandler;
use crate::ops::kernel::{Context, Plugin, PluginEntry, PluginScope};
use crate::util::http::{ServerOptions, serve_connection};
use crate::util::net::{Listener, Stream};

/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of open connections. Further ones are closed immediately, because clients can
/// open connections without a key.
const MAX_CONNECTIONS: usize = 128;

/// Maximum size of the headers of a request.
const MAX_HEADER_BYTES: usize = 16 * 1024;

inventory::submit! {
    PluginEntry::new(|| Box::new(AdminPlugin)).with_scope(PluginScope::Standalone)
}

struct AdminPlugin;

impl Plugin for AdminPlugin {
    fn name(&self) -> &'static str {
        "admin"
    }

    fn start(&self, context: &Context) -> Result<()> {
        let address = context.settings().listen.admin_address;
        let listener = Listener::bind(address)
            .with_context(|| format!("cannot listen on administration address {address}"))?;
        let handler = AdminHandler::new(context);
        let context = context.clone();
        compio::runtime::spawn(
            async move { accept_connections(&context, listener, handler).await },
        )
        .detach();
        Ok(())
    }
}

async fn accept_connections(context: &Context, listener: Listener, handler: AdminHandler) {
    let open_connections = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open_connections.get() < MAX_CONNECTIONS => {
                let open_connections = Rc::clone(&open_connections);
                open_connections.set(open_connections.get() + 1);
                let handler = handler.clone();
                let shutdown = context.shutdown().clone();
                compio::runtime::spawn(async move {
                    serve(stream, handler, async move { shutdown.closing().await }).await;
                    open_connections.set(open_connections.get() - 1);
                })
                .detach();
            }
            Ok(_) => context.metrics().count("admin.connections_refused", 1),
            Err(error) => {
                slog::warn!(context.log(), "failed to accept an administration connection";
                    "error" => %error);
                context.timers().sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(stream: Stream, handler: AdminHandler, drain: impl Future<Output = ()>) {
    let options = ServerOptions {
        max_header_bytes: MAX_HEADER_BYTES,
        ..ServerOptions::default()
    };
    // The client can close the connection at any time, so errors are not reported.
    let _ = serve_connection(stream, handler, options, drain).await;
}
