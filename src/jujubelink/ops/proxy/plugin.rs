//! The client listener and its graceful shutdown.

use std::cell::{OnceCell, RefCell};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use compio::runtime::JoinHandle;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::handler::{ClientHandler, Proxy};
use super::http2_memory::{SEND_BUFFER_BYTES, WINDOW_BYTES};
use crate::core::capacity::{ConnectionPhase, MAX_HEAD_BYTES};
use crate::core::stop::HANDSHAKE_COMPLETION_TIME;
use crate::ops::kernel::{Context, DrainPhase, Plugin, PluginEntry};
use crate::ops::tls::ServerTls;
use crate::util::http::{
    ConnectionEnd, ConnectionUse, Handler, NewConnectionReason, ServerOptions, serve_connection,
};
use crate::util::net::{KeepaliveSettings, Listener, MAX_STALL, Stream};

/// Accepting a connection fails mostly because the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Closes connections whose client has disappeared, which may otherwise stay open for as long as the
/// store is unreachable. The times exceed the deadlines of requests, as a link may be down for a while.
const CLIENT_KEEPALIVE: KeepaliveSettings = KeepaliveSettings {
    idle: Duration::from_secs(120),
    interval: Duration::from_secs(15),
    probes: 4,
    user_timeout: MAX_STALL,
};

/// Idle time after which a pooled connection to a target is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between checks for idle pooled connections.
const POOL_CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Interval between checks whether the connections have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

inventory::submit! { PluginEntry::new(|| Box::new(ProxyPlugin::default())) }

#[derive(Default)]
struct ProxyPlugin {
    proxy: OnceCell<Rc<Proxy>>,
    /// Accepts connections and ends once the listener is closed.
    accepting: RefCell<Option<JoinHandle<()>>>,
}

impl Plugin for ProxyPlugin {
    fn name(&self) -> &'static str {
        "proxy"
    }

    fn start(&self, context: &Context) -> Result<()> {
        let address = context.settings().listen.client_address;
        let listener =
            Listener::bind(address).with_context(|| format!("listen for clients on {address}"))?;
        let proxy = self.proxy.get_or_init(|| Proxy::new(context));
        let accepting = compio::runtime::spawn(accept(Rc::clone(proxy), listener));
        self.accepting.replace(Some(accepting));
        compio::runtime::spawn(close_idle_connections(Rc::clone(proxy))).detach();
        if let Some(relay) = &proxy.relay {
            let relay = Rc::clone(relay);
            compio::runtime::spawn(relay.watch_engine_states(context.clone())).detach();
        }
        let limits_watcher = Rc::clone(proxy);
        compio::runtime::spawn(async move {
            if let Some(limits) = &limits_watcher.client_limits {
                limits.watch_config().await;
            }
        })
        .detach();
        let watcher = Rc::clone(proxy);
        compio::runtime::spawn(async move {
            watcher.key_revocations.watch_config(&watcher.context).await
        })
        .detach();
        Ok(())
    }

    fn drain(&self, context: &Context, phase: DrainPhase) -> LocalBoxFuture<'static, ()> {
        let Some(proxy) = self.proxy.get().cloned() else {
            return async {}.boxed_local();
        };
        let stop = context.settings().stop.clone();
        let accepting = match phase {
            DrainPhase::FinishRequests => self.accepting.take(),
            _ => None,
        };
        async move {
            match phase {
                DrainPhase::Announce => {
                    let notice = Duration::from_millis(stop.balancer_notice_ms);
                    proxy.context.timers().sleep(notice).await;
                }
                DrainPhase::FinishRequests => {
                    proxy.context.shutdown().close_connections();
                    // Without this, an instance without connections would end before it has accepted
                    // those in the backlog.
                    if let Some(accepting) = accepting {
                        let _ = accepting.await;
                    }
                    wait_for_connections(&proxy).await;
                }
                DrainPhase::HandOver | DrainPhase::Close => {}
            }
        }
        .boxed_local()
    }
}

/// Waits until all connections are closed. A connection that has no running request may still have to
/// send the end of its last response, or may have received a part of a request.
async fn wait_for_connections(proxy: &Proxy) {
    let timers = proxy.context.timers();
    let schedule = proxy.context.stop_schedule();
    while proxy.load.connections() > 0 {
        if schedule.is_some_and(|schedule| timers.boot_now() >= schedule.end()) {
            slog::error!(proxy.context.log(), "drain time limit reached before all connections were closed";
                "running_requests" => proxy.load.requests());
            return;
        }
        timers.sleep(DRAIN_POLL_PERIOD).await;
    }
}

async fn close_idle_connections(proxy: Rc<Proxy>) {
    let mut interval = proxy.context.timers().interval(POOL_CHECK_PERIOD);
    let mut counted = ConnectionUse::default();
    loop {
        interval.tick().await;
        proxy.client.close_idle(POOL_IDLE_TIMEOUT);
        let counts = proxy.client.connection_use();
        count_connection_use(&proxy, &counts, &counted);
        counted = counts;
    }
}

