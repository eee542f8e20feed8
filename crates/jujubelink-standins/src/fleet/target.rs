//! Stand-in for a target that implements the protocol of the production platform: a plain service
//! or a model engine.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::pending;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use http::header::RETRY_AFTER;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::body::Incoming;
use jujubelink::platform::names::{
    ATTEMPT_ID, EXPECT_TARGET, EXPECT_WEIGHTS, LAST_EVENT_ID, LEAVING, MODEL, NOT_RUN, ORDER_PATH,
    PROMPT_PARTS, REPORT_PATH, RESPONSE_SIGNATURE, TARGET_ID, TARGET_LOAD, WEIGHTS,
};
use jujubelink::util::http::{Body, BodyError, collect_limited, empty, full};
use serde_json::{Value, json};

use crate::StandIn;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Number of events in a complete stream.
const EVENTS: u64 = 5;

/// Time between events, unless it is set.
const EVENT_GAP: Duration = Duration::from_millis(2);

/// Time from the start of a response to the crash that its prompt causes.
const CRASH_DELAY: Duration = Duration::from_millis(75);

/// A fault that a target injects into one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFault {
    /// Refuses the request and states that it was not executed.
    Refuse,
    /// Refuses the request and asks for no further requests for the given time.
    RefuseFor(Duration),
    /// Executes the request and responds with status 500.
    Fail,
    /// Executes the request and responds with the attempt id of another request.
    MismatchedAttemptId,
    /// Executes the request and never responds.
    Hang,
    /// Sends the given number of complete events, then closes the connection within the next event.
    BreakAfter(u64),
    /// Delays the response.
    Delay(Duration),
    /// Sends the given number of events, then nothing for the given time, and then the rest.
    PauseAfter(u64, Duration),
}

/// A part of a prompt under which a target crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashingPart {
    /// Name of the part.
    pub name: String,
    /// Number of events of the response that are sent before the crash. Without any, the target crashes
    /// before the response head.
    pub events: u64,
}

/// Faults of the upcoming requests, in order of arrival over all targets that share the plan.
/// `None` stands for a request without a fault.
pub type FaultPlan = Rc<RefCell<VecDeque<Option<TargetFault>>>>;

/// Stand-in for a target.
pub struct FleetTarget {
    id: String,
    version: Cell<u64>,
    load_duration: Cell<Duration>,
    /// End of the running load, and the version that it loads.
    loading: Cell<Option<(Instant, u64)>>,
    is_leaving: Cell<bool>,
    faults: FaultPlan,
    seen: RefCell<Vec<(HeaderMap, Bytes)>>,
    runs: Cell<u64>,
    orders: RefCell<Vec<Value>>,
    event_gap: Cell<Duration>,
    crashing_part: RefCell<Option<CrashingPart>>,
    has_crashed: Rc<Cell<bool>>,
}

impl FleetTarget {
    /// Creates a target that has version 1 of the weights loaded.
    pub fn new(id: &str, faults: &FaultPlan) -> Rc<Self> {
        Rc::new(Self {
            id: id.to_owned(),
            version: Cell::new(1),
            load_duration: Cell::default(),
            loading: Cell::default(),
            is_leaving: Cell::new(false),
            faults: Rc::clone(faults),
            seen: RefCell::default(),
            runs: Cell::new(0),
            orders: RefCell::default(),
            event_gap: Cell::new(EVENT_GAP),
            crashing_part: RefCell::default(),
            has_crashed: Rc::default(),
        })
    }

    /// Returns the name of the target.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sets the time between the events of a stream.
    pub fn set_event_gap(&self, gap: Duration) {
        self.event_gap.set(gap);
    }

    /// Sets the part of prompts under which the target crashes.
    pub fn set_crashing_part(&self, part: Option<&CrashingPart>) {
        self.crashing_part.replace(part.cloned());
    }

