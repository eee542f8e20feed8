//! The store, the targets and the instances of a soak.

use std::cell::{Cell, RefCell};
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jujubelink_standins::StandInHandle;
use jujubelink_standins::fleet::{FaultPlan, ObjectStore, StoreEndpoint};
use serde_json::{Value, json};

use super::client::Counts;
use super::targets::{Ledger, SoakTarget};
use crate::support::{Instance, eventually, free_address, send};

pub(super) const KEY: &str = "soak key";

/// Time after a disruption of an instance in which bounds on its knowledge do not hold.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after SIGTERM by which a process has to end.
const GRACE: Duration = Duration::from_secs(8);

/// Attempts that each of [`ROUTES`] allows.
pub(super) const MAX_ATTEMPTS: [usize; 4] = [3, 2, 3, 2];

/// Routes: name, kind and whether streams may be resumed.
pub(super) const ROUTES: [(&str, &str, bool); 4] = [
    ("read", "idempotent", false),
    ("pay", "non_idempotent", false),
    ("ask", "streaming", true),
    ("tell", "streaming", false),
];

/// What changes of the configuration change.
#[derive(Debug, Clone)]
pub(super) struct Config {
    pub(super) version: u64,
    /// Whether each route leads to its second service.
    pub(super) is_moved: [bool; 4],
    pub(super) timeout: Duration,
    pub(super) idle_timeout: Duration,
    pub(super) header_timeout: Duration,
    /// Number of further routes, which later versions drop.
    pub(super) added_routes: u64,
}

/// A machine whose process may be stopped and started again.
pub(super) struct Machine {
    name: String,
    addresses: [SocketAddr; 3],
    ready_address: SocketAddr,
    pub(super) store: Rc<StoreEndpoint>,
    store_handle: StandInHandle,
    pub(super) process: RefCell<Option<Instance>>,
    pub(super) takes_connections: Cell<bool>,
    /// Number of processes that were started.
    pub(super) starts: Cell<u64>,
    /// End of the time in which bounds on the knowledge of the instance do not hold.
    pub(super) disturbed_until: Cell<Instant>,
    log: PathBuf,
}

impl Machine {
    pub(super) fn client_address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Marks the instance as disturbed until [`Self::end_disturbance`].
    pub(super) fn disturb(&self) {
        let hour = Duration::from_secs(3_600);
        self.disturbed_until.set(Instant::now() + hour);
    }

    pub(super) fn end_disturbance(&self) {
        self.disturbed_until.set(Instant::now() + CONTACT_TIME);
    }

    pub(super) fn is_disturbed(&self, at: Instant) -> bool {
        at < self.disturbed_until.get()
    }
}

/// Everything around the clients of a soak.
pub(super) struct World {
    store: Rc<ObjectStore>,
    pub(super) targets: Vec<(Rc<SoakTarget>, StandInHandle)>,
    pub(super) app_faults: FaultPlan,
    pub(super) engine_faults: FaultPlan,
    pub(super) machines: Vec<Rc<Machine>>,
    pub(super) ledger: Rc<Ledger>,
    /// Configurations, with the time at which each was written.
    pub(super) configs: RefCell<Vec<(Instant, Config)>>,
    pub(super) counts: RefCell<Counts>,
    pub(super) violations: RefCell<Vec<String>>,
    /// Whether clients stop after their current request.
    pub(super) is_over: Cell<bool>,
}

