//! An instance with targets that answer according to a script.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::faulty_responses::{refusal, stream_head, stream_part};
use super::{Deployment, KEY, RunningInstance, expected_events};
use crate::support::{
    ReceivedRequest, Reply, ScriptedTarget, Step, TestResponse, WAIT_TIMEOUT, eventually,
};

/// Number of events in a complete stream.
pub(super) const EVENTS: u64 = 5;

/// Deadline of the prompts; it is also the timeout of their routes.
pub(super) const DEADLINE: Duration = Duration::from_secs(4);

/// Time for which two targets may run a request.
pub(super) const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Pause of a target that is silent for good.
pub(super) const SILENCE: Duration = Duration::from_secs(2 * WAIT_TIMEOUT.as_secs());

/// Settings without any budget for sending a request again.
pub(super) const NO_RESENDS: &str = "resend_ratio = 0.0\nresend_slack = 0.0";

/// An instance whose targets answer according to one script.
pub(super) struct ScriptedDeployment {
    pub(super) deployment: Deployment,
    pub(super) instance: RunningInstance,
    pub(super) targets: Vec<ScriptedTarget>,
}

/// Starts the targets in `ids`, which are the only ones in service. `script` gets each request and the
/// number of its earlier arrivals at any of them.
pub(super) fn deploy(
    ids: &[&str],
    script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static,
) -> (Deployment, Vec<ScriptedTarget>) {
    let deployment = Deployment::new();
    let arrivals = Mutex::new(HashMap::<String, usize>::new());
    let script = Arc::new(move |request: &ReceivedRequest| {
        if request.id.starts_with("warm-up") {
            return stream(request, &[]);
        }
        let attempt = {
            let mut arrivals = arrivals.lock().unwrap();
            let count = arrivals.entry(request.id.clone()).or_default();
            *count += 1;
            *count - 1
        };
        script(request, attempt)
    });
    for (id, _) in &deployment.handles {
        deployment.store.remove("servers", id);
    }
    let targets = ids.iter().map(|id| {
        let script = Arc::clone(&script);
        let target = ScriptedTarget::start(move |request| script(request));
        deployment.put_target_at(id, target.address(), "ready", 2, 1);
        target
    });
    let targets = targets.collect();
    (deployment, targets)
}

impl ScriptedDeployment {
    pub(super) async fn start(
        ids: &[&str],
        settings: &str,
        script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let (deployment, targets) = deploy(ids, script);
        let instance = deployment.start("n1", settings).await;
        wait_until_prompts_complete(&instance).await;
        Self {
            deployment,
            instance,
            targets,
        }
    }

    /// Starts an instance with so many attempts for streams that may be resumed.
    pub(super) async fn start_with_attempts(
        deployment: Deployment,
        targets: Vec<ScriptedTarget>,
        max_attempts: u32,
        settings: &str,
    ) -> Self {
        let mut config = Deployment::configuration(6, &[KEY], &[]);
        config["routes"][2]["max_attempts"] = json!(max_attempts);
        deployment.store.put("config", "main", config);
        let instance = deployment.start("n1", settings).await;
        wait_until_prompts_complete(&instance).await;
        Self {
            deployment,
            instance,
            targets,
        }
    }

    /// Sends a request for a stream that may be resumed.
    pub(super) async fn ask(&self, id: &str) -> TestResponse {
        send_prompt(&self.instance, id, "/ask/x").await
    }

    /// Waits until a request has reached a target.
    pub(super) async fn wait_for_arrival(&self, id: &str) {
        eventually("the request reaches a target", || async {
            (!self.arrivals(id).is_empty()).then_some(())
        })
        .await;
    }

    /// Returns the arrivals of a request, in their order.
    pub(super) fn arrivals(&self, id: &str) -> Vec<(&ScriptedTarget, ReceivedRequest)> {
        let all = self.targets.iter().flat_map(|target| {
            let received = target.received().into_iter();
            received.map(move |request| (target, request))
        });
        let mut arrivals: Vec<_> = all.filter(|(_, request)| request.id == id).collect();
        arrivals.sort_by_key(|(_, request)| request.arrived_at);
        arrivals
    }

    /// Waits until no target answers a request, and checks that none ran it for long while a later one
    /// did. A run starts with its first event.
    pub(super) async fn assert_runs_at_one_target(&self, id: &str) {
        let mut runs: Vec<(Instant, Instant)> = Vec::new();
        for (target, request) in self.arrivals(id) {
            let times = eventually("the reply ends", || async {
                let times = target.reply_times(&request);
                times.ended_at.map(|ended_at| (times, ended_at))
            });
            let (times, ended_at) = times.await;
            if let Some(started_at) = times.parts_sent_at.get(1) {
                runs.push((*started_at, ended_at));
            }
        }
        for (index, (started_at, ended_at)) in runs.iter().enumerate() {
            for (_, earlier_ended_at) in &runs[..index] {
                let end = earlier_ended_at.min(ended_at);
                let overlap = end.saturating_duration_since(*started_at);
                assert!(
                    overlap < MAX_OVERLAP,
                    "{id}: at two targets for {overlap:?}"
                );
            }
        }
    }
}

