//! Requests from clients through the real binary to targets that speak the platform's protocol. The
//! platform's object store, the targets and the store of KV cache are stand-ins.

mod abandoned_requests;
mod allowing_changes;
mod broken_streams;
mod changing_configuration;
mod crashing_prompts;
mod deadlines;
mod faulty_responses;
mod held_requests;
mod isolated_caches;
mod kept_connections;
mod kept_target_connections;
mod moved_routes;
mod odd_entries;
mod odd_numbers;
mod pausing_engines;
mod peer_messages;
mod planned_stop;
mod reload;
mod request_ends;
mod request_forms;
mod request_wire;
mod response_ends;
mod scripted_deployment;
mod silent_targets;
mod store_restore;
mod takeovers;
mod unreachable_targets;
mod urgency;
mod version_rollout;

use std::io::{BufRead, Read};
use std::net::SocketAddr;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use http::HeaderMap;
use jujubelink::platform::names::{KIND_LEASES, ORDER_LEASE};
use jujubelink_standins::StandInHandle;
use jujubelink_standins::fleet::{
    CacheStore, FaultPlan, FleetTarget, ObjectStore, StoreEndpoint, StoreMode, TargetFault,
};
use serde_json::{Value, json};

use crate::support::{Instance, TestResponse, eventually, free_address, run, send};

const KEY: &str = "wu3fexd9dnn2ctnfzs98";

/// The systems around the instances: the object store, a plain service with two targets and a model
/// with two engines.
struct Deployment {
    store: Rc<ObjectStore>,
    services: Vec<Rc<FleetTarget>>,
    service_faults: FaultPlan,
    engines: Vec<Rc<FleetTarget>>,
    engine_faults: FaultPlan,
    handles: Vec<(String, StandInHandle)>,
}

/// A process under test. It reaches the object store at an address of its own, so that a test can make
/// the store fail for one instance and work for the others.
struct RunningInstance {
    process: Instance,
    store_endpoint: Rc<StoreEndpoint>,
    ready_address: SocketAddr,
    _handle: StandInHandle,
}

impl Deployment {
    fn new() -> Self {
        let (service_faults, engine_faults) = (FaultPlan::default(), FaultPlan::default());
        let targets = |ids: [&str; 2], faults: &FaultPlan| {
            let targets = ids.iter().map(|id| FleetTarget::new(id, faults));
            targets.collect::<Vec<_>>()
        };
        let mut deployment = Self {
            store: ObjectStore::new(),
            services: targets(["s1", "s2"], &service_faults),
            service_faults,
            engines: targets(["e1", "e2"], &engine_faults),
            engine_faults,
            handles: Vec::new(),
        };
        let all = deployment.services.iter().zip(["s1", "s2"]);
        let all = all.chain(deployment.engines.iter().zip(["e1", "e2"]));
        for (target, id) in all {
            let handle = StandInHandle::start(Rc::clone(target)).unwrap();
            deployment.handles.push((id.to_owned(), handle));
        }
        for (id, _) in &deployment.handles {
            deployment.put_target(id, "ready", 1);
        }
        deployment.announce_weights(1);
        deployment.put_configuration(5, &[KEY]);
        deployment
    }

    /// Writes the store's entry of a target, as the target does to announce itself.
    fn put_target(&self, id: &str, state: &str, incarnation: u64) {
        self.put_target_with_weights(id, state, incarnation, 1);
    }

    fn put_target_with_weights(&self, id: &str, state: &str, incarnation: u64, weights: u64) {
        let (_, handle) = self
            .handles
            .iter()
            .find(|(target, _)| target == id)
            .unwrap();
        self.put_target_at(id, handle.address(), state, incarnation, weights);
    }

    fn put_target_at(
        &self,
        id: &str,
        address: SocketAddr,
        state: &str,
        incarnation: u64,
        weights: u64,
    ) {
        let (service, models) = match id.starts_with('e') {
            true => (
                "llm",
                json!([{ "name": "m", "version": weights, "adapters": [] }]),
            ),
            false => ("app", json!([])),
        };
        let entry = json!({ "service": service, "address": address, "zone": "a",
            "version": "v1", "slots": 8, "state": state, "models": models, "sequence": 3,
            "born": incarnation });
        self.store.put("servers", id, entry);
    }

    /// Writes the version of the weights that all engines have to load.
    fn announce_weights(&self, version: u64) {
        let announced = json!({ "model": "m", "version": version });
        self.store.put("versions", "m", announced);
    }

    fn put_configuration(&self, version: u64, keys: &[&str]) {
        self.put_configuration_with_services(version, keys, &[]);
    }

    fn put_configuration_with_services(&self, version: u64, keys: &[&str], services: &[Value]) {
        let config = Self::configuration(version, keys, services);
        self.store.put("config", "main", config);
    }

