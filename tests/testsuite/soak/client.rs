//! Clients that use their connections until these are closed, and check each response.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::Request;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use jujubelink::util::http::{Body, full};
use jujubelink::util::net::Stream;
use rand::Rng;
use rand::rngs::StdRng;

use super::world::{KEY, Machine, ROUTES, World};

/// Time after which a closed connection means that a request was read: earlier, the request may have been
/// sent while the instance closed the connection.
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
        let Ok(stream) = Stream::connect(machine.client_address()).await else {
            continue;
        };
        let (mut sender, connection) = http1::handshake::<_, Body>(stream).await.unwrap();
        compio::runtime::spawn(connection).detach();
        while !world.is_over.get() && sender.ready().await.is_ok() {
            sent += 1;
            let id = format!("c{number}-{sent}");
            let deadline = Duration::from_millis(random.random_range(1_500..3_500));
            let exchange = Exchange {
                world: &world,
                machine,
                route,
                id,
                deadline,
                sent_at: Instant::now(),
            };
            let Some(is_kept) = exchange.run(&mut sender).await else {
                break;
            };
            let pause = match is_kept {
                // Some connections are idle for longer than others.
                true if random.random_bool(0.02) => random.random_range(500..2_500),
                true => random.random_range(5..40),
                false => break,
            };
            compio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

struct Exchange<'a> {
    world: &'a World,
    machine: &'a Machine,
    route: usize,
    id: String,
    deadline: Duration,
    sent_at: Instant,
}

impl Exchange<'_> {
    fn path(&self) -> String {
        format!("/{}/{}", ROUTES[self.route].0, self.id)
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
        request.body(full("body")).unwrap()
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
        counts.due += u64::from(elapsed > limit);
        counts.overdue += u64::from(elapsed > limit + ANSWER_MARGIN);
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
            Answer::Closed if arrivals.is_empty() && elapsed < CROSSING_TIME => counts.crossed += 1,
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
