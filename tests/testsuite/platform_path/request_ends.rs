//! Every whole request is counted at its end by what its client received, while configurations follow one
//! another and sound targets fall silent for a moment. `REQUEST_ENDS_SEEDS=a..b` runs further seeds.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use jujubelink::util::http::{Body, full};
use jujubelink::util::net::Stream;
use jujubelink_standins::fleet::StoreMode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use super::allowing_changes::CHANGES;
use super::faulty_responses::{response_head, success};
use super::scripted_deployment::{EVENTS, paired_configuration, stream, target_entry};
use super::{Deployment, KEY, RunningInstance, expected_events, read_lines};
use crate::support::{ReceivedRequest, Reply, ScriptedTarget, Step, eventually, run};

/// The kinds of requests, which are the names of their routes. Resumable streams are `ask`.
const KINDS: [&str; 4] = ["read", "pay", "ask", "tell"];

const SERVICES: [&str; 4] = ["app", "app2", "llm", "llm2"];
const TARGETS_PER_SERVICE: usize = 3;
const INSTANCES: usize = 3;
const CLIENTS_PER_KIND: usize = 10;
const MAX_ATTEMPTS: usize = 3;

/// Seeds of each case in CI.
const SEEDS: [u64; 2] = [1, 2];

const DURATION: Duration = Duration::from_secs(9);

/// A target goes on within this share of the deadline, also if the request reaches three of them in turn.
const DEADLINE_MS: std::ops::Range<u64> = 5_500..7_000;
const PAUSE_MS: std::ops::RangeInclusive<u64> = 900..=1_400;
const PAUSE_PROBABILITY: f64 = 0.3;
const EVENT_GAP_MS: u64 = 30;

/// Interval of configurations in quick succession.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a target serves requests after its entry says that it leaves or is removed.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Time after which the close of a connection has not crossed a request.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// Time after its deadline by which a request has an end.
const END_MARGIN: Duration = Duration::from_millis(500);

/// What happens beside changes of the configuration and pauses of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    Stops,
    Reloads,
    FullQueues,
    LeavingClients,
    LeavingTargets,
}

/// How a whole request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Whole,
    /// The response states that the request has not run, and no target has it.
    Refused(u16),
    /// 502, or 504.
    Failed(u16),
    /// The response ended at the deadline.
    Due,
    /// The request crossed the close of its connection by a stop.
    Crossed,
    ClientLeft,
    /// Neither an answer nor a refusal.
    Lost,
    /// A refusal of a request that has run, or a wrong body.
    Untrue,
}

/// What a client received.
#[derive(Debug)]
enum Received {
    Whole { status: u16, body: String },
    Cut { status: u16, body: String },
    Closed,
    Nothing,
    Left,
}

type Arrivals = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// A target and its id.
struct Target {
    id: String,
    server: ScriptedTarget,
}

/// A process at one place of the fleet.
struct Node {
    process: RefCell<RunningInstance>,
    address: SocketAddr,
    stopped_at: Cell<Option<Instant>>,
    new_lines: mpsc::Receiver<String>,
    lines: RefCell<Vec<String>>,
}

impl Node {
    async fn start(deployment: &Deployment, name: &str) -> Rc<Self> {
        let settings = "contact_ms = 2000\n[stop]\nbalancer_notice_ms = 300\n\
            drain_limit_ms = 6900\n[log]\nlevel = \"info\"\n";
        let started = deployment.start_with_log(name, settings, StoreMode::Up, Stdio::piped());
        let mut process = started.await;
        process.wait_ready().await;
        let new_lines = read_lines(process.process.take_log());
        Rc::new(Self {
            address: process.process.client_address,
            process: RefCell::new(process),
            stopped_at: Cell::new(None),
            new_lines,
            lines: RefCell::default(),
        })
    }

    fn lines_with(&self, text: &str) -> Vec<String> {
        let mut lines = self.lines.borrow_mut();
        lines.extend(self.new_lines.try_iter());
        let found = lines.iter().filter(|line| line.contains(text));
        found.cloned().collect()
    }

