//! Targets that are asked to take a request over from silent ones.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng};
use serde_json::json;

use super::faulty_responses::{stream_head, stream_part, success};
use super::scripted_deployment::{
    DEADLINE, EVENTS, SILENCE, ScriptedDeployment, assert_complete, broken_stream, deploy,
    silent_stream, stream,
};
use super::{Deployment, KEY};
use crate::support::{ReceivedRequest, Reply, Step, run};

/// Guards against a stream that stays at two engines that are silent for good, although its route allows a
/// third attempt, and against engines that work on after they were given up.
#[test]
fn a_third_engine_continues_a_stream_of_two_silent_ones() {
    run(async {
        let rows = [("after its head", true), ("before its head", false)];
        let responses = join_all(rows.map(|(case, sends_head)| async move {
            let ids = ["e1", "e2", "e3"];
            let (deployment, targets) = deploy(&ids, move |request, attempt| match attempt {
                0 => silent_stream(request, 2),
                1 if sends_head => silent_stream(request, 0),
                1 => stream(request, &[]).with_delay(SILENCE),
                _ => stream(request, &[]),
            });
            let setup = ScriptedDeployment::start_with_attempts(deployment, targets, 3, "").await;
            let response = setup.ask("r").await;
            setup.assert_runs_at_one_target("r").await;
            (case, response)
        }));
        assert_complete(responses.await);
    });
}

/// Guards against a response that does not continue the stream and ends the run of an engine that would.
#[test]
fn a_response_of_another_type_does_not_end_a_pending_run() {
    run(async {
        let ids = ["e1", "e2", "e3"];
        let (deployment, targets) = deploy(&ids, |request, attempt| match attempt {
            0 => silent_stream(request, 2),
            1 => stream(request, &[]).with_delay(Duration::from_millis(2_400)),
            _ => Reply::kept(success(request, "ok")),
        });
        let setup = ScriptedDeployment::start_with_attempts(deployment, targets, 3, "").await;
        assert_complete([("r", setup.ask("r").await)]);
    });
}

/// Guards against a stream that ends early because a third attempt is allowed but no third engine is there.
#[test]
fn a_paused_stream_is_complete_with_three_attempts() {
    run(async {
        let (deployment, targets) = deploy(&["e1", "e2"], |request, attempt| match attempt {
            0 => stream(request, &[(2, 2_900)]),
            _ => stream(request, &[]).with_delay(SILENCE),
        });
        let setup = ScriptedDeployment::start_with_attempts(deployment, targets, 3, "").await;
        assert_complete([("r", setup.ask("r").await)]);
    });
}

/// Guards against a stream that is not resumed because a target that was asked to take it over, and was not
/// needed, counts as an attempt.
#[test]
fn a_stream_is_resumed_after_a_takeover_that_was_not_needed() {
    run(async {
        let script = |request: &ReceivedRequest, attempt| match attempt {
            0 => Reply {
                steps: vec![
                    Step::Send(stream_head(request) + &stream_part(1..=2)),
                    Step::Pause(Duration::from_millis(1_200)),
                    Step::Send(stream_part(3..=3)),
                    Step::Pause(Duration::from_millis(100)),
                ],
                closes: true,
            },
            _ => stream(request, &[]).with_delay(Duration::from_millis(500)),
        };
        let setup = ScriptedDeployment::start(&["e1", "e2", "e3"], "", script).await;
        assert_complete([("r", setup.ask("r").await)]);
    });
}

/// Guards against a target that is given up for a third one before any of them has responded.
#[test]
fn the_first_of_three_silent_engines_that_goes_on_completes_the_stream() {
    run(async {
        let rows = [
            ("the first", 0, 3_300),
            ("the second", 1, 2_300),
            ("the third", 2, 1_000),
        ];
        let responses = join_all(rows.map(|(case, goes_on, pause_ms)| async move {
            let ids = ["e1", "e2", "e3"];
            let (deployment, targets) = deploy(&ids, move |request, attempt| match attempt {
                0 if goes_on == 0 => stream(request, &[(2, pause_ms)]),
                0 => silent_stream(request, 2),
                _ if attempt == goes_on => stream(request, &[(0, pause_ms)]),
                1 => stream(request, &[]).with_delay(SILENCE),
                _ => silent_stream(request, 0),
            });
            let setup = ScriptedDeployment::start_with_attempts(deployment, targets, 3, "").await;
            let response = setup.ask("r").await;
            setup.assert_runs_at_one_target("r").await;
            assert_eq!(setup.arrivals("r").len(), 3, "{case}");
            (case, response)
        }));
        assert_complete(responses.await);
    });
}

/// Guards against a stream that stays at an engine that is silent for good because an earlier pause has used
/// its attempts.
#[test]
fn a_stream_leaves_an_engine_that_is_silent_after_a_pause() {
    run(async {
        let setup =
            ScriptedDeployment::start(&["e1", "e2"], "", |request, attempt| match attempt {
                0 => stream(request, &[(2, 1_200), (3, SILENCE.as_millis() as u64)]),
                1 => stream(request, &[]).with_delay(SILENCE),
                _ => stream(request, &[]),
            });
        let setup = setup.await;
        assert_complete([("r", setup.ask("r").await)]);
        setup.assert_runs_at_one_target("r").await;
        let arrivals = setup.arrivals("r");
        let targets: HashSet<_> = arrivals
            .iter()
            .map(|(target, _)| target.address())
            .collect();
        assert_eq!((arrivals.len(), targets.len()), (3, 2));
    });
}

