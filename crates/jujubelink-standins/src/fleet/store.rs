//! Stand-in for the object store: objects of several kinds, with revisions, conditional writes and
//! watches.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jujubelink::platform::names::{OBJECTS_PATH, STORE_ERA};
use jujubelink::util::http::{Body, collect_limited, full};
use serde_json::{Value, json};

use crate::StandIn;

/// Maximum size of an object.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// End of the path at which the status of an object is written.
const STATUS_SUFFIX: &str = "/status";

/// Interval at which a watch checks for new changes, and a held write for a change of the mode.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Delay of a late response. It is below the time for which instances wait for one.
const LATENESS: Duration = Duration::from_millis(900);

/// How an endpoint of the store responds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Handles calls normally.
    #[default]
    Up,
    /// Refuses all calls with 503, before they have any effect.
    Refusing,
    /// Accepts calls but neither executes nor answers them.
    Silent,
    /// Answers reads. Executes and answers writes only after the mode has changed.
    HoldingWrites,
    /// Executes reads and sends their responses after [`LATENESS`]. Watches and writes are handled normally.
    Late,
}

#[derive(Clone)]
struct Object {
    revision: u64,
    created_revision: u64,
    /// JSON, unless a test wrote something else.
    spec: Vec<u8>,
    /// JSON, unless a test wrote something else.
    metadata: Vec<u8>,
    /// Status as JSON; `null` after each write of the spec.
    status: Value,
}

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    object: Vec<u8>,
    is_removed: bool,
}

/// Copy of the objects at some time, to which the store can be restored.
pub struct StoreCopy {
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    compacted_revision: u64,
    revision: u64,
}

/// The objects, shared by all endpoints of the store.
#[derive(Default)]
pub struct ObjectStore {
    objects: RefCell<BTreeMap<(String, String), Object>>,
    history: RefCell<Vec<Change>>,
    /// Revision up to which the history has been discarded.
    compacted_revision: Cell<u64>,
    revision: Cell<u64>,
    /// Number of upcoming writes that take effect but are never answered.
    lost_answers: Cell<u32>,
    /// Statuses in the order of their writes, as name and status.
    written_statuses: RefCell<Vec<(String, Value)>>,
    /// Era that all responses state; `None` if they state none.
    era: Cell<Option<u64>>,
    /// Values of the era header that are sent in place of the era.
    stated_eras: RefCell<Option<Vec<String>>>,
}

impl ObjectStore {
    /// Creates an empty store.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Lets all responses state an era, which rises by one with each restore.
    pub fn set_era(&self, era: u64) {
        self.era.set(Some(era));
    }

    /// Sends these values of the era header, one header for each, in place of the era. `None` ends that.
    pub fn state_eras(&self, values: Option<&[&str]>) {
        let owned = |values: &[&str]| values.iter().map(|value| (*value).to_owned()).collect();
        self.stated_eras.replace(values.map(owned));
    }

