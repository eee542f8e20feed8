//! Scheduler: placement, refusals, retries and requests suspected of crashing engines.

use std::time::Duration;

use http::Request;
use jujubelink::core::config::{ConfigSnapshot, TargetKind};
use jujubelink::core::ids::{TargetId, Timestamp};
use jujubelink::core::routing::LoadReport;
use jujubelink::core::scheduler::{
    AttemptEnd, Dispatch, Effect, NewRequest, Refusal, Retry, Scheduler, SuspectUpdate,
};
use jujubelink::util::hash::sha256_hex;
use jujubelink_standins::StandInHandle;
use jujubelink_standins::engine::{Engine, EngineTimes};
use jujubelink_standins::platform::Platform;
use serde_json::json;

use crate::support::decisions::{
    config_with_engines, config_with_named_engines, engine_name, new_request, prompt_text,
};
use crate::support::{Instance, eventually, run, send};

const NOW: Timestamp = Duration::from_secs(1000);

fn new_scheduler(engines: usize) -> Scheduler {
    let mut scheduler = Scheduler::new();
    scheduler.on_config(&config_with_engines(engines));
    scheduler
}

/// A configuration with targets of a plain service that no route names.
fn config_of_a_service(targets: usize) -> ConfigSnapshot {
    let mut config = config_with_engines(targets);
    for target in config.fleet.targets.values_mut() {
        target.kind = TargetKind::Service;
        target.models.clear();
    }
    config
}

/// Submits a request, dispatches what can be dispatched, and returns the effects.
fn submit(scheduler: &mut Scheduler, request: NewRequest, now: Timestamp) -> Vec<Effect> {
    let mut effects = Vec::new();
    scheduler.on_request(request, now, &mut effects);
    scheduler.dispatch_waiting(7, now, &mut effects);
    effects
}

/// Returns the dispatch that is the only effect.
fn only_dispatch(effects: &[Effect]) -> &Dispatch {
    match effects {
        [Effect::Dispatch(dispatch)] => dispatch,
        other => panic!("no single dispatch: {other:?}"),
    }
}

/// Reports the end of an attempt; returns the decision on a retry, and the effects.
fn end_attempt(scheduler: &mut Scheduler, placement: u64, end: AttemptEnd) -> (Retry, Vec<Effect>) {
    let mut effects = Vec::new();
    let retry = scheduler.on_end(placement, end, 7, NOW, &mut effects);
    (retry, effects)
}

const COMPLETED: AttemptEnd = AttemptEnd::Completed {
    incarnation: 0,
    cached_tokens: None,
};

/// Guards against short requests that wait behind long prefills: while all but one target process a
/// long prompt, short requests are dispatched at once.
#[test]
fn long_prefills_do_not_block_short_requests() {
    let mut scheduler = new_scheduler(4);
    for index in 0..3 {
        let effects = submit(
            &mut scheduler,
            new_request("large", &prompt_text(&format!("{index}"), 60), NOW),
            NOW,
        );
        only_dispatch(&effects);
    }
    for index in 0..10 {
        let effects = submit(
            &mut scheduler,
            new_request("small", &format!("short {index}"), NOW),
            NOW,
        );
        let placed = only_dispatch(&effects);
        scheduler.on_first_token(placed.placement, NOW);
    }
}

/// Guards against a refusal that is early or missing: while all targets are full, a request waits
/// until its deadline and is then refused with a retry time, without a dispatch.
#[test]
fn a_request_without_free_slot_waits_and_is_refused_at_its_deadline() {
    let mut scheduler = new_scheduler(1);
    let report = LoadReport {
        running: 16,
        waiting: 40,
        ..LoadReport::default()
    };
    scheduler.on_load("e000", &report, NOW);
    let placed = submit(
        &mut scheduler,
        new_request("large", &prompt_text("first", 60), NOW),
        NOW,
    );
    only_dispatch(&placed);
    assert_eq!(
        submit(&mut scheduler, new_request("small", "x", NOW), NOW),
        []
    );
    let late = NOW + Duration::from_millis(410);
    let mut effects = Vec::new();
    scheduler.dispatch_waiting(7, late, &mut effects);
    assert!(
        matches!(effects[..], [Effect::Refuse { reason: Refusal::Overloaded { retry_after }, .. }]
            if retry_after > Duration::ZERO)
    );
    assert_eq!(scheduler.queued(), 0);
}