    /// Stops the process with SIGTERM and waits for its end.
    async fn stop(&self) {
        self.stopped_at.set(Some(Instant::now()));
        self.process.borrow().process.terminate();
        let status = eventually("the instance stops", || async {
            self.process.borrow_mut().process.exit_status()
        });
        assert!(status.await.success());
    }
}

/// The fleet, its targets and the ends of the requests so far.
struct World {
    seed: u64,
    beside: Beside,
    deployment: Deployment,
    nodes: RefCell<Vec<Rc<Node>>>,
    targets: RefCell<Vec<Target>>,
    arrivals: Arrivals,
    version: Cell<u64>,
    is_over: Cell<bool>,
    sent: RefCell<BTreeMap<&'static str, u64>>,
    ends: RefCell<BTreeMap<(&'static str, End), u64>>,
    findings: RefCell<Vec<String>>,
}

impl World {
    async fn start(seed: u64, beside: Beside) -> Rc<Self> {
        let deployment = Deployment::new();
        for (id, _) in &deployment.handles {
            deployment.store.remove("servers", id);
        }
        let world = Self {
            seed,
            beside,
            deployment,
            nodes: RefCell::default(),
            targets: RefCell::default(),
            arrivals: Arrivals::default(),
            version: Cell::new(5),
            is_over: Cell::new(false),
            sent: RefCell::default(),
            ends: RefCell::default(),
            findings: RefCell::default(),
        };
        for service in SERVICES {
            for number in 0..TARGETS_PER_SERVICE {
                world.start_target(format!("{service}-{number}"), 1);
            }
        }
        world.put_config(|_| {});
        let names: Vec<_> = (0..INSTANCES).map(|number| format!("n{number}")).collect();
        let nodes = names
            .iter()
            .map(|name| Node::start(&world.deployment, name));
        let nodes = join_all(nodes).await;
        *world.nodes.borrow_mut() = nodes;
        world.wait_in_force().await;
        Rc::new(world)
    }

    /// Whether requests wait for places at targets.
    fn has_queues(&self) -> bool {
        matches!(self.beside, Beside::FullQueues | Beside::LeavingClients)
    }

    /// Slots of each engine, and connections to each plain target.
    fn places(&self) -> u64 {
        if self.has_queues() { 1 } else { 100 }
    }

    /// Starts a target, and replaces that of the same id. Returns the replaced one.
    fn start_target(&self, id: String, incarnation: u64) -> Option<Target> {
        let (seed, name) = (self.seed, id.clone());
        let may_lack_length = self.beside == Beside::LeavingTargets;
        let arrivals = Arc::clone(&self.arrivals);
        let server = ScriptedTarget::start(move |request| {
            let number = {
                let mut arrivals = arrivals.lock().unwrap();
                let earlier = arrivals.entry(request.id.clone()).or_default();
                earlier.push(name.clone());
                earlier.len() as u64
            };
            let id_sum = request.id.bytes().fold(seed, |sum, byte| {
                sum.wrapping_mul(31).wrapping_add(u64::from(byte))
            });
            let mut random = StdRng::seed_from_u64(id_sum.wrapping_add(number));
            reply(request, may_lack_length, &mut random)
        });
        let entry = target_entry(&id, server.address(), self.places(), "ready", incarnation);
        self.deployment.store.put("servers", &id, entry);
        let mut targets = self.targets.borrow_mut();
        let new = Target { id, server };
        match targets.iter_mut().find(|target| target.id == new.id) {
            Some(target) => Some(std::mem::replace(target, new)),
            None => {
                targets.push(new);
                None
            }
        }
    }

    /// Writes the next version of the configuration, which is its acknowledgement.
    fn put_config(&self, change: impl Fn(&mut Value)) {
        let version = self.version.get() + 3;
        self.version.set(version);
        let mut config = paired_configuration(version, self.places(), MAX_ATTEMPTS);
        for service in config["services"].as_array_mut().unwrap() {
            if service["engine"].is_null() {
                service["max_connections"] = json!(self.places() * INSTANCES as u64);
            }
        }
        change(&mut config);
        self.deployment.store.put("config", "main", config);
    }

