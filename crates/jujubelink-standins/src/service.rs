//! A plain HTTP service that counts what it runs.

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

/// Largest body that is kept for the answer.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Size of a part of a large answer.
const CHUNK_BYTES: usize = 16 * 1024;

/// Header by which runs are counted.
pub const RUN_ID_HEADER: &str = "x-run-id";

/// Faults of a plain service.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Time between a run and its answer.
    pub delay: Duration,
    /// Requests are run and never answered.
    pub is_silent: bool,
    /// Number of next requests that are run and whose connection is then cut.
    pub cut_answers: u32,
    /// Requests are refused with the status before they run.
    pub refuse_status: Option<u16>,
}

/// The stand-in. Its answer tells method, path and body of the request.
#[derive(Default)]
pub struct PlainService {
    faults: RefCell<ServiceFaults>,
    runs: RefCell<BTreeMap<String, u32>>,
    total_runs: Cell<u64>,
    seen_headers: RefCell<Vec<HeaderMap>>,
}

impl PlainService {
    /// A service without faults.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.faults.borrow_mut());
    }

    /// Runs of the request with a run id.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.runs.borrow().get(id).copied().unwrap_or(0)
    }

    /// Runs of all requests.
    pub fn total_runs(&self) -> u64 {
        self.total_runs.get()
    }

    /// Headers of each request so far.
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

/// A load report; it is no run.
fn load_report() -> Response<Body> {
    let report = json!({ "incarnation": 1, "running": 0, "waiting": 0, "max_running": 64,
        "state": "ready" });
    Response::new(full(report.to_string()))
}

/// Size of the answer that the query `answer_bytes=N` asks for.
fn answer_bytes(query: Option<&str>) -> Option<usize> {
    query?.strip_prefix("answer_bytes=")?.parse().ok()
}

/// A body of zeros, made as it is read.
fn zeros(bytes: usize) -> Body {
    let chunks = futures_util::stream::unfold(bytes, |left| async move {
        let chunk = left.min(CHUNK_BYTES);
        let frame = http_body::Frame::data(Bytes::from_static(&[0; CHUNK_BYTES]).slice(..chunk));
        (chunk > 0).then_some((Ok(frame), left - chunk))
    });
    Box::pin(http_body_util::StreamBody::new(chunks))
}

/// A response whose connection breaks after its head.
fn cut() -> Response<Body> {
    let stream = futures_util::stream::once(async { Err("cut".into()) });
    let body: Body = Box::pin(http_body_util::StreamBody::new(stream));
    Response::new(body)
}