    /// Returns a copy of the objects, to which [`Self::restore`] can go back.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            objects: self.objects.borrow().clone(),
            history: self.history.borrow().clone(),
            compacted_revision: self.compacted_revision.get(),
            revision: self.revision.get(),
        }
    }

    /// Goes back to a copy. All later writes are lost, their revisions are issued again, and the era rises.
    pub fn restore(&self, copy: &StoreCopy) {
        self.objects.replace(copy.objects.clone());
        self.history.replace(copy.history.clone());
        self.compacted_revision.set(copy.compacted_revision);
        self.revision.set(copy.revision);
        self.era.set(self.era.get().map(|era| era + 1));
    }

    /// Adds the era to a response.
    fn add_era(&self, response: &mut Response<Body>) {
        let values = match &*self.stated_eras.borrow() {
            Some(values) => values.clone(),
            None => self.era.get().iter().map(u64::to_string).collect(),
        };
        for value in values {
            let value = value.parse().expect("the value of a header");
            response.headers_mut().append(STORE_ERA, value);
        }
    }

    /// Writes an object unconditionally, on behalf of an operator or a target.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.put_raw(kind, name, spec.to_string().as_bytes());
    }

    /// Writes an object whose `spec` is sent exactly as given, whether it is valid JSON or not.
    pub fn put_raw(&self, kind: &str, name: &str, spec: &[u8]) {
        self.write_object(kind, name, spec, None);
    }

    /// Writes an object whose `metadata` is sent exactly as given.
    pub fn put_with_metadata(&self, kind: &str, name: &str, spec: Value, metadata: &[u8]) {
        self.write_object(kind, name, spec.to_string().as_bytes(), Some(metadata));
    }

    fn write_object(&self, kind: &str, name: &str, spec: &[u8], metadata: Option<&[u8]>) {
        let revision = self.next_revision();
        let key = (kind.to_owned(), name.to_owned());
        let mut objects = self.objects.borrow_mut();
        let created_revision = objects
            .get(&key)
            .map_or(revision, |existing| existing.created_revision);
        let regular_metadata = json!({ "name": name, "revision": revision,
            "create_rev": created_revision, "finalizers": [], "deleting": false });
        let object = Object {
            revision,
            created_revision,
            spec: spec.to_owned(),
            metadata: match metadata {
                Some(metadata) => metadata.to_owned(),
                None => regular_metadata.to_string().into_bytes(),
            },
            status: Value::Null,
        };
        self.record_change(kind, revision, render(&object), false);
        objects.insert(key, object);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.borrow_mut().remove(&key) {
            let revision = self.next_revision();
            self.record_change(kind, revision, render(&object), true);
        }
    }

    /// Returns the spec of an object, if it is valid JSON.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let objects = self.objects.borrow();
        let object = objects.get(&(kind.to_owned(), name.to_owned()))?;
        serde_json::from_slice(&object.spec).ok()
    }

    /// Returns the status of an object; `null` if it has none.
    pub fn status(&self, kind: &str, name: &str) -> Value {
        let objects = self.objects.borrow();
        let object = objects.get(&(kind.to_owned(), name.to_owned()));
        object.map_or(Value::Null, |object| object.status.clone())
    }

    /// Returns the statuses that were written, in their order, as name and status.
    pub fn written_statuses(&self) -> Vec<(String, Value)> {
        self.written_statuses.borrow().clone()
    }

    /// Writes the status of an object, which must have the stated revision.
    fn write_status(&self, kind: &str, name: &str, body: &Value) -> Response<Body> {
        let key = (kind.to_owned(), name.to_owned());
        let expected_revision = body["metadata"]["revision"].as_u64();
        let mut objects = self.objects.borrow_mut();
        let Some(object) = objects.get_mut(&key) else {
            return answer(StatusCode::NOT_FOUND, &json!({}));
        };
        if expected_revision.is_some_and(|revision| revision != object.revision) {
            return answer(StatusCode::CONFLICT, &json!({ "error": "conflict" }));
        }
        object.revision = self.next_revision();
        object.status = body["status"].clone();
        object.metadata = json!({ "name": name, "revision": object.revision,
            "create_rev": object.created_revision, "finalizers": [], "deleting": false })
        .to_string()
        .into_bytes();
        self.record_change(kind, object.revision, render(object), false);
        let written = (name.to_owned(), object.status.clone());
        self.written_statuses.borrow_mut().push(written);
        drop(objects);
        self.read(kind, name)
    }

    /// Discards the history. Watches that start at an earlier revision are answered with 410.
    pub fn compact(&self) {
        self.history.borrow_mut().clear();
        self.compacted_revision.set(self.revision.get());
    }

    /// Makes the next `count` writes take effect without a response.
    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.set(count);
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    fn record_change(&self, kind: &str, revision: u64, object: Vec<u8>, is_removed: bool) {
        self.history.borrow_mut().push(Change {
            revision,
            kind: kind.to_owned(),
            object,
            is_removed,
        });
    }

    fn list(&self, kind: &str) -> Response<Body> {
        let objects = self.objects.borrow();
        let of_kind = objects
            .iter()
            .filter(|((object_kind, _), _)| object_kind == kind);
        let items: Vec<Vec<u8>> = of_kind.map(|(_, object)| render(object)).collect();
        let start = format!(
            "{{\"current_rev\":{},\"truncated\":false,\"items\":[",
            self.revision.get()
        );
        answer_raw([start.as_bytes(), &items.join(&b','), b"]}"].concat())
    }

    fn read(&self, kind: &str, name: &str) -> Response<Body> {
        let objects = self.objects.borrow();
        match objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => answer_raw(render(object)),
            None => answer(StatusCode::NOT_FOUND, &json!({ "error": "absent" })),
        }
    }

    fn events(&self, kind: &str, after: u64) -> Vec<Vec<u8>> {
        let history = self.history.borrow();
        let new_changes = history
            .iter()
            .filter(|change| change.kind == kind && change.revision > after);
        new_changes
            .map(|change| {
                let end = format!(",\"removed\":{}}}", change.is_removed);
                [b"{\"object\":", &*change.object, end.as_bytes()].concat()
            })
            .collect()
    }

    async fn watch(&self, kind: &str, after: u64, limit: Duration) -> Response<Body> {
        let mut waited = Duration::ZERO;
        loop {
            if after < self.compacted_revision.get() || after > self.revision.get() {
                return answer(StatusCode::GONE, &json!({ "error": "forgotten" }));
            }
            let events = self.events(kind, after);
            if !events.is_empty() || waited >= limit {
                let end = format!("],\"current_rev\":{}}}", self.revision.get());
                let start: &[u8] = b"{\"events\":[";
                return answer_raw([start, &events.join(&b','), end.as_bytes()].concat());
            }
            compio::time::sleep(WATCH_POLL_INTERVAL).await;
            waited += WATCH_POLL_INTERVAL;
        }
    }

    fn write(&self, kind: &str, name: &str, body: &Value, must_be_absent: bool) -> Response<Body> {
        let key = (kind.to_owned(), name.to_owned());
        let existing = self
            .objects
            .borrow()
            .get(&key)
            .map(|existing| existing.revision);
        let expected_revision = body["metadata"]["revision"].as_u64();
        let is_conflict = match (existing, must_be_absent) {
            (Some(_), true) => true,
            (None, false) => return answer(StatusCode::NOT_FOUND, &json!({})),
            (existing, _) => expected_revision.is_some() && expected_revision != existing,
        };
        if is_conflict {
            return answer(StatusCode::CONFLICT, &json!({ "error": "conflict" }));
        }
        self.put(kind, name, body["spec"].clone());
        self.read(kind, name)
    }

    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = collect_limited(body, MAX_OBJECT_BYTES).await;
        let body = body.ok().flatten().unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let path = head.uri.path().strip_prefix(OBJECTS_PATH);
        let path = path.unwrap_or_default().trim_start_matches('/');
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let query = |field: &str| {
            let fields = head.uri.query().unwrap_or_default().split('&');
            let mut values = fields.filter_map(|pair| pair.strip_prefix(field)?.strip_prefix('='));
            values.next().and_then(|value| value.parse::<u64>().ok())
        };
        match (&head.method, name, query("watch")) {
            (&Method::GET, "", Some(after)) => {
                let limit = Duration::from_millis(query("wait_ms").unwrap_or(0));
                self.watch(kind, after, limit).await
            }
            (&Method::GET, "", None) => self.list(kind),
            (&Method::GET, name, _) => self.read(kind, name),
            (&Method::POST, "", _) => {
                let name = body["metadata"]["name"].as_str().unwrap_or_default();
                self.write(kind, name, &body, true)
            }
            (&Method::PUT, name, _) if name.ends_with(STATUS_SUFFIX) => {
                self.write_status(kind, name.trim_end_matches(STATUS_SUFFIX), &body)
            }
            (&Method::PUT, name, _) => self.write(kind, name, &body, false),
            (&Method::DELETE, name, _) => {
                self.remove(kind, name);
                answer(StatusCode::OK, &json!({}))
            }
            _ => answer(StatusCode::METHOD_NOT_ALLOWED, &json!({})),
        }
    }
}