    /// Waits until each instance that is not stopping has the newest configuration in force.
    async fn wait_in_force(&self) {
        let version = format!("\"version\":{}}}", self.version.get());
        let nodes = self.nodes.borrow().clone();
        eventually("the configuration is in force", || async {
            let is_in_force = |node: &Rc<Node>| {
                let lines = node.lines_with("configuration in force");
                lines.iter().any(|line| line.ends_with(&version))
            };
            let mut running = nodes.iter().filter(|node| node.stopped_at.get().is_none());
            running.all(is_in_force).then_some(())
        })
        .await;
    }

    /// Applies changes in quick succession. After some of them it waits until they are in force.
    async fn change_configuration(&self, end: Instant, random: &mut StdRng) {
        while Instant::now() < end {
            for _ in 0..random.random_range(3..10) {
                let change = CHANGES[random.random_range(0..CHANGES.len())];
                self.put_config(change);
                compio::time::sleep(CHANGE_INTERVAL).await;
            }
            self.wait_in_force().await;
        }
    }

    /// Does what happens beside the changes.
    async fn disturb(&self, end: Instant, random: &mut StdRng) {
        let mut number = 0_usize;
        while Instant::now() < end {
            number += 1;
            match self.beside {
                Beside::Stops => {
                    let index = number % INSTANCES;
                    let node = Rc::clone(&self.nodes.borrow()[index]);
                    node.stop().await;
                    let name = format!("n{}", INSTANCES + number);
                    let new = Node::start(&self.deployment, &name).await;
                    self.nodes.borrow_mut()[index] = new;
                }
                Beside::Reloads => {
                    let node = Rc::clone(&self.nodes.borrow()[number % INSTANCES]);
                    let process = &node.process.borrow().process;
                    process.change_settings(|text| match text.contains("contact_ms = 2000\n") {
                        true => text.replace("contact_ms = 2000\n", "contact_ms = 3000\n"),
                        false => text.replace("contact_ms = 3000\n", "contact_ms = 2000\n"),
                    });
                    process.reload();
                }
                Beside::LeavingTargets => self.replace_target(number, random).await,
                _ => {}
            }
            compio::time::sleep(Duration::from_millis(300)).await;
        }
    }

    /// Lets a target leave: with or without notice, or with another one at its id.
    async fn replace_target(&self, number: usize, random: &mut StdRng) {
        let service = SERVICES[number % SERVICES.len()];
        let id = format!("{service}-{}", random.random_range(0..TARGETS_PER_SERVICE));
        let put_draining = || {
            let targets = self.targets.borrow();
            let target = targets.iter().find(|target| target.id == id).unwrap();
            let address = target.server.address();
            let entry = target_entry(&id, address, self.places(), "draining", number as u64);
            self.deployment.store.put("servers", &id, entry);
        };
        let leaving = match random.random_range(0..3) {
            0 => {
                put_draining();
                compio::time::sleep(DRAIN_TIME).await;
                self.deployment.store.remove("servers", &id);
                self.start_target(id, 1 + number as u64)
            }
            1 => {
                self.deployment.store.remove("servers", &id);
                compio::time::sleep(DRAIN_TIME).await;
                self.start_target(id, 1 + number as u64)
            }
            _ => {
                let replaced = self.start_target(id, 1 + number as u64);
                compio::time::sleep(DRAIN_TIME).await;
                replaced
            }
        };
        // Takes no new connections; responses in progress go on.
        drop(leaving);
    }

