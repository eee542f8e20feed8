//! Stand-in for the platform: an object API with versions, conditional updates and watches.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jujubelink::util::http::{Body, collect_limited, full};
use serde_json::{Value, json};

use crate::StandIn;

/// Maximum size of an object value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Faults that the platform injects.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Whether all requests are refused with 503.
    pub is_down: bool,
    /// Whether requests are accepted but never answered.
    pub is_silent: bool,
    /// Delay of each response.
    pub delay: Duration,
    /// Number of upcoming writes that take effect but are never answered.
    pub lose_answers: u32,
    /// Key whose next write takes effect, is never answered, and is followed by an outage.
    pub outage_at_write: Option<String>,
    /// Rate limit above which requests are answered with 429; unlimited if `None`.
    pub max_requests_per_s: Option<u32>,
}

#[derive(Debug, Clone)]
struct Object {
    version: u64,
    value: Value,
}

/// Numbers of calls that the platform received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCalls {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
}

/// Stand-in for the platform.
pub struct Platform {
    objects: RefCell<BTreeMap<String, Object>>,
    /// Version of the next write. The counter is shared by all objects, so that an object that is
    /// deleted and created again gets a new version.
    next_version: Cell<u64>,
    watchers: RefCell<Vec<Waker>>,
    faults: RefCell<PlatformFaults>,
    calls: Cell<PlatformCalls>,
    /// Number of calls by method and the two path segments after `/v1`.
    calls_by_kind: RefCell<BTreeMap<String, u64>>,
    /// Response to `GET /v1/instances`.
    instances: RefCell<Value>,
    /// Start of the current second of the rate limit and the requests in it.
    window: Cell<(Instant, u32)>,
}