/// Guards against a queue of other instances' requests that goes unnoticed, so that further requests join it.
#[test]
fn waits_of_successive_requests_show_a_queue_at_their_target() {
    let mut scheduler = new_scheduler(1);
    let second = Duration::from_secs(1);
    let placements: Vec<_> = (0..3)
        .map(|index| {
            let request = new_request("small", &format!("short {index}"), NOW);
            only_dispatch(&submit(&mut scheduler, request, NOW)).placement
        })
        .collect();
    for placement in &placements {
        scheduler.on_first_token(*placement, NOW + second);
    }
    let request = new_request("small", "queued", NOW + second);
    assert_eq!(submit(&mut scheduler, request, NOW + second), []);
}

/// Guards against the first wait at a target that has no effect, so that further requests follow to the target
/// where other instances' requests queue, although another one is free.
#[test]
fn a_single_wait_moves_further_requests_to_a_free_target() {
    let later = NOW + Duration::from_secs(1);
    let send = |scheduler: &mut Scheduler, index: usize, now: Timestamp| {
        let request = new_request("small", &format!("short {index}"), now);
        only_dispatch(&submit(scheduler, request, now)).clone()
    };
    let complete = |scheduler: &mut Scheduler, placement: u64| {
        scheduler.on_first_token(placement, later);
        scheduler.on_end(placement, COMPLETED, 7, later, &mut Vec::new());
    };
    let mut scheduler = new_scheduler(2);
    let first = send(&mut scheduler, 0, NOW);
    complete(&mut scheduler, first.placement);
    for index in 1..=8 {
        let next = send(&mut scheduler, index, later);
        assert_ne!(next.target, first.target, "{index}");
        complete(&mut scheduler, next.placement);
    }
}

/// Guards against a request that counts as a queue at its target although a later one has overtaken it: waits
/// of such requests may not keep others away from a target with free slots.
#[test]
fn overtaken_requests_do_not_make_their_target_full() {
    let mut scheduler = new_scheduler(1);
    let placements: Vec<_> = (0..6)
        .map(|index| {
            let request = new_request("small", &format!("short {index}"), NOW);
            only_dispatch(&submit(&mut scheduler, request, NOW)).placement
        })
        .collect();
    let later = NOW + Duration::from_millis(20);
    scheduler.on_first_token(placements[5], later);
    for placement in &placements[..5] {
        scheduler.on_first_token(*placement, NOW + Duration::from_millis(1200));
    }
    let request = new_request("small", "next", NOW + Duration::from_millis(1200));
    only_dispatch(&submit(
        &mut scheduler,
        request,
        NOW + Duration::from_millis(1200),
    ));
}

/// Guards against requests to a target that announced its shutdown while they were queued.
#[test]
fn a_queued_request_is_not_sent_to_a_target_that_leaves_meanwhile() {
    let mut scheduler = new_scheduler(1);
    let full = LoadReport {
        running: 16,
        waiting: 40,
        ..LoadReport::default()
    };
    scheduler.on_load("e000", &full, NOW);
    let first = new_request("large", &prompt_text("first", 60), NOW);
    only_dispatch(&submit(&mut scheduler, first, NOW));
    let queued = new_request("small", "x", NOW);
    assert_eq!(submit(&mut scheduler, queued, NOW), []);
    scheduler.set_leaving("e000", true);
    scheduler.on_load("e000", &LoadReport::default(), NOW);
    let mut effects = Vec::new();
    scheduler.dispatch_waiting(7, NOW, &mut effects);
    assert!(
        matches!(
            effects[..],
            [Effect::Refuse {
                reason: Refusal::NoTarget,
                ..
            }]
        ),
        "{effects:?}"
    );
}