    fn count_end(&self, kind: &'static str, end: End) {
        *self.ends.borrow_mut().entry((kind, end)).or_default() += 1;
    }
}

/// Returns what a sound target sends, with a pause in its head or body at random.
fn reply(request: &ReceivedRequest, may_lack_length: bool, random: &mut StdRng) -> Reply {
    let pause_ms = random.random_range(PAUSE_MS);
    let pause = random.random_bool(PAUSE_PROBABILITY).then_some(pause_ms);
    let pause = pause.filter(|_| !request.id.starts_with("warm-up"));
    let is_before_head = random.random_bool(0.4);
    let pause_before_event = random.random_range(1..EVENTS);
    let lacks_length = may_lack_length && random.random_bool(0.5);
    let run_time = Duration::from_millis(random.random_range(5..120));
    let is_stream = request.path.starts_with("/ask") || request.path.starts_with("/tell");
    let reply = match (is_stream, lacks_length) {
        (true, _) => {
            let mut gaps: Vec<_> = (1..EVENTS).map(|event| (event, EVENT_GAP_MS)).collect();
            if let Some(pause) = pause.filter(|_| !is_before_head) {
                gaps.push((pause_before_event, pause));
            }
            stream(request, &gaps)
        }
        (false, false) if pause.is_none() => Reply::kept(success(request, "whole")),
        (false, _) => {
            let head = response_head("200 OK", &request.id, 5);
            let head = match lacks_length {
                true => head.replace("content-length: 5\r\n", ""),
                false => head,
            };
            let pause = pause.filter(|_| !is_before_head).unwrap_or(EVENT_GAP_MS);
            Reply {
                steps: vec![
                    Step::Send(head + "wh"),
                    Step::Pause(Duration::from_millis(pause)),
                    Step::Send("ole".to_owned()),
                ],
                closes: lacks_length,
            }
        }
    };
    match pause.filter(|_| is_before_head) {
        Some(pause) => reply.with_delay(Duration::from_millis(pause)),
        None => reply.with_delay(run_time),
    }
}

/// Sends requests on connections that it keeps until the process closes them.
async fn run_client(world: Rc<World>, kind: &'static str, number: usize) {
    let seed = world.seed * 1_000 + number as u64;
    let mut random = StdRng::seed_from_u64(seed);
    let mut sent = 0;
    while !world.is_over.get() {
        let index = random.random_range(0..INSTANCES);
        let node = Rc::clone(&world.nodes.borrow()[index]);
        compio::time::sleep(Duration::from_millis(random.random_range(5..40))).await;
        if node.stopped_at.get().is_some() {
            continue;
        }
        let Ok(stream) = Stream::connect(node.address).await else {
            continue;
        };
        let (mut sender, connection) = http1::handshake::<_, Body>(stream).await.unwrap();
        // Dropping the task closes the connection.
        let _connection = compio::runtime::spawn(connection);
        while !world.is_over.get() {
            if sender.ready().await.is_err() {
                if node.stopped_at.get().is_none() {
                    let text = format!("{kind}{number}: idle connection closed after {sent}");
                    world.findings.borrow_mut().push(text);
                }
                break;
            }
            sent += 1;
            let exchange = Exchange {
                world: &world,
                node: &node,
                kind,
                id: format!("{kind}{}-{number}-{sent}", world.seed),
                deadline: Duration::from_millis(random.random_range(DEADLINE_MS)),
                sent_at: Instant::now(),
            };
            let leaves = world.beside == Beside::LeavingClients && random.random_bool(0.4);
            let leave_time = leaves.then(|| Duration::from_millis(random.random_range(0..700)));
            let Some(is_kept) = exchange.run(&mut sender, leave_time).await else {
                sent -= 1;
                break;
            };
            if !is_kept {
                break;
            }
            let idle_ms = match random.random_range(0..20) {
                0 => random.random_range(1_000..3_000),
                1..5 => random.random_range(100..800),
                _ => random.random_range(5..60),
            };
            compio::time::sleep(Duration::from_millis(idle_ms)).await;
        }
    }
}

struct Exchange<'a> {
    world: &'a World,
    node: &'a Node,
    kind: &'static str,
    id: String,
    deadline: Duration,
    sent_at: Instant,
}