/// Counts the requests since the last call by the connections to targets that they were sent on.
fn count_connection_use(proxy: &Proxy, now: &ConnectionUse, before: &ConnectionUse) {
    let metrics = proxy.context.metrics();
    metrics.count("target_connections.reused", now.reused - before.reused);
    let opened = now.opened.iter().zip(before.opened);
    for (reason, (now, before)) in NewConnectionReason::ALL.into_iter().zip(opened) {
        let name = format!("target_connections.opened.{reason}");
        metrics.count(&name, now - before);
    }
}

async fn accept(proxy: Rc<Proxy>, listener: Listener) {
    let shutdown = proxy.context.shutdown().clone();
    accept_until(&proxy, &listener, shutdown.closing()).await;
    if let Err(error) = listener.ignore_handshakes() {
        slog::warn!(proxy.context.log(), "cannot ignore handshakes of clients"; "error" => %error);
    }
    let completion = proxy.context.timers().sleep(HANDSHAKE_COMPLETION_TIME);
    accept_until(&proxy, &listener, completion).await;
    match listener.stop() {
        Ok(waiting) => waiting.into_iter().for_each(|stream| serve(&proxy, stream)),
        Err(error) => {
            slog::warn!(proxy.context.log(), "cannot close the client listener"; "error" => %error);
        }
    }
}

/// Accepts and serves connections until `end` completes.
async fn accept_until(proxy: &Rc<Proxy>, listener: &Listener, end: impl Future<Output = ()>) {
    let mut end = pin!(end.fuse());
    let mut receive_bytes = None;
    loop {
        let next_bytes = proxy.load.receive_bytes();
        if let Some(bytes) = next_bytes.filter(|_| next_bytes != receive_bytes) {
            limit_receive_buffer(proxy, listener, bytes);
            receive_bytes = next_bytes;
        }
        let accepted = futures_util::select_biased! {
            () = end => return,
            accepted = listener.accept().fuse() => accepted,
        };
        match accepted {
            Ok((stream, _)) => serve(proxy, stream),
            Err(error) => {
                slog::warn!(proxy.context.log(), "cannot accept a client connection";
                    "error" => %error);
                proxy.context.timers().sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Sets the receive buffer of the next connections.
fn limit_receive_buffer(proxy: &Proxy, listener: &Listener, bytes: usize) {
    if let Err(error) = listener.set_receive_buffer(bytes) {
        slog::warn!(proxy.context.log(), "cannot limit the receive buffer of client connections";
            "error" => %error, "bytes" => bytes);
    }
}

fn serve(proxy: &Rc<Proxy>, stream: Stream) {
    let address = stream.peer_addr().ok().map(|address| address.ip());
    let tls = proxy.context.find_service::<ServerTls>();
    let Some(opened) = proxy.load.open_connection(address, tls.is_some()) else {
        proxy.context.metrics().count("connections_refused", 1);
        slog::warn!(proxy.context.log(), "client connection refused";
            "connections" => proxy.load.connections());
        return;
    };
    if opened.ended_connections > 0 {
        slog::debug!(proxy.context.log(), "client connections give way to another one";
            "ended" => opened.ended_connections, "connections" => proxy.load.connections());
    }
    let guard = proxy.load.count_connection();
    if let Err(error) = stream.set_keepalive(CLIENT_KEEPALIVE) {
        slog::warn!(proxy.context.log(), "cannot set keepalive of a client connection";
            "error" => %error);
    }
    let shutdown = proxy.context.shutdown().clone();
    let memory = Rc::new(opened.memory);
    let handler = ClientHandler::new(Rc::clone(proxy), Rc::clone(&memory));
    let drain = async move { shutdown.closing().await };
    let options = connection_options(proxy);
    compio::runtime::spawn(async move {
        // A client that drops its connection is not an error of this instance.
        let _ = match tls {
            None => serve_connection(stream, handler, options, drain).await,
            Some(tls) => {
                let mut gave_way = poll_fn(|cx| memory.poll_end(cx)).fuse();
                let accepted = futures_util::select_biased! {
                    accepted = pin!(tls.accept(stream).fuse()) => accepted,
                    () = gave_way => {
                        let phase = ConnectionPhase::Idle;
                        handler.on_end(&ConnectionEnd::GaveWay { phase });
                        None
                    }
                };
                match accepted {
                    Some(stream) => serve_connection(stream, handler, options, drain).await,
                    None => Ok(()),
                }
            }
        };
        drop(guard);
    })
    .detach();
}

fn connection_options(proxy: &Proxy) -> ServerOptions {
    let defaults = ServerOptions::default();
    ServerOptions {
        // The limit of the configuration is checked for each request, as it may be raised while the
        // connection is open.
        max_header_bytes: match proxy.relay {
            Some(_) => MAX_HEAD_BYTES,
            None => defaults.max_header_bytes,
        },
        max_concurrent_streams: proxy.load.http2_streams() as u32,
        window_bytes: WINDOW_BYTES as u32,
        send_buffer_bytes: SEND_BUFFER_BYTES,
        // The platform's entry proxy half-closes a connection only after its client has disconnected.
        allows_half_close: proxy.relay.is_none(),
        ..defaults
    }
}
