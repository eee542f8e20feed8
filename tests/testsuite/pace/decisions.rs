//! Decisions with and without reported paces.

use std::time::Duration;

use jujubelink::core::config::{ConfigSnapshot, TargetKind};
use jujubelink::core::ids::{TargetId, Timestamp};
use jujubelink::core::pace::{
    ConcurrencyLimit, IgnoredPace, MAX_PACE, MIN_PACE, ReportedPace, ServicePace, TargetPace,
};
use jujubelink::core::routing::{Choice, LoadReport, RouteRequest, Router, TargetIndex};
use jujubelink::core::scheduler::{AttemptEnd, Scheduler};
use proptest::prelude::*;

use crate::support::decisions::{MODEL, config_with_engines, engine_name, prompt, prompt_text};
use crate::support::property_config;

const NOW: Timestamp = Duration::from_secs(100);

const COMPLETED: AttemptEnd = AttemptEnd::Completed {
    incarnation: 0,
    cached_tokens: None,
};

fn report(pace: ReportedPace) -> LoadReport {
    LoadReport {
        running: 1,
        max_running: 16,
        pace,
        ..LoadReport::default()
    }
}

fn router(engines: usize) -> Router {
    let mut router = Router::new();
    router.on_config(&config_with_engines(engines));
    router
}

fn route_request(blocks: &[u64]) -> RouteRequest<'_> {
    RouteRequest {
        model: MODEL,
        blocks,
        prompt_bytes: blocks.len() * 100,
        excluded: &[],
        is_suspect: false,
        is_urgent: false,
        rate_tokens_per_s: 0,
    }
}

/// Sends different prompts, each of which ends before the next one, and returns the choices.
fn send_prompts(router: &mut Router, count: u64, now: Timestamp) -> Vec<Choice> {
    let send = |index: u64| {
        let blocks = prompt("large", "1", &prompt_text(&format!("{index} {now:?}"), 4)).blocks;
        let request = route_request(&blocks);
        let choice = router.choose(&request, index, now).expect("a target");
        router.on_sent(&request, &choice, now);
        let load = &mut router.targets_mut().get_mut(choice.target).load;
        load.on_prefilled(now);
        load.on_ended();
        choice
    };
    (0..count).map(send).collect()
}

fn share_of(choices: &[Choice], target: TargetIndex) -> f64 {
    let hits = choices
        .iter()
        .filter(|choice| choice.target == target)
        .count();
    hits as f64 / choices.len() as f64
}

/// Guards against a deployment without the fourth figure that places differently than before: without a valid
/// figure, observed times and invalid figures change no choice.
#[test]
fn without_a_valid_figure_nothing_changes() {
    let (mut plain, mut observed) = (router(20), router(20));
    for (index, reported) in [
        ReportedPace::Missing,
        ReportedPace::Malformed,
        ReportedPace::Permille(0),
        ReportedPace::Permille(49),
        ReportedPace::Permille(50_001),
    ]
    .into_iter()
    .enumerate()
    {
        plain.on_load(index as u32, &report(ReportedPace::Missing), NOW);
        observed.on_load(index as u32, &report(reported), NOW);
    }
    for round in 0..10 {
        let now = NOW + Duration::from_millis(100 * round);
        let choices = send_prompts(&mut plain, 50, now);
        assert_eq!(send_prompts(&mut observed, 50, now), choices);
        for choice in choices {
            observed.on_first_token(MODEL, &choice, 3.0, now);
            assert_eq!((choice.pace, choice.limit), (1.0, 16));
        }
    }
    assert!(!observed.uses_pace(MODEL));
    assert!(
        observed
            .targets()
            .iter()
            .all(|(_, state)| state.pace.is_none())
    );
}

/// Guards against a slow target that gets as much work as a fast one, and against a fast one that gets all of it.
#[test]
fn a_slow_target_gets_less_and_a_fast_one_not_all() {
    let mut router = router(3);
    for (target, permille) in [(0, 600), (1, 1_000), (2, 1_600)] {
        router.on_load(target, &report(ReportedPace::Permille(permille)), NOW);
    }
    router.set_instance_count(10);
    let choices: Vec<_> = (0..40)
        .flat_map(|step| {
            let now = NOW + Duration::from_millis(25 * step);
            send_prompts(&mut router, 5, now)
        })
        .collect();
    let shares = [0, 1, 2].map(|target| share_of(&choices, target));
    assert!(shares[0] > shares[1] && shares[1] > shares[2], "{shares:?}");
    assert!(shares[0] < 0.9, "{shares:?}");
}

