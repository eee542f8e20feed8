//! Stand-in for a language-model engine.
//!
//! It has a prefix cache separated by workspace, executes requests in a batch with a simple time
//! model, and generates deterministic tokens (see [`generated_text`]).

mod cache;
mod generation;
mod orders;
mod requests;
mod settings;
mod text;

pub use settings::{EngineFaults, EngineSettings, EngineTimes};
pub use text::generated_text;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jujubelink::util::http::{Body, collect_limited, full};
use serde_json::{Value, json};

use self::cache::PrefixCache;
use self::generation::{Generation, Progress};
use crate::StandIn;
use crate::platform::query_of;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Number of prompt bytes that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Counters of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests whose execution started.
    pub started: u64,
    /// Requests that generated all tokens.
    pub completed: u64,
    /// Requests that were cancelled by a client.
    pub cancelled: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Prompt tokens of all requests.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub generated_tokens: u64,
}

/// Stand-in for an engine.
pub struct Engine {
    settings: EngineSettings,
    incarnation: Cell<u64>,
    model: RefCell<String>,
    weights_version: RefCell<String>,
    is_loading: Cell<bool>,
    cache: RefCell<PrefixCache>,
    running: Cell<u32>,
    /// Waiting requests by priority and order of arrival.
    waiting: RefCell<BTreeMap<(u8, u64), Waker>>,
    next_arrival: Cell<u64>,
    generations: RefCell<HashMap<String, Rc<Generation>>>,
    load_report: RefCell<Option<(Instant, Value)>>,
    fence: Cell<u64>,
    orders: RefCell<Vec<Value>>,
    faults: RefCell<EngineFaults>,
    counts: Cell<EngineCounts>,
    /// Headers of each model request, in order of arrival.
    seen_headers: RefCell<Vec<HeaderMap>>,
    seen_bodies: RefCell<Vec<Value>>,
    records_requests: Cell<bool>,
}

impl Engine {
    /// Creates an engine with the given times and default settings. It has no model loaded and
    /// serves requests for any model.
    pub fn new(times: EngineTimes) -> Rc<Self> {
        Self::with_settings(times.into())
    }

    /// Creates an engine with the given settings.
    pub fn with_settings(settings: EngineSettings) -> Rc<Self> {
        Rc::new(Self {
            incarnation: Cell::new(new_incarnation()),
            model: RefCell::new(settings.model.clone()),
            weights_version: RefCell::new(settings.weights_version.clone()),
            is_loading: Cell::new(false),
            cache: RefCell::new(new_cache(&settings)),
            running: Cell::new(0),
            waiting: RefCell::default(),
            next_arrival: Cell::new(0),
            generations: RefCell::default(),
            load_report: RefCell::default(),
            fence: Cell::new(0),
            orders: RefCell::default(),
            faults: RefCell::default(),
            counts: Cell::default(),
            seen_headers: RefCell::default(),
            seen_bodies: RefCell::default(),
            records_requests: Cell::new(true),
            settings,
        })
    }