impl Exchange<'_> {
    fn request(&self) -> http::Request<Body> {
        let is_stream = matches!(self.kind, "ask" | "tell");
        let method = if self.kind == "read" { "GET" } else { "POST" };
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("/{}/x", self.kind))
            .header("host", "shop.example")
            .header("jujubelink-attempt-id", &self.id)
            .header("jujubelink-deadline-ms", self.deadline.as_millis() as u64)
            .header("authorization", format!("Bearer {KEY}"));
        if is_stream {
            request = request
                .header("jujubelink-model", "m")
                .header("jujubelink-token-count", "1200,50")
                .header("jujubelink-prompt-prefix", format!("{}:1200", self.id));
        }
        request.body(full("body".to_owned())).unwrap()
    }

    /// Sends the request and counts its end. Returns whether the connection is kept, or `None` if the
    /// request was not sent.
    async fn run(
        &self,
        sender: &mut http1::SendRequest<Body>,
        leave_time: Option<Duration>,
    ) -> Option<bool> {
        let wait = leave_time.unwrap_or(self.deadline + END_MARGIN + Duration::from_secs(2));
        let (received, is_kept) = match compio::time::timeout(wait, self.receive(sender)).await {
            Ok(received) => received?,
            Err(_) if leave_time.is_some() => (Received::Left, false),
            Err(_) => (Received::Nothing, false),
        };
        let elapsed = self.sent_at.elapsed();
        *self.world.sent.borrow_mut().entry(self.kind).or_default() += 1;
        let end = self.classify(&received, elapsed);
        self.world.count_end(self.kind, end);
        if !self.is_allowed(end) {
            // Lets the last lines of the log arrive.
            compio::time::sleep(Duration::from_millis(300)).await;
            let arrivals = self.arrivals();
            let mut text = format!(
                "seed {}: {} {end:?}: {received:?} after {elapsed:?} of {:?}, at {arrivals:?}, \
                 stop {:?} before",
                self.world.seed,
                self.id,
                self.deadline,
                self.node.stopped_at.get().map(|at| at.elapsed())
            );
            for line in self.log_lines() {
                text = text + "\n    " + &line;
            }
            self.world.findings.borrow_mut().push(text);
        }
        Some(is_kept && received.is_whole())
    }

    async fn receive(&self, sender: &mut http1::SendRequest<Body>) -> Option<(Received, bool)> {
        let response = match sender.try_send_request(self.request()).await {
            Ok(response) => response,
            Err(mut error) => {
                let is_sent = error.take_message().is_none();
                return is_sent.then_some((Received::Closed, false));
            }
        };
        let (head, mut body) = response.into_parts();
        let status = head.status.as_u16();
        let connection = head.headers.get("connection");
        let is_kept = connection.is_none_or(|value| value != "close");
        let mut text = String::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Some((Received::Cut { status, body: text }, false));
            };
            text += &String::from_utf8_lossy(&frame.into_data().unwrap_or_default());
        }
        Some((Received::Whole { status, body: text }, is_kept))
    }

    fn arrivals(&self) -> Vec<String> {
        let arrivals = self.world.arrivals.lock().unwrap();
        arrivals.get(&self.id).cloned().unwrap_or_default()
    }

    fn log_lines(&self) -> Vec<String> {
        self.node.lines_with(&format!("\"{}\"", self.id))
    }

    fn expected_body(&self) -> String {
        match self.kind {
            "ask" | "tell" => expected_events(1..=EVENTS),
            _ => "whole".to_owned(),
        }
    }

    fn classify(&self, received: &Received, elapsed: Duration) -> End {
        let arrivals = self.arrivals();
        let expected = self.expected_body();
        match received {
            Received::Whole { status: 200, body } if *body == expected => End::Whole,
            Received::Whole { status, .. } if matches!(status, 404 | 408 | 421 | 429 | 503) => {
                match arrivals.is_empty() {
                    true => End::Refused(*status),
                    false => End::Untrue,
                }
            }
            Received::Whole { status, .. } if matches!(status, 502 | 504) => End::Failed(*status),
            Received::Whole { .. } => End::Untrue,
            Received::Cut { body, .. } if !expected.starts_with(body.as_str()) => End::Untrue,
            Received::Cut { status: 200, .. } if elapsed >= self.deadline => End::Due,
            Received::Closed
                if self.node.stopped_at.get().is_some()
                    && arrivals.is_empty()
                    && elapsed < CROSSING_TIME
                    && self.log_lines().is_empty() =>
            {
                End::Crossed
            }
            Received::Cut { .. } | Received::Closed | Received::Nothing => End::Lost,
            Received::Left => End::ClientLeft,
        }
    }

    /// Whether the end is one that the case explains.
    fn is_allowed(&self, end: End) -> bool {
        let beside = self.world.beside;
        let has_queue = self.world.has_queues();
        let is_stopping = self.node.stopped_at.get().is_some();
        let targets = self.arrivals();
        let is_run_once = matches!(self.kind, "read" | "ask") || targets.len() <= 1;
        let is_end_allowed = match end {
            End::Whole => true,
            End::Refused(503) => has_queue || is_stopping,
            // Requests that have waited in a queue may have no time for a pause.
            End::Failed(504) | End::Due => has_queue,
            End::Crossed => is_stopping,
            End::ClientLeft => beside == Beside::LeavingClients,
            End::Refused(_) | End::Failed(_) | End::Lost | End::Untrue => false,
        };
        is_end_allowed && is_run_once
    }
}

