//! Targets that send nothing for a while and go on, or never go on.

use std::process::Stdio;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use jujubelink_standins::fleet::StoreMode;
use serde_json::{Value, json};

use super::faulty_responses::{refusal, response_head, success};
use super::scripted_deployment::{
    DEADLINE, NO_RESENDS, Pause, SILENCE, ScriptedDeployment, assert_complete,
    assert_complete_or_interrupted, broken_stream, deploy, refusal_when_full, send_prompt,
    silent_stream, stream, wait_until_prompts_complete,
};
use super::{Deployment, KEY, expected_events, read_lines};
use crate::support::{
    ReceivedRequest, Reply, Step, TestResponse, WAIT_TIMEOUT, eventually, free_address, run,
};

/// Longest event gap of a route. An engine counts as silent after four of them.
const EVENT_GAP_MS: u64 = 250;

/// Event gap of a route whose engine counts as silent only once a change must be in force.
const LONG_EVENT_GAP_MS: u64 = 600;

/// Name of a change after which the key of the client is unknown.
const WITHDRAWN_KEY: &str = "withdrawn key";

/// Guards against a stream that ends early because the engine that resumes it pauses as well.
#[test]
fn a_stream_is_complete_although_every_engine_pauses() {
    run(async {
        let rows: [(&str, u64, &[Pause]); 5] = [
            ("1.05 s", 1_050, &[(2, 1_050)]),
            ("1.2 s", 1_200, &[(2, 1_200)]),
            (
                "1.2 s, the next engine before its first event",
                1_200,
                &[(0, 1_200)],
            ),
            (
                "1.2 s, both engines go on at once",
                1_200,
                &[(0, 200), (1, 1_200)],
            ),
            ("1.4 s", 1_400, &[(2, 1_400)]),
        ];
        let responses =
            join_all(rows.map(|(case, pause_ms, later_pauses)| async move {
                let setup =
                    ScriptedDeployment::start(&["e1", "e2"], "", move |request, attempt| {
                        match attempt {
                            0 => stream(request, &[(2, pause_ms)]),
                            _ => stream(request, later_pauses),
                        }
                    });
                let setup = setup.await;
                let response = setup.ask("r").await;
                setup.assert_runs_at_one_target("r").await;
                (case, response)
            }));
        assert_complete(responses.await);
    });
}

/// Guards against a stream that ends early because it may not be sent to another engine.
#[test]
fn a_paused_stream_is_complete_without_a_resend_budget() {
    run(async {
        let script = |request: &ReceivedRequest, _| stream(request, &[(2, 1_200)]);
        let setup = ScriptedDeployment::start(&["e1", "e2"], NO_RESENDS, script).await;
        assert_complete([("r", setup.ask("r").await)]);
        assert_eq!(setup.arrivals("r").len(), 1);
    });
}

/// Guards against a request that fails long before its deadline, although it may not be sent again.
#[test]
fn a_late_head_is_delivered_without_a_resend_budget() {
    run(async {
        let ids = ["s1", "s2", "e1", "e2"];
        let setup = ScriptedDeployment::start(&ids, NO_RESENDS, |request, _| {
            let delay = Duration::from_millis(1_800);
            match request.path.starts_with("/read/") {
                true => Reply::kept(success(request, "ok")).with_delay(delay),
                false => stream(request, &[]).with_delay(delay + delay / 3),
            }
        });
        let setup = setup.await;
        let (plain, streamed) = futures_util::join!(
            setup.instance.send_request("p", "GET", "/read/x"),
            setup.ask("r")
        );
        assert_eq!((plain.status, &*plain.body), (200, "ok"));
        assert_complete([("r", streamed)]);
        assert_eq!(
            (setup.arrivals("p").len(), setup.arrivals("r").len()),
            (1, 1)
        );
    });
}