    /// Returns a configuration with further services.
    fn configuration(version: u64, keys: &[&str], services: &[Value]) -> Value {
        let route = |name: &str, path: &str, kind: &str, service: &str, resumable: bool| {
            json!({ "name": name, "host": "shop.example", "path_prefix": path, "kind": kind,
                "timeout_ms": 4000, "target_latency_ms": 3000, "priority": 1, "service": service,
                "max_attempts": 2, "public": false, "resumable": resumable, "gap_aim_ms": 250 })
        };
        let mut config = json!({ "version": version,
            "routes": [
                route("read", "/read/", "idempotent", "app", false),
                route("pay", "/pay/", "non_idempotent", "app", false),
                route("ask", "/ask/", "streaming", "llm", true),
                route("tell", "/tell/", "streaming", "llm", false),
            ],
            "services": [
                { "name": "app", "max_connections": 100 },
                { "name": "llm", "max_connections": 100,
                  "engine": { "slots": 8, "kv_capacity": 100000, "models": [{ "name": "m" }] } },
            ],
            "tenants": [{ "name": "club", "api_keys": keys, "unit": "tokens",
                "plain_tokens": 10, "rate_per_s": 10000000, "burst": 10000000 }] });
        let listed_services = config["services"].as_array_mut().unwrap();
        listed_services.extend_from_slice(services);
        config
    }

    async fn start(&self, name: &str, settings: &str) -> RunningInstance {
        self.start_with_store(name, settings, StoreMode::Up).await
    }

    /// Starts an instance for which the store behaves according to `mode`.
    async fn start_with_store(
        &self,
        name: &str,
        settings: &str,
        mode: StoreMode,
    ) -> RunningInstance {
        let log = "[log]\nlevel = \"warning\"\n";
        self.start_with_log(name, &format!("{settings}\n{log}"), mode, Stdio::inherit())
            .await
    }

    async fn start_with_log(
        &self,
        name: &str,
        settings: &str,
        mode: StoreMode,
        log: Stdio,
    ) -> RunningInstance {
        let store_endpoint = StoreEndpoint::new(&self.store);
        store_endpoint.set_mode(mode);
        let handle = StandInHandle::start(Rc::clone(&store_endpoint)).unwrap();
        let ready_address = free_address();
        let fleet = format!(
            "[fleet]\nmachine = \"{name}\"\nready_address = \"{ready_address}\"\n\
             is_revocation_strict = true\n{settings}\n"
        );
        let addresses = [free_address(), free_address(), free_address()];
        let process = Instance::start_with(addresses, handle.address(), &[], &fleet, log);
        RunningInstance {
            process: process.await,
            store_endpoint,
            ready_address,
            _handle: handle,
        }
    }

    /// Starts a deployment with one instance and waits until the instance is ready.
    async fn start_ready(settings: &str) -> (Self, RunningInstance) {
        let deployment = Self::new();
        let instance = deployment.start("n1", settings).await;
        instance.wait_ready().await;
        (deployment, instance)
    }
}

impl RunningInstance {
    async fn is_ready(&self) -> bool {
        // The instance opens this port a moment after the port for clients.
        if std::net::TcpStream::connect(self.ready_address).is_err() {
            return false;
        }
        let request = http::Request::get("/api/ready");
        send(self.ready_address, request, None).await.status == 200
    }

    async fn wait_ready(&self) {
        eventually("the instance is ready", || async {
            self.is_ready().await.then_some(())
        })
        .await;
    }

    /// Sends a request to a plain service. It contains a tenant header that the client has no right to
    /// set.
    async fn send_request(&self, id: &str, method: &str, path: &str) -> TestResponse {
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("host", "shop.example")
            .header("jujubelink-attempt-id", id)
            .header("jujubelink-deadline-ms", "3000")
            .header("jujubelink-tenant", "forged")
            .header("authorization", format!("Bearer {KEY}"));
        send_with_host(self.process.client_address, request, "body").await
    }

    /// Waits until a request to a plain service gets this status.
    async fn wait_status(&self, what: &str, expected: u16) {
        eventually(what, || async {
            let status = self.send_request("r", "GET", "/read/x").await.status;
            (status == expected).then_some(())
        })
        .await;
    }

    /// Sends a request for a streamed completion of a prompt that has a part shared with other prompts
    /// (`a1`, 800 tokens) and a part of its own (`b2`, 400 tokens).
    async fn send_prompt(&self, id: &str, path: &str) -> TestResponse {
        self.send_prompt_of_parts(id, path, "a1:800,b2:400").await
    }

    async fn send_prompt_of_parts(&self, id: &str, path: &str, parts: &str) -> TestResponse {
        let deadline = Duration::from_secs(3);
        self.send_prompt_with_deadline(id, path, parts, deadline)
            .await
    }

    async fn send_prompt_with_deadline(
        &self,
        id: &str,
        path: &str,
        parts: &str,
        deadline: Duration,
    ) -> TestResponse {
        let request = http::Request::post(path)
            .header("host", "shop.example")
            .header("jujubelink-attempt-id", id)
            .header("jujubelink-deadline-ms", deadline.as_millis() as u64)
            .header("jujubelink-model", "m")
            .header("jujubelink-token-count", "1200,50")
            .header("jujubelink-prompt-prefix", parts)
            .header("authorization", format!("Bearer {KEY}"));
        send_with_host(self.process.client_address, request, "prompt").await
    }
}