impl Received {
    fn is_whole(&self) -> bool {
        matches!(self, Self::Whole { .. })
    }
}

/// Runs one seed of a case. Returns what is wrong.
async fn count(seed: u64, beside: Beside) -> Vec<String> {
    let world = World::start(seed, beside).await;
    let mut random = StdRng::seed_from_u64(seed);
    let mut disturb_random = StdRng::seed_from_u64(!seed);
    let clients: Vec<_> = (0..CLIENTS_PER_KIND * KINDS.len())
        .map(|number| {
            let kind = KINDS[number % KINDS.len()];
            compio::runtime::spawn(run_client(Rc::clone(&world), kind, number))
        })
        .collect();
    let end = Instant::now() + DURATION;
    futures_util::join!(
        world.change_configuration(end, &mut random),
        world.disturb(end, &mut disturb_random)
    );
    world.wait_in_force().await;
    world.is_over.set(true);
    for client in clients {
        client.await.unwrap();
    }
    let ends = world.ends.borrow();
    println!("seed {seed}, {beside:?}: {ends:?}");
    let mut findings = world.findings.take();
    for kind in KINDS {
        let sent = world.sent.borrow().get(kind).copied().unwrap_or_default();
        let of_kind = ends.iter().filter(|((other, _), _)| *other == kind);
        let ended: u64 = of_kind.map(|(_, count)| count).sum();
        let whole = ends.get(&(kind, End::Whole)).copied().unwrap_or_default();
        if sent != ended || whole == 0 {
            findings.push(format!("{kind}: {sent} sent, {ended} ended, {whole} whole"));
        }
    }
    findings
}

/// Runs the seeds of CI, or those that the environment names.
fn check(beside: Beside) {
    let seeds: Vec<u64> = match std::env::var("REQUEST_ENDS_SEEDS") {
        Ok(seeds) => {
            let (first, end) = seeds.split_once("..").expect("a range of seeds");
            (first.parse().unwrap()..end.parse().unwrap()).collect()
        }
        Err(_) => SEEDS.to_vec(),
    };
    let findings = seeds.into_iter().flat_map(|seed| run(count(seed, beside)));
    let findings: Vec<_> = findings.collect();
    let number = findings.len();
    assert!(findings.is_empty(), "{number}:\n{}", findings.join("\n"));
}

/// Guards against a request that gets neither an answer nor a refusal beside a change.
#[test]
fn requests_have_an_end_beside_changes() {
    check(Beside::Nothing);
}

/// Guards against the same while instances are stopped in turn.
#[test]
fn requests_have_an_end_beside_changes_and_stops() {
    check(Beside::Stops);
}

/// Guards against the same while the settings are reloaded.
#[test]
fn requests_have_an_end_beside_changes_and_reloads() {
    check(Beside::Reloads);
}

/// Guards against the same while requests wait for a place.
#[test]
fn requests_have_an_end_beside_changes_and_full_queues() {
    check(Beside::FullQueues);
}

/// Guards against the same while other clients leave in each wait.
#[test]
fn requests_have_an_end_beside_changes_and_leaving_clients() {
    check(Beside::LeavingClients);
}

/// Guards against the same while targets leave, some of whose responses have no length.
#[test]
fn requests_have_an_end_beside_changes_and_leaving_targets() {
    check(Beside::LeavingTargets);
}