/// Guards against requests during a pause, and requests that wait although no pause ends in time.
#[test]
fn paused_targets_get_no_requests_until_the_pause_ends() {
    let mut scheduler = new_scheduler(2);
    let (first, second) = (engine_name(0), engine_name(1));
    let names = [first.as_str().into(), second.as_str().into()];
    scheduler.set_paused(&first, NOW + Duration::from_secs(3));
    assert_eq!(scheduler.remaining_pause(&names, NOW), None);
    for index in 0..8 {
        let effects = submit(
            &mut scheduler,
            new_request("w", &format!("short {index}"), NOW),
            NOW,
        );
        let placed = only_dispatch(&effects);
        assert_eq!(*placed.target, *second);
        end_attempt(&mut scheduler, placed.placement, COMPLETED);
        let plain = scheduler.place_plain(&names, &[], 7, NOW);
        assert_eq!(*plain.expect("a target").1, *second);
    }
    scheduler.set_paused(&second, NOW + Duration::from_secs(2));
    scheduler.set_paused(&second, NOW + Duration::from_secs(1));
    let two_s = Duration::from_secs(2);
    assert_eq!(scheduler.remaining_pause(&names, NOW), Some(two_s));
    assert_eq!(scheduler.place_plain(&names, &[], 7, NOW), None);
    let effects = submit(&mut scheduler, new_request("w", "refused", NOW), NOW);
    assert!(
        matches!(effects[..], [Effect::Refuse { reason: Refusal::Overloaded { retry_after }, .. }]
            if retry_after == two_s)
    );
    // A request whose deadline is after the end of the pause waits for it.
    let later = NOW + two_s - Duration::from_millis(100);
    let waiting = submit(&mut scheduler, new_request("w", "waits", later), later);
    assert_eq!(waiting, []);
    let mut effects = Vec::new();
    scheduler.dispatch_waiting(7, NOW + two_s, &mut effects);
    assert_eq!(*only_dispatch(&effects).target, *second);
}

/// Guards against a restarted target that gets no requests because its former process asked for a pause.
#[test]
fn a_restart_ends_the_pause_of_a_target() {
    let mut scheduler = new_scheduler(1);
    let name: TargetId = engine_name(0).as_str().into();
    let state = |incarnation| LoadReport {
        incarnation,
        ..LoadReport::default()
    };
    let names = [name.clone()];
    scheduler.on_engine_state(&name, &state(1));
    scheduler.set_paused(&name, NOW + Duration::from_secs(3));
    scheduler.on_engine_state(&name, &state(1));
    assert!(scheduler.place_plain(&names, &[], 7, NOW).is_none());
    scheduler.on_engine_state(&name, &state(2));
    assert!(scheduler.place_plain(&names, &[], 7, NOW).is_some());
}

/// Guards against requests during a pause to a target whose entry was missing for a while.
#[test]
fn a_target_that_returns_keeps_its_pause() {
    let mut scheduler = new_scheduler(1);
    let name: TargetId = engine_name(0).as_str().into();
    let names = [name.clone()];
    let state = |incarnation| LoadReport {
        incarnation,
        ..LoadReport::default()
    };
    scheduler.on_engine_state(&name, &state(1));
    scheduler.set_paused(&name, NOW + Duration::from_secs(3));
    // Other targets take its place in the table meanwhile.
    let others = (1..3).map(engine_name);
    scheduler.on_config(&config_with_named_engines([].into_iter()));
    scheduler.on_config(&config_with_named_engines(others));
    scheduler.on_config(&config_with_engines(3));
    scheduler.on_engine_state(&name, &state(1));
    assert!(scheduler.place_plain(&names, &[], 7, NOW).is_none());
    scheduler.on_engine_state(&name, &state(2));
    assert!(scheduler.place_plain(&names, &[], 7, NOW).is_some());
}

/// Guards against two suspects that run at one target: after a crash, it would be unknown which of
/// them caused it.
#[test]
fn suspects_run_one_at_a_time_at_a_target() {
    let mut scheduler = new_scheduler(1);
    let suspect = |name: &str| NewRequest {
        is_suspect: true,
        ..new_request("large", name, NOW)
    };
    let first = submit(&mut scheduler, suspect("one"), NOW);
    let first = only_dispatch(&first).placement;
    assert_eq!(submit(&mut scheduler, suspect("two"), NOW), []);
    let concurrent = submit(&mut scheduler, new_request("large", "innocent", NOW), NOW);
    only_dispatch(&concurrent);
    end_attempt(&mut scheduler, first, COMPLETED);
    let mut effects = Vec::new();
    scheduler.dispatch_waiting(7, NOW, &mut effects);
    only_dispatch(&effects);
}