impl World {
    /// Starts the targets and the instances, and waits until these are ready.
    pub(super) async fn start(seed: u64, machines: usize) -> Rc<Self> {
        let (app_faults, engine_faults) = (FaultPlan::default(), FaultPlan::default());
        let ledger = Rc::new(Ledger::default());
        let app = [("s1", "app"), ("s2", "app"), ("s3", "app2"), ("s4", "app2")];
        let llm = [("e1", "llm"), ("e2", "llm"), ("e3", "llm")];
        let llm2 = [("e4", "llm2"), ("e5", "llm2")];
        let targets = app.iter().chain(&llm).chain(&llm2).map(|(id, service)| {
            let faults = match id.starts_with('e') {
                true => &engine_faults,
                false => &app_faults,
            };
            let target = SoakTarget::new(id, service, faults, &ledger);
            let handle = StandInHandle::start(Rc::clone(&target)).unwrap();
            (target, handle)
        });
        let targets = targets.collect();
        let store = ObjectStore::new();
        let machines = (1..=machines).map(|number| Rc::new(new_machine(&store, seed, number)));
        let world = Rc::new(Self {
            machines: machines.collect(),
            store,
            targets,
            app_faults,
            engine_faults,
            ledger,
            configs: RefCell::default(),
            counts: RefCell::default(),
            violations: RefCell::default(),
            is_over: Cell::new(false),
        });
        for index in 0..world.targets.len() {
            world.put_target(index, "ready");
        }
        let announced = json!({ "model": "m", "version": 1 });
        world.store.put("versions", "m", announced);
        world.put_config(Config {
            version: 5,
            is_moved: [false; 4],
            timeout: Duration::from_secs(4),
            idle_timeout: Duration::from_secs(4),
            header_timeout: Duration::from_secs(1),
            added_routes: 0,
        });
        for machine in &world.machines {
            world.start_process(machine).await;
        }
        world
    }

    pub(super) fn violation(&self, text: String) {
        println!("violation: {text}");
        self.violations.borrow_mut().push(text);
    }

    pub(super) fn put_target(&self, index: usize, state: &str) {
        let (target, handle) = &self.targets[index];
        let models = match target.is_engine() {
            true => json!([{ "name": "m", "version": 1, "adapters": [] }]),
            false => json!([]),
        };
        let entry = json!({ "service": target.service, "address": handle.address(), "zone": "a",
            "version": "v1", "slots": 8, "state": state, "models": models, "sequence": 3,
            "born": target.incarnation.get() });
        self.store.put("servers", target.id, entry);
    }

    pub(super) fn config(&self) -> Config {
        self.configs.borrow().last().unwrap().1.clone()
    }

