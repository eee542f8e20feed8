//! Roll-outs of a plain service by version, through two instances.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jujubelink_standins::StandInHandle;
use jujubelink_standins::fleet::{FaultPlan, FleetTarget, TargetFault};
use serde_json::{Value, json};

use super::{Deployment, RunningInstance, eventually};
use crate::support::run;

const SETTINGS: &str = "features = [\"other\", \"rollout\"]";

/// Duration of the orders, in seconds.
const DURATION_S: u64 = 8;

/// Two servers of the new version beside the old ones, `s1` and `s2`.
struct NewServers {
    servers: Vec<Rc<FleetTarget>>,
    _handles: Vec<StandInHandle>,
}

impl NewServers {
    fn start(deployment: &Deployment, faults: &FaultPlan) -> Self {
        let servers: Vec<_> = ["s3", "s4"]
            .iter()
            .map(|id| FleetTarget::new(id, faults))
            .collect();
        let handles: Vec<_> = servers
            .iter()
            .map(|server| StandInHandle::start(Rc::clone(server)).unwrap())
            .collect();
        for (server, handle) in servers.iter().zip(&handles) {
            let entry = json!({ "service": "app", "address": handle.address(), "zone": "a",
                "version": "v2", "slots": 8, "state": "ready", "models": [], "born": 100 });
            deployment.store.put("servers", server.id(), entry);
        }
        Self {
            servers,
            _handles: handles,
        }
    }

    fn runs(&self) -> u64 {
        self.servers.iter().map(|server| server.runs()).sum()
    }
}

fn put_order(deployment: &Deployment, service: &str, target: &str) {
    let spec = json!({ "service": service, "target": target, "duration_s": DURATION_S });
    deployment.store.put("rollouts", service, spec);
}

fn state(deployment: &Deployment, service: &str) -> Value {
    deployment.store.status("rollouts", service)["state"].clone()
}

async fn send_until(instances: &[RunningInstance], is_done: &Cell<bool>, refused: &Cell<u64>) {
    let client = |number: usize| async move {
        let mut count = 0;
        while !is_done.get() {
            let instance = &instances[number % instances.len()];
            let id = format!("{number}-{count}");
            let response = instance.send_request(&id, "GET", "/read/x").await;
            refused.set(refused.get() + u64::from(response.status == 503 || response.status == 0));
            count += 1;
            compio::time::sleep(Duration::from_millis(15)).await;
        }
    };
    futures_util::future::join_all((0..6).map(client)).await;
}

/// Runs an order under load until it is decided. Returns the final state and the time that it took.
async fn roll_out(
    deployment: &Deployment,
    instances: &[RunningInstance],
) -> (Value, Duration, u64) {
    let (is_done, refused) = (Cell::new(false), Cell::new(0));
    let started = Instant::now();
    let decide = async {
        compio::time::sleep(Duration::from_millis(300)).await;
        put_order(deployment, "app", "v2");
        let end = Instant::now() + Duration::from_secs(DURATION_S + 5);
        while !matches!(
            state(deployment, "app").as_str(),
            Some("completed" | "rolled_back")
        ) && Instant::now() < end
        {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        let took = started.elapsed();
        // The instances learn of the status.
        compio::time::sleep(Duration::from_secs(2)).await;
        is_done.set(true);
        took
    };
    let (took, ()) =
        futures_util::future::join(decide, send_until(instances, &is_done, &refused)).await;
    (state(deployment, "app"), took, refused.get())
}

async fn start_two(deployment: &Deployment) -> Vec<RunningInstance> {
    let instances = vec![
        deployment.start("n1", SETTINGS).await,
        deployment.start("n2", SETTINGS).await,
    ];
    for instance in &instances {
        instance.wait_ready().await;
        instance.wait_status("the service responds", 200).await;
    }
    instances
}

/// Guards against a good version that is not completed in time, against requests at it before the order, and
/// against requests at the old one afterwards.
#[test]
fn a_good_version_is_completed() {
    run(async {
        let deployment = Deployment::new();
        let instances = start_two(&deployment).await;
        let new = NewServers::start(&deployment, &FaultPlan::default());
        compio::time::sleep(Duration::from_millis(800)).await;
        for index in 0..20 {
            let id = format!("before-{index}");
            assert_eq!(
                instances[0]
                    .send_request(&id, "GET", "/read/x")
                    .await
                    .status,
                200
            );
        }
        assert_eq!(new.runs(), 0, "requests before the order");
        let (state, took, refused) = roll_out(&deployment, &instances).await;
        println!(
            "{state} after {took:?}, {} at the new version, {refused} refused",
            new.runs()
        );
        assert_eq!(state, "completed");
        assert!(took < Duration::from_secs(DURATION_S), "{took:?}");
        assert_eq!(refused, 0);
        let written: Vec<_> = deployment.store.written_statuses();
        let states: Vec<_> = written
            .iter()
            .map(|(_, status)| status["state"].clone())
            .collect();
        assert_eq!(states, ["running", "completed"]);
        let old_runs = || {
            deployment
                .services
                .iter()
                .map(|server| server.runs())
                .sum::<u64>()
        };
        let before = old_runs();
        for index in 0..20 {
            let id = format!("after-{index}");
            assert_eq!(
                instances[1]
                    .send_request(&id, "GET", "/read/x")
                    .await
                    .status,
                200
            );
        }
        assert_eq!(
            old_runs(),
            before,
            "requests at the old version after the order"
        );
    });
}

/// Guards against a version that fails every second request and is not rolled back, or still gets requests
/// then; and against an order for a version without servers that has no end.
#[test]
fn a_failing_version_is_rolled_back() {
    run(async {
        let deployment = Deployment::new();
        let instances = start_two(&deployment).await;
        let faults = FaultPlan::default();
        faults
            .borrow_mut()
            .extend((0..10_000).map(|i| (i % 2 == 0).then_some(TargetFault::Fail)));
        let new = NewServers::start(&deployment, &faults);
        put_order(&deployment, "llm", "v7");
        let (final_state, took, _) = roll_out(&deployment, &instances).await;
        println!(
            "{final_state} after {took:?}, {} at the new version",
            new.runs()
        );
        assert_eq!(final_state, "rolled_back");
        let before = new.runs();
        assert!(before < 150, "{before} requests at the failing version");
        for index in 0..20 {
            let id = format!("after-{index}");
            assert_eq!(
                instances[1]
                    .send_request(&id, "GET", "/read/x")
                    .await
                    .status,
                200
            );
        }
        assert_eq!(new.runs(), before, "requests after the roll-back");
        eventually("the order without servers ends", || async {
            (state(&deployment, "llm") == "rolled_back").then_some(())
        })
        .await;
    });
}

/// Guards against reads or writes of orders on deployments that do not ask for roll-outs.
#[test]
fn nothing_is_written_without_the_feature() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("features = [\"pressure\"]").await;
        let new = NewServers::start(&deployment, &FaultPlan::default());
        put_order(&deployment, "app", "v2");
        eventually("the new version is served as before", || async {
            let response = instance.send_request("r", "GET", "/read/x").await;
            (response.status == 200 && new.runs() > 0).then_some(())
        })
        .await;
        assert!(deployment.store.written_statuses().is_empty());
    });
}
