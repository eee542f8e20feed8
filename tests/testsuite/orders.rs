//! Orders to engines: the planner with simulated engines, and the dispatcher with stand-ins.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use jujubelink::core::config::{ConfigSnapshot, StoredConfig};
use jujubelink::core::ids::{TargetId, Timestamp};
use jujubelink::core::orders::{
    EngineState, EngineStatus, IN_FLIGHT_ORDER_TIMEOUT, OrderEffect, OrderKind, OrderPlan, Planner,
    Stage,
};
use jujubelink::ops::members::MemberTable;
use jujubelink::ops::orders::{ORDER_LEASE, OrderDispatcher, PLAN_PREFIX};
use jujubelink::ops::serve::new_context;
use jujubelink::ops::services::{ConfigService, HeldLease, LeaseService, MemberService};
use jujubelink::ops::spread::ConfigState;
use jujubelink::util::http::{Body, collect_limited, full};
use jujubelink_standins::platform::Platform;
use jujubelink_standins::{StandIn, StandInHandle};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde_json::{Value, json};

use crate::support::{eventually, free_address, run};

/// Time in which a simulated engine loads a model.
const LOAD_TIME: Duration = Duration::from_millis(1_300);

fn snapshot(value: Value) -> ConfigSnapshot {
    let stored = json!({ "version": 1, "nonce": "n", "config": value });
    let stored: StoredConfig = serde_json::from_value(stored).unwrap();
    ConfigSnapshot::new(1, stored.config)
}

fn target(models: &[&str], checks_fencing: bool) -> Value {
    json!({ "kind": "engine", "address": "127.0.0.1:1", "failure_domain": "a", "models": models,
        "checks_fencing": checks_fencing })
}

fn engine_status(model: &str, version: &str, running: u32, waiting: u32) -> EngineStatus {
    let state = match model {
        "" => EngineState::Idle,
        _ => EngineState::Ready,
    };
    EngineStatus {
        incarnation: 1,
        model: Some(model.into()),
        weights_version: Some(version.into()),
        running,
        waiting,
        max_running: 4,
        state,
    }
}

/// Simulation of engines that start to execute orders at once, of the stored plans, and of the
/// planner at the lease holder.
struct Sim {
    config: ConfigSnapshot,
    /// Status of each engine, and when its load ends.
    engines: BTreeMap<TargetId, (EngineStatus, Timestamp)>,
    plans: BTreeMap<TargetId, OrderPlan>,
    planner: Planner,
    now: Timestamp,
    sent: Vec<(Timestamp, TargetId)>,
}

impl Sim {
    fn new(config: ConfigSnapshot, engines: &[(&str, EngineStatus)]) -> Self {
        Self {
            config,
            engines: engines
                .iter()
                .map(|(id, status)| (TargetId::from(*id), (status.clone(), Timestamp::ZERO)))
                .collect(),
            plans: BTreeMap::new(),
            planner: Planner::new(1, Timestamp::ZERO),
            now: Timestamp::ZERO,
            sent: Vec::new(),
        }
    }

    /// The lease holder crashes; the next one starts from the stored plans.
    fn take_over(&mut self) {
        self.planner = Planner::new(self.planner.epoch() + 1, self.now);
        for plan in self.plans.values() {
            self.planner.on_plan(plan.clone());
        }
    }

    /// Number of engines that are ready for a model.
    fn ready_count(&self, model: &str) -> usize {
        let statuses = self.engines.values().map(|(status, _)| status);
        statuses.filter(|status| status.is_ready_for(model)).count()
    }

