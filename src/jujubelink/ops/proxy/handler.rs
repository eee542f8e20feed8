//! Routes client requests to the model, plain and relay handlers.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task;

use futures_util::FutureExt;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode, Version, header};
use hyper::body::Incoming;

use super::client_limits::ClientLimits;
use super::connections::{Load, reserve_request};
use super::http2_memory::{Http2Grant, Http2Memory};
use super::key_revocation::KeyRevocations;
use super::model::{Endpoint, handle_model_list, handle_model_request};
use super::plain::handle_plain_request;
use super::refusal::{Refusal, RefusalCode};
use super::relay::{NO_TARGET_RETRY_AFTER, Relay, handle_relayed_request, refuse_relayed_request};
use super::request_id::{REQUEST_ID_HEADER, request_id};
use super::request_log::RequestLog;
use super::waits::CurrentWait;
use crate::core::capacity::{ClientBounds, ConnectionPhase, MachineLimits};
use crate::core::config::ConfigSnapshot;
use crate::core::connection::KnownLimits;
use crate::core::ids::RequestId;
use crate::ops::kernel::{Context, Lifecycle};
use crate::ops::services::ConfigService;
use crate::ops::telemetry::{TraceContext, attach_span};
use crate::ops::upstream::EngineClient;
use crate::util::http::{
    Body, Client, ConnectionEnd, DEFAULT_SEND_TIME, DEFAULT_WAIT_LIMITS, Handler, UnreadBody,
    attach_guard, empty,
};
use crate::util::memory_budget::{ConnectionMemory, Reservation};

/// State shared by all client requests.
pub(super) struct Proxy {
    pub(super) context: Context,
    pub(super) client: Client,
    pub(super) engines: EngineClient,
    pub(super) key_revocations: KeyRevocations,
    pub(super) load: Load,
    /// Set if the configuration comes from the platform's store.
    pub(super) relay: Option<Rc<Relay>>,
    /// Set together with `relay`.
    pub(super) client_limits: Option<ClientLimits>,
}

/// What accompanies a request of the own deployment.
pub(super) struct RequestState {
    pub(super) id: RequestId,
    pub(super) wait: CurrentWait,
    /// What the request holds until its response has ended.
    pub(super) memory: Reservation,
}

impl Proxy {
    pub(super) fn new(context: &Context) -> Rc<Self> {
        let bounds = client_bounds(context);
        let client = Client::new().with_receive_bytes(bounds.target_receive_bytes());
        let relay = Relay::new(context);
        Rc::new(Self {
            context: context.clone(),
            engines: EngineClient::new(client.clone()),
            client,
            key_revocations: KeyRevocations::default(),
            load: Load::new(bounds),
            client_limits: relay.as_ref().map(|_| ClientLimits::new(context)),
            relay,
        })
    }

