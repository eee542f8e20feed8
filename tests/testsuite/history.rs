//! Concurrent clients at several instances of the real binary through a crash, a pause, a platform
//! outage and lost answers. The recorded history must keep the limit in every window, run each
//! idempotency key at most once, and give each epoch of a slot to one holder.

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

const RATE: u64 = 400;
const BURST: u64 = 800;
/// Tokens of each request.
const COST: u64 = 20;
const WORKSPACES: [&str; 2] = ["large", "small"];
const IDEMPOTENCY_KEYS: usize = 40;

/// One request that reached the target.
struct Arrival {
    sent: Duration,
    arrived: Duration,
}

/// A target that records each request of a workspace and each run of an idempotency key.
struct Recorder {
    started: Instant,
    arrivals: RefCell<HashMap<String, Vec<Arrival>>>,
    runs: RefCell<HashMap<String, u32>>,
}

impl StandIn for Recorder {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let text = |name: &str| {
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
                .entry(text("idempotency-key"))
                .or_default() += 1;
            compio::time::sleep(Duration::from_millis(20)).await;
        } else if request.uri().path() == "/counted" {
            let sent = Duration::from_micros(text("x-sent-us").parse().unwrap_or(0));
            let arrived = self.started.elapsed();
            let mut arrivals = self.arrivals.borrow_mut();
            arrivals
                .entry(text("x-name"))
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
                json!({ "rate_tokens_per_s": RATE, "burst_tokens": BURST }),
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
            "counted": { "path_prefix": "/counted", "targets": ["t"], "cost_tokens": COST },
            "orders": { "path_prefix": "/orders", "targets": ["t"],
                "idempotency_header": "idempotency-key" },
        },
    } })
}

/// Sends a request on a new connection; `None` if the instance does not answer.
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

struct History {
    recorder: Rc<Recorder>,
    is_over: Cell<bool>,
}

/// Sends more than the rate until the history is over.
async fn load(history: Rc<History>, address: SocketAddr, workspace: &'static str) {
    while !history.is_over.get() {
        let sent_us = history.recorder.started.elapsed().as_micros();
        let request = Request::get("/counted")
            .header("x-api-key", workspace)
            .header("x-name", workspace)
            .header("x-sent-us", sent_us.to_string());
        let status = try_send(address, request).await;
        let pause_ms = if status == Some(200) { 5 } else { 25 };
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Sends each idempotency key again and again.
async fn order(history: Rc<History>, address: SocketAddr) {
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

/// Watches the slot objects: epochs never fall, and each names one holder.
async fn watch_slots(history: Rc<History>, platform: Rc<jujubelink_standins::platform::Platform>) {
    let mut last: HashMap<SlotKey, (u64, Value)> = HashMap::new();
    while !history.is_over.get() {
        for workspace in WORKSPACES {
            let shard = shard_of(workspace, 64);
            for slot in 0..8 {
                let key = SlotKey { shard, slot };
                let Some(found) = platform.get(&key.object_key()) else {
                    continue;
                };
                let epoch = found["epoch"].as_u64().expect("an epoch");
                let holder = found["holder"].clone();
                if let Some((last_epoch, last_holder)) = last.get(&key) {
                    assert!(
                        epoch >= *last_epoch,
                        "{key}: epoch {epoch} after {last_epoch}"
                    );
                    assert!(
                        epoch > *last_epoch || holder == *last_holder,
                        "{key}: two holders"
                    );
                }
                last.insert(key, (epoch, holder));
            }
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(!last.is_empty(), "no slot was ever held");
}

/// Requests whose dispatch certainly lies in a window, because they were sent and arrived in it,
/// stay within burst + rate × window, for every window.
fn assert_within_limit(workspace: &str, arrivals: &[Arrival]) {
    for first in arrivals {
        let mut inside: Vec<Duration> = arrivals
            .iter()
            .filter(|arrival| arrival.sent >= first.sent)
            .map(|arrival| arrival.arrived)
            .collect();
        inside.sort_unstable();
        for (index, end) in inside.iter().enumerate() {
            let tokens = (index as u64 + 1) * COST;
            let width = (*end - first.sent).as_secs_f64();
            let allowed = BURST as f64 + RATE as f64 * width;
            assert!(
                tokens as f64 <= allowed,
                "{workspace}: {tokens} tokens in {width} s"
            );
        }
    }
}

/// Guards against more tokens than the limit, a second run of a claimed request, and two holders of
/// one slot, under the faults that the design page names.
#[test]
fn limits_and_claims_hold_through_faults() {
    run(async {
        let recorder = Rc::new(Recorder {
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
                    let task = load(Rc::clone(&history), *address, workspace);
                    tasks.push(compio::runtime::spawn(task));
                }
            }
            tasks.push(compio::runtime::spawn(order(Rc::clone(&history), *address)));
        }
        let watch = watch_slots(Rc::clone(&history), Rc::clone(&cluster.platform));
        tasks.push(compio::runtime::spawn(watch));

        let pause = |ms| compio::time::sleep(Duration::from_millis(ms));
        pause(1_500).await;
        cluster
            .platform
            .set_faults(|faults| faults.lose_answers = 3);
        cluster.signal(1, "STOP");
        pause(1_000).await;
        cluster.kill(2);
        pause(3_500).await;
        cluster.platform.set_faults(|faults| faults.is_down = true);
        cluster.signal(1, "CONT");
        pause(2_500).await;
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
        pause(1_500).await;
        history.is_over.set(true);
        for task in tasks {
            let ended = compio::time::timeout(WAIT_TIMEOUT, task)
                .await
                .expect("a client ends");
            ended.expect("no client or watcher panicked");
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
