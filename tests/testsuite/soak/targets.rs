//! Targets that can fall silent all at once, and a record of the requests that reach them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::stream::unfold;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use jujubelink::platform::names::{ATTEMPT_ID, MODEL, NOT_RUN};
use jujubelink::util::http::Body;
use jujubelink_standins::StandIn;
use jujubelink_standins::fleet::{FaultPlan, FleetTarget};

/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(50);

/// A request at a target.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub(super) target: String,
    pub(super) at: Instant,
    /// Time since the target announced that it leaves.
    pub(super) draining_for: Option<Duration>,
    /// Whether the target stated that it has not run the request.
    pub(super) is_not_run: bool,
    /// Whether the target broke off its response.
    pub(super) is_broken_off: bool,
}

/// All requests at targets, by attempt id.
#[derive(Default)]
pub(super) struct Ledger(RefCell<HashMap<String, Vec<Arrival>>>);

impl Ledger {
    /// Returns the arrivals of a request, in order.
    pub(super) fn arrivals(&self, id: &str) -> Vec<Arrival> {
        self.0.borrow().get(id).cloned().unwrap_or_default()
    }

    /// Returns all requests with their arrivals.
    pub(super) fn all(&self) -> Vec<(String, Vec<Arrival>)> {
        self.0.borrow().clone().into_iter().collect()
    }

    fn add(&self, id: &str, arrival: Arrival) -> usize {
        let mut all = self.0.borrow_mut();
        let arrivals = all.entry(id.to_owned()).or_default();
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    fn update(&self, id: &str, index: usize, change: impl FnOnce(&mut Arrival)) {
        if let Some(arrivals) = self.0.borrow_mut().get_mut(id) {
            change(&mut arrivals[index]);
        }
    }
}

/// A target with the faults of its [`FaultPlan`], which can also be silent towards all requests.
pub(super) struct SoakTarget {
    pub(super) id: &'static str,
    pub(super) service: &'static str,
    pub(super) draining_since: Cell<Option<Instant>>,
    pub(super) incarnation: Cell<u64>,
    silent_until: Cell<Instant>,
    target: Rc<FleetTarget>,
    ledger: Rc<Ledger>,
}

impl SoakTarget {
    pub(super) fn new(
        id: &'static str,
        service: &'static str,
        faults: &FaultPlan,
        ledger: &Rc<Ledger>,
    ) -> Rc<Self> {
        Rc::new(Self {
            id,
            service,
            draining_since: Cell::new(None),
            incarnation: Cell::new(1),
            silent_until: Cell::new(Instant::now()),
            target: FleetTarget::new(id, faults),
            ledger: Rc::clone(ledger),
        })
    }

    pub(super) fn is_engine(&self) -> bool {
        self.id.starts_with('e')
    }

    /// Sends nothing for `duration`, and goes on afterwards.
    pub(super) fn pause(&self, duration: Duration) {
        let until = Instant::now() + duration;
        self.silent_until.set(self.silent_until.get().max(until));
    }

    async fn wait_while_silent(&self) {
        while Instant::now() < self.silent_until.get() {
            compio::time::sleep_until(self.silent_until.get()).await;
        }
    }

    /// Paces the events of a response, and records if it breaks off.
    fn pace(self: Rc<Self>, body: Body, id: String, index: usize) -> Body {
        let frames = unfold((self, body, id), move |(target, mut body, id)| async move {
            let frame = body.frame().await?;
            compio::time::sleep(EVENT_GAP).await;
            target.wait_while_silent().await;
            if frame.is_err() {
                let record = |arrival: &mut Arrival| arrival.is_broken_off = true;
                target.ledger.update(&id, index, record);
            }
            Some((frame, (target, body, id)))
        });
        Box::pin(StreamBody::new(frames))
    }
}

impl StandIn for SoakTarget {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path().starts_with("/api/") {
            return Rc::clone(&self.target).answer(request).await;
        }
        let is_stream = request.headers().contains_key(MODEL);
        let id = request.headers().get(ATTEMPT_ID);
        let id = id.map_or("", |id| id.to_str().unwrap()).to_owned();
        let arrival = Arrival {
            target: self.id.to_owned(),
            at: Instant::now(),
            draining_for: self.draining_since.get().map(|since| since.elapsed()),
            is_not_run: false,
            is_broken_off: false,
        };
        let index = self.ledger.add(&id, arrival);
        self.wait_while_silent().await;
        let response = Rc::clone(&self.target).answer(request).await;
        let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected || response.headers().contains_key(NOT_RUN) {
            let record = |arrival: &mut Arrival| arrival.is_not_run = true;
            self.ledger.update(&id, index, record);
        }
        match is_stream && response.status() == StatusCode::OK {
            true => response.map(|body| self.pace(body, id, index)),
            false => response,
        }
    }
}
