//! Clients that use their connections until these are closed, and check each response.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::stream::unfold;
use http::Request;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame};
use hyper::client::conn::http1;
use jujubelink::util::http::{Body, full};
use jujubelink::util::net::Stream;
use rand::Rng;
use rand::rngs::StdRng;

use super::world::{KEY, Machine, ROUTES, World};

/// Time after which a closed connection means that a request was read: earlier, the request may have been
/// sent while the instance stopped, or closed a connection that had been idle for too long.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// Time after its deadline or timeout by which a request has to be answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Number of requests by their result.
#[derive(Debug, Default, Clone)]
pub(super) struct Counts {
    /// Whole responses, by route.
    pub(super) complete: [u64; 4],
    pub(super) refused: u64,
    pub(super) failed: u64,
    /// Requests whose route was dropped.
    pub(super) dropped: u64,
    /// Responses that may end early.
    pub(super) ended: u64,
    /// Requests sent on a connection that was being closed.
    pub(super) crossed: u64,
    /// Requests without an answer at their deadline or timeout.
    pub(super) due: u64,
    /// Requests without an answer [`ANSWER_MARGIN`] later.
    pub(super) overdue: u64,
}

/// What a client got for a request.
enum Answer {
    Whole {
        status: u16,
        body: String,
    },
    /// The connection ended after the given part of the body of a response.
    Cut {
        status: u16,
        body: String,
    },
    /// The connection ended before any response.
    Closed,
    /// Nothing, long after the deadline.
    None,
}

/// Sends requests of one route until the soak is over.
pub(super) async fn run_client(world: Rc<World>, number: usize, route: usize, mut random: StdRng) {
    let mut sent = 0;
    while !world.is_over.get() {
        compio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
        let index = random.random_range(0..world.machines.len());
        let machine = &world.machines[index];
        if !machine.takes_connections.get() {
            continue;
        }
        let start = machine.starts.get();
        let Ok(stream) = Stream::connect(machine.client_address()).await else {
            continue;
        };
        let (mut sender, connection) = http1::handshake::<_, Body>(stream).await.unwrap();
        compio::runtime::spawn(connection).detach();
        let mut idle_since = None;
        while !world.is_over.get() {
            if sender.ready().await.is_err() {
                let is_in_use = machine.takes_connections.get() && machine.starts.get() == start;
                if let Some(since) = idle_since
                    && is_in_use
                    && !world.may_be_closed(since)
                {
                    let address = machine.client_address();
                    let idle = since.elapsed();
                    let text = format!("idle: c{number}-{sent} at {address}: closed in {idle:?}");
                    world.violation(text);
                }
                break;
            }
            sent += 1;
            let id = format!("c{number}-{sent}");
            let mut deadline = Duration::from_millis(random.random_range(1_500..3_500));
            let send_pause = random
                .random_bool(0.03)
                .then(|| ms(&mut random, 1_000..2_000));
            deadline += send_pause.unwrap_or_default();
            let is_slow_reader = route >= 2 && random.random_bool(0.03);
            let read_pause = is_slow_reader.then(|| ms(&mut random, 50..300));
            let added_routes = world.config().added_routes;
            let added_share = if send_pause.is_some() { 0.5 } else { 0.1 };
            let takes_added = route == 0 && added_routes > 0 && random.random_bool(added_share);
            let added_route = takes_added.then(|| random.random_range(0..added_routes));
            let exchange = Exchange {
                world: &world,
                machine,
                route,
                added_route,
                id,
                deadline,
                send_pause,
                read_pause,
                idle_since,
                sent_at: Instant::now(),
            };
            let Some(is_kept) = exchange.run(&mut sender).await else {
                break;
            };
            idle_since = Some(Instant::now());
            if !is_kept {
                break;
            }
            // Some connections are idle for longer than others.
            let pause = match random.random_bool(0.03) {
                true => world
                    .config()
                    .idle_timeout
                    .mul_f64(random.random_range(0.1..1.2)),
                false => ms(&mut random, 5..40),
            };
            if !wait_idle(&world, pause).await {
                break;
            }
        }
    }
}

