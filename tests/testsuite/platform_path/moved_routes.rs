//! Routes that move to another service while requests wait in the queue of the first one.

use std::time::Duration;

use serde_json::{Value, json};

use super::scripted_deployment::{is_complete, stream, wait_until_prompts_complete};
use super::{Deployment, KEY, RunningInstance};
use crate::support::{ReceivedRequest, Reply, ScriptedTarget, TestResponse, eventually, run};

/// A change of the configuration.
type Change = fn(&mut Value);

/// Time for which the only engine of the first service is busy.
const BUSY_TIME: Duration = Duration::from_millis(2_600);

/// Two models with one engine each, which has one slot.
struct Setup {
    deployment: Deployment,
    instance: RunningInstance,
    engines: [ScriptedTarget; 2],
}

impl Setup {
    async fn start() -> Self {
        let deployment = Deployment::new();
        let script = |request: &ReceivedRequest| -> Reply {
            match request.id.starts_with("busy") {
                true => stream(request, &[(1, BUSY_TIME.as_millis() as u64)]),
                false => stream(request, &[]),
            }
        };
        let engines = ["llm", "llm2"].map(|service| {
            let engine = ScriptedTarget::start(script);
            let entry = json!({ "service": service, "address": engine.address(), "zone": "a",
                "version": "v1", "slots": 1, "state": "ready", "sequence": 3, "born": 2,
                "models": [{ "name": "m", "version": 1, "adapters": [] }] });
            deployment
                .store
                .put("servers", &format!("e-{service}"), entry);
            engine
        });
        for other in ["e1", "e2"] {
            deployment.store.remove("servers", other);
        }
        put_config(&deployment, 6, |_| {});
        let instance = deployment.start("n1", "").await;
        wait_until_prompts_complete(&instance).await;
        Self {
            deployment,
            instance,
            engines,
        }
    }

    /// Changes the routes while a request waits behind another one. Returns the response to it.
    async fn response_beside(&self, change: Change) -> TestResponse {
        let busy = self
            .instance
            .send_prompt_of_parts("busy", "/tell/x", "a:1200");
        let waiting = async {
            eventually("the engine is busy", || async {
                (self.arrivals("busy") == [1, 0]).then_some(())
            })
            .await;
            let waiting = self.instance.send_prompt_of_parts("r", "/ask/x", "b:1200");
            let change = async {
                compio::time::sleep(Duration::from_millis(300)).await;
                assert_eq!(self.arrivals("r"), [0, 0], "the request waits");
                put_config(&self.deployment, 7, change);
            };
            futures_util::join!(waiting, change).0
        };
        let (busy, response) = futures_util::join!(busy, waiting);
        assert!(is_complete(&busy), "{}", busy.body);
        response
    }

    /// Returns how often a request has reached each engine.
    fn arrivals(&self, id: &str) -> [usize; 2] {
        self.engines.each_ref().map(|engine| {
            let received = engine.received();
            received.iter().filter(|request| request.id == id).count()
        })
    }
}

/// Writes a configuration in which both models have one slot.
fn put_config(deployment: &Deployment, version: u64, change: impl Fn(&mut Value)) {
    let mut config = Deployment::configuration(version, &[KEY], &[]);
    config["services"][1]["engine"]["slots"] = json!(1);
    let mut other = config["services"][1].clone();
    other["name"] = json!("llm2");
    config["services"].as_array_mut().unwrap().push(other);
    change(&mut config);
    deployment.store.put("config", "main", config);
}

/// Guards against a request that is refused, or waits on, because its route moves while it waits.
#[test]
fn a_waiting_request_is_admitted_to_the_service_that_its_route_moved_to() {
    run(async {
        let setup = Setup::start().await;
        let response = setup
            .response_beside(|config| config["routes"][2]["service"] = json!("llm2"))
            .await;
        assert!(
            is_complete(&response),
            "{} {}",
            response.status,
            response.body
        );
        assert_eq!(setup.arrivals("r"), [0, 1]);
    });
}

/// Guards against a waiting request that is sent although its route or its key was withdrawn meanwhile.
#[test]
fn a_waiting_request_without_a_route_or_key_is_refused() {
    run(async {
        let changes: [(Change, u16); 2] = [
            (|config| config["routes"] = json!([]), 404),
            (
                |config| config["tenants"][0]["api_keys"] = json!(["another key"]),
                401,
            ),
        ];
        for (change, status) in changes {
            let setup = Setup::start().await;
            let response = setup.response_beside(change).await;
            assert_eq!(response.status, status, "{}", response.body);
            assert_eq!(setup.arrivals("r"), [0, 0]);
        }
    });
}