/// Sends a request that already has a `host` header. Status 0 stands for a response that ended early.
async fn send_with_host(
    address: SocketAddr,
    request: http::request::Builder,
    body: &str,
) -> TestResponse {
    use http_body_util::BodyExt;
    use jujubelink::util::http::{Client, RequestOptions, full};
    let request = request.body(full(body.to_owned())).unwrap();
    let options = RequestOptions::default().with_new_connection();
    let Ok(response) = Client::new().send(address, request, options).await else {
        return TestResponse {
            status: 0,
            headers: HeaderMap::new(),
            body: String::new(),
        };
    };
    let (head, mut body) = response.into_parts();
    let mut text = String::new();
    let mut status = head.status.as_u16();
    while let Some(frame) = body.frame().await {
        match frame.map(http_body::Frame::into_data) {
            Ok(Ok(data)) => text += &String::from_utf8_lossy(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                status = 0;
                break;
            }
        }
    }
    TestResponse {
        status,
        headers: head.headers,
        body: text,
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .map_or("", |value| value.to_str().unwrap())
}

/// Number of requests that the targets ran.
fn total_runs(targets: &[Rc<FleetTarget>]) -> u64 {
    targets.iter().map(|target| target.runs()).sum()
}

/// Body of a stream that the engine stand-in sends.
fn expected_events(events: std::ops::RangeInclusive<u64>) -> String {
    let events = events.map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    events.collect()
}

/// Guards against requests that are changed between client and target, client keys that are forwarded
/// to a target, and responses that lose the target's signature header.
#[test]
fn forwards_requests_and_responses_unchanged() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let response = instance.send_request("r1", "POST", "/pay/2f?x=1").await;
        assert_eq!(response.status, 200);
        assert_eq!(response.body, "POST /pay/2f?x=1 body");
        assert_eq!(header(&response.headers, "jujubelink-attempt-id"), "r1");
        assert!(header(&response.headers, "jujubelink-server-stamp").starts_with("stamp-of-s"));
        let seen: Vec<_> = deployment
            .services
            .iter()
            .flat_map(|target| target.seen())
            .collect();
        let (headers, _) = &seen[0];
        assert_eq!(header(headers, "jujubelink-tenant"), "club");
        assert_eq!(header(headers, "jujubelink-attempt-id"), "r1");
        assert_eq!(header(headers, "host"), "shop.example");
        assert!(!headers.contains_key("authorization"));
        let remaining: u64 = header(headers, "jujubelink-deadline-ms").parse().unwrap();
        assert!((1..=3000).contains(&remaining));
        assert!(header(headers, "jujubelink-expect-instance").starts_with('s'));
    });
}

/// Guards against status 401 or 404 from an instance that has not loaded a configuration yet, and
/// against an instance that reports itself ready before it can serve requests.
#[test]
fn responds_with_503_until_a_configuration_is_loaded() {
    run(async {
        let deployment = Deployment::new();
        let instance = deployment
            .start_with_store("n1", "", StoreMode::Refusing)
            .await;
        assert_eq!(
            instance.send_request("r1", "GET", "/none/x").await.status,
            503
        );
        assert!(!instance.is_ready().await);
        instance.store_endpoint.set_mode(StoreMode::Up);
        instance.wait_ready().await;
        assert_eq!(
            instance.send_request("r2", "GET", "/none/x").await.status,
            404
        );
        assert_eq!(
            instance.send_request("r3", "GET", "/read/x").await.status,
            200
        );
    });
}

/// Guards against a key that is accepted although revocations could not be read for longer than
/// `revocation_ms`, and against valid keys that stay refused after the store is back.
///
/// The store stops responding just before the key is withdrawn, so the instance cannot learn of it.
#[test]
fn keys_are_refused_without_a_recent_revocation_check() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("revocation_ms = 1500").await;
        instance.store_endpoint.set_mode(StoreMode::Silent);
        deployment.put_configuration(6, &[]);
        let store_lost_at = Instant::now();
        eventually("the key is refused", || async {
            let status = instance.send_request("r", "GET", "/read/x").await.status;
            assert!([200, 503].contains(&status), "{status}");
            (status == 503).then_some(())
        })
        .await;
        assert!(store_lost_at.elapsed() < Duration::from_millis(2_500));
        eventually("the instance is not ready", || async {
            (!instance.is_ready().await).then_some(())
        })
        .await;
        instance.store_endpoint.set_mode(StoreMode::Up);
        instance
            .wait_status("the withdrawal of the key is effective", 401)
            .await;
        deployment.put_configuration(7, &[KEY]);
        instance.wait_status("the key works again", 200).await;
    });
}

/// Guards against an outdated configuration, outdated targets or refused keys at an instance whose calls
/// the store rejects, while a peer can still read the store and relay its contents.
#[test]
fn peers_relay_the_configuration() {
    run(async {
        let deployment = Deployment::new();
        let first = deployment.start("n1", "").await;
        let second = deployment.start("n2", "").await;
        first.wait_ready().await;
        second.wait_ready().await;
        second.store_endpoint.set_mode(StoreMode::Refusing);
        deployment.put_configuration(6, &["another key"]);
        second
            .wait_status("the withdrawal reaches the instance without the store", 401)
            .await;
        deployment.put_configuration(7, &[KEY]);
        second
            .wait_status(
                "the granted key reaches the instance without the store",
                200,
            )
            .await;
        // The peer relays the list of targets as well.
        deployment.put_target("s1", "draining", 1);
        wait_until_unused(&deployment.services[0], &second).await;
        // The peer's reads of the store keep keys valid here for longer than a single read would.
        compio::time::sleep(Duration::from_millis(5_500)).await;
        assert_eq!(second.send_request("r", "GET", "/read/x").await.status, 200);
        assert!(second.is_ready().await);
    });
}