/// Leaves a connection idle for a time. Returns whether the newest configuration lets the client use it
/// then.
async fn wait_idle(world: &World, pause: Duration) -> bool {
    let end = Instant::now() + pause;
    while Instant::now() < end && !world.is_over.get() {
        let remaining = end.saturating_duration_since(Instant::now());
        compio::time::sleep(remaining.min(Duration::from_millis(500))).await;
    }
    pause <= world.config().idle_timeout * 4 / 5
}

fn ms(random: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

struct Exchange<'a> {
    world: &'a World,
    machine: &'a Machine,
    route: usize,
    /// Number of the added route that the request takes instead.
    added_route: Option<u64>,
    id: String,
    deadline: Duration,
    /// Pause within the body.
    send_pause: Option<Duration>,
    /// Pause before each part of the response is read.
    read_pause: Option<Duration>,
    /// End of the response before on this connection.
    idle_since: Option<Instant>,
    sent_at: Instant,
}

impl Exchange<'_> {
    fn path(&self) -> String {
        match self.added_route {
            Some(number) => format!("/added{number}/{}", self.id),
            None => format!("/{}/{}", ROUTES[self.route].0, self.id),
        }
    }

    fn request(&self) -> Request<Body> {
        let is_stream = self.route >= 2;
        let method = if self.route == 0 { "GET" } else { "POST" };
        let mut request = Request::builder()
            .method(method)
            .uri(self.path())
            .header("host", "shop.example")
            .header("jujubelink-attempt-id", &self.id)
            .header(
                "jujubelink-deadline-ms",
                self.deadline.as_millis().to_string(),
            )
            .header("authorization", format!("Bearer {KEY}"));
        if is_stream {
            request = request
                .header("jujubelink-model", "m")
                .header("jujubelink-token-count", "1200,50")
                .header(
                    "jujubelink-prompt-prefix",
                    format!("a1:800,{}:400", self.id),
                );
        }
        let Some(pause) = self.send_pause else {
            return request.body(full("body")).unwrap();
        };
        let parts = unfold(0, move |sent| async move {
            let part = match sent {
                0 => "bo",
                1 => {
                    compio::time::sleep(pause).await;
                    "dy"
                }
                _ => return None,
            };
            Some((
                Ok(Frame::data(Bytes::from_static(part.as_bytes()))),
                sent + 1,
            ))
        });
        let request = request.header("content-length", "4");
        let body: Body = Box::pin(StreamBody::new(parts));
        request.body(body).unwrap()
    }

    fn expected_body(&self) -> String {
        match self.route {
            0 => format!("GET {} body", self.path()),
            1 => format!("POST {} body", self.path()),
            _ => (1..=5)
                .map(|event| format!("id: {event}\ndata: piece {event}\n\n"))
                .collect(),
        }
    }

    /// Whether the instance may have closed the connection before it got the request.
    fn may_be_closed(&self) -> bool {
        let idle_since = self.idle_since;
        !self.machine.takes_connections.get()
            || idle_since.is_some_and(|since| self.world.may_be_closed(since))
    }

    /// Deadline or timeout, whichever ends earlier.
    fn limit(&self) -> Duration {
        self.deadline.min(self.world.shortest_timeout(self.sent_at))
    }

    /// Sends the request and checks its answer. Returns whether the connection is kept, or `None` if
    /// the request was not sent.
    async fn run(&self, sender: &mut http1::SendRequest<Body>) -> Option<bool> {
        let (answer, is_kept) = self.send(sender).await?;
        let elapsed = self.sent_at.elapsed();
        self.check(&answer, elapsed);
        Some(is_kept)
    }

    async fn send(&self, sender: &mut http1::SendRequest<Body>) -> Option<(Answer, bool)> {
        let wait = self.limit() + Duration::from_secs(3);
        let response = sender.try_send_request(self.request());
        let response = match compio::time::timeout(wait, response).await {
            Err(_) => return Some((Answer::None, false)),
            Ok(Err(mut error)) => {
                let is_sent = error.take_message().is_none();
                return is_sent.then_some((Answer::Closed, false));
            }
            Ok(Ok(response)) => response,
        };
        let (head, mut body) = response.into_parts();
        let status = head.status.as_u16();
        let is_kept = head
            .headers
            .get("connection")
            .is_none_or(|value| value != "close");
        let mut text = String::new();
        loop {
            if let Some(pause) = self.read_pause {
                compio::time::sleep(pause).await;
            }
            match compio::time::timeout(wait, body.frame()).await {
                Err(_) => return Some((Answer::None, false)),
                Ok(None) => return Some((Answer::Whole { status, body: text }, is_kept)),
                Ok(Some(Err(_))) => return Some((Answer::Cut { status, body: text }, false)),
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    text += &String::from_utf8_lossy(&data);
                }
            }
        }
    }

    fn check(&self, answer: &Answer, elapsed: Duration) {
        let (limit, arrivals) = (self.limit(), self.world.ledger.arrivals(&self.id));
        let is_run = arrivals.iter().any(|arrival| !arrival.is_not_run);
        let is_broken_off = arrivals.iter().any(|arrival| arrival.is_broken_off);
        let mut counts = self.world.counts.borrow_mut();
        if self.read_pause.is_none() {
            counts.due += u64::from(elapsed > limit);
            counts.overdue += u64::from(elapsed > limit + ANSWER_MARGIN);
        }
        let may_end = is_broken_off || elapsed >= limit;
        match answer {
            Answer::Whole { status: 200, body } if *body == self.expected_body() => {
                counts.complete[self.route] += 1;
            }
            Answer::Whole { status: 200, body } => {
                self.violation("mixed", &format!("whole response with {body:?}"));
            }
            Answer::Whole { status, .. } if matches!(status, 408 | 421 | 429 | 503) => {
                counts.refused += 1;
                if is_run {
                    self.violation("refused", &format!("{status} after a run"));
                }
            }
            Answer::Whole { status, .. } if *status >= 500 => counts.failed += 1,
            Answer::Whole { status: 404, .. } if self.added_route.is_some() && !is_run => {
                counts.dropped += 1;
            }
            Answer::Whole { status, .. } => self.violation("denied", &format!("status {status}")),
            Answer::Cut { status: 200, body } if !self.expected_body().starts_with(body) => {
                self.violation("mixed", &format!("part of a response with {body:?}"));
            }
            Answer::Cut { .. } | Answer::Closed if may_end => counts.ended += 1,
            Answer::Cut { status, body } => {
                let text = format!(
                    "{status} cut after {} bytes, {elapsed:?} of {limit:?}",
                    body.len()
                );
                self.violation("cut", &text);
            }
            Answer::Closed
                if arrivals.is_empty() && elapsed < CROSSING_TIME && self.may_be_closed() =>
            {
                counts.crossed += 1;
            }
            Answer::Closed => {
                let text = format!("closed after {elapsed:?} of {limit:?}");
                self.violation("closed", &text);
            }
            Answer::None => {
                let text = format!("nothing after {elapsed:?} of {limit:?}");
                self.violation("unanswered", &text);
            }
        }
        for arrival in &arrivals {
            let is_late = arrival
                .draining_for
                .is_some_and(|since| since > super::DRAIN_TIME);
            if is_late && !self.machine.is_disturbed(arrival.at) {
                let text = format!(
                    "reached {} after {:?}",
                    arrival.target, arrival.draining_for
                );
                self.violation("drain", &text);
            }
        }
    }

    fn violation(&self, kind: &str, text: &str) {
        let arrivals = self.world.ledger.arrivals(&self.id);
        let arrivals: Vec<String> = arrivals
            .iter()
            .map(|arrival| {
                let after = arrival.at.saturating_duration_since(self.sent_at);
                format!("{} after {} ms", arrival.target, after.as_millis())
            })
            .collect();
        let (id, address) = (&self.id, self.machine.client_address());
        let text = format!(
            "{kind}: {} {id} at {address}: {text}; reached {arrivals:?}",
            ROUTES[self.route].0
        );
        self.world.violation(text);
    }
}