    /// Returns a service provided by another plug-in.
    pub(super) fn service<T: ?Sized + 'static>(&self) -> Rc<T> {
        self.context.service()
    }

    /// Returns the active configuration.
    pub(super) fn config(&self) -> Result<Rc<ConfigSnapshot>, Refusal> {
        let current = self.service::<dyn ConfigService>().current();
        current.ok_or_else(|| {
            Refusal::not_run(
                RefusalCode::NotReady,
                "the instance has no configuration yet",
            )
        })
    }

    pub(super) fn is_running(&self) -> bool {
        self.context.shutdown().lifecycle() == Lifecycle::Running
    }

    fn readiness(&self) -> Response<Body> {
        if self.is_running() && self.config().is_ok() {
            status(StatusCode::OK)
        } else {
            status(StatusCode::SERVICE_UNAVAILABLE)
        }
    }

    /// Reserves the memory that a request needs beside its body.
    pub(super) fn reserve_request(
        &self,
        connection: &ConnectionMemory,
        head: &Parts,
    ) -> Result<Reservation, Refusal> {
        reserve_request(connection, head).ok_or_else(|| {
            self.context.metrics().count("requests_without_memory", 1);
            Refusal::not_run(RefusalCode::Overloaded, "no memory is left for the request")
                .with_retry_after(NO_TARGET_RETRY_AFTER)
                .with_close()
        })
    }

    async fn route_request(
        self: &Rc<Self>,
        connection: &ConnectionMemory,
        head: Parts,
        body: &mut Option<Incoming>,
        id: &RequestId,
        wait: &CurrentWait,
    ) -> Result<Response<Body>, Refusal> {
        let state = RequestState {
            id: id.clone(),
            wait: wait.clone(),
            memory: self.reserve_request(connection, &head)?,
        };
        let config = self.config()?;
        let path = head.uri.path();
        match (&head.method, Endpoint::from_path(path)) {
            (&Method::POST, Some(endpoint)) => {
                handle_model_request(self, &config, endpoint, &head, body, state).await
            }
            (&Method::GET, None) if path == "/v1/models" => {
                handle_model_list(self, &config, &head.headers)
            }
            _ => handle_plain_request(self, &config, head, body, state).await,
        }
    }

    /// Completes when a planned stop has no more time for requests that have no response yet.
    async fn stop_ends(&self) -> Refusal {
        self.context.shutdown().requested().await;
        if let Some(schedule) = self.context.stop_schedule() {
            let now = self.context.timers().boot_now();
            let remaining = schedule.answer_by().saturating_sub(now);
            self.context.timers().sleep(remaining).await;
        }
        Refusal::outcome_unknown(
            RefusalCode::DeadlineExceeded,
            "the instance stops before the request has ended",
        )
    }

    async fn handle_request(
        self: Rc<Self>,
        connection: Rc<ConnectionMemory>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        match request.uri().path() {
            "/healthz" => return status(StatusCode::OK),
            "/readyz" => return self.readiness(),
            _ => {}
        }
        let guard = self.load.begin_request();
        let version = request.version();
        let id = request_id(request.headers());
        let (mut head, body) = request.into_parts();
        let mut body = Some(body);
        let parent = TraceContext::from_headers(&head.headers);
        let mut span = self.context.tracer().start_span("request", parent);
        span.set_attribute("request_id", &*id);
        span.context().apply(&mut head.headers);
        let log = RequestLog::new(&self.context, &id, &head, span.context());
        let wait = log.wait();
        let routed = {
            let routed = self.route_request(&connection, head, &mut body, &id, &wait);
            let mut routed = pin!(routed.fuse());
            let mut stopped = pin!(self.stop_ends().fuse());
            futures_util::select_biased! {
                routed = routed => routed,
                refusal = stopped => Err(refusal),
            }
        };
        let mut response = match routed {
            Ok(response) => response.map(|body| log.attach_to(body)),
            Err(refusal) => {
                let name = format!("refused.{}", refusal.code);
                self.context.metrics().count(&name, 1);
                log.log_refusal(&refusal);
                span.set_error(&refusal.code.to_string());
                let mut response = refusal.to_response(&id);
                if let Some(unread_body) = body {
                    UnreadBody::attach(&mut response, unread_body, DEFAULT_SEND_TIME);
                }
                response
            }
        };
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        if !self.is_running() && version <= Version::HTTP_11 {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response.map(|body| attach_span(guard.attach_to(body), span))
    }
}

/// Handles the requests of one connection.
#[derive(Clone)]
pub(super) struct ClientHandler {
    proxy: Rc<Proxy>,
    /// Room for the connection.
    memory: Rc<ConnectionMemory>,
    http2_memory: Rc<Http2Memory>,
}

impl ClientHandler {
    pub(super) fn new(proxy: Rc<Proxy>, memory: Rc<ConnectionMemory>) -> Self {
        Self {
            proxy,
            memory,
            http2_memory: Rc::default(),
        }
    }
}

impl ClientHandler {
    /// Charges the memory that a request needs under HTTP/2. Returns `None` if too little is left.
    fn begin_http2(&self, request: &Request<Incoming>) -> Option<Http2Grant> {
        let has_body = !http_body::Body::is_end_stream(request.body());
        self.http2_memory.begin(has_body, || self.begin_held())
    }

    /// Starts the reservation for what the client does not take or has not sent yet. It does not have to end in favor
    /// of transfers, unless the connection does.
    fn begin_held(&self) -> Reservation {
        let reservation = self.memory.begin();
        reservation.complete();
        reservation
    }

    /// Refuses a request for which no memory is left.
    fn refuse(&self, request: Request<Incoming>) -> Response<Body> {
        let proxy = &self.proxy;
        proxy.context.metrics().count("http2_refused", 1);
        slog::info!(proxy.context.log(), "request refused"; "reason" => "no memory is left for its stream",
            "connections" => proxy.load.connections());
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "no memory is left for the stream")
            .with_retry_after(NO_TARGET_RETRY_AFTER);
        if proxy.relay.is_some() {
            return refuse_relayed_request(&refusal, request);
        }
        let mut response = refusal.to_response(&request_id(request.headers()));
        UnreadBody::attach(&mut response, request.into_body(), DEFAULT_SEND_TIME);
        response
    }
}