/// Guards against a number of store calls that grows with the fleet, and against missed changes. In a
/// large fleet only some instances watch the store. The others get changes from these, and miss them if
/// they depend on an instance that has lost the store.
#[test]
fn only_some_instances_of_a_large_fleet_watch_the_store() {
    run(async {
        let deployment = Deployment::new();
        let (instances, followers) = start_large_fleet(&deployment).await;
        deployment.put_target("s1", "draining", 1);
        for follower in &followers {
            wait_until_unused(&deployment.services[0], &instances[*follower]).await;
        }
        // The store rejects the calls of half of the instances that relay changes.
        let watching = (0..instances.len()).filter(|index| !followers.contains(index));
        for watcher in watching.take(5) {
            instances[watcher]
                .store_endpoint
                .set_mode(StoreMode::Refusing);
        }
        deployment.put_target("s1", "ready", 2);
        deployment.put_target("s2", "draining", 1);
        deployment.put_configuration(6, &["another key"]);
        for follower in &followers {
            instances[*follower]
                .wait_status("the withdrawn key is refused", 401)
                .await;
        }
        deployment.put_configuration(7, &[KEY]);
        for follower in &followers {
            instances[*follower]
                .wait_status("the granted key is accepted", 200)
                .await;
            wait_until_unused(&deployment.services[1], &instances[*follower]).await;
        }
    });
}

/// Guards against targets that are kept after they have left, because one source lost the store.
#[test]
fn a_source_that_lost_the_store_is_no_outage_of_the_store() {
    run(async {
        let deployment = Deployment::new();
        let mut instances = Vec::new();
        let mut logs = Vec::new();
        for number in 10..24 {
            let name = format!("n{number}");
            let instance = deployment.start_with_log(&name, "", StoreMode::Up, Stdio::piped());
            let mut instance = instance.await;
            logs.push(read_lines(instance.process.take_log()));
            instances.push(instance);
        }
        for instance in &instances {
            instance.wait_ready().await;
        }
        let followers = wait_for_four_followers(&instances).await;
        // All but one of the sources lose the store, so most followers depend on one that did.
        let watching = (0..instances.len()).filter(|index| !followers.contains(index));
        for watcher in watching.skip(1) {
            instances[watcher]
                .store_endpoint
                .set_mode(StoreMode::Silent);
        }
        let lost_source = "\"error\":\"Outdated\"";
        eventually(
            "a follower notices that its source lost the store",
            || async {
                let mut lines = followers.iter().flat_map(|index| logs[*index].try_iter());
                lines.any(|line| line.contains(lost_source)).then_some(())
            },
        )
        .await;
        deployment.store.remove("servers", "s2");
        for follower in &followers {
            wait_until_unused(&deployment.services[1], &instances[*follower]).await;
        }
        for follower in &followers {
            let outages: Vec<String> = logs[*follower]
                .try_iter()
                .filter(|line| line.contains("\"store regained\""))
                .collect();
            assert!(outages.is_empty(), "{outages:?}");
        }
    });
}

/// Guards against requests to targets that have left, because an instance waits for a source that hangs
/// instead of reading the store.
#[test]
fn a_source_that_hangs_does_not_delay_news_of_leaving_targets() {
    /// Time within which requests to a leaving target have to end.
    const DRAIN_TIME: Duration = Duration::from_secs(2);
    run(async {
        let deployment = Deployment::new();
        let (instances, followers) = start_large_fleet(&deployment).await;
        // After a change, the lists of all sources have the same age.
        deployment.put_target("s1", "ready", 2);
        let changed_at = Instant::now();
        compio::time::sleep(Duration::from_millis(50)).await;
        let sources = || (0..instances.len()).filter(|index| !followers.contains(index));
        for source in sources() {
            let store = &instances[source].store_endpoint;
            store.set_mode(StoreMode::Silent);
        }
        deployment.store.remove("servers", "s2");
        let removed_at = Instant::now();
        // The sources answer once more with a list that is just recent enough, then hang.
        compio::time::sleep_until(changed_at + Duration::from_millis(1_600)).await;
        for source in sources() {
            instances[source].process.pause();
        }
        compio::time::sleep_until(removed_at + DRAIN_TIME).await;
        let received = deployment.services[1].seen().len();
        for follower in &followers {
            for _ in 0..6 {
                instances[*follower]
                    .send_request("r", "GET", "/read/x")
                    .await;
            }
        }
        assert_eq!(deployment.services[1].seen().len(), received);
    });
}

/// Guards against instances that disagree on their order when a large fleet starts over several seconds:
/// all of them then watch the store, or none does.
#[test]
fn instances_started_over_seconds_agree_on_who_watches_the_store() {
    run(async {
        let deployment = Deployment::new();
        let mut instances = Vec::new();
        for number in 10..24 {
            instances.push(deployment.start(&format!("n{number}"), "").await);
            compio::time::sleep(Duration::from_millis(200)).await;
        }
        for instance in &instances {
            instance.wait_ready().await;
        }
        let followers = wait_for_four_followers(&instances).await;
        deployment.put_target("s1", "draining", 1);
        for follower in &followers {
            wait_until_unused(&deployment.services[0], &instances[*follower]).await;
        }
    });
}