/// Guards against a stream that ends early because no other engine can take it over.
#[test]
fn a_paused_stream_goes_on_at_its_engine_if_no_other_one_takes_it() {
    run(async {
        let pauses = |request: &ReceivedRequest, _| stream(request, &[(2, 1_200)]);
        let only_one = async {
            let setup = ScriptedDeployment::start(&["e1"], "", pauses).await;
            ("one engine", setup.ask("r").await)
        };
        let refuses = async {
            let setup =
                ScriptedDeployment::start(&["e1", "e2"], "", |request, attempt| match attempt {
                    0 => stream(request, &[(2, 1_200)]),
                    _ => refusal_when_full(request),
                });
            ("a refusal", setup.await.ask("r").await)
        };
        let unreachable = async {
            let setup = ScriptedDeployment::start(&["e1"], "", pauses).await;
            let (response, ()) = futures_util::join!(setup.ask("r"), async {
                setup.wait_for_arrival("r").await;
                let address = free_address();
                setup.deployment.put_target_at("e2", address, "ready", 3, 1);
            });
            ("an unreachable engine", response)
        };
        let responses = futures_util::join!(only_one, refuses, unreachable);
        assert_complete(<[_; 3]>::from(responses));
    });
}

/// Requests a stream, and changes the configuration after it has reached an engine. Returns the response
/// for each change of the route, and for a withdrawn key.
async fn ask_beside_changes(
    max_event_gap_ms: u64,
    script: impl Fn(&ReceivedRequest, usize) -> Reply + Copy + Send + Sync + 'static,
) -> Vec<(&'static str, TestResponse)> {
    let with_services = |keys: &[&str]| {
        let mut config = Deployment::configuration(6, keys, &[]);
        let mut other = config["services"][1].clone();
        other["name"] = json!("other");
        config["services"].as_array_mut().unwrap().push(other);
        config
    };
    let split = |first: u32, second: u32| json!([{ "service": "llm", "weight": first }, { "service": "other", "weight": second }]);
    let mut before = with_services(&[KEY]);
    before["routes"][2]["gap_aim_ms"] = json!(max_event_gap_ms);
    before["routes"][2]["traffic_split"] = split(1, 0);
    let mut moved = with_services(&[KEY]);
    moved["routes"][2]["service"] = json!("other");
    let mut reweighted = with_services(&[KEY]);
    reweighted["routes"][2]["traffic_split"] = split(0, 1);
    let mut removed = with_services(&[KEY]);
    removed["routes"].as_array_mut().unwrap().remove(2);
    let rows = [
        ("moved", moved),
        ("reweighted", reweighted),
        ("removed", removed),
        (WITHDRAWN_KEY, with_services(&[])),
    ];
    let before = &before;
    let responses = rows.map(|(change, mut config)| async move {
        let (deployment, targets) = deploy(&["e1", "e2"], script);
        deployment.store.put("config", "main", before.clone());
        let instance = deployment.start("n1", "").await;
        wait_until_prompts_complete(&instance).await;
        let setup = ScriptedDeployment {
            deployment,
            instance,
            targets,
        };
        let (response, ()) = futures_util::join!(setup.ask("r"), async {
            setup.wait_for_arrival("r").await;
            config["version"] = json!(7);
            setup.deployment.store.put("config", "main", config);
        });
        (change, response)
    });
    join_all(responses).await
}

/// Guards against a stream that ends early because its route or key changes while its engine pauses.
#[test]
fn a_paused_stream_is_complete_beside_a_change_of_the_configuration() {
    run(async {
        let responses = ask_beside_changes(EVENT_GAP_MS, |request, attempt| match attempt {
            0 => stream(request, &[(2, 1_200)]),
            _ => stream(request, &[]),
        });
        assert_complete(responses.await);
    });
}

/// Guards against a stream that is not resumed because its route has changed since it began, and against
/// one that is resumed although its key was withdrawn.
#[test]
fn a_broken_stream_is_resumed_after_a_change_of_its_route() {
    run(async {
        let responses = ask_beside_changes(EVENT_GAP_MS, |request, attempt| match attempt {
            0 => {
                let mut reply = broken_stream(request);
                reply.steps.push(Step::Pause(Duration::from_secs(2)));
                reply
            }
            _ => stream(request, &[]),
        });
        let mut responses = responses.await;
        let (_, withdrawn) = responses.pop().unwrap();
        assert_complete(responses);
        assert_eq!(withdrawn.status, 0, "{}", withdrawn.body);
        assert_eq!(withdrawn.body, expected_events(1..=2));
    });
}

