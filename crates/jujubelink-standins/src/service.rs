//! A plain HTTP service that counts the requests that it executes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use jujubelink::util::http::{Body, collect_limited, full};
use serde_json::json;

use crate::StandIn;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Chunk size of a response requested with `answer_bytes`.
const CHUNK_BYTES: usize = 16 * 1024;

/// Header with the id under which executions of a request are counted.
pub const RUN_ID_HEADER: &str = "x-run-id";

/// Faults that a plain service injects.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Delay between the execution of a request and its response.
    pub delay: Duration,
    /// Whether requests are executed but never answered.
    pub is_silent: bool,
    /// Number of upcoming requests that are executed and whose connection is then closed after the
    /// response head.
    pub cut_answers: u32,
    /// Status with which requests are refused before they are executed.
    pub refuse_status: Option<u16>,
}

/// Stand-in for a plain service. Its response is a JSON object with the method, path, query and
/// body of the request.
#[derive(Default)]
pub struct PlainService {
    faults: RefCell<ServiceFaults>,
    /// Number of executions by run id.
    runs: RefCell<BTreeMap<String, u32>>,
    total_runs: Cell<u64>,
    seen_headers: RefCell<Vec<HeaderMap>>,
}

impl PlainService {
    /// Creates a service without faults.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Modifies the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.faults.borrow_mut());
    }

    /// Returns how often the request with the given run id was executed.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.runs.borrow().get(id).copied().unwrap_or(0)
    }

    /// Returns the number of executions of all requests.
    pub fn total_runs(&self) -> u64 {
        self.total_runs.get()
    }

    /// Returns the headers of each executed request, in order.
    pub fn seen_headers(&self) -> Vec<HeaderMap> {
        self.seen_headers.borrow().clone()
    }

    fn count_run(&self, headers: &HeaderMap) {
        self.total_runs.set(self.total_runs.get() + 1);
        self.seen_headers.borrow_mut().push(headers.clone());
        let id = headers.get(RUN_ID_HEADER).and_then(|id| id.to_str().ok());
        if let Some(id) = id {
            *self.runs.borrow_mut().entry(id.to_owned()).or_default() += 1;
        }
    }

    /// Whether the connection of this response is to be closed; consumes one of `cut_answers`.
    fn take_cut_answer(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let is_cut = faults.cut_answers > 0;
        faults.cut_answers = faults.cut_answers.saturating_sub(1);
        is_cut
    }
}

impl StandIn for PlainService {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let faults = self.faults.borrow().clone();
        if let Some(status) = faults.refuse_status {
            let mut response = Response::new(full("refused"));
            *response.status_mut() =
                StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            return response;
        }
        if request.uri().path() == "/v1/load" {
            return load_report();
        }
        let (head, body) = request.into_parts();
        let body = collect_limited(body, MAX_BODY_BYTES).await;
        self.count_run(&head.headers);
        if faults.is_silent {
            std::future::pending::<()>().await;
        }
        if !faults.delay.is_zero() {
            compio::time::sleep(faults.delay).await;
        }
        if self.take_cut_answer() {
            return cut();
        }
        if let Some(bytes) = answer_bytes(head.uri.query()) {
            return Response::new(zeros(bytes));
        }
        let body = body.ok().flatten().unwrap_or_default();
        let text = json!({ "method": head.method.as_str(), "path": head.uri.path(),
            "query": head.uri.query(), "bytes": body.len(), "run": self.total_runs.get(),
            "body": String::from_utf8_lossy(&body[..body.len().min(1024)]) });
        let mut response = Response::builder().header("content-type", "application/json");
        for name in ["x-request-id", "x-attempt"] {
            if let Some(value) = head.headers.get(name) {
                response = response.header(name, value);
            }
        }
        response
            .body(full(text.to_string()))
            .expect("valid headers")
    }
}

/// Returns a load report. Reading it does not count as an execution.
fn load_report() -> Response<Body> {
    let report = json!({ "incarnation": 1, "running": 0, "waiting": 0, "max_running": 64,
        "state": "ready" });
    Response::new(full(report.to_string()))
}

/// Returns the response size requested with the query `answer_bytes=N`.
fn answer_bytes(query: Option<&str>) -> Option<usize> {
    query?.strip_prefix("answer_bytes=")?.parse().ok()
}

/// Returns a body of zero bytes that is generated while it is read.
fn zeros(bytes: usize) -> Body {
    let chunks = futures_util::stream::unfold(bytes, |left| async move {
        let chunk = left.min(CHUNK_BYTES);
        let frame = http_body::Frame::data(Bytes::from_static(&[0; CHUNK_BYTES]).slice(..chunk));
        (chunk > 0).then_some((Ok(frame), left - chunk))
    });
    Box::pin(http_body_util::StreamBody::new(chunks))
}

/// Returns a response whose connection is closed after the head.
fn cut() -> Response<Body> {
    let stream = futures_util::stream::once(async { Err("cut".into()) });
    let body: Body = Box::pin(http_body_util::StreamBody::new(stream));
    Response::new(body)
}