/// Starts a fleet in which four instances get changes from others. Returns all instances and the indices of
/// the four.
async fn start_large_fleet(deployment: &Deployment) -> (Vec<RunningInstance>, Vec<usize>) {
    let mut instances = Vec::new();
    for number in 10..24 {
        instances.push(deployment.start(&format!("n{number}"), "").await);
    }
    for instance in &instances {
        instance.wait_ready().await;
    }
    let followers = wait_for_four_followers(&instances).await;
    (instances, followers)
}

/// Waits until all instances but four watch the store, which takes at least one call a second each.
/// Returns the indices of the four.
async fn wait_for_four_followers(instances: &[RunningInstance]) -> Vec<usize> {
    eventually("four instances get changes from peers", || async {
        let calls = || {
            instances
                .iter()
                .map(|instance| instance.store_endpoint.calls())
        };
        let before: Vec<u64> = calls().collect();
        compio::time::sleep(Duration::from_secs(3)).await;
        let calls_made: Vec<u64> = calls()
            .zip(before)
            .map(|(after, before)| after - before)
            .collect();
        println!("calls to the store in 3 s, by instance: {calls_made:?}");
        let idle: Vec<usize> = (0..instances.len())
            .filter(|index| calls_made[*index] < 2)
            .collect();
        (idle.len() == 4).then_some(idle)
    })
    .await
}

/// Waits until none of six consecutive requests reaches the target.
async fn wait_until_unused(target: &FleetTarget, instance: &RunningInstance) {
    eventually("requests go to other targets", || async {
        let before = target.runs();
        for _ in 0..6 {
            instance.send_request("r", "GET", "/read/x").await;
        }
        (target.runs() == before).then_some(())
    })
    .await;
}

/// Reads the lines of a log in a thread.
fn read_lines(log: impl Read + Send + 'static) -> mpsc::Receiver<String> {
    let (sender, lines) = mpsc::channel();
    std::thread::spawn(move || {
        for line in std::io::BufReader::new(log).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

/// Injects one fault, or none, into each of the next requests.
fn schedule_faults(faults: &FaultPlan, next: &[Option<TargetFault>]) {
    faults.borrow_mut().extend(next.iter().copied());
}

/// Guards against a non-idempotent request that runs twice, and against one that fails although its
/// target stated that it was not run and another target is free.
#[test]
fn non_idempotent_requests_run_at_most_once() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        for (fault, status) in [
            (TargetFault::MismatchedAttemptId, 502),
            (TargetFault::Fail, 500),
        ] {
            let before = total_runs(&deployment.services);
            schedule_faults(&deployment.service_faults, &[Some(fault)]);
            let response = instance.send_request("r", "POST", "/pay/x").await;
            assert_eq!(response.status, status, "{fault:?}: {}", response.body);
            assert_eq!(total_runs(&deployment.services), before + 1, "{fault:?}");
        }
        let before = total_runs(&deployment.services);
        schedule_faults(&deployment.service_faults, &[Some(TargetFault::Refuse)]);
        let response = instance.send_request("r", "POST", "/pay/x").await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(total_runs(&deployment.services), before + 1);
        let refusals = [Some(TargetFault::Refuse); 4];
        schedule_faults(&deployment.service_faults, &refusals);
        let response = instance.send_request("r", "POST", "/pay/x").await;
        assert_eq!(response.status, 503, "{}", response.body);
        assert!(response.headers.contains_key("retry-after"));
        assert_eq!(total_runs(&deployment.services), before + 1);
    });
}

/// Guards against an idempotent request that fails because its first target failed, and against more
/// attempts than the route allows.
#[test]
fn idempotent_requests_are_retried() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        for fault in [
            TargetFault::Fail,
            TargetFault::MismatchedAttemptId,
            TargetFault::Hang,
        ] {
            schedule_faults(&deployment.service_faults, &[Some(fault)]);
            let before = total_runs(&deployment.services);
            let response = instance.send_request("r", "GET", "/read/x").await;
            assert_eq!(response.status, 200, "{fault:?}: {}", response.body);
            assert_eq!(total_runs(&deployment.services), before + 2, "{fault:?}");
        }
        let before = total_runs(&deployment.services);
        schedule_faults(&deployment.service_faults, &[Some(TargetFault::Fail); 2]);
        let response = instance.send_request("r", "GET", "/read/x").await;
        assert_eq!(response.status, 500, "{}", response.body);
        assert_eq!(total_runs(&deployment.services), before + 2);
    });
}

/// Guards against events that are lost, duplicated or merged at the point where an engine's connection
/// fails and the stream is resumed, and against an incomplete stream that looks complete.
#[test]
fn streams_arrive_complete_or_end_with_an_error() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        // A new instance has no tokens of the workspace's rate limit yet, so first requests may be refused.
        eventually("a stream is complete", || async {
            let response = instance.send_prompt("r1", "/ask/x").await;
            (response.status == 200 && response.body == expected_events(1..=5)).then_some(())
        })
        .await;
        for event_count in 0..5 {
            let fault = TargetFault::BreakAfter(event_count);
            schedule_faults(&deployment.engine_faults, &[Some(fault)]);
            let response = instance.send_prompt("r2", "/ask/x").await;
            assert_eq!(response.status, 200, "{event_count}: {}", response.body);
            assert_eq!(
                response.body,
                expected_events(1..=5),
                "connection closed after {event_count} events"
            );
        }
        // The configuration marks this route's streams as not resumable.
        schedule_faults(
            &deployment.engine_faults,
            &[Some(TargetFault::BreakAfter(2))],
        );
        let response = instance.send_prompt("r3", "/tell/x").await;
        assert!([0, 502].contains(&response.status), "{}", response.body);
    });
}

