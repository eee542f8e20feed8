//! Concurrent clients at several instances of the real binary, during a crash, a pause, an outage
//! of the platform and lost responses. Checks of the recorded history: rate limits hold in every
//! window, each idempotency key runs at most once, and each epoch of a slot has one holder.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{Method, Request, Response};
use hyper::body::Incoming;
use jujubelink::core::limit::{SlotKey, shard_of};
use jujubelink::util::hash::sha256_hex;
use jujubelink::util::http::{Body, Client, RequestOptions, full};
use jujubelink_standins::{StandIn, StandInHandle};
use serde_json::{Value, json};

use crate::support::{Cluster, WAIT_TIMEOUT, eventually, run};

const RATE_TOKENS_PER_S: u64 = 400;
const BURST_TOKENS: u64 = 800;
const REQUEST_COST_TOKENS: u64 = 20;
const WORKSPACES: [&str; 2] = ["large", "small"];
const IDEMPOTENCY_KEYS: usize = 40;

/// A request that reached the target: when the client sent it and when it arrived.
struct Arrival {
    sent: Duration,
    arrived: Duration,
}

/// A target that records the requests of each workspace and counts the runs of each idempotency
/// key.
struct RecordingTarget {
    started: Instant,
    arrivals: RefCell<HashMap<String, Vec<Arrival>>>,
    runs: RefCell<HashMap<String, u32>>,
}

impl StandIn for RecordingTarget {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let header = |name: &str| {
            let value = request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        if request.method() == Method::POST {
            *self
                .runs
                .borrow_mut()
                .entry(header("idempotency-key"))
                .or_default() += 1;
            compio::time::sleep(Duration::from_millis(20)).await;
        } else if request.uri().path() == "/counted" {
            let sent = Duration::from_micros(header("x-sent-us").parse().unwrap_or(0));
            let arrived = self.started.elapsed();
            let mut arrivals = self.arrivals.borrow_mut();
            arrivals
                .entry(header("x-name"))
                .or_default()
                .push(Arrival { sent, arrived });
        }
        Response::new(full("done".to_owned()))
    }
}

fn config(target: SocketAddr) -> Value {
    let workspaces: BTreeMap<_, _> = WORKSPACES
        .iter()
        .map(|name| {
            (
                *name,
                json!({ "rate_tokens_per_s": RATE_TOKENS_PER_S, "burst_tokens": BURST_TOKENS }),
            )
        })
        .collect();
    let keys: BTreeMap<_, _> = WORKSPACES
        .iter()
        .map(|name| (sha256_hex(name.as_bytes()), json!({ "workspace": name })))
        .collect();
    json!({ "version": 1, "nonce": "n", "config": {
        "workspaces": workspaces, "keys": keys,
        "targets": { "t": { "kind": "service", "address": target, "failure_domain": "a",
            "max_running": 10_000 } },
        "routes": {
            "counted": { "path_prefix": "/counted", "targets": ["t"], "cost_tokens": REQUEST_COST_TOKENS },
            "orders": { "path_prefix": "/orders", "targets": ["t"],
                "idempotency_header": "idempotency-key" },
        },
    } })
}

/// Sends a request on a new connection and returns the status, or `None` if the instance does not
/// respond within 2 s.
async fn try_send(address: SocketAddr, request: http::request::Builder) -> Option<u16> {
    let request = request
        .header("host", address.to_string())
        .body(jujubelink::util::http::empty())
        .expect("a valid request");
    let client = Client::new();
    let options = RequestOptions::default().with_new_connection();
    let call = client.send(address, request, options);
    let response = compio::time::timeout(Duration::from_secs(2), call).await;
    Some(response.ok()?.ok()?.status().as_u16())
}

/// State that the clients and the watcher of a test share.
struct History {
    recorder: Rc<RecordingTarget>,
    is_over: Cell<bool>,
}