/// Guards against a stream that ends early because its pauses are long or repeated, or concern several
/// clients.
#[test]
fn long_and_repeated_pauses_cost_no_stream() {
    run(async {
        let long = async {
            let setup =
                ScriptedDeployment::start(&["e1", "e2"], "", |request, attempt| match attempt {
                    0 => stream(request, &[(2, 2_800)]),
                    _ => refusal_when_full(request),
                });
            ("a long pause", setup.await.ask("r").await)
        };
        let repeated = async {
            let pauses = [(1, 1_100), (2, 1_100)];
            let script = move |request: &ReceivedRequest, _| stream(request, &pauses);
            let setup = ScriptedDeployment::start(&["e1", "e2"], "", script).await;
            ("repeated pauses", setup.ask("r").await)
        };
        let concurrent = async {
            let script = |request: &ReceivedRequest, _| stream(request, &[(2, 1_200)]);
            let setup = ScriptedDeployment::start(&["e1", "e2"], "", script).await;
            let (ids, setup) = (["r1", "r2", "r3", "r4", "r5", "r6"], &setup);
            join_all(ids.map(|id| async move { (id, setup.ask(id).await) })).await
        };
        let (long, repeated, concurrent) = futures_util::join!(long, repeated, concurrent);
        assert_complete([long, repeated].into_iter().chain(concurrent));
    });
}

/// Guards against a stream that leaves an engine that goes on for one that never does.
#[test]
fn a_paused_stream_is_complete_although_the_next_engine_is_silent_for_good() {
    run(async {
        let rows = [("after its head", true), ("before its head", false)];
        let responses =
            join_all(rows.map(|(case, sends_head)| async move {
                let setup =
                    ScriptedDeployment::start(&["e1", "e2"], "", move |request, attempt| {
                        match attempt {
                            0 => stream(request, &[(2, 2_500)]),
                            _ if sends_head => silent_stream(request, 0),
                            _ => stream(request, &[]).with_delay(SILENCE),
                        }
                    });
                let setup = setup.await;
                let response = setup.ask("r").await;
                setup.assert_runs_at_one_target("r").await;
                (case, response)
            }));
        assert_complete(responses.await);
    });
}

/// Guards against a stream that stays at an engine that is silent for good because its route has changed
/// since it began, and against one that is taken over although its key was withdrawn.
#[test]
fn a_stream_leaves_a_silent_engine_after_a_change_of_its_route() {
    run(async {
        let responses = ask_beside_changes(LONG_EVENT_GAP_MS, |request, attempt| match attempt {
            0 => silent_stream(request, 2),
            _ => stream(request, &[]),
        });
        let mut responses = responses.await;
        let (_, withdrawn) = responses.pop().unwrap();
        assert_complete(responses);
        assert_eq!(withdrawn.status, 0, "{}", withdrawn.body);
        assert_eq!(withdrawn.body, expected_events(1..=2));
    });
}

/// Guards against an empty response that counts as a broken connection.
#[test]
fn an_empty_response_replaces_a_silent_target() {
    run(async {
        let ids = ["s1", "s2", "e1"];
        let setup = ScriptedDeployment::start(&ids, "", |request, attempt| match attempt {
            0 => Reply::kept(success(request, "ok")).with_delay(SILENCE),
            _ => {
                let head = response_head("200 OK", &request.id, 0);
                let head = head.replace("content-length: 0", "transfer-encoding: chunked");
                Reply::kept(head + "0\r\n\r\n")
            }
        });
        let response = setup
            .await
            .instance
            .send_request("p", "GET", "/read/x")
            .await;
        assert_eq!((response.status, &*response.body), (200, ""));
    });
}