/// Guards against requests that make an engine save a prompt whose shared parts the store of KV cache
/// already holds, and against requests that refer an engine to a store which is unreachable.
#[test]
fn cache_headers_follow_the_contents_of_the_store() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let cache = CacheStore::new();
        let handle = StandInHandle::start(Rc::clone(&cache)).unwrap();
        let address = handle.address().to_string();
        let service = json!({ "name": "kv", "kv_store_addr": address, "zone": "a" });
        deployment.put_configuration_with_services(6, &[KEY], &[service]);
        let request_number = std::cell::Cell::new(0);
        // Sends a prompt and returns whether the engine was asked to fetch from the store and to save to it.
        let store_use = || async {
            request_number.set(request_number.get() + 1);
            let id = format!("r{}", request_number.get());
            instance.send_prompt(&id, "/ask/x").await;
            let mut seen = deployment.engines.iter().flat_map(|target| target.seen());
            let is_sent = |headers: &HeaderMap| header(headers, "jujubelink-attempt-id") == id;
            let (headers, _) = seen.find(|(headers, _)| is_sent(headers))?;
            let is_store = |name| headers.get(name).map(|_| header(&headers, name) == address);
            Some((
                is_store("jujubelink-kv-fetch"),
                is_store("jujubelink-kv-save"),
            ))
        };
        cache.event("+", "1/", "a1", 800, "m");
        eventually("the shared part is fetched and not saved", || async {
            (store_use().await? == (Some(true), None)).then_some(())
        })
        .await;
        cache.event("-", "1/", "a1", 400, "m");
        let polls_before = cache.poll_count();
        eventually("the store is polled for events", || async {
            (cache.poll_count() > polls_before + 1).then_some(())
        })
        .await;
        // The part is saved again, by one request only.
        assert_eq!(store_use().await, Some((Some(true), Some(true))));
        assert_eq!(store_use().await, Some((Some(true), None)));
        drop(handle);
        eventually("the unreachable store is not used", || async {
            (store_use().await? == (None, None)).then_some(())
        })
        .await;
    });
}

/// Guards against requests that wait because nothing reads the pipe that the log is written to, and
/// against log lines that are dropped without a record of how many.
#[test]
fn an_unread_log_pipe_delays_no_request() {
    run(async {
        let deployment = Deployment::new();
        let mut instance = deployment
            .start_with_log("n1", "", StoreMode::Up, Stdio::piped())
            .await;
        instance.wait_ready().await;
        let log = instance.process.take_log();
        // Each request logs about 400 bytes, and a pipe buffers 64 KiB: the pipe fills up.
        for number in 0..400 {
            let response = instance
                .send_request(&format!("r{number}"), "GET", "/read/x")
                .await;
            assert_eq!(response.status, 200);
        }
        let lines = read_lines(log);
        let dropped_count = eventually("a log line counts the dropped lines", || async {
            instance.send_request("last", "GET", "/read/x").await;
            lines.try_iter().find_map(|line| {
                let line: Value = serde_json::from_str(&line).expect("complete lines");
                (line["msg"] == "log lines dropped").then(|| line["count"].as_u64())
            })
        })
        .await;
        let dropped = dropped_count.expect("a number");
        assert!(dropped > 100, "{dropped} lines dropped");
    });
}

/// Guards against requests to a target that has announced that it is draining or was removed.
#[test]
fn draining_targets_get_no_requests() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        deployment.put_target("s1", "draining", 1);
        wait_until_unused(&deployment.services[0], &instance).await;
        // The store discards its history, so the watch fails and the instance has to list the targets.
        deployment.store.compact();
        deployment.put_target("s1", "ready", 2);
        deployment.store.remove("servers", "s2");
        eventually("only the remaining target is used", || async {
            let before = deployment.services[1].runs();
            let status = instance.send_request("r", "GET", "/read/x").await.status;
            (status == 200 && deployment.services[1].runs() == before).then_some(())
        })
        .await;
    });
}