    pub(super) fn put_config(&self, config: Config) {
        let route = |name: &str, kind: &str, resumable: bool, service: &str, attempts: usize| {
            json!({ "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"),
                "kind": kind, "timeout_ms": config.timeout.as_millis() as u64,
                "target_latency_ms": 3000, "priority": 1, "service": service, "max_attempts": attempts,
                "public": false, "resumable": resumable, "gap_aim_ms": 250 })
        };
        let routes = ROUTES.iter().zip(config.is_moved).zip(MAX_ATTEMPTS);
        let mut routes: Vec<Value> = routes
            .map(|(((name, kind, resumable), is_moved), attempts)| {
                let service = match (*kind == "streaming", is_moved) {
                    (true, false) => "llm",
                    (true, true) => "llm2",
                    (false, false) => "app",
                    (false, true) => "app2",
                };
                route(name, kind, *resumable, service, attempts)
            })
            .collect();
        for number in 0..config.added_routes {
            let name = format!("added{number}");
            routes.push(route(&name, "idempotent", false, "app", 2));
        }
        let engine = json!({ "slots": 8, "kv_capacity": 100000, "models": [{ "name": "m" }] });
        let service = |name: &str| json!({ "name": name, "max_connections": 100 });
        let engine_service =
            |name: &str| json!({ "name": name, "max_connections": 100, "engine": engine });
        let spec = json!({ "version": config.version, "routes": routes,
            "services": [service("app"), service("app2"), engine_service("llm"), engine_service("llm2")],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": config.header_timeout.as_millis() as u64,
                "idle_timeout_ms": config.idle_timeout.as_millis() as u64 },
            "tenants": [{ "name": "club", "api_keys": [KEY], "unit": "tokens",
                "plain_tokens": 10, "rate_per_s": 10000000, "burst": 10000000 }] });
        self.store.put("config", "main", spec);
        self.configs.borrow_mut().push((Instant::now(), config));
    }

    /// Shortest timeout of the configurations that may have been in force since `sent_at`.
    pub(super) fn shortest_timeout(&self, sent_at: Instant) -> Duration {
        let configs = self.configs.borrow();
        let ends = configs
            .iter()
            .skip(1)
            .map(|(at, _)| Some(*at))
            .chain([None]);
        let may_apply = |end: Option<Instant>| end.is_none_or(|end| end + CONTACT_TIME >= sent_at);
        let timeouts = configs.iter().zip(ends).filter(|(_, end)| may_apply(*end));
        timeouts
            .map(|((_, config), _)| config.timeout)
            .min()
            .unwrap()
    }

    /// Whether a connection that has been idle since then was idle for longer than a configuration
    /// allowed while it was the newest one.
    pub(super) fn may_be_closed(&self, idle_since: Instant) -> bool {
        let configs = self.configs.borrow();
        let ends = configs.iter().skip(1).map(|(at, _)| *at);
        let mut periods = configs.iter().zip(ends.chain([Instant::now()]));
        periods.any(|((_, config), end)| {
            end.saturating_duration_since(idle_since) > config.idle_timeout
        })
    }

    /// Starts the process of a machine and waits until it is ready.
    pub(super) async fn start_process(&self, machine: &Machine) {
        let settings = format!(
            "[fleet]\nmachine = \"{}\"\nready_address = \"{}\"\nis_revocation_strict = true\n\
             [stop]\nbalancer_notice_ms = 400\ndrain_limit_ms = 5000\n",
            machine.name, machine.ready_address
        );
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&machine.log);
        let log = Stdio::from(log.expect("open the log"));
        let store = machine.store_handle.address();
        let process = Instance::start_with(machine.addresses, store, &[], &settings, log).await;
        machine.process.replace(Some(process));
        eventually("the instance is ready", || async {
            std::net::TcpStream::connect(machine.ready_address).ok()?;
            let request = http::Request::get("/api/ready");
            let status = send(machine.ready_address, request, None).await.status;
            (status == 200).then_some(())
        })
        .await;
        machine.starts.set(machine.starts.get() + 1);
        machine.takes_connections.set(true);
        machine.end_disturbance();
    }

    /// Stops the process of a machine as planned, and waits for its end.
    pub(super) async fn stop_process(&self, machine: &Machine) {
        machine.disturb();
        machine.takes_connections.set(false);
        machine.process.borrow().as_ref().unwrap().terminate();
        let stopped_at = Instant::now();
        let status = loop {
            let status = machine.process.borrow_mut().as_mut().unwrap().exit_status();
            if status.is_some() || stopped_at.elapsed() > GRACE {
                break status;
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        };
        if !status.is_some_and(|status| status.success()) {
            self.violation(format!("stop: {} ended with {status:?}", machine.name));
        }
        machine.process.take();
    }

    /// Removes the logs of the instances.
    pub(super) fn remove_logs(&self) {
        for machine in &self.machines {
            let _ = std::fs::remove_file(&machine.log);
        }
    }
}

fn new_machine(store: &Rc<ObjectStore>, seed: u64, number: usize) -> Machine {
    let store = StoreEndpoint::new(store);
    let name = format!("n{number}");
    let log = format!("jujubelink-soak-{}-{seed}-{name}.log", std::process::id());
    Machine {
        name,
        addresses: [free_address(), free_address(), free_address()],
        ready_address: free_address(),
        store_handle: StandInHandle::start(Rc::clone(&store)).unwrap(),
        store,
        process: RefCell::default(),
        takes_connections: Cell::new(false),
        starts: Cell::new(0),
        disturbed_until: Cell::new(Instant::now()),
        log: std::env::temp_dir().join(log),
    }
}