/// Guards against a prefix that is prefilled again at a target that is faster, but not by as much as the cached
/// prefix saves, and against a slow holder that is kept although another target would be done sooner.
#[test]
fn cached_prefix_and_pace_are_compared_in_one_unit() {
    let blocks = prompt("large", "1", &prompt_text("long", 8)).blocks;
    let request = RouteRequest {
        prompt_bytes: 1_600,
        ..route_request(&blocks)
    };
    for (holder_permille, is_kept) in [(1_000, true), (1_500, true), (4_000, false)] {
        let mut router = router(2);
        let first = router.choose(&request, 1, NOW).unwrap();
        router.on_sent(&request, &first, NOW);
        let load = &mut router.targets_mut().get_mut(first.target).load;
        load.on_prefilled(NOW);
        load.on_ended();
        let other = 1 - first.target;
        let holder = report(ReportedPace::Permille(holder_permille));
        router.on_load(first.target, &holder, NOW);
        router.on_load(other, &report(ReportedPace::Permille(1_000)), NOW);
        let choices: Vec<_> = (0..100)
            .map(|random| router.choose(&request, random, NOW).unwrap())
            .collect();
        let share = share_of(&choices, first.target);
        assert_eq!(share > 0.9, is_kept, "{holder_permille}: {share}");
        assert_eq!(share < 0.1, !is_kept, "{holder_permille}: {share}");
    }
}

/// Guards against a target that reports nonsense and is taken out of service or gets all work.
#[test]
fn invalid_figures_are_counted_and_have_no_effect() {
    let mut router = router(2);
    router.on_load(0, &report(ReportedPace::Permille(1_000)), NOW);
    for (reported, reason) in [
        (ReportedPace::Missing, IgnoredPace::Missing),
        (ReportedPace::Malformed, IgnoredPace::Malformed),
        (ReportedPace::Permille(0), IgnoredPace::Absurd),
        (ReportedPace::Permille(u32::MAX), IgnoredPace::Absurd),
    ] {
        router.on_load(0, &report(reported), NOW);
        assert_eq!(router.take_ignored_paces(), [(reason, 1)]);
        let state = router.targets().get(0);
        let speed = router.speed(state, &ServicePace::default(), NOW);
        assert_eq!(speed.pace, 1.0);
    }
    let choices = send_prompts(&mut router, 200, NOW);
    let share = share_of(&choices, 0);
    assert!((0.25..0.75).contains(&share), "{share}");
}

/// Guards against a figure from long ago that keeps its full effect.
#[test]
fn an_old_figure_loses_its_effect() {
    let mut pace = TargetPace::default();
    let usual = ServicePace::default();
    pace.on_report(ReportedPace::Permille(4_000), 1, NOW);
    let paces = [0, 2, 20, 200, 2_000].map(|age| pace.pace(&usual, NOW + Duration::from_secs(age)));
    assert!(paces.windows(2).all(|pair| pair[0] > pair[1]), "{paces:?}");
    assert!(paces[0] > 3.9 && paces[3] < 1.3, "{paces:?}");
}

/// Guards against a target that reports a false pace for good: the observed times correct it.
#[test]
fn observed_times_correct_a_false_figure() {
    let mut usual = ServicePace::default();
    let mut targets = vec![TargetPace::default(); 4];
    let mut now = NOW;
    for step in 0..400 {
        now += Duration::from_millis(50);
        let index = step % 4;
        // Target 0 works at half the speed of the others and reports four times their speed.
        let (reported, took_s) = match index {
            0 => (250, 0.2),
            _ => (1_000, 0.1),
        };
        let target = &mut targets[index];
        target.on_report(ReportedPace::Permille(reported + step as u32 % 7), 1, now);
        target.on_observed(took_s, 0.1, &mut usual, now);
    }
    let paces: Vec<_> = targets
        .iter()
        .map(|target| target.pace(&usual, now))
        .collect();
    let ratio = paces[0] / paces[1];
    assert!((1.5..2.5).contains(&ratio), "{paces:?}");
}

/// Guards against a figure that no longer changes and hides that the target has become slow.
#[test]
fn a_frozen_figure_is_ignored_when_observed_times_differ() {
    let mut usual = ServicePace::default();
    let mut targets = vec![TargetPace::default(); 4];
    let mut ignored = None;
    for step in 0..800u32 {
        let now = NOW + Duration::from_millis(u64::from(step) * 25);
        let index = step as usize % 4;
        let (reported, took_s) = match index {
            0 => (600, 0.3),
            _ => (1_000 + step % 11, 0.1),
        };
        ignored = targets[index]
            .on_report(ReportedPace::Permille(reported), 1, now)
            .or(ignored);
        targets[index].on_observed(took_s, 0.1, &mut usual, now);
    }
    assert_eq!(ignored, Some(IgnoredPace::Frozen));
    let now = NOW + Duration::from_secs(20);
    let ratio = targets[0].pace(&usual, now) / targets[1].pace(&usual, now);
    assert!((2.0..3.5).contains(&ratio), "{ratio}");
}

/// Guards against a limit that stays at the number of slots although more work finishes later for all, that
/// falls below one, or that is never raised again.
#[test]
fn the_limit_follows_the_throughput() {
    let mut limit = ConcurrencyLimit::default();
    assert_eq!(limit.limit(24, NOW), 24);
    for step in 0..400u32 {
        let now = NOW + Duration::from_millis(u64::from(step) * 10);
        let requests = 1 + step % 16;
        // Up to 6 requests take the usual time; from then on each further one delays all by a third.
        let pace = 1.0 + 0.33 * f64::from(requests.saturating_sub(6));
        limit.on_report(requests, pace, now);
    }
    let now = NOW + Duration::from_secs(4);
    assert_eq!(limit.limit(24, now), 8);
    assert_eq!(limit.limit(4, now), 4);
    assert_eq!(limit.limit(0, now), 1);
    assert_eq!(limit.limit(24, now + Duration::from_secs(120)), 24);
}