    /// Advances the simulation by 500 ms.
    fn step(&mut self) {
        self.now += Duration::from_millis(500);
        for (id, (status, ends_at)) in &mut self.engines {
            if status.state == EngineState::Loading && self.now >= *ends_at {
                status.state = EngineState::Ready;
            }
            if self.plans.contains_key(id) {
                status.running = status.running.saturating_sub(1);
                status.waiting = 0;
            }
            self.planner.on_status(id, Some(status.clone()), self.now);
        }
        for effect in self.planner.next(&self.config, self.now) {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: OrderEffect) {
        match effect {
            OrderEffect::Start {
                target,
                kind,
                model,
                weights_version,
            } => {
                let plan = OrderPlan {
                    order_id: format!("{target}-{:?}", self.now),
                    target: target.clone(),
                    epoch: self.planner.epoch(),
                    kind,
                    model,
                    weights_version,
                    stage: Stage::Drain,
                    nonce: String::new(),
                };
                self.planner.on_plan(plan.clone());
                self.plans.insert(target, plan);
            }
            OrderEffect::Send { target } => {
                self.plans.get_mut(&target).unwrap().stage = Stage::Order;
                self.planner.on_plan(self.plans[&target].clone());
                self.planner.on_sent(&target, self.now);
                self.deliver_order(&target);
            }
            OrderEffect::Finish { target } => {
                self.plans.remove(&target);
                self.planner.on_finished(&target);
            }
        }
    }

    /// Delivers an order to an engine and checks that it interrupts nothing.
    fn deliver_order(&mut self, target: &TargetId) {
        let plan = self.plans[target].clone();
        let current = self.engines[target].0.clone();
        assert_eq!(
            current.running, 0,
            "the order would interrupt running requests"
        );
        if let Some(model) = current.loaded_model()
            && current.state == EngineState::Ready
            && self.config.fleet.models.contains_key(model)
        {
            assert!(
                self.ready_count(model) > 1,
                "{target} is the last target that serves {model}"
            );
        }
        self.sent.push((self.now, target.clone()));
        let (status, ends_at) = self.engines.get_mut(target).unwrap();
        *ends_at = self.now + LOAD_TIME;
        match plan.kind {
            OrderKind::Load => {
                status.state = EngineState::Loading;
                status.model = Some(plan.model);
                status.weights_version = Some(plan.weights_version);
            }
            OrderKind::Unload => (status.state, status.model) = (EngineState::Idle, None),
        }
    }

    /// Number of engines that are loading.
    fn loading_count(&self) -> usize {
        let statuses = self.engines.values().map(|(status, _)| status);
        statuses
            .filter(|status| status.state == EngineState::Loading)
            .count()
    }
}

/// Guards against a change of weights that takes a model's last target out of service, loads at too
/// many targets at once, or never completes. The lease holder changes at random times.
#[test]
fn a_change_of_weights_reaches_all_targets() {
    for seed in 0..20 {
        println!("seed {seed}");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<String> = (0..9).map(|index| format!("e{index}")).collect();
        let targets: serde_json::Map<_, _> = names
            .iter()
            .map(|name| (name.clone(), target(&["a", "b"], rng.next_u32() % 2 == 0)))
            .collect();
        let config = snapshot(json!({
            "models": { "a": { "weights_version": "2", "min_ready_targets": 3 },
                "b": { "weights_version": "2" } },
            "targets": targets,
            "orders": { "loads_at_a_time": 2, "weight_store_loads_per_min": 60 },
        }));
        let engines: Vec<_> = names
            .iter()
            .enumerate()
            .map(|(index, name)| {
                let model = if index < 5 { "a" } else { "b" };
                (
                    name.as_str(),
                    engine_status(model, "1", rng.next_u32() % 3, 0),
                )
            })
            .collect();
        let mut sim = Sim::new(config, &engines);
        for _ in 0..600 {
            sim.step();
            assert!(sim.ready_count("a") >= 1 && sim.ready_count("b") >= 1);
            assert!(sim.loading_count() <= 2);
            if rng.next_u32() % 40 == 0 {
                sim.take_over();
            }
        }
        for (status, _) in sim.engines.values() {
            assert!(status.has("a", "2") || status.has("b", "2"), "{status:?}");
        }
        assert!(sim.plans.is_empty());
    }
}

/// Guards against loads that ignore demand, and against a model that loses all its targets to
/// another one with higher demand.
#[test]
fn demand_decides_what_is_loaded_first() {
    let config = snapshot(json!({
        "models": { "idle": { "weights_version": "1" }, "busy": { "weights_version": "1" },
            "none": { "weights_version": "1" } },
        "targets": { "e1": target(&["idle", "busy"], true), "e2": target(&["idle", "busy"], true),
            "e3": target(&["busy"], true), "e4": target(&["busy", "none"], true),
            "e5": target(&["busy"], true) },
        "orders": { "loads_at_a_time": 1, "weight_store_loads_per_min": 6000 },
    }));
    let mut sim = Sim::new(
        config,
        &[
            ("e1", engine_status("idle", "1", 0, 0)),
            ("e2", engine_status("idle", "1", 0, 0)),
            ("e3", engine_status("busy", "1", 4, 9)),
            ("e4", engine_status("", "", 0, 0)),
            ("e5", engine_status("", "", 0, 0)),
        ],
    );
    for _ in 0..60 {
        sim.step();
    }
    let targets: Vec<&str> = sim.sent.iter().map(|(_, target)| &**target).collect();
    // First comes the model without a ready target, then the idle target, then one that its model
    // can spare.
    assert_eq!(targets[..2], ["e4", "e5"]);
    assert_eq!(sim.ready_count("none"), 1);
    assert!(sim.ready_count("idle") >= 1);
    assert_eq!(sim.ready_count("busy"), 3);
}

/// Guards against a new lease holder that sends an order to a target while one of an earlier holder
/// may still be in flight, if the target does not check fencing numbers.
#[test]
fn targets_without_fencing_get_no_order_while_an_earlier_one_may_be_in_flight() {
    let config = snapshot(json!({
        "models": { "a": { "weights_version": "1" } },
        "targets": { "fenced": target(&["a"], true), "unfenced": target(&["a"], false) },
    }));
    let engines = [
        ("fenced", engine_status("", "", 0, 0)),
        ("unfenced", engine_status("", "", 0, 0)),
    ];
    let mut sim = Sim::new(config, &engines);
    sim.config
        .fleet
        .models
        .values_mut()
        .for_each(|model| model.min_ready_targets = 2);
    for _ in 0..60 {
        sim.step();
    }
    let sent_at = |name: &str| sim.sent.iter().find(|(_, id)| &**id == name).unwrap().0;
    assert!(sent_at("fenced") < IN_FLIGHT_ORDER_TIMEOUT);
    assert!(sent_at("unfenced") >= IN_FLIGHT_ORDER_TIMEOUT);
}

/// Guards against a crashed engine whose unfinished order blocks all other loads forever.
#[test]
fn an_unresponsive_engine_does_not_block_the_others() {
    let config = snapshot(json!({
        "models": { "a": { "weights_version": "1", "min_ready_targets": 2 } },
        "targets": { "e1": target(&["a"], true), "e2": target(&["a"], true) },
        "orders": { "loads_at_a_time": 1, "weight_store_loads_per_min": 6000 },
    }));
    let mut sim = Sim::new(
        config,
        &[
            ("e1", engine_status("", "", 0, 0)),
            ("e2", engine_status("", "", 0, 0)),
        ],
    );
    while sim.sent.is_empty() {
        sim.step();
    }
    let (_, crashed) = sim.sent[0].clone();
    sim.engines.remove(&crashed);
    for _ in 0..200 {
        sim.planner.on_status(&crashed, None, sim.now);
        sim.step();
    }
    assert_eq!(sim.ready_count("a"), 1);
}

/// Stand-in of an engine's control interface.
struct EngineControlStandIn {
    /// Loaded model and its weights version.
    loaded: RefCell<(String, String)>,
    orders: RefCell<Vec<Value>>,
    highest_fence: Cell<u64>,
}

impl EngineControlStandIn {
    fn handle_order(&self, order: Value) -> Response<Body> {
        let fence = order["fence"].as_u64().unwrap();
        if fence < self.highest_fence.get() {
            return json_response(StatusCode::CONFLICT, &json!({ "error": "stale fence" }));
        }
        self.highest_fence.set(fence);
        let field = |name: &str| order[name].as_str().unwrap().to_owned();
        self.loaded
            .replace((field("model"), field("weights_version")));
        self.orders.borrow_mut().push(order);
        json_response(StatusCode::OK, &json!({}))
    }
}

impl StandIn for EngineControlStandIn {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == "/v1/orders" {
            let body = collect_limited(request.into_body(), 1 << 20).await;
            let order = serde_json::from_slice(&body.unwrap().unwrap()).unwrap();
            return self.handle_order(order);
        }
        let (model, version) = self.loaded.borrow().clone();
        let state = if model.is_empty() { "idle" } else { "ready" };
        let load = json!({ "incarnation": 1, "model": model, "weights_version": version,
            "running": 0, "waiting": 0, "max_running": 4, "cached_blocks": 0, "state": state });
        json_response(StatusCode::OK, &load)
    }
}

fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = status;
    response
}

/// A lease that is lost after a number of checks.
struct FakeLease {
    checks_left: Cell<u32>,
}

impl LeaseService for FakeLease {
    fn acquire(&self, object_key: &str) -> LocalBoxFuture<'static, Option<HeldLease>> {
        let lease = HeldLease {
            object_key: object_key.to_owned(),
            epoch: 1,
        };
        async move { Some(lease) }.boxed_local()
    }

    fn held(&self, _object_key: &str) -> Option<HeldLease> {
        None
    }

    fn is_held(&self, _lease: &HeldLease) -> bool {
        let left = self.checks_left.get();
        self.checks_left.set(left.saturating_sub(1));
        left > 0
    }

    fn release(&self, _lease: HeldLease) -> LocalBoxFuture<'static, ()> {
        async {}.boxed_local()
    }
}

/// Guards against an order that is sent after the lease was lost, and against an unfinished order
/// that the next holder drops or starts again under another id.
#[test]
fn no_order_is_sent_without_the_lease_and_the_next_holder_resumes_it() {
    run(async {
        let engine = Rc::new(EngineControlStandIn {
            loaded: RefCell::default(),
            orders: RefCell::default(),
            highest_fence: Cell::new(0),
        });
        let engine_handle = StandInHandle::start(engine.clone()).unwrap();
        let platform = Platform::new();
        let platform_handle = StandInHandle::start(platform.clone()).unwrap();
        let settings = json!({
            "instance": { "peer_address": free_address(), "failure_domain": "a", "region": "r",
                "cluster_key": "test cluster key" },
            "listen": { "client_address": free_address(), "admin_address": free_address() },
            "platform": { "address": platform_handle.address() },
        });
        let context = new_context(serde_json::from_value(settings).unwrap()).unwrap();
        let state = ConfigState::new(&context);
        let mut config = snapshot(json!({
            "models": { "a": { "weights_version": "1" } },
            "targets": { "e1": target(&["a"], true) },
        }));
        config.fleet.targets.get_mut("e1").unwrap().address = engine_handle.address();
        state.apply_snapshot(config);
        let service: Rc<dyn ConfigService> = Rc::new(state);
        context.provide(service);
        let service: Rc<dyn MemberService> = Rc::new(MemberTable::new(&context));
        context.provide(service);

        let plan = || platform.get(&format!("{PLAN_PREFIX}e1"));
        let run_dispatcher = |epoch: u64, checks: u32| {
            let lease = HeldLease {
                object_key: ORDER_LEASE.to_owned(),
                epoch,
            };
            let leases = Rc::new(FakeLease {
                checks_left: Cell::new(checks),
            });
            OrderDispatcher::new(&context, leases, lease).run()
        };
        // The lease is lost at each check in turn. With 3 checks, the first run ends after the plan
        // is written, and the next one after its second stage is written but before the order is
        // sent.
        for (epoch, checks) in [(1, 0), (2, 1), (3, 2), (4, 3), (5, 3)] {
            assert!(run_dispatcher(epoch, checks).await.is_none());
            assert!(engine.orders.borrow().is_empty(), "after {checks} checks");
        }
        assert_eq!(plan().unwrap()["stage"], "order");
        let order_id = plan().unwrap()["order_id"].clone();
        let last_run = compio::runtime::spawn(run_dispatcher(100, u32::MAX));
        eventually("the order is executed and its plan deleted", || async {
            plan().is_none().then_some(())
        })
        .await;
        drop(last_run);
        let orders = engine.orders.borrow();
        assert_eq!(orders.len(), 1);
        assert_eq!(orders[0]["order_id"], order_id);
        assert_eq!(orders[0]["fence"], 100);
    });
}
