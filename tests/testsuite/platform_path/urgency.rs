//! Priorities that engines get, and waits for them, with and without the feature `pressure`.

use std::time::Duration;

use super::scripted_deployment::{
    ScriptedDeployment, assert_complete, broken_stream, refusal_when_full, stream,
};
use crate::support::{ReceivedRequest, Reply, run};

const PRESSURE: &str = "features = [\"other\", \"pressure\"]";

/// Configured priority of the route.
const CONFIGURED: Option<u8> = Some(1);

fn breaks_off_first(request: &ReceivedRequest, attempt: usize) -> Reply {
    match attempt {
        0 => broken_stream(request),
        _ => stream(request, &[]),
    }
}

async fn priorities(settings: &str) -> Vec<Option<u8>> {
    let setup = ScriptedDeployment::start(&["e1", "e2"], settings, breaks_off_first).await;
    assert_complete([("r1", setup.ask("r1").await)]);
    let arrivals = setup.arrivals("r1");
    let priorities = arrivals.iter().map(|(_, request)| request.priority);
    priorities.collect()
}

/// Guards against engines that run long requests before urgent ones, and against a changed priority where
/// the deployment does not ask for it. The objective is 3 s, of which 2.25 s are left.
#[test]
fn engines_get_priorities_by_urgency_if_the_deployment_asks_for_it() {
    run(async {
        assert_eq!(priorities(PRESSURE).await, [Some(4), Some(0)]);
        assert_eq!(priorities("").await, [CONFIGURED, CONFIGURED]);
        assert_eq!(priorities("features = [\"other\"]").await, [CONFIGURED; 2]);
    });
}

/// Guards against clients that are asked to return all at once after a refusal by all engines.
#[test]
fn refused_clients_are_asked_to_return_at_different_times() {
    run(async {
        let setup = ScriptedDeployment::start(&["e1", "e2"], PRESSURE, |request, _| {
            refusal_when_full(request)
        });
        let setup = setup.await;
        let mut delays = Vec::new();
        for number in 0..4 {
            let response = setup.ask(&format!("r{number}")).await;
            assert_eq!(response.status, 503, "{}", response.body);
            let body: serde_json::Value = serde_json::from_str(&response.body).unwrap();
            delays.push(body["error"]["retry_after_ms"].as_u64().unwrap());
        }
        let bound = Duration::from_secs(2).as_millis() as u64;
        assert!(
            delays.iter().all(|delay| (1..bound).contains(delay)),
            "{delays:?}"
        );
        delays.sort_unstable();
        delays.dedup();
        assert!(delays.len() > 1, "{delays:?}");
    });
}