/// Guards against a stream that ends early because its engine counts as failed after a pause, and the one that
/// has taken the stream over breaks off.
#[test]
fn a_stream_returns_to_a_silent_engine_if_the_next_one_breaks_off() {
    run(async {
        let setup =
            ScriptedDeployment::start(&["e1", "e2"], "", |request, attempt| match attempt {
                0 => stream(request, &[(2, 1_500)]),
                1 => broken_stream(request),
                _ => stream(request, &[]),
            });
        let setup = setup.await;
        assert_complete([("r", setup.ask("r").await)]);
        setup.assert_runs_at_one_target("r").await;
        let arrivals = setup.arrivals("r");
        let addresses: Vec<_> = arrivals
            .iter()
            .map(|(target, _)| target.address())
            .collect();
        assert_eq!(addresses.len(), 3);
        assert_eq!(addresses[2], addresses[0]);
    });
}

/// Guards against streams that end early beside engines that pause and break off at random.
#[test]
fn random_pauses_and_breaks_cost_no_stream_that_has_attempts_left() {
    run(async {
        futures_util::join!(
            ask_beside_random_faults(1, 2),
            ask_beside_random_faults(2, 3)
        );
    });
}

/// Asks for streams of engines that fail at random. Each has to be complete, unless its deadline passes or
/// its engines broke off as often as it may be attempted.
async fn ask_beside_random_faults(seed: u64, max_attempts: u32) {
    const STREAMS: usize = 75;
    const PAUSE_PERCENT: u32 = 15;
    const BREAK_PERCENT: u32 = 6;
    const MANY_RESENDS: &str = "resend_ratio = 1.0\nresend_slack = 100.0";
    const STREAM_INTERVAL: Duration = Duration::from_millis(100);
    let breaks = Arc::new(Mutex::new(HashMap::<String, u32>::new()));
    let script_breaks = Arc::clone(&breaks);
    let ids = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"];
    let (deployment, targets) = deploy(&ids, move |request, attempt| {
        let number: u64 = request.id[1..].parse().unwrap();
        let mut random = StdRng::seed_from_u64(seed << 32 | number << 8 | attempt as u64);
        let pause = |random: &mut StdRng| match random.random_ratio(PAUSE_PERCENT, 100) {
            true => Step::Pause(Duration::from_millis(random.random_range(900..1_400))),
            false => Step::Pause(Duration::from_millis(20)),
        };
        let mut steps = vec![pause(&mut random), Step::Send(stream_head(request))];
        let first = request.last_event.map_or(1, |last| last + 1);
        for event in first..=EVENTS {
            steps.push(pause(&mut random));
            if random.random_ratio(BREAK_PERCENT, 100) {
                let mut breaks = script_breaks.lock().unwrap();
                *breaks.entry(request.id.clone()).or_default() += 1;
                let closes = true;
                return Reply { steps, closes };
            }
            steps.push(Step::Send(stream_part(event..=event)));
        }
        steps.push(Step::Send("0\r\n\r\n".to_owned()));
        let closes = false;
        Reply { steps, closes }
    });
    let setup =
        ScriptedDeployment::start_with_attempts(deployment, targets, max_attempts, MANY_RESENDS);
    let setup = setup.await;
    let setup = &setup;
    let responses = join_all((0..STREAMS).map(|number| async move {
        compio::time::sleep(STREAM_INTERVAL * number as u32).await;
        let id = format!("r{number}");
        let sent_at = Instant::now();
        let response = setup.ask(&id).await;
        (id, response, sent_at.elapsed())
    }));
    let mut responses = responses.await;
    let breaks = breaks.lock().unwrap();
    responses.retain(|(id, _, took)| {
        *took < DEADLINE && breaks.get(id).is_none_or(|breaks| *breaks < max_attempts)
    });
    println!(
        "seed {seed}, {max_attempts} attempts: {} of {STREAMS} broke off, {} checked",
        breaks.len(),
        responses.len()
    );
    let ids: Vec<_> = responses.iter().map(|(id, _, _)| id.clone()).collect();
    let responses = responses.into_iter().map(|(_, response, _)| response);
    assert_complete(ids.iter().map(String::as_str).zip(responses));
}

/// Guards against a plain request that is sent to a target once more while the target runs it.
#[test]
fn a_silent_plain_target_is_not_asked_beside_itself() {
    run(async {
        let rows = [&["s1"][..], &["s1", "s2"]];
        join_all(rows.map(|ids| async move {
            let (deployment, targets) = deploy(ids, |request, _| {
                Reply::kept(success(request, "ok")).with_delay(Duration::from_millis(2_700))
            });
            let mut config = Deployment::configuration(6, &[KEY], &[]);
            config["routes"][0]["max_attempts"] = json!(3);
            deployment.store.put("config", "main", config);
            let instance = deployment.start("n1", "").await;
            instance.wait_ready().await;
            let setup = ScriptedDeployment {
                deployment,
                instance,
                targets,
            };
            let response = setup.instance.send_request("p", "GET", "/read/x").await;
            assert_eq!((response.status, &*response.body), (200, "ok"), "{ids:?}");
            let asked: Vec<_> = setup
                .arrivals("p")
                .iter()
                .map(|(target, _)| target.address())
                .collect();
            let distinct: BTreeSet<_> = asked.iter().collect();
            assert_eq!(asked.len(), distinct.len(), "{ids:?}: {asked:?}");
        }))
        .await;
    });
}