/// Guards against a new target that gets as much as the others at once, while nothing is known about it.
#[test]
fn a_new_target_gets_traffic_gradually() {
    let mut router = router(4);
    for target in 0..4 {
        router.on_load(target, &report(ReportedPace::Permille(1_000)), NOW);
    }
    router.on_config(&config_with_engines(5));
    let new = router.targets().index(&engine_name(4)).unwrap();
    router.on_tick(NOW);
    let share_at =
        |router: &mut Router, seconds| share_of(&send_prompts(router, 1_000, NOW + seconds), new);
    let first = share_at(&mut router, Duration::ZERO);
    let middle = share_at(&mut router, Duration::from_secs(3));
    let full = share_at(&mut router, Duration::from_secs(60));
    assert!(first > 0.0 && first < 0.3 * full, "{first} of {full}");
    assert!(middle > 2.0 * first && middle < full, "{middle} of {full}");
    assert!(full > 0.1, "{full}");
}

fn config_of_a_service(targets: usize) -> ConfigSnapshot {
    let mut config = config_with_engines(targets);
    for target in config.fleet.targets.values_mut() {
        target.kind = TargetKind::Service;
        target.models.clear();
    }
    config
}

/// Number of instances that place the same calls as the one under test, and itself.
const CALLING_INSTANCES: u32 = 3;

/// Places a call each 10 ms, which takes the given time, and returns the calls at each target. The targets
/// have 6 slots, and report the calls of all instances and the given paces; 0 for no report.
fn place_calls(
    scheduler: &mut Scheduler,
    calls: u64,
    times_ms: [u64; 4],
    paces: [u32; 4],
) -> [u64; 4] {
    let targets: Vec<TargetId> = (0..4).map(|index| engine_name(index).into()).collect();
    let mut counts = [0; 4];
    let mut running: Vec<(Timestamp, u64, usize)> = Vec::new();
    for call in 0..calls {
        let now = NOW + Duration::from_millis(call * 10);
        running.sort_unstable();
        while let Some((end, id, index)) = running.first().copied().filter(|first| first.0 <= now) {
            let at_target = running.iter().filter(|other| other.2 == index).count();
            running.remove(0);
            if paces[index] > 0 {
                let report = LoadReport {
                    running: CALLING_INSTANCES * at_target as u32,
                    max_running: 6,
                    ..report(ReportedPace::Permille(paces[index]))
                };
                scheduler.on_load(&targets[index], &report, end);
            }
            scheduler.on_end(id, COMPLETED, 7, end, &mut Vec::new());
        }
        let (id, target) = scheduler.place_plain(&targets, &[], call, now).unwrap();
        let index = targets.iter().position(|other| *other == target).unwrap();
        counts[index] += 1;
        running.push((now + Duration::from_millis(times_ms[index]), id, index));
    }
    for (end, id, _) in running {
        scheduler.on_end(id, COMPLETED, 7, end, &mut Vec::new());
    }
    counts
}

/// Guards against calls whose placement ignores the paces that servers report, and against the fastest server
/// that gets nearly all calls.
#[test]
fn calls_follow_reported_paces() {
    let times_ms = [36, 60, 60, 96];
    let place = |paces| {
        let mut scheduler = Scheduler::new();
        scheduler.on_config(&config_of_a_service(4));
        let router = scheduler.router_mut();
        router.set_instance_count(CALLING_INSTANCES);
        place_calls(&mut scheduler, 1_000, times_ms, paces)
    };
    let least_loaded = place([0; 4]);
    let by_pace = place([600, 1_000, 1_000, 1_600]);
    assert!(
        by_pace[0] > least_loaded[0] && by_pace[3] < least_loaded[3],
        "{by_pace:?} and {least_loaded:?}"
    );
    assert!(by_pace[0] < 700, "{by_pace:?}");
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against a sequence of reports and observations that yields a pace out of bounds or a limit
    /// below one.
    #[test]
    fn pace_and_limit_stay_in_bounds(
        events in proptest::collection::vec((any::<u32>(), any::<f64>(), 0u64..10_000), 1..100)
    ) {
        let (mut pace, mut usual) = (TargetPace::default(), ServicePace::default());
        let mut now = NOW;
        for (permille, observed_s, elapsed_ms) in events {
            now += Duration::from_millis(elapsed_ms);
            pace.on_report(ReportedPace::Permille(permille % 60_000), permille, now);
            if observed_s.is_finite() {
                pace.on_observed(observed_s, 0.1, &mut usual, now);
            }
            prop_assert!((MIN_PACE..=MAX_PACE).contains(&pace.pace(&usual, now)));
            prop_assert!((1..=24).contains(&pace.limit.limit(24, now)));
        }
    }
}