    /// Whether the target has crashed. Its owner then has to drop the [`StandInHandle`], which closes the
    /// connections.
    ///
    /// [`StandInHandle`]: crate::StandInHandle
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.get()
    }

    /// Returns the part in the prompt of a request under which the target crashes.
    fn crashing_part_of(&self, headers: &HeaderMap) -> Option<CrashingPart> {
        let prompt = headers.get(PROMPT_PARTS)?.to_str().ok()?;
        let mut names = prompt.split(',').map(|part| part.split(':').next());
        let crashing = self.crashing_part.borrow().clone()?;
        names
            .any(|name| name == Some(&*crashing.name))
            .then_some(crashing)
    }

    /// Returns headers and body of each request so far.
    pub fn seen(&self) -> Vec<(HeaderMap, Bytes)> {
        self.seen.borrow().clone()
    }

    /// Returns the number of requests whose execution started.
    pub fn runs(&self) -> u64 {
        self.runs.get()
    }

    /// Returns the accepted orders.
    pub fn orders(&self) -> Vec<Value> {
        self.orders.borrow().clone()
    }

    /// Sets the time that the target needs to load weights.
    pub fn set_load_duration(&self, duration: Duration) {
        self.load_duration.set(duration);
    }

    /// Sets whether all responses state that the target is shutting down.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.set(is_leaving);
    }

    /// Returns the loaded version of the weights.
    pub fn version(&self) -> u64 {
        if let Some((end, version)) = self.loading.get()
            && Instant::now() >= end
        {
            self.version.set(version);
            self.loading.set(None);
        }
        self.version.get()
    }

    fn order(&self, body: &[u8]) -> Response<Body> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let accepted = self.orders.borrow().len() as u64;
        let status = match order["expected_rev"].as_u64() {
            Some(expected) if expected != accepted => StatusCode::CONFLICT,
            _ => StatusCode::ACCEPTED,
        };
        if status == StatusCode::ACCEPTED {
            let end = Instant::now() + self.load_duration.get();
            let version = order["version"].as_u64().unwrap_or(0);
            self.loading.set(Some((end, version)));
            self.orders.borrow_mut().push(order);
        }
        with_status(status, empty())
    }

    fn report(&self) -> Response<Body> {
        let model = json!({ "name": "m", "version": self.version(), "adapters": [] });
        let body = json!({ "phase": "both", "models": [model], "busy": self.loading.get().is_some(),
            "sequence": self.orders.borrow().len(), "born": 1 });
        with_status(StatusCode::OK, full(body.to_string()))
    }

    /// Whether the request names another target or another weights version than the loaded one.
    fn is_misdirected(&self, headers: &HeaderMap) -> bool {
        let differs = |name: &str, actual: &str| {
            let expected = headers.get(name).and_then(|value| value.to_str().ok());
            expected.is_some_and(|expected| expected != actual)
        };
        differs(EXPECT_TARGET, &self.id) || differs(EXPECT_WEIGHTS, &self.version().to_string())
    }

    fn head(&self, id: &str, status: StatusCode, body: Body) -> Response<Body> {
        let mut response = with_status(status, body);
        let headers = response.headers_mut();
        let mut set = |name: &'static str, value: String| {
            headers.insert(name, value.parse().expect("a valid header value"));
        };
        set(ATTEMPT_ID, id.to_owned());
        set(RESPONSE_SIGNATURE, format!("stamp-of-{}", self.id));
        set(TARGET_LOAD, "1,0,8".to_owned());
        response
    }

    fn stream(&self, id: &str, headers: &HeaderMap, fault: Option<TargetFault>) -> Response<Body> {
        let last = headers
            .get(LAST_EVENT_ID)
            .and_then(|value| value.to_str().ok());
        let first = last
            .and_then(|last| last.parse::<u64>().ok())
            .map_or(1, |last| last + 1);
        let mut frames: Vec<(Duration, Result<Frame<Bytes>, BodyError>)> = Vec::new();
        let crash = self.crashing_part_of(headers);
        for event in first..=EVENTS {
            let sent = event - first;
            if crash.as_ref().is_some_and(|crash| crash.events <= sent) {
                break;
            }
            if fault == Some(TargetFault::BreakAfter(sent)) {
                let part = Bytes::from(format!("id: {event}\nda"));
                frames.push((EVENT_GAP, Ok(Frame::data(part))));
                frames.push((EVENT_GAP, Err("broken off".into())));
                break;
            }
            let gap = match fault {
                Some(TargetFault::PauseAfter(events, pause)) if events == sent => pause,
                _ => self.event_gap.get(),
            };
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            frames.push((gap, Ok(Frame::data(Bytes::from(text)))));
        }
        // Events are produced one at a time, as engines do, so that each is sent on its own.
        let frames = futures_util::stream::iter(frames).then(|(gap, frame)| async move {
            compio::time::sleep(gap).await;
            frame
        });
        let has_crashed = Rc::clone(&self.has_crashed);
        let end = futures_util::stream::iter(crash).then(move |_| {
            let has_crashed = Rc::clone(&has_crashed);
            async move {
                compio::time::sleep(CRASH_DELAY).await;
                has_crashed.set(true);
                pending().await
            }
        });
        let body = Box::pin(StreamBody::new(frames.chain(end)));
        let mut response = self.head(id, StatusCode::OK, body);
        let version = self.version.get().to_string();
        let headers = response.headers_mut();
        headers.insert(WEIGHTS, version.parse().expect("a number"));
        response
    }
}