/// One endpoint of the store with its own [`StoreMode`], for tests in which the store is
/// unavailable to some instances and available to others.
pub struct StoreEndpoint {
    store: Rc<ObjectStore>,
    mode: Cell<StoreMode>,
    calls: Cell<u64>,
    held_writes: Cell<u64>,
    late_reads: Cell<u64>,
}

impl StoreEndpoint {
    /// Creates an endpoint that handles calls normally.
    pub fn new(store: &Rc<ObjectStore>) -> Rc<Self> {
        Rc::new(Self {
            store: Rc::clone(store),
            mode: Cell::default(),
            calls: Cell::new(0),
            held_writes: Cell::new(0),
            late_reads: Cell::new(0),
        })
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Returns the number of writes that arrived in [`StoreMode::HoldingWrites`].
    pub fn held_writes(&self) -> u64 {
        self.held_writes.get()
    }

    /// Returns the number of reads that arrived in [`StoreMode::Late`].
    pub fn late_reads(&self) -> u64 {
        self.late_reads.get()
    }

    /// Sets how the endpoint responds.
    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.set(mode);
    }
}

impl StandIn for StoreEndpoint {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let store = Rc::clone(&self.store);
        let is_watch = request
            .uri()
            .query()
            .is_some_and(|query| query.contains("watch="));
        let is_read = request.method() == Method::GET && !is_watch;
        let is_late = is_read && self.mode.get() == StoreMode::Late;
        let endpoint = Rc::clone(&self);
        let mut response = self.respond(request).await;
        store.add_era(&mut response);
        if is_late {
            endpoint.late_reads.set(endpoint.late_reads.get() + 1);
            compio::time::sleep(LATENESS).await;
        }
        response
    }
}