/// Guards against a request that has crashed two engines and runs a third time, at the same or
/// another instance.
#[test]
fn a_request_that_crashes_twice_is_refused_everywhere() {
    let mut scheduler = new_scheduler(3);
    let crashing = new_request("large", "cause", NOW);
    let placed = submit(&mut scheduler, crashing.clone(), NOW);
    let (retry, updates) = end_attempt(
        &mut scheduler,
        only_dispatch(&placed).placement,
        AttemptEnd::Crashed,
    );
    assert!(matches!(
        retry,
        Retry::After {
            is_suspect: true,
            ..
        }
    ));
    assert!(matches!(
        updates[..],
        [Effect::Publish(SuspectUpdate { crashes: 1, .. })]
    ));
    let placed = submit(&mut scheduler, crashing.clone(), NOW);
    let (retry, updates) = end_attempt(
        &mut scheduler,
        only_dispatch(&placed).placement,
        AttemptEnd::Crashed,
    );
    assert!(matches!(retry, Retry::Quarantined { .. }));
    let [Effect::Publish(update)] = updates[..] else {
        panic!("no update was published");
    };
    let mut other_instance = self::new_scheduler(3);
    other_instance.on_suspect_update(update, NOW);
    for instance in [&mut scheduler, &mut other_instance] {
        let effects = submit(instance, crashing.clone(), NOW);
        assert!(matches!(
            effects[..],
            [Effect::Refuse {
                reason: Refusal::Quarantined { .. },
                ..
            }]
        ));
    }
}

/// Guards against a request that stays suspect although it has completed since the crash.
#[test]
fn a_suspect_that_completes_is_cleared() {
    let mut scheduler = new_scheduler(3);
    let harmless = new_request("large", "innocent", NOW);
    let fingerprint = harmless.prompt.whole;
    let placed = submit(&mut scheduler, harmless.clone(), NOW);
    end_attempt(
        &mut scheduler,
        only_dispatch(&placed).placement,
        AttemptEnd::Crashed,
    );
    let placed = submit(&mut scheduler, harmless.clone(), NOW);
    let (_, updates) = end_attempt(&mut scheduler, only_dispatch(&placed).placement, COMPLETED);
    assert_eq!(
        updates,
        [Effect::Publish(SuspectUpdate {
            fingerprint,
            crashes: 0,
            remaining: Duration::ZERO
        })]
    );
    let placed = submit(&mut scheduler, harmless, NOW);
    let (retry, _) = end_attempt(
        &mut scheduler,
        only_dispatch(&placed).placement,
        AttemptEnd::Crashed,
    );
    assert!(matches!(retry, Retry::After { .. }));
}

/// Guards against the ejection of so many targets that the rest cannot serve the load.
#[test]
fn at_most_three_of_ten_targets_are_ejected() {
    let mut scheduler = new_scheduler(10);
    for round in 0..200 {
        let effects = submit(
            &mut scheduler,
            new_request("large", &format!("{round}"), NOW),
            NOW,
        );
        end_attempt(
            &mut scheduler,
            only_dispatch(&effects).placement,
            AttemptEnd::Failed,
        );
    }
    let table = scheduler.router().targets();
    let ejected = table
        .iter()
        .filter(|(_, state)| state.traffic_fraction == 0.0)
        .count();
    assert_eq!(ejected, 3);
}