/// Guards against requests to a leaving target whose entry still says ready, or reappears.
#[test]
fn targets_that_announce_their_shutdown_in_responses_get_no_requests() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        deployment.services[0].set_leaving(true);
        deployment.engines[0].set_leaving(true);
        // Before its first response the target has announced nothing, and its next request is no fault.
        eventually("the target announces its shutdown", || async {
            instance.send_request("r", "GET", "/read/x").await;
            (deployment.services[0].runs() > 0).then_some(())
        })
        .await;
        wait_until_unused(&deployment.services[0], &instance).await;
        eventually("prompts go to the other engine", || async {
            let before = deployment.engines[0].runs();
            for number in 0..6 {
                let id = format!("p{number}");
                instance.send_prompt(&id, "/ask/x").await;
            }
            (deployment.engines[0].runs() == before).then_some(())
        })
        .await;
        let runs = deployment.services[0].runs();
        // The instance sees the entries in the order in which they are written.
        deployment.put_target("s1", "ready", 1);
        deployment.put_target("s2", "draining", 1);
        instance.wait_status("no target is left", 503).await;
        deployment.store.remove("servers", "s1");
        deployment.put_target("s1", "ready", 1);
        deployment.put_target("s2", "ready", 2);
        instance.wait_status("the other target is back", 200).await;
        for _ in 0..6 {
            instance.send_request("r", "GET", "/read/x").await;
        }
        assert_eq!(deployment.services[0].runs(), runs);
        deployment.services[0].set_leaving(false);
        deployment.put_target("s1", "ready", 2);
        deployment.put_target("s2", "draining", 2);
        instance.wait_status("the target has restarted", 200).await;
    });
}

/// Guards against requests during a pause, and clients told to come back before any target's pause ends.
#[test]
fn targets_that_ask_for_a_pause_get_no_requests_until_it_ends() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let refuse_for = |seconds| {
            let pause = Duration::from_secs(seconds);
            schedule_faults(
                &deployment.service_faults,
                &[Some(TargetFault::RefuseFor(pause))],
            );
        };
        let read = || instance.send_request("r", "GET", "/read/x");
        refuse_for(600);
        assert_eq!(read().await.status, 200);
        let targets = deployment.services.iter().zip(["s1", "s2"]);
        let mut refusing = targets.filter(|(target, _)| target.seen().len() as u64 > target.runs());
        let (paused, id) = refusing.next().expect("one target refused");
        let received = paused.seen().len();
        for _ in 0..20 {
            assert_eq!(read().await.status, 200);
        }
        // The other target asks for a shorter pause: a client is told when that one ends.
        refuse_for(2);
        let response = read().await;
        assert_eq!(response.status, 503);
        let retry_after: f64 = header(&response.headers, "retry-after").parse().unwrap();
        assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
        instance
            .wait_status("the shorter pause has ended", 200)
            .await;
        assert_eq!(paused.seen().len(), received);
        deployment.put_target(id, "ready", 2);
        eventually("the restarted target gets requests", || async {
            read().await;
            (paused.seen().len() > received).then_some(())
        })
        .await;
    });
}

/// Guards against an instance that reads the configuration before the list of instances, and admits
/// what a fleet of one instance could: when a large fleet starts again at once, a workspace would get
/// many times its limit.
#[test]
fn an_instance_that_starts_admits_only_its_share_of_a_limit() {
    run(async {
        let deployment = Deployment::new();
        let fleet_size = 84;
        for number in 1..fleet_size {
            let spec = json!({ "address": free_address() });
            let name = format!("absent{number}");
            deployment.store.put("jujubelink-instances", &name, spec);
        }
        // A request counts 10 units.
        let (rate_per_s, burst) = (1_000.0, 1_000.0);
        let mut config = deployment.store.spec("config", "main").unwrap();
        config["tenants"][0]["rate_per_s"] = json!(rate_per_s);
        config["tenants"][0]["burst"] = json!(burst);
        deployment.store.put("config", "main", config);
        let settings = "quota_window_s = 8.0\nquota_overage = 0.1\nquota_slack = 0.0\n";
        let instance = deployment.start("n1", settings).await;
        instance.wait_ready().await;
        let mut admitted_units = 0.0;
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(1) {
            let response = instance.send_request("r", "GET", "/read/x").await;
            assert!([200, 429].contains(&response.status), "{}", response.status);
            admitted_units += if response.status == 200 { 10.0 } else { 0.0 };
        }
        let limit = (rate_per_s * 8.0 + burst) * 1.1 / f64::from(fleet_size);
        assert!(admitted_units <= limit, "{admitted_units} of {limit}");
    });
}

/// Guards against two instances that both order engines to load weights, orders without a fencing
/// number, and requests that reuse cached prompts of another version of the weights. The response to one
/// write to the store is lost meanwhile.
#[test]
fn only_one_instance_orders_new_weights() {
    run(async {
        let deployment = Deployment::new();
        let first = deployment.start("n1", "").await;
        let second = deployment.start("n2", "").await;
        first.wait_ready().await;
        second.wait_ready().await;
        deployment.store.lose_answers(1);
        deployment.announce_weights(4);
        eventually("both engines have the new weights", || async {
            deployment
                .engines
                .iter()
                .all(|engine| engine.version() == 4)
                .then_some(())
        })
        .await;
        let orders: Vec<Value> = deployment
            .engines
            .iter()
            .flat_map(|engine| engine.orders())
            .collect();
        assert_eq!(orders.len(), 2, "{orders:?}");
        assert!(
            orders
                .iter()
                .all(|order| order["holder"] == orders[0]["holder"])
        );
        assert!(
            orders
                .iter()
                .all(|order| order["fence"].as_u64() >= Some(1))
        );
        eventually("a request runs on the new weights", || async {
            let response = first.send_prompt("r", "/ask/x").await;
            let weights = header(&response.headers, "jujubelink-weight-versions") == "4";
            (response.status == 200 && weights).then_some(())
        })
        .await;
        let seen: Vec<_> = deployment
            .engines
            .iter()
            .flat_map(|target| target.seen())
            .collect();
        for (headers, _) in seen {
            let expected = header(&headers, "jujubelink-expect-version").to_owned();
            let salt = header(&headers, "jujubelink-cache-salt");
            assert!(salt.starts_with(&format!("{expected}/")), "{salt}");
        }
    });
}