impl StoreEndpoint {
    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.calls.set(self.calls.get() + 1);
        let is_write = request.method() != Method::GET;
        match self.mode.get() {
            StoreMode::Refusing => {
                return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "busy" }));
            }
            StoreMode::Silent => return pending().await,
            StoreMode::HoldingWrites if is_write => {
                self.held_writes.set(self.held_writes.get() + 1);
                while self.mode.get() == StoreMode::HoldingWrites {
                    compio::time::sleep(WATCH_POLL_INTERVAL).await;
                }
            }
            StoreMode::HoldingWrites | StoreMode::Up | StoreMode::Late => {}
        }
        let response = self.store.call(request).await;
        let lost = self.store.lost_answers.get();
        if is_write && lost > 0 {
            self.store.lost_answers.set(lost - 1);
            return pending().await;
        }
        match self.mode.get() {
            StoreMode::Up | StoreMode::HoldingWrites | StoreMode::Late => response,
            // The mode changed during the call, such as a long watch: it is not answered either.
            _ => pending().await,
        }
    }
}

/// Returns the serialized object.
fn render(object: &Object) -> Vec<u8> {
    let status = object.status.to_string();
    let parts: [&[u8]; 7] = [
        b"{\"metadata\":",
        &object.metadata,
        b",\"spec\":",
        &object.spec,
        b",\"status\":",
        status.as_bytes(),
        b"}",
    ];
    parts.concat()
}

fn answer_raw(body: Vec<u8>) -> Response<Body> {
    Response::new(full(body))
}

fn answer(status: StatusCode, body: &Value) -> Response<Body> {
    let mut response = Response::new(full(body.to_string()));
    *response.status_mut() = status;
    response
}