/// Guards against plain requests that are refused because failures have taken all targets of their service out,
/// and against a failing target that gets requests while others are sound.
#[test]
fn at_most_half_of_the_targets_of_a_plain_service_are_ejected() {
    for (targets, expected) in [(1, 0), (2, 1), (3, 1), (10, 5)] {
        let mut scheduler = Scheduler::new();
        let all: Vec<_> = (0..targets)
            .map(|index| engine_name(index).into())
            .collect();
        scheduler.on_config(&config_of_a_service(targets));
        let mut fail = |times: usize| {
            for random in 0..times as u64 {
                let (placement, _) = scheduler.place_plain(&all, &[], random, NOW).unwrap();
                end_attempt(&mut scheduler, placement, AttemptEnd::Failed);
            }
            let table = scheduler.router().targets();
            let ejected = table.iter().filter(|(_, state)| state.is_ejected());
            ejected.count()
        };
        assert_eq!(fail(200), expected, "of {targets}");
    }
}

/// Guards against a plain target that hangs and goes on getting requests.
#[test]
fn a_plain_target_that_hangs_gets_few_requests() {
    let names: Vec<TargetId> = (0..2).map(|index| engine_name(index).into()).collect();
    let mut scheduler = Scheduler::new();
    scheduler.on_config(&config_of_a_service(2));
    let timeout = Duration::from_millis(500);
    let (mut hanging, mut sent_to_hanging) = (Vec::new(), 0);
    for request in 0..200 {
        let now = NOW + request * Duration::from_millis(50);
        scheduler.on_tick(now);
        let (late, waiting): (Vec<_>, Vec<_>) = hanging
            .into_iter()
            .partition(|(_, sent_at)| now - *sent_at >= timeout);
        hanging = waiting;
        for (placement, _) in late {
            scheduler.on_end(placement, AttemptEnd::TimedOut, 7, now, &mut Vec::new());
        }
        let random = u64::from(request);
        let (placement, target) = scheduler.place_plain(&names, &[], random, now).unwrap();
        if target == names[0] {
            sent_to_hanging += 1;
            hanging.push((placement, now));
        } else {
            scheduler.on_end(placement, COMPLETED, 7, now, &mut Vec::new());
        }
    }
    assert!(sent_to_hanging <= 8, "{sent_to_hanging} of 200");
}

/// Guards against a target that goes on getting requests because it refuses some quickly, although it hangs
/// for all others.
#[test]
fn a_plain_target_that_refuses_some_requests_and_hangs_for_others_is_ejected() {
    let names: Vec<TargetId> = (0..2).map(|index| engine_name(index).into()).collect();
    let mut scheduler = Scheduler::new();
    scheduler.on_config(&config_of_a_service(2));
    let timeout = Duration::from_secs(3);
    let place = |scheduler: &mut Scheduler, now| {
        let other = [names[1].clone()];
        let placed = scheduler.place_plain(&names, &other, 7, now);
        placed.map(|(placement, _)| placement)
    };
    let mut hanging = Vec::new();
    let mut sent = 0;
    for step in 0..200 {
        let now = NOW + step * Duration::from_millis(100);
        scheduler.on_tick(now);
        let (late, waiting): (Vec<_>, Vec<_>) = hanging
            .into_iter()
            .partition(|(_, sent_at)| now - *sent_at >= timeout);
        hanging = waiting;
        for (placement, _) in late {
            scheduler.on_end(placement, AttemptEnd::TimedOut, 7, now, &mut Vec::new());
        }
        let Some(placement) = place(&mut scheduler, now) else {
            break;
        };
        sent += 1;
        if step % 2 == 0 {
            scheduler.on_end(placement, AttemptEnd::Refused, 7, now, &mut Vec::new());
        } else {
            hanging.push((placement, now));
        }
    }
    assert!(sent <= 50, "{sent} of 200 were sent to the target");
}