impl StandIn for FleetTarget {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let mut response = self.respond(request).await;
        if self.is_leaving.get() {
            let one = "1".parse().expect("a valid header value");
            response.headers_mut().insert(LEAVING, one);
        }
        response
    }
}

impl FleetTarget {
    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = collect_limited(body, MAX_BODY_BYTES).await;
        let body = body.ok().flatten().unwrap_or_default();
        match head.uri.path() {
            ORDER_PATH => return self.order(&body),
            REPORT_PATH => return self.report(),
            _ => {}
        }
        self.seen
            .borrow_mut()
            .push((head.headers.clone(), body.clone()));
        let id = head.headers.get(ATTEMPT_ID);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        if self.is_misdirected(&head.headers) {
            return not_run(StatusCode::MISDIRECTED_REQUEST, id, TARGET_ID, &self.id);
        }
        let fault = self.faults.borrow_mut().pop_front().flatten();
        if let Some(TargetFault::Refuse | TargetFault::RefuseFor(_)) = fault {
            let mut response = not_run(StatusCode::SERVICE_UNAVAILABLE, id, NOT_RUN, "1");
            if let Some(TargetFault::RefuseFor(pause)) = fault {
                let seconds = format!("{:.1}", pause.as_secs_f64());
                let seconds = seconds.parse().expect("a valid header value");
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            return response;
        }
        self.runs.set(self.runs.get() + 1);
        let echo = || {
            let text = format!(
                "{} {} {}",
                head.method,
                head.uri,
                String::from_utf8_lossy(&body)
            );
            full(text)
        };
        if let Some(part) = self.crashing_part_of(&head.headers)
            && part.events == 0
        {
            compio::time::sleep(CRASH_DELAY).await;
            self.has_crashed.set(true);
            pending::<()>().await;
        }
        match fault {
            Some(TargetFault::Hang) => pending().await,
            Some(TargetFault::Fail) => {
                self.head(id, StatusCode::INTERNAL_SERVER_ERROR, full("own failure"))
            }
            Some(TargetFault::MismatchedAttemptId) => self.head("another", StatusCode::OK, echo()),
            fault => {
                if let Some(TargetFault::Delay(delay)) = fault {
                    compio::time::sleep(delay).await;
                }
                match head.headers.contains_key(MODEL) {
                    true => self.stream(id, &head.headers, fault),
                    false => self.head(id, StatusCode::OK, echo()),
                }
            }
        }
    }
}

/// Returns a response to a request that was not run, with the id of its attempt and another header.
fn not_run(status: StatusCode, id: &str, name: &'static str, value: &str) -> Response<Body> {
    let mut response = with_status(status, empty());
    for (name, value) in [(ATTEMPT_ID, id), (name, value)] {
        let value = value.parse().expect("a valid header value");
        response.headers_mut().insert(name, value);
    }
    response
}

fn with_status(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