    /// Returns the current incarnation, which changes with each crash.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.get()
    }

    /// Returns the recorded headers of the model requests, in order of arrival.
    pub fn seen_headers(&self) -> Vec<HeaderMap> {
        self.seen_headers.borrow().clone()
    }

    /// Returns the recorded bodies of the model requests, in order of arrival.
    pub fn seen_bodies(&self) -> Vec<Value> {
        self.seen_bodies.borrow().clone()
    }

    /// Stops recording headers and bodies, so that long benchmarks do not exhaust memory.
    pub fn stop_recording_requests(&self) {
        self.records_requests.set(false);
    }

    /// Returns the accepted orders.
    pub fn orders(&self) -> Vec<Value> {
        self.orders.borrow().clone()
    }

    /// Returns the counters.
    pub fn counts(&self) -> EngineCounts {
        self.counts.get()
    }

    /// Returns the number of requests that are being executed.
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Returns the fingerprints of the cached blocks.
    pub fn cached_fingerprints(&self) -> Vec<u64> {
        self.cache.borrow().fingerprints()
    }

    /// Modifies the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut faults = self.faults.borrow_mut();
        change(&mut faults);
        self.cache.borrow_mut().lose_event_every = faults.lose_event_every;
    }

    /// Simulates a crash with an immediate restart: aborts all requests, empties the cache and
    /// starts a new incarnation. To refuse connections as well, drop the handle of the stand-in.
    pub fn crash(&self) {
        self.incarnation.set(new_incarnation());
        self.clear_cache();
        self.is_loading.set(false);
        self.load_report.take();
        for (_, generation) in self.generations.take() {
            generation.end(Progress::Crashed);
        }
    }

    fn clear_cache(&self) {
        let mut cache = new_cache(&self.settings);
        cache.lose_event_every = self.faults.borrow().lose_event_every;
        self.cache.replace(cache);
    }

    fn count(&self, change: impl FnOnce(&mut EngineCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Whether a fault is due at the event index. A fault that is due is cleared.
    fn take_fault(
        &self,
        field: impl FnOnce(&mut EngineFaults) -> &mut Option<u64>,
        index: u64,
    ) -> bool {
        let mut faults = self.faults.borrow_mut();
        let fault = field(&mut faults);
        let is_due = *fault == Some(index);
        if is_due {
            *fault = None;
        }
        is_due
    }

    /// Returns a response head with the identifiers that the router verifies.
    fn head(&self, request: &HeaderMap) -> http::response::Builder {
        let faults = self.faults.borrow();
        let mut head = Response::builder()
            .header("x-engine-incarnation", self.incarnation.get())
            .header("x-weights-version", self.weights_version.borrow().as_str());
        for name in ["x-request-id", "x-attempt"] {
            match request.get(name) {
                Some(_) if faults.echoes_wrong_ids => head = head.header(name, "another"),
                Some(value) => head = head.header(name, value),
                None => {}
            }
        }
        if faults.is_leaving {
            head = head.header("x-target-state", "leaving");
        }
        head
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let Some(generation) = self.generations.borrow_mut().remove(id) else {
            return answer(StatusCode::NOT_FOUND, &json!({ "error": "no such stream" }));
        };
        if generation.progress() == Progress::Running {
            self.count(|counts| counts.cancelled += 1);
        }
        generation.end(Progress::Cancelled);
        answer(StatusCode::OK, &json!({}))
    }

    async fn pause_head(&self) {
        let pause = self.faults.borrow().head_pause;
        if !pause.is_zero() {
            compio::time::sleep(pause).await;
        }
    }

    async fn post(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(Some(body)) = collect_limited(body, MAX_BODY_BYTES).await else {
            return refuse("body");
        };
        let Ok(body) = serde_json::from_slice::<Value>(&body) else {
            return refuse("json");
        };
        match head.uri.path() {
            "/v1/chat/completions" | "/v1/completions" => {
                self.pause_head().await;
                self.complete(&head, body).await
            }
            "/v1/orders" => self.order(body).await,
            "/v1/kv/import" => self.import_blocks(&body),
            "/v1/kv/export" => self.export_blocks(&body),
            _ => refuse("path"),
        }
    }
}

fn new_incarnation() -> u64 {
    // Some JSON clients represent integers exactly only up to 53 bits.
    (rand::random::<u64>() >> 12) | 1
}

fn new_cache(settings: &EngineSettings) -> PrefixCache {
    PrefixCache::new(
        settings.capacity_blocks,
        settings.kept_events,
        settings.event_delay,
    )
}

fn answer(status: StatusCode, body: &Value) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full(body.to_string()))
        .expect("valid headers")
}

fn refuse(reason: &str) -> Response<Body> {
    answer(
        StatusCode::BAD_REQUEST,
        &json!({ "error": { "message": reason } }),
    )
}

impl StandIn for Engine {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        if self.faults.borrow().is_silent {
            std::future::pending::<()>().await;
        }
        let path = request.uri().path().to_owned();
        let query = query_of(&request);
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        if let Some(id) = path.strip_prefix("/v1/streams/") {
            return match *request.method() {
                Method::DELETE => self.cancel(id),
                _ => {
                    self.pause_head().await;
                    self.resume(id, request.headers())
                }
            };
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/load") => self.load(),
            (&Method::GET, "/v1/cache/events") => {
                let after = number("after").unwrap_or(0);
                let limit = Duration::from_millis(number("timeout_ms").unwrap_or(0));
                self.cache_events(after, limit).await
            }
            (&Method::POST, _) => self.post(request).await,
            _ => refuse("path"),
        }
    }
}