/// Guards against a short silence that counts as a failure because an earlier request was cancelled before
/// its response, or refused.
#[test]
fn a_cancelled_request_does_not_prolong_a_later_silence() {
    for end in [AttemptEnd::Cancelled, AttemptEnd::Refused] {
        let names: Vec<TargetId> = (0..2).map(|index| engine_name(index).into()).collect();
        let mut scheduler = Scheduler::new();
        scheduler.on_config(&config_of_a_service(2));
        let other = [names[1].clone()];
        let mut run = |sent_ms, ended_ms, end| {
            let at = |ms| NOW + Duration::from_millis(ms);
            scheduler.on_tick(at(sent_ms));
            let (placement, _) = scheduler.place_plain(&names, &other, 7, at(sent_ms))?;
            scheduler.on_end(placement, end, 7, at(ended_ms), &mut Vec::new());
            Some(())
        };
        for sent_ms in 0..5 {
            run(sent_ms, sent_ms, AttemptEnd::Failed).unwrap();
        }
        assert_eq!(run(100, 100, COMPLETED), None, "not ejected");
        // After its ejection, one failure is enough to eject a target.
        run(6_000, 6_300, end).unwrap();
        run(9_000, 10_200, AttemptEnd::TimedOut).unwrap();
        assert_eq!(run(10_300, 10_300, COMPLETED), Some(()), "{end:?}");
    }
}

/// Guards against requests that are refused because the targets that are not ejected have left.
#[test]
fn ejected_targets_are_used_if_no_others_are_left() {
    let names: Vec<TargetId> = (0..2).map(|index| engine_name(index).into()).collect();
    let mut scheduler = Scheduler::new();
    scheduler.on_config(&config_of_a_service(2));
    for random in 0..20 {
        let (placement, target) = scheduler.place_plain(&names, &[], random, NOW).unwrap();
        let end = match target == names[0] {
            true => AttemptEnd::Failed,
            false => COMPLETED,
        };
        end_attempt(&mut scheduler, placement, end);
    }
    let place = |scheduler: &mut Scheduler, excluded: &[TargetId]| {
        let placed = scheduler.place_plain(&names, excluded, 7, NOW);
        placed.map(|(_, target)| target)
    };
    assert_eq!(place(&mut scheduler, &[]), Some(names[1].clone()));
    assert_eq!(place(&mut scheduler, &names[1..]), None);
    scheduler.set_leaving(&names[1], true);
    assert_eq!(place(&mut scheduler, &[]), Some(names[0].clone()));
}

/// Guards against model requests that are refused because the engine that is left is ejected, or gets a part
/// of normal traffic only.
#[test]
fn an_ejected_engine_gets_requests_if_the_others_have_left() {
    let mut scheduler = new_scheduler(4);
    let mut round = 0;
    while scheduler
        .router()
        .targets()
        .iter()
        .all(|(_, state)| !state.is_ejected())
    {
        round += 1;
        assert!(round < 1_000, "no target is ejected");
        let request = new_request("large", &format!("{round}"), NOW);
        let placement = only_dispatch(&submit(&mut scheduler, request, NOW)).placement;
        end_attempt(&mut scheduler, placement, AttemptEnd::Failed);
    }
    let targets = scheduler.router().targets().iter();
    let (ejected, others): (Vec<_>, Vec<_>) = targets
        .map(|(_, state)| state)
        .partition(|state| state.is_ejected());
    let left = ejected[0].id.clone();
    let others: Vec<_> = others.iter().map(|state| state.id.clone()).collect();
    for other in &others {
        scheduler.set_leaving(other, true);
    }
    for elapsed_s in [0, 6, 8] {
        let now = NOW + Duration::from_secs(elapsed_s);
        scheduler.on_tick(now);
        for request in 0..5 {
            let request = new_request("large", &format!("{elapsed_s} {request}"), now);
            let effects = submit(&mut scheduler, request, now);
            let placed = only_dispatch(&effects);
            assert_eq!(placed.target, left, "after {elapsed_s} s");
            let placement = placed.placement;
            scheduler.on_end(placement, COMPLETED, 7, now, &mut Vec::new());
        }
    }
}

/// Guards against retries of completed or cancelled requests, and against an attempt whose end is
/// counted twice.
#[test]
fn only_failures_are_retried_and_ends_count_once() {
    let mut scheduler = new_scheduler(3);
    for (outcome, is_retried) in [
        (COMPLETED, false),
        (AttemptEnd::Cancelled, false),
        (AttemptEnd::Refused, true),
        (AttemptEnd::ConnectFailed, true),
    ] {
        let effects = submit(&mut scheduler, new_request("large", "x", NOW), NOW);
        let placement = only_dispatch(&effects).placement;
        let (retry, _) = end_attempt(&mut scheduler, placement, outcome);
        assert_eq!(
            matches!(retry, Retry::After { .. }),
            is_retried,
            "{outcome:?}"
        );
        assert_eq!(end_attempt(&mut scheduler, placement, outcome).0, Retry::No);
    }
    assert_eq!(scheduler.running(), 0);
    let table = scheduler.router().targets();
    assert!(
        table
            .iter()
            .all(|(_, state)| state.load.local_requests() == 0)
    );
}