/// Starts a rollout of version 4 to two engines, one at a time. Returns when the first engine has its
/// order and the instance waits for the response to a renewal of its lease.
async fn start_rollout_with_held_renewal(deployment: &Deployment, instance: &RunningInstance) {
    deployment.announce_weights(4);
    eventually("the first engine has an order", || async {
        let orders = deployment.engines.iter().map(|engine| engine.orders());
        (orders.flatten().count() == 1).then_some(())
    })
    .await;
    instance.store_endpoint.set_mode(StoreMode::HoldingWrites);
    eventually("a renewal is in flight", || async {
        (instance.store_endpoint.held_writes() == 1).then_some(())
    })
    .await;
}

/// Guards against a rollout that stands still while the store does not answer the renewal of a lease
/// that has not ended.
#[test]
fn orders_are_given_while_a_renewal_is_unanswered() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        start_rollout_with_held_renewal(&deployment, &instance).await;
        let is_loaded = |engine: &&Rc<FleetTarget>| engine.version() == 4;
        let loaded = deployment
            .engines
            .iter()
            .position(|engine| is_loaded(&engine));
        let id = ["e1", "e2"][loaded.unwrap()];
        deployment.put_target_with_weights(id, "ready", 1, 4);
        eventually("the second engine has an order", || async {
            deployment
                .engines
                .iter()
                .all(|engine| is_loaded(&engine))
                .then_some(())
        })
        .await;
        let orders = deployment.engines.iter().flat_map(|engine| engine.orders());
        let orders: Vec<Value> = orders.collect();
        assert_eq!(orders.len(), 2, "{orders:?}");
        assert_eq!(orders[0]["fence"], orders[1]["fence"]);
        // A second call would have arrived while the first one is unanswered.
        assert_eq!(instance.store_endpoint.held_writes(), 1);
    });
}

/// Guards against a holder that loses its lease during a rollout and keeps telling its peers that engines
/// are loading, so that none sends them requests.
#[test]
fn engines_are_used_again_after_the_holder_lost_its_lease() {
    run(async {
        let (deployment, holder) = Deployment::start_ready("").await;
        let peer = deployment.start("n2", "").await;
        peer.wait_ready().await;
        // The loads outlast the term of the lease, and no other instance can take it.
        for engine in &deployment.engines {
            engine.set_load_duration(Duration::from_secs(3));
        }
        peer.store_endpoint.set_mode(StoreMode::HoldingWrites);
        start_rollout_with_held_renewal(&deployment, &holder).await;
        let loaded = eventually("the first engine has the new weights", || async {
            let mut engines = deployment.engines.iter();
            engines.position(|engine| engine.version() == 4)
        })
        .await;
        deployment.put_target_with_weights(["e1", "e2"][loaded], "ready", 1, 4);
        // The change of the entry itself lets requests through, until the holder's next message.
        compio::time::sleep(Duration::from_secs(1)).await;
        eventually("the engine with the new weights gets requests", || async {
            let before = deployment.engines[loaded].runs();
            let response = peer.send_prompt("r", "/ask/x").await;
            let is_used = deployment.engines[loaded].runs() > before;
            (response.status == 200 && is_used).then_some(())
        })
        .await;
    });
}

/// Guards against a release of the lease that overtakes an unanswered renewal: the store rejects it, and
/// the next holder has to wait for the end of the term.
#[test]
fn a_stop_during_a_renewal_releases_the_lease() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        start_rollout_with_held_renewal(&deployment, &instance).await;
        instance.process.terminate();
        eventually("the instance is not ready", || async {
            (!instance.is_ready().await).then_some(())
        })
        .await;
        // The instance notices the stop in its next round at the latest.
        compio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(instance.store_endpoint.held_writes(), 1);
        instance.store_endpoint.set_mode(StoreMode::Up);
        eventually("the lease is released", || async {
            let lease = deployment.store.spec(KIND_LEASES, ORDER_LEASE)?;
            (lease["is_released"] == true).then_some(())
        })
        .await;
    });
}

/// Guards against a request that a planned stop interrupts, and against a process that SIGHUP ends
/// instead of making it reload its settings.
#[test]
fn reloads_and_stops_without_interrupting_requests() {
    run(async {
        let (deployment, mut instance) = Deployment::start_ready("").await;
        instance.process.reload();
        let delay = TargetFault::Delay(Duration::from_millis(600));
        schedule_faults(&deployment.service_faults, &[Some(delay)]);
        let (response, ()) =
            futures_util::join!(instance.send_request("r", "GET", "/read/x"), async {
                compio::time::sleep(Duration::from_millis(200)).await;
                instance.process.terminate();
                eventually("the instance is not ready", || async {
                    (!instance.is_ready().await).then_some(())
                })
                .await;
            });
        assert_eq!(response.status, 200, "{}", response.body);
        let status = loop {
            match instance.process.exit_status() {
                Some(status) => break status,
                None => compio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        assert!(status.success());
    });
}
