//! Sound engines that fall silent for about a second at random and go on.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use super::faulty_responses::{stream_head, stream_part};
use super::{Deployment, KEY};
use crate::support::{ReceivedRequest, Reply, ScriptedTarget, Step, eventually, run};

const EVENTS: u64 = 5;

/// Probability of a pause before the head and before each event.
const PAUSE_PROBABILITY: f64 = 0.2;

const PROMPTS: usize = 200;
const PROMPTS_PER_S: f64 = 16.7;

const DEADLINE: Duration = Duration::from_secs(6);

fn stream_with_pauses(request: &ReceivedRequest, random: &mut StdRng) -> Reply {
    let first = request.last_event.map_or(1, |last| last + 1);
    let mut parts = vec![stream_head(request)];
    parts.extend((first..=EVENTS).map(|event| stream_part(event..=event)));
    let mut steps = Vec::new();
    for part in parts {
        if random.random_bool(PAUSE_PROBABILITY) {
            let pause_ms = random.random_range(900..=1400);
            steps.push(Step::Pause(Duration::from_millis(pause_ms)));
        }
        steps.push(Step::Send(part));
    }
    steps.push(Step::Send("0\r\n\r\n".to_owned()));
    Reply {
        steps,
        closes: false,
    }
}

/// Guards against prompts that are refused while about half of the engines' slots are free, because pauses of
/// single responses are taken for load.
#[test]
fn prompts_are_not_refused_while_pausing_engines_have_free_slots() {
    run(async {
        let deployment = Deployment::new();
        for (id, _) in &deployment.handles {
            deployment.store.remove("servers", id);
        }
        let ids = ["e1", "e2", "e3", "e4", "e5", "e6"];
        let targets = (0u64..).zip(ids).map(|(seed, id)| {
            let random = Mutex::new(StdRng::seed_from_u64(seed));
            let target = ScriptedTarget::start(move |request| {
                stream_with_pauses(request, &mut random.lock().unwrap())
            });
            deployment.put_target_at(id, target.address(), "ready", 2, 1);
            target
        });
        let targets: Vec<_> = targets.collect();
        let mut config = Deployment::configuration(6, &[KEY], &[]);
        config["routes"][2]["timeout_ms"] = json!(DEADLINE.as_millis() as u64);
        deployment.store.put("config", "main", config);
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        eventually("a stream is complete", || async {
            let response = instance.send_prompt_of_parts("f", "/ask/x", "f:1200").await;
            (response.status == 200).then_some(())
        })
        .await;
        let started = Instant::now();
        let prompts = (0..PROMPTS).map(|number| {
            let due = started + Duration::from_secs_f64(number as f64 / PROMPTS_PER_S);
            let id = format!("a{number:04}");
            let instance = &instance;
            async move {
                compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
                let parts = format!("{id}:1200");
                let response = instance
                    .send_prompt_with_deadline(&id, "/ask/x", &parts, DEADLINE)
                    .await;
                response.status
            }
        });
        let mut statuses = BTreeMap::new();
        for status in join_all(prompts).await {
            *statuses.entry(status).or_insert(0) += 1;
        }
        // A few streams have pauses that add up to more than their deadline, and end early.
        let refused = statuses.keys().filter(|status| ![0, 200].contains(status));
        assert_eq!(refused.count(), 0, "{statuses:?}");
        assert!(targets.iter().all(|target| !target.received().is_empty()));
    });
}