impl Platform {
    /// Creates a platform without objects and faults.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            objects: RefCell::default(),
            next_version: Cell::new(1),
            watchers: RefCell::default(),
            faults: RefCell::default(),
            calls: Cell::default(),
            calls_by_kind: RefCell::default(),
            instances: RefCell::new(json!({ "instances": [] })),
            window: Cell::new((Instant::now(), 0)),
        })
    }

    /// Modifies the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.faults.borrow_mut());
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> PlatformCalls {
        self.calls.get()
    }

    /// Returns the number of calls so far by method and path prefix, such as `GET objects/config`.
    pub fn calls_by_kind(&self) -> BTreeMap<String, u64> {
        self.calls_by_kind.borrow().clone()
    }

    fn record_call_kind(&self, request: &Request<Incoming>) {
        let path = request.uri().path();
        let parts: Vec<&str> = path.split('/').skip(2).take(2).collect();
        let kind = format!("{} {}", request.method(), parts.join("/"));
        *self.calls_by_kind.borrow_mut().entry(kind).or_default() += 1;
    }

    /// Sets the response to `GET /v1/instances`.
    pub fn set_instances(&self, list: Value) {
        self.instances.replace(list);
    }

    /// Writes an object unconditionally, as the operator tools of the platform do. Returns its new
    /// version.
    pub fn put(&self, key: &str, value: Value) -> u64 {
        let version = self.next_version.get();
        self.next_version.set(version + 1);
        self.objects
            .borrow_mut()
            .insert(key.to_owned(), Object { version, value });
        self.wake_watchers();
        version
    }

    /// Returns the value of an object.
    pub fn get(&self, key: &str) -> Option<Value> {
        let objects = self.objects.borrow();
        objects.get(key).map(|object| object.value.clone())
    }

    fn wake_watchers(&self) {
        for waker in self.watchers.take() {
            waker.wake();
        }
    }

    fn is_over_rate(&self) -> bool {
        let Some(limit) = self.faults.borrow().max_requests_per_s else {
            return false;
        };
        let (mut start, mut count) = self.window.get();
        if start.elapsed() >= Duration::from_secs(1) {
            (start, count) = (Instant::now(), 0);
        }
        self.window.set((start, count + 1));
        count >= limit
    }

    fn count_call(&self, is_write: bool) {
        let mut calls = self.calls.get();
        if is_write {
            calls.writes += 1;
        } else {
            calls.reads += 1;
        }
        self.calls.set(calls);
    }

    fn read(&self, key: &str) -> Response<Body> {
        match self.objects.borrow().get(key) {
            Some(object) => answer(StatusCode::OK, &object_json(key, object)),
            None => answer(StatusCode::NOT_FOUND, &json!({ "error": "absent" })),
        }
    }

    fn list(&self, query: &HashMap<String, String>) -> Response<Body> {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (prefix, after) = (text("prefix"), text("after"));
        let limit = text("limit").parse().unwrap_or(100);
        let objects = self.objects.borrow();
        let page: Vec<Value> = objects
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&prefix))
            .filter(|(key, _)| **key > after)
            .take(limit)
            .map(|(key, object)| object_json(key, object))
            .collect();
        answer(StatusCode::OK, &json!({ "objects": page }))
    }

    async fn watch(&self, query: &HashMap<String, String>) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let key = query.get("key").cloned().unwrap_or_default();
        let after = number("after_version").unwrap_or(0);
        let limit = Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
        let changed = std::future::poll_fn(|cx| {
            let objects = self.objects.borrow();
            match objects.get(&key).filter(|object| object.version > after) {
                Some(object) => Poll::Ready(object_json(&key, object)),
                None => {
                    self.watchers.borrow_mut().push(cx.waker().clone());
                    Poll::Pending
                }
            }
        });
        match compio::time::timeout(limit, changed).await {
            Ok(object) => answer(StatusCode::OK, &object),
            Err(_) => answer(StatusCode::NOT_MODIFIED, &Value::Null),
        }
    }

    /// Writes an object, or deletes it if `value` is `None`, provided that its current version is
    /// `if_version` (0 for an absent object).
    fn write(&self, key: &str, if_version: u64, value: Option<Value>) -> Response<Body> {
        let current_version = self
            .objects
            .borrow()
            .get(key)
            .map_or(0, |object| object.version);
        if current_version != if_version {
            return answer(StatusCode::CONFLICT, &json!({ "version": current_version }));
        }
        let version = match value {
            Some(value) => self.put(key, value),
            None => {
                self.objects.borrow_mut().remove(key);
                self.wake_watchers();
                0
            }
        };
        answer(StatusCode::OK, &json!({ "version": version }))
    }

    async fn change(&self, key: &str, request: Request<Incoming>) -> Response<Body> {
        let query = query_of(&request);
        let if_version = query.get("if_version").and_then(|text| text.parse().ok());
        let Some(if_version) = if_version else {
            return answer(StatusCode::BAD_REQUEST, &json!({ "error": "if_version" }));
        };
        let is_delete = request.method() == Method::DELETE;
        let Ok(Some(body)) = collect_limited(request.into_body(), MAX_VALUE_BYTES).await else {
            return answer(StatusCode::PAYLOAD_TOO_LARGE, &json!({ "error": "size" }));
        };
        let value = match is_delete {
            true => None,
            false => match serde_json::from_slice::<Value>(&body) {
                Ok(mut body) => Some(body["value"].take()),
                Err(error) => {
                    let error = json!({ "error": error.to_string() });
                    return answer(StatusCode::BAD_REQUEST, &error);
                }
            },
        };
        let response = self.write(key, if_version, value);
        if self.begin_outage(key) || self.take_lost_answer() {
            std::future::pending::<()>().await;
        }
        response
    }

    /// Whether an outage begins with this write.
    fn begin_outage(&self, key: &str) -> bool {
        let mut faults = self.faults.borrow_mut();
        let is_begin = faults.outage_at_write.as_deref() == Some(key);
        if is_begin {
            faults.outage_at_write = None;
            faults.is_down = true;
        }
        is_begin
    }

    /// Whether the response to this write is to be lost; consumes one of `lose_answers`.
    fn take_lost_answer(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }

    async fn route(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = query_of(&request);
        if let Some(key) = path.strip_prefix("/v1/objects/") {
            return match *request.method() {
                Method::GET => self.read(key),
                Method::PUT | Method::DELETE => self.change(key, request).await,
                _ => answer(StatusCode::METHOD_NOT_ALLOWED, &Value::Null),
            };
        }
        match path.as_str() {
            "/v1/objects" => self.list(&query),
            "/v1/watch" => self.watch(&query).await,
            "/v1/instances" => answer(StatusCode::OK, &self.instances.borrow()),
            _ => answer(StatusCode::NOT_FOUND, &json!({ "error": "path" })),
        }
    }
}

impl StandIn for Platform {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.count_call(matches!(*request.method(), Method::PUT | Method::DELETE));
        self.record_call_kind(&request);
        let faults = self.faults.borrow().clone();
        if faults.is_silent {
            std::future::pending::<()>().await;
        }
        if faults.is_down {
            return answer(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({ "error": "outage" }),
            );
        }
        if self.is_over_rate() {
            return answer(StatusCode::TOO_MANY_REQUESTS, &json!({ "error": "rate" }));
        }
        if !faults.delay.is_zero() {
            compio::time::sleep(faults.delay).await;
        }
        self.route(request).await
    }
}

fn object_json(key: &str, object: &Object) -> Value {
    json!({ "key": key, "version": object.version, "value": object.value })
}

pub(crate) fn query_of(request: &Request<Incoming>) -> HashMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn answer(status: StatusCode, value: &Value) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full(value.to_string()))
        .expect("valid headers")
}
