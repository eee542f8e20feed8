//! Stand-in for the KV cache store, reduced to the event feed that routers read.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use jujubelink::platform::names::CACHE_EVENTS_PATH;
use jujubelink::util::http::{Body, empty, full};
use serde_json::json;

use crate::StandIn;

/// Stand-in for the KV cache store. A poll returns at once, even if there are no new events.
pub struct CacheStore {
    /// Number of the current run, sent as `boot_epoch`.
    incarnation: Cell<u64>,
    /// Serialized events.
    events: RefCell<Vec<String>>,
    poll_count: Cell<u64>,
}

impl CacheStore {
    /// Creates an empty store.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            incarnation: Cell::new(1),
            events: RefCell::default(),
            poll_count: Cell::new(0),
        })
    }

    /// Returns the number of polls so far.
    pub fn poll_count(&self) -> u64 {
        self.poll_count.get()
    }

    /// Publishes an event about a cached part of a prompt: stored if `sign` is `+`, removed if `-`.
    pub fn event(&self, sign: &str, salt: &str, part: &str, tokens: u64, model: &str) {
        let number = self.events.borrow().len() + 1;
        self.raw_event(&json!([number, sign, salt, part, tokens, model]).to_string());
    }

    /// Publishes an event that is sent exactly as given.
    pub fn raw_event(&self, event: &str) {
        self.events.borrow_mut().push(event.to_owned());
    }

    /// Simulates a restart: starts a new incarnation without events.
    pub fn restart(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
        self.events.borrow_mut().clear();
    }
}

impl StandIn for CacheStore {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() != CACHE_EVENTS_PATH {
            let mut response = Response::new(empty());
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        self.poll_count.set(self.poll_count.get() + 1);
        let query = request.uri().query().unwrap_or_default();
        let since = query
            .strip_prefix("since=")
            .and_then(|text| text.parse().ok());
        let events = self.events.borrow();
        let new_events: Vec<&str> = events
            .iter()
            .skip(since.unwrap_or(0))
            .map(String::as_str)
            .collect();
        let body = format!(
            "{{\"boot_epoch\":{},\"next\":{},\"lost\":false,\"events\":[{}]}}",
            self.incarnation.get(),
            events.len(),
            new_events.join(",")
        );
        Response::new(full(body))
    }
}