/// Guards against responses that are given up, and requests that run twice, because of a pause where no
/// stream can be resumed.
#[test]
fn pauses_outside_of_resumable_streams_cost_no_response() {
    run(async {
        let ids = ["s1", "s2", "e1", "e2"];
        let setup = ScriptedDeployment::start(&ids, "", |request, _| {
            let body = |pause_ms| Reply {
                steps: vec![
                    Step::Send(response_head("200 OK", &request.id, 2)),
                    Step::Pause(Duration::from_millis(pause_ms)),
                    Step::Send("ok".to_owned()),
                ],
                closes: false,
            };
            let head = |pause_ms| {
                let delay = Duration::from_millis(pause_ms);
                Reply::kept(success(request, "ok")).with_delay(delay)
            };
            match &*request.id {
                "ask-head" | "tell-head" => {
                    stream(request, &[]).with_delay(Duration::from_millis(1_200))
                }
                "tell" => stream(request, &[(2, 1_900)]),
                "read-head" => head(1_200),
                "pay-head" => head(1_300),
                _ => body(1_300),
            }
        });
        let setup = setup.await;
        let instance = &setup.instance;
        let prompts = ["ask-head", "tell-head", "tell"].map(|id| async move {
            let route = id.split('-').next().unwrap();
            (id, send_prompt(instance, id, &format!("/{route}/x")).await)
        });
        let plain = ["read-head", "read-body", "pay-head", "pay-body"].map(|id| async move {
            let (method, path) = match id.starts_with("read") {
                true => ("GET", "/read/x"),
                false => ("POST", "/pay/x"),
            };
            let response = instance.send_request(id, method, path).await;
            assert_eq!((response.status, &*response.body), (200, "ok"), "{id}");
        });
        let (responses, _) = futures_util::join!(join_all(prompts), join_all(plain));
        assert_complete(responses);
        for id in ["tell-head", "tell", "pay-head", "pay-body"] {
            assert_eq!(setup.arrivals(id).len(), 1, "{id}");
        }
    });
}

/// Guards against a stream that stays at an engine that never goes on, and against an engine that still
/// works on a stream that another one has taken over.
#[test]
fn a_stream_leaves_an_engine_that_is_silent_for_good() {
    run(async {
        let setup = ScriptedDeployment::start(&["e1", "e2"], "", |request, attempt| {
            // The stream lasts longer than the engine before may run it.
            let rest = stream(request, &[(1, 500)]);
            match (&*request.id, attempt) {
                ("head", 0) => silent_stream(request, 0),
                ("last", 0) => silent_stream(request, 4),
                (_, 0) => silent_stream(request, 2),
                ("late", _) => rest.with_delay(Duration::from_millis(800)),
                _ => rest,
            }
        });
        let setup = setup.await;
        let responses = join_all(["head", "middle", "last", "late"].map(|id| {
            let setup = &setup;
            async move {
                let response = setup.ask(id).await;
                setup.assert_runs_at_one_target(id).await;
                (id, response)
            }
        }));
        assert_complete(responses.await);
    });
}

/// Guards against a response that ends before its deadline because all engines are silent.
#[test]
fn a_stream_of_silent_engines_ends_no_earlier_than_its_deadline() {
    run(async {
        let rows = [
            ("two engines", &["e1", "e2"][..], ""),
            ("no resend budget", &["e1", "e2"], NO_RESENDS),
            ("one engine", &["e1"], ""),
        ];
        let ends = join_all(rows.map(|(case, ids, settings)| async move {
            let script = |request: &ReceivedRequest, attempt| match attempt {
                0 => silent_stream(request, 2),
                _ => silent_stream(request, 0),
            };
            let setup = ScriptedDeployment::start(ids, settings, script).await;
            let started = Instant::now();
            let asked = compio::time::timeout(WAIT_TIMEOUT, setup.ask("r"));
            let response = asked.await.expect("the response ends");
            let took = started.elapsed();
            assert_eq!(response.status, 0, "{case}: {}", response.body);
            assert_complete_or_interrupted(case, &response);
            (case, took)
        }));
        let ends = ends.await.into_iter();
        let early: Vec<_> = ends.filter(|(_, took)| *took < DEADLINE).collect();
        assert!(early.is_empty(), "{early:?}");
    });
}