/// Waits until the instance admits prompts: a new one has no tokens of the workspace's rate limit yet.
pub(super) async fn wait_until_prompts_complete(instance: &RunningInstance) {
    instance.wait_ready().await;
    let number = Cell::new(0);
    eventually("a stream is complete", || async {
        number.set(number.get() + 1);
        let id = format!("warm-up-{}", number.get());
        let response = send_prompt(instance, &id, "/ask/x").await;
        is_complete(&response).then_some(())
    })
    .await;
}

/// Sends a prompt that has no parts in common with others.
pub(super) async fn send_prompt(instance: &RunningInstance, id: &str, path: &str) -> TestResponse {
    let parts = format!("{id}:1200");
    instance
        .send_prompt_with_deadline(id, path, &parts, DEADLINE)
        .await
}

/// Number of events that a response has sent before a pause, and the length of the pause in milliseconds.
pub(super) type Pause = (u64, u64);

/// Returns a stream that goes on after the last event of the request.
pub(super) fn stream(request: &ReceivedRequest, pauses: &[Pause]) -> Reply {
    let first = request.last_event.map_or(1, |last| last + 1);
    let mut steps = vec![Step::Send(stream_head(request))];
    for event in first..=EVENTS {
        let pauses = pauses.iter().filter(|(sent, _)| *sent == event - first);
        steps.extend(pauses.map(|(_, ms)| Step::Pause(Duration::from_millis(*ms))));
        steps.push(Step::Send(stream_part(event..=event)));
    }
    steps.push(Step::Send("0\r\n\r\n".to_owned()));
    Reply {
        steps,
        closes: false,
    }
}

/// Returns the head of a stream and some events, after which the target sends nothing more.
pub(super) fn silent_stream(request: &ReceivedRequest, events: u64) -> Reply {
    stream(request, &[(events, SILENCE.as_millis() as u64)])
}

/// Returns the head of a stream and the next two events, after which the connection closes.
pub(super) fn broken_stream(request: &ReceivedRequest) -> Reply {
    let first = request.last_event.map_or(1, |last| last + 1);
    Reply::closed(stream_head(request) + &stream_part(first..=first + 1))
}

/// Returns a refusal by a target that has no free slot.
pub(super) fn refusal_when_full(request: &ReceivedRequest) -> Reply {
    let load = "\r\njujubelink-server-load: 8,4,8\r\n";
    Reply::kept(refusal(&request.id).replacen("\r\n", load, 1))
}

pub(super) fn is_complete(response: &TestResponse) -> bool {
    response.status == 200 && response.body == expected_events(1..=EVENTS)
}

/// Checks that all responses, which are given with a name of their case, are complete.
pub(super) fn assert_complete<'a>(responses: impl IntoIterator<Item = (&'a str, TestResponse)>) {
    let incomplete: Vec<_> = responses
        .into_iter()
        .filter(|(_, response)| !is_complete(response))
        .map(|(case, response)| (case, response.status, response.body))
        .collect();
    assert!(incomplete.is_empty(), "{incomplete:#?}");
}

/// Checks that a response is complete, or that the client can tell that it is not.
pub(super) fn assert_complete_or_interrupted(what: &str, response: &TestResponse) {
    let is_interrupted =
        response.status == 0 && expected_events(1..=EVENTS).starts_with(&response.body);
    assert!(
        is_interrupted || is_complete(response),
        "{what}: {} {}",
        response.status,
        response.body
    );
}

pub(super) fn change_routes(config: &mut Value, change: impl Fn(&mut Value)) {
    let routes = config["routes"].as_array_mut().unwrap();
    routes.iter_mut().for_each(change);
}

pub(super) fn other_service(route: &Value) -> Value {
    json!(format!("{}2", route["service"].as_str().unwrap()))
}

/// Returns a configuration with a second service beside each one, whose name ends with `2`.
pub(super) fn paired_configuration(version: u64, slots: u64, max_attempts: usize) -> Value {
    let mut config = Deployment::configuration(version, &[KEY, "another key"], &[]);
    let services = config["services"].as_array_mut().unwrap();
    services[1]["engine"]["slots"] = json!(slots);
    services[1]["engine"]["kv_capacity"] = json!(1_000_000);
    for index in 0..2 {
        let mut service = services[index].clone();
        service["name"] = json!(format!("{}2", service["name"].as_str().unwrap()));
        services.push(service);
    }
    change_routes(&mut config, |route| {
        route["timeout_ms"] = json!(10_000);
        route["max_attempts"] = json!(max_attempts);
    });
    config
}

/// Returns the store's entry of a target whose id is the name of its service and a number.
pub(super) fn target_entry(
    id: &str,
    address: SocketAddr,
    slots: u64,
    state: &str,
    incarnation: u64,
) -> Value {
    let (service, _) = id.split_once('-').unwrap();
    let models = match service.starts_with("llm") {
        true => json!([{ "name": "m", "version": 1, "adapters": [] }]),
        false => json!([]),
    };
    json!({ "service": service, "address": address, "zone": "a", "version": "v1", "slots": slots,
        "state": state, "models": models, "sequence": 3, "born": incarnation })
}