/// Guards against dispatches to leaving targets when all are leaving, and against a wait in the
/// queue that can only end with a refusal.
#[test]
fn without_a_target_in_service_the_request_is_refused_at_once() {
    let mut scheduler = new_scheduler(2);
    for index in 0..2 {
        scheduler.set_leaving(&engine_name(index), true);
    }
    let effects = submit(&mut scheduler, new_request("large", "x", NOW), NOW);
    assert!(matches!(
        effects[..],
        [Effect::Refuse {
            reason: Refusal::NoTarget,
            ..
        }]
    ));
}

/// Guards against plain requests that accumulate at one target, or go to a target after a crash
/// there.
#[test]
fn plain_requests_go_to_the_least_loaded_target() {
    let mut scheduler = new_scheduler(3);
    let targets: Vec<_> = (0..3).map(|index| engine_name(index).into()).collect();
    let mut placed = Vec::new();
    for random in 0..9 {
        placed.push(scheduler.place_plain(&targets, &[], random, NOW).unwrap());
    }
    for target in &targets {
        assert_eq!(placed.iter().filter(|(_, id)| id == target).count(), 3);
    }
    let (crashed, target) = placed[0].clone();
    end_attempt(&mut scheduler, crashed, AttemptEnd::Crashed);
    let (_, next) = scheduler.place_plain(&targets, &[], 1, NOW).unwrap();
    assert_ne!(next, target);
}

/// Guards against an instance that does not pass its observations to the scheduler: successive
/// requests with a long common prefix must all go to the engine that has it cached.
#[test]
fn an_instance_sends_requests_with_a_common_prefix_to_one_engine() {
    run(async {
        let times = EngineTimes {
            prefill: Duration::from_millis(1),
            per_token: Duration::from_millis(1),
        };
        let engines = [Engine::new(times), Engine::new(times), Engine::new(times)];
        let handles = engines
            .each_ref()
            .map(|engine| StandInHandle::start(engine.clone()).unwrap());
        let targets: serde_json::Map<_, _> = handles
            .iter()
            .enumerate()
            .map(|(index, handle)| {
                let target = json!({ "kind": "engine", "address": handle.address(),
                    "failure_domain": "a", "models": ["shop"] });
                (engine_name(index), target)
            })
            .collect();
        let platform = Platform::new();
        let platform_handle = StandInHandle::start(platform.clone()).unwrap();
        platform.put(
            "config/current",
            json!({ "version": 1, "nonce": "n", "config": {
                "workspaces": { "clerks": { "rate_tokens_per_s": 1_000_000, "burst_tokens": 1_000_000 } },
                "keys": { sha256_hex(b"secret"): { "workspace": "clerks" } },
                "models": { "shop": { "weights_version": "1" } },
                "targets": targets,
            } }),
        );
        let instance = Instance::start(platform_handle.address(), &[]).await;
        eventually("the instance is ready", || async {
            let response = send(instance.client_address, Request::get("/readyz"), None).await;
            (response.status == 200).then_some(())
        })
        .await;
        let shared = "shared ".repeat(4000);
        for index in 0..6 {
            let body = json!({ "model": "shop", "max_tokens": 2,
                "prompt": format!("{shared}{index}") });
            let request = Request::post("/v1/completions")
                .header("authorization", "Bearer secret")
                .header("content-type", "application/json");
            let response = send(instance.client_address, request, Some(body.to_string())).await;
            assert_eq!(response.status, 200, "{}", response.body);
        }
        let mut request_counts: Vec<_> = engines
            .iter()
            .map(|engine| engine.seen_headers().len())
            .collect();
        request_counts.sort_unstable();
        assert_eq!(request_counts, [0, 0, 6]);
    });
}