/// Guards against a stream that ends early because the first engine that is asked to resume it refuses.
#[test]
fn a_broken_stream_is_resumed_after_a_refusal() {
    run(async {
        let third_engine = async {
            let ids = ["e1", "e2", "e3"];
            let setup = ScriptedDeployment::start(&ids, "", |request, attempt| match attempt {
                0 => broken_stream(request),
                1 => refusal_when_full(request),
                _ => stream(request, &[]),
            });
            ("a third engine", setup.await.ask("r").await)
        };
        let same_engine = async {
            let ids = ["e1", "e2"];
            let setup = ScriptedDeployment::start(&ids, "", |request, attempt| match attempt {
                0 => broken_stream(request),
                1 => Reply::kept(refusal(&request.id)),
                _ => stream(request, &[]),
            });
            ("the refusing engine", setup.await.ask("r").await)
        };
        let responses = futures_util::join!(third_engine, same_engine);
        assert_complete(<[_; 2]>::from(responses));
    });
}

/// Guards against streams that run more often than their route allows, and against more resends than
/// the budget allows.
#[test]
fn resumed_streams_keep_to_attempts_and_budget() {
    const BUDGET: usize = 5;
    run(async {
        let few = format!("resend_ratio = 0.0\nresend_slack = {BUDGET}.0");
        join_all([&*few, ""].map(|settings| async move {
            let ids = ["e1", "e2", "e3"];
            let setup = ScriptedDeployment::start(&ids, settings, |request, attempt| {
                let number: usize = request.id.trim_start_matches('r').parse().unwrap();
                match (number + attempt) % 3 {
                    0 => broken_stream(request),
                    1 => stream(request, &[(1, 1_200)]),
                    _ => Reply::kept(refusal(&request.id)),
                }
            });
            let setup = setup.await;
            let ids: Vec<_> = (0..9).map(|number| format!("r{number}")).collect();
            join_all(ids.iter().map(|id| async {
                let response = setup.ask(id).await;
                if response.status != 503 {
                    assert_complete_or_interrupted(id, &response);
                }
            }))
            .await;
            let mut resends = 0;
            for (number, id) in ids.iter().enumerate() {
                let arrivals = setup.arrivals(id).len();
                let attempts = 0..arrivals;
                let runs = attempts
                    .filter(|attempt| (number + attempt) % 3 != 2)
                    .count();
                assert!(runs <= 2, "{id}: {runs} runs");
                resends += arrivals.saturating_sub(1);
            }
            assert!(resends > 0);
            if !settings.is_empty() {
                assert!(resends <= BUDGET, "{resends} resends");
            }
        }))
        .await;
    });
}

/// Guards against responses that end early without a record of the reason.
#[test]
fn a_response_that_ends_early_is_logged_with_its_reasons() {
    run(async {
        let script = |request: &ReceivedRequest, _| broken_stream(request);
        let (deployment, _targets) = deploy(&["e1", "e2"], script);
        let log = "[log]\nlevel = \"info\"\n";
        let started = deployment.start_with_log("n1", log, StoreMode::Up, Stdio::piped());
        let mut instance = started.await;
        let lines = read_lines(instance.process.take_log());
        wait_until_prompts_complete(&instance).await;
        let response = send_prompt(&instance, "r", "/ask/x").await;
        assert_eq!(response.status, 0, "{}", response.body);
        assert_eq!(response.body, expected_events(1..=4));
        send_prompt(&instance, "warm-up-last", "/ask/x").await;
        let early_ends = Mutex::new(Vec::new());
        eventually("the next request is logged", || async {
            let lines = lines.try_iter();
            let mut lines = lines.map(|line| serde_json::from_str::<Value>(&line).unwrap());
            lines.find_map(|line| {
                let is_last =
                    line["request"] == "warm-up-last" && line["msg"] == "request answered";
                if line["msg"] == "response ended early" {
                    early_ends.lock().unwrap().push(line);
                }
                is_last.then_some(())
            })
        })
        .await;
        let early_ends = early_ends.into_inner().unwrap();
        assert_eq!(early_ends.len(), 1, "{early_ends:?}");
        assert_eq!(early_ends[0]["request"], "r");
        for field in ["reason", "resend"] {
            let text = early_ends[0][field].as_str();
            assert!(text.is_some_and(|text| !text.is_empty()), "{early_ends:?}");
        }
    });
}