impl Handler for ClientHandler {
    fn handle(self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + 'static {
        let http2_grant = match request.version() {
            Version::HTTP_2 => match self.begin_http2(&request) {
                Some(grant) => Some(grant),
                None => return std::future::ready(self.refuse(request)).left_future(),
            },
            _ => None,
        };
        // hyper reserves space for the future in every connection. Boxing limits this to the time
        // until the response head is ready.
        let proxy = self.proxy;
        let connection = self.memory;
        let handled = async move {
            let response = match proxy.relay.clone() {
                Some(relay) => handle_relayed_request(proxy, relay, &connection, request).await,
                None => proxy.handle_request(connection, request).await,
            };
            match http2_grant {
                Some(grant) => response.map(|body| attach_guard(body, grant)),
                None => response,
            }
        };
        handled.boxed_local().right_future()
    }

    fn known_limits(&self) -> KnownLimits {
        let proxy = &self.proxy;
        match &proxy.client_limits {
            Some(limits) => limits.known(proxy.load.is_crowded()),
            None => KnownLimits::fixed(DEFAULT_WAIT_LIMITS),
        }
    }

    fn max_read_bytes(&self) -> usize {
        self.proxy.load.read_bytes()
    }

    fn begin_head(&self) -> Option<Reservation> {
        Some(self.memory.begin())
    }

    fn begin_response(&self) -> Option<Reservation> {
        Some(self.begin_held())
    }

    fn on_held_back(&self) {
        let context = &self.proxy.context;
        slog::info!(context.log(), "response held back"; "reason" => "no memory is left for more of it",
            "connections" => self.proxy.load.connections());
        context.metrics().count("responses_held_back", 1);
    }

    fn on_phase(&self, phase: ConnectionPhase) {
        self.memory.set_phase(phase);
    }

    fn poll_end(&self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        self.memory.poll_end(cx)
    }

    fn on_http2(&self) -> bool {
        self.proxy.load.reserve_http2(&self.memory)
    }

    fn on_end(&self, end: &ConnectionEnd<'_>) {
        let context = &self.proxy.context;
        match end {
            ConnectionEnd::Idle { .. } => {
                slog::debug!(context.log(), "idle client connection closed"; "reason" => %end);
                context.metrics().count("connections_idle", 1);
            }
            ConnectionEnd::SlowHead { .. } | ConnectionEnd::FailedHead { .. } => {
                slog::info!(context.log(), "client connection ended within a head";
                    "reason" => %end, "connections" => self.proxy.load.connections());
                context.metrics().count("connections_failed", 1);
            }
            ConnectionEnd::NoMemory => {
                slog::info!(context.log(), "client connection ended within a head";
                    "reason" => %end, "connections" => self.proxy.load.connections());
                context.metrics().count("heads_ended", 1);
            }
            ConnectionEnd::GaveWay { phase } => {
                slog::info!(context.log(), "client connection gave way"; "reason" => %end,
                    "phase" => %phase, "connections" => self.proxy.load.connections());
                context.metrics().count("connections_gave_way", 1);
            }
            ConnectionEnd::EndlessBody => {
                slog::info!(context.log(), "client connection closed within a refused body";
                    "connections" => self.proxy.load.connections());
                context.metrics().count("connections_failed", 1);
            }
        }
    }
}

fn client_bounds(context: &Context) -> ClientBounds {
    let bytes = |mb: u64| mb.saturating_mul(1_000_000);
    let machine = &context.settings().machine;
    let mut bounds = ClientBounds::new(&MachineLimits {
        memory_bytes: machine.memory_mb.map(bytes),
        descriptors: machine.max_descriptors,
        program_bytes: machine.program_memory_mb.map(bytes),
    });
    if let Some(mb) = machine.client_memory_mb {
        bounds = bounds.with_request_bytes(bytes(mb) as usize);
    }
    if let Some(connections) = machine.max_client_connections {
        bounds = bounds.with_connections(connections as usize);
    }
    if let Some(kib) = machine.receive_buffer_kib {
        bounds = bounds.with_receive_bytes(kib.saturating_mul(1024) as usize);
    }
    if let Some(streams) = machine.http2_streams {
        bounds = bounds.with_http2_streams(streams as usize);
    }
    bounds
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