/// Sends requests above the rate limit until the history is over.
async fn send_counted_requests(history: Rc<History>, address: SocketAddr, workspace: &'static str) {
    while !history.is_over.get() {
        let sent_us = history.recorder.started.elapsed().as_micros();
        let request = Request::get("/counted")
            .header("x-api-key", workspace)
            .header("x-name", workspace)
            .header("x-sent-us", sent_us.to_string());
        let status = try_send(address, request).await;
        let delay_ms = if status == Some(200) { 5 } else { 25 };
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Sends requests with each idempotency key repeatedly until the history is over.
async fn send_idempotent_requests(history: Rc<History>, address: SocketAddr) {
    for round in 0.. {
        for key in 0..IDEMPOTENCY_KEYS {
            if history.is_over.get() {
                return;
            }
            let request = Request::post("/orders")
                .header("x-api-key", WORKSPACES[round % 2])
                .header(
                    "idempotency-key",
                    format!("{}-{key}", WORKSPACES[round % 2]),
                );
            try_send(address, request).await;
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Polls the slot objects: epochs never decrease, and each epoch has one holder.
async fn watch_slots(history: Rc<History>, platform: Rc<jujubelink_standins::platform::Platform>) {
    let mut last: HashMap<SlotKey, (u64, Value)> = HashMap::new();
    while !history.is_over.get() {
        for workspace in WORKSPACES {
            let shard = shard_of(workspace, 64);
            for slot in 0..8 {
                let key = SlotKey { shard, slot };
                let Some(object) = platform.get(&key.object_key()) else {
                    continue;
                };
                let epoch = object["epoch"].as_u64().expect("an epoch");
                let holder = object["holder"].clone();
                if let Some((last_epoch, last_holder)) = last.get(&key) {
                    assert!(
                        epoch >= *last_epoch,
                        "{key}: epoch {epoch} after {last_epoch}"
                    );
                    assert!(
                        epoch > *last_epoch || holder == *last_holder,
                        "{key}: two holders of one epoch"
                    );
                }
                last.insert(key, (epoch, holder));
            }
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(!last.is_empty(), "no slot was held at any time");
}

/// Checks for every window that its requests cost at most burst + rate × window. Only requests that
/// were both sent and received within the window count, since these were certainly dispatched in
/// it.
fn assert_within_limit(workspace: &str, arrivals: &[Arrival]) {
    for first in arrivals {
        let mut in_window: Vec<Duration> = arrivals
            .iter()
            .filter(|arrival| arrival.sent >= first.sent)
            .map(|arrival| arrival.arrived)
            .collect();
        in_window.sort_unstable();
        for (index, end) in in_window.iter().enumerate() {
            let tokens = (index as u64 + 1) * REQUEST_COST_TOKENS;
            let window_s = (*end - first.sent).as_secs_f64();
            let allowed = BURST_TOKENS as f64 + RATE_TOKENS_PER_S as f64 * window_s;
            assert!(
                tokens as f64 <= allowed,
                "{workspace}: {tokens} tokens in {window_s} s"
            );
        }
    }
}

/// Guards against tokens above the limit, a second run of a claimed request, and two holders of one
/// slot, while responses of the platform are lost, an instance is paused, another one crashes, and
/// the platform is down.
#[test]
fn limits_and_claims_hold_through_faults() {
    run(async {
        let recorder = Rc::new(RecordingTarget {
            started: Instant::now(),
            arrivals: RefCell::default(),
            runs: RefCell::default(),
        });
        let target = StandInHandle::start(Rc::clone(&recorder)).unwrap();
        let mut cluster = Cluster::start(3, Some(config(target.address()))).await;
        cluster.wait_for_members().await;
        let history = Rc::new(History {
            recorder: Rc::clone(&recorder),
            is_over: Cell::new(false),
        });
        let addresses: Vec<SocketAddr> = cluster
            .instances
            .iter()
            .flatten()
            .map(|instance| instance.client_address)
            .collect();
        let mut tasks = Vec::new();
        for address in &addresses {
            for workspace in WORKSPACES {
                for _ in 0..3 {
                    let task = send_counted_requests(Rc::clone(&history), *address, workspace);
                    tasks.push(compio::runtime::spawn(task));
                }
            }
            tasks.push(compio::runtime::spawn(send_idempotent_requests(
                Rc::clone(&history),
                *address,
            )));
        }
        let watch = watch_slots(Rc::clone(&history), Rc::clone(&cluster.platform));
        tasks.push(compio::runtime::spawn(watch));

        let wait = |ms| compio::time::sleep(Duration::from_millis(ms));
        wait(1_500).await;
        cluster
            .platform
            .set_faults(|faults| faults.lose_answers = 3);
        cluster.signal(1, "STOP");
        wait(1_000).await;
        cluster.kill(2);
        wait(3_500).await;
        cluster.platform.set_faults(|faults| faults.is_down = true);
        cluster.signal(1, "CONT");
        wait(2_500).await;
        cluster.platform.set_faults(|faults| faults.is_down = false);
        cluster.start_instance(2).await;
        let admitted = |name: &str| recorder.arrivals.borrow().get(name).map_or(0, Vec::len);
        let before: Vec<usize> = WORKSPACES.iter().map(|name| admitted(name)).collect();
        eventually("requests are admitted again", || async {
            let mut names = WORKSPACES.iter().zip(&before);
            names
                .all(|(name, before)| admitted(name) > before + 20)
                .then_some(())
        })
        .await;
        wait(1_500).await;
        history.is_over.set(true);
        for task in tasks {
            let result = compio::time::timeout(WAIT_TIMEOUT, task)
                .await
                .expect("clients and watcher end in time");
            result.expect("no client or watcher panics");
        }

        for (workspace, arrivals) in recorder.arrivals.borrow().iter() {
            assert_within_limit(workspace, arrivals);
        }
        let runs = recorder.runs.borrow();
        assert!(!runs.is_empty(), "no claimed request ran");
        for (key, count) in runs.iter() {
            assert_eq!(*count, 1, "idempotency key {key}");
        }
        println!(
            "admitted {:?}, claimed runs {}",
            WORKSPACES.map(admitted),
            runs.len()
        );
    });
}
