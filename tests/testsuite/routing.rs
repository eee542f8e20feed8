//! Routing by prompt prefixes: rankings of targets, growth and nesting of replica sets, and the
//! estimated contents of target caches.

use std::collections::BTreeSet;
use std::time::Duration;

use jujubelink::core::ids::Timestamp;
use jujubelink::core::routing::{
    Demand, LoadReport, MAX_REPLICAS, MissingCause, RankTable, RouteRequest, Router, TargetIndex,
};
use jujubelink::util::hash::stable_hash;
use proptest::prelude::*;

use crate::support::decisions::{
    MODEL, config_with_engines, config_with_named_engines, engine_name, prompt, prompt_text,
};
use crate::support::property_config;

const NOW: Timestamp = Duration::from_secs(100);

fn members(count: u32) -> Vec<(TargetIndex, u64)> {
    (0..count)
        .map(|index| {
            (
                index,
                stable_hash(0, engine_name(index as usize).as_bytes()),
            )
        })
        .collect()
}

fn router(engines: usize) -> Router {
    let mut router = Router::new();
    router.on_config(&config_with_engines(engines));
    router
}

fn route_request<'a>(blocks: &'a [u64], bytes: usize) -> RouteRequest<'a> {
    RouteRequest {
        model: MODEL,
        blocks,
        prompt_bytes: bytes,
        excluded: &[],
        is_suspect: false,
        is_urgent: false,
        rate_tokens_per_s: 0,
    }
}

/// Routes a prompt, records it as sent and returns the chosen target.
fn send(router: &mut Router, blocks: &[u64], random: u64, now: Timestamp) -> TargetIndex {
    let request = route_request(blocks, blocks.len() * 100);
    let choice = router.choose(&request, random, now).expect("a target");
    router.on_sent(&request, &choice, now);
    choice.target
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against rankings that change when an unrelated target leaves: prompts would go to
    /// targets that do not have them cached.
    #[test]
    fn removing_a_target_moves_only_its_prefixes(fingerprint: u64, removed in 0u32..50) {
        let all = members(50);
        let before = RankTable::new(&all);
        let rest: Vec<_> = all.into_iter().filter(|(index, _)| *index != removed).collect();
        let after = RankTable::new(&rest);
        let expected: Vec<_> = before
            .ranked(fingerprint)
            .iter()
            .copied()
            .filter(|target| *target != removed)
            .collect();
        prop_assert_eq!(&after.ranked(fingerprint)[..expected.len()], &expected[..]);
    }

    /// Guards against instances that rank targets differently because their tables have another
    /// order.
    #[test]
    fn ranking_does_not_depend_on_the_order_of_members(fingerprint: u64) {
        let all = members(40);
        let reversed: Vec<_> = all.iter().rev().copied().collect();
        let (table, reversed_table) = (RankTable::new(&all), RankTable::new(&reversed));
        prop_assert_eq!(table.ranked(fingerprint), reversed_table.ranked(fingerprint));
    }

    /// Guards against a longer prefix with a replica outside the replica set of the shorter prefix:
    /// that target has not even the shorter prefix cached.
    #[test]
    fn replica_sets_of_longer_prefixes_are_nested(seed: u64, requests in 1usize..200) {
        let mut router = router(60);
        router.set_instance_count(8);
        let shared = prompt("large", "1", &prompt_text("base", 2));
        for index in 0..requests {
            let text = format!("{}{}", prompt_text("base", 2), prompt_text(&format!("{}", index % 3), 2));
            let blocks = prompt("large", "1", &text).blocks;
            send(&mut router, &blocks, seed.wrapping_add(index as u64), NOW);
        }
        let outer: BTreeSet<_> = router.replica_set(MODEL, &shared.blocks).into_iter().collect();
        for variant in 0..3 {
            let text = format!("{}{}", prompt_text("base", 2), prompt_text(&format!("{variant}"), 2));
            let inner = router.replica_set(MODEL, &prompt("large", "1", &text).blocks);
            prop_assert!(inner.iter().all(|target| outer.contains(target)));
        }
    }

    /// Guards against a prefix that counts as cached although the cached one belongs to another
    /// workspace or other weights.
    #[test]
    fn no_fingerprint_is_shared_between_scopes(content in "[a-z]{300}") {
        let blocks = prompt("large", "1", &content).blocks;
        for other in [prompt("small", "1", &content), prompt("large", "2", &content)] {
            prop_assert!(blocks.iter().all(|block| !other.blocks.contains(block)));
        }
    }
}

/// Guards against frequently requested prefixes that stay at one target, and against replica sets
/// that never shrink again.
#[test]
fn replica_sets_grow_at_once_and_shrink_slowly() {
    let mut demand = Demand::new(NOW);
    let mut now = NOW;
    for _ in 0..400 {
        now += Duration::from_millis(10);
        demand.on_request(Duration::from_millis(20), 1, now);
    }
    let replicas = demand.replicas();
    assert!(
        replicas >= 3,
        "2 s of work per second on {replicas} targets"
    );
    demand.refresh(1, now + Duration::from_secs(1));
    assert_eq!(demand.replicas(), replicas, "no shrinking without a delay");
    for second in 0..120 {
        demand.refresh(1, now + Duration::from_secs(second));
    }
    assert_eq!(demand.replicas(), 1);
}

/// Guards against an unbounded replica set.
#[test]
fn a_replica_set_is_bounded() {
    let mut demand = Demand::new(NOW);
    for _ in 0..10_000 {
        demand.on_request(Duration::from_secs(1), 380, NOW);
    }
    assert_eq!(demand.replicas(), MAX_REPLICAS);
}

/// Guards against lost cache hits: a repeated prompt goes to the target that has it cached.
#[test]
fn a_repeated_prompt_goes_to_the_same_idle_target() {
    let mut router = router(50);
    let blocks = prompt("large", "1", &prompt_text("long", 8)).blocks;
    let first = send(&mut router, &blocks, 1, NOW);
    let state = router.targets_mut().get_mut(first);
    state.load.on_prefilled(NOW);
    state.load.on_ended();
    for random in 2..50 {
        let request = route_request(&blocks, 800);
        let choice = router.choose(&request, random, NOW).unwrap();
        assert_eq!((choice.target, choice.cached_blocks), (first, 8));
    }
}

/// Guards against a request that is routed by cached blocks which the engine lost in a restart.
#[test]
fn a_new_incarnation_clears_the_cached_estimate() {
    let mut router = router(5);
    let blocks = prompt("large", "1", &prompt_text("long", 8)).blocks;
    let target = send(&mut router, &blocks, 1, NOW);
    let report = |incarnation| LoadReport {
        incarnation,
        ..LoadReport::default()
    };
    router.on_load(target, &report(7), NOW);
    assert_eq!(cached_blocks_at(&mut router, &blocks, target), 8);
    router.on_load(target, &report(8), NOW);
    assert_eq!(cached_blocks_at(&mut router, &blocks, target), 0);
}

/// Guards against a request that is routed by blocks whose eviction may have been in a lost event.
#[test]
fn a_gap_in_events_clears_the_cached_estimate() {
    let mut router = router(5);
    let blocks = prompt("large", "1", &prompt_text("long", 8)).blocks;
    let target = send(&mut router, &blocks, 1, NOW);
    router.on_event_gap(target);
    assert_eq!(cached_blocks_at(&mut router, &blocks, target), 0);
}

/// Guards against a cached estimate that is kept when an engine changes its weights without a
/// restart.
#[test]
fn other_weights_clear_the_cached_estimate() {
    let mut router = router(1);
    let blocks = prompt("large", "1", &prompt_text("long", 8)).blocks;
    let target = send(&mut router, &blocks, 1, NOW);
    let report = |version: &str| LoadReport {
        incarnation: 7,
        model: MODEL.to_owned(),
        weights_version: version.to_owned(),
        ..LoadReport::default()
    };
    router.on_load(target, &report("1"), NOW);
    assert_eq!(cached_blocks_at(&mut router, &blocks, target), 8);
    router.on_load(target, &report("2"), NOW);
    assert_eq!(cached_blocks_at(&mut router, &blocks, target), 0);
    router.on_load(target, &report("1"), NOW);
    assert_eq!(cached_blocks_at(&mut router, &blocks, target), 0);
}

/// Guards against instances that all send to the few targets that already have new weights, where requests
/// then wait for seconds while the other targets are idle.
#[test]
fn the_first_targets_with_new_weights_do_not_get_all_requests() {
    const INSTANCES: u64 = 85;
    const REQUESTS: u64 = 5;
    let share_of_updated = |updated: u32| {
        let mut count = 0;
        for instance in 0..INSTANCES {
            let mut router = router(40);
            router.set_instance_count(INSTANCES as u32);
            for target in 0..40 {
                let version = if target < updated { "1" } else { "0" };
                let report = LoadReport {
                    incarnation: 7,
                    model: MODEL.to_owned(),
                    weights_version: version.to_owned(),
                    ..LoadReport::default()
                };
                router.on_load(target, &report, NOW);
            }
            for request in 0..REQUESTS {
                let seed = stable_hash(instance, &request.to_le_bytes());
                let text = prompt_text(&format!("{instance} {request}"), 8);
                let blocks = prompt("large", "1", &text).blocks;
                let route = RouteRequest {
                    rate_tokens_per_s: 1_000_000,
                    ..route_request(&blocks, 800)
                };
                let choice = router.choose(&route, seed, NOW).expect("a target");
                router.on_sent(&route, &choice, NOW);
                count += u64::from(choice.target < updated);
            }
        }
        count as f64 / (INSTANCES * REQUESTS) as f64
    };
    let shares = [4, 20, 36].map(share_of_updated);
    assert!(shares[0] < 0.4, "{shares:?}");
    assert!(shares[1] > 0.9 && shares[2] > 0.95, "{shares:?}");
}

/// Guards against a cached estimate that outlives the blocks, and against digests of another
/// incarnation.
#[test]
fn the_cached_estimate_follows_events_and_expires() {
    let mut router = router(5);
    let blocks = prompt("large", "1", &prompt_text("long", 8)).blocks;
    let target = send(&mut router, &blocks, 1, NOW);
    router.on_cache_event(target, blocks[3], false, NOW);
    assert_eq!(cached_blocks_at(&mut router, &blocks, target), 3);
    router.on_digest(target, 99, &[blocks[3]], &[], NOW);
    assert_eq!(cached_blocks_at(&mut router, &blocks, target), 3);
    router.on_digest(target, 0, &[blocks[3]], &[], NOW);
    assert_eq!(cached_blocks_at(&mut router, &blocks, target), 8);
    let later = NOW + Duration::from_secs(121);
    let choice = router
        .choose(&route_request(&blocks, 800), 1, later)
        .unwrap();
    assert_eq!(choice.cached_blocks, 0);
}

/// Guards against new requests at a leaving, drained, ejected or excluded target.
#[test]
fn targets_out_of_service_get_nothing() {
    let mut router = router(4);
    router.targets_mut().get_mut(0).is_leaving = true;
    router.targets_mut().get_mut(1).traffic_fraction = 0.0;
    let report = LoadReport {
        state: "leaving".to_owned(),
        ..LoadReport::default()
    };
    router.on_load(2, &report, NOW);
    let blocks = prompt("large", "1", &prompt_text("long", 8)).blocks;
    for random in 0..100 {
        let choice = router
            .choose(&route_request(&blocks, 800), random, NOW)
            .unwrap();
        assert_eq!(choice.target, 3);
    }
    let excluded = [engine_name(3).into()];
    let request = RouteRequest {
        excluded: &excluded,
        ..route_request(&blocks, 800)
    };
    assert!(router.choose(&request, 1, NOW).is_none());
}

/// Guards against a configuration change that clears the cached estimate of unchanged targets, and
/// against a new target that inherits the estimate of the removed target whose index it reuses.
#[test]
fn a_configuration_change_keeps_unchanged_targets() {
    let mut router = router(3);
    let blocks = prompt("large", "1", &prompt_text("long", 8)).blocks;
    let target = send(&mut router, &blocks, 1, NOW);
    router.on_config(&config_with_engines(4));
    assert_eq!(cached_blocks_at(&mut router, &blocks, target), 8);
    let state = router.targets_mut().get_mut(target);
    state.load.on_prefilled(NOW);
    state.load.on_ended();
    router.on_config(&config_with_named_engines(["new".to_owned()].into_iter()));
    router.on_config(&config_with_named_engines(
        ["new".to_owned(), "newer".to_owned()].into_iter(),
    ));
    for random in 0..20 {
        let choice = router
            .choose(&route_request(&blocks, 800), random, NOW)
            .unwrap();
        assert_eq!(choice.cached_blocks, 0);
    }
}

/// Number of blocks estimated to be cached at a target. Takes the others out of service meanwhile.
fn cached_blocks_at(router: &mut Router, blocks: &[u64], target: TargetIndex) -> u32 {
    let count = router.targets().len() as u32;
    for other in (0..count).filter(|other| *other != target) {
        router.targets_mut().get_mut(other).is_leaving = true;
    }
    let request = route_request(blocks, blocks.len() * 100);
    let choice = router.choose(&request, 1, NOW).expect("a target");
    assert_eq!(choice.target, target);
    for other in 0..count {
        router.targets_mut().get_mut(other).is_leaving = false;
    }
    choice.cached_blocks
}

/// Returns the blocks that the choice of a second request for a prompt lacks, after `change` at the target
/// that holds them.
fn missing_after(
    change: impl FnOnce(&mut Router, TargetIndex),
    excludes_holder: bool,
    now: Timestamp,
) -> Option<(u32, MissingCause)> {
    let mut router = router(50);
    let blocks = prompt("large", "1", &prompt_text("long", 8)).blocks;
    let holder = send(&mut router, &blocks, 1, NOW);
    let state = router.targets_mut().get_mut(holder);
    state.load.on_prefilled(NOW);
    state.load.on_ended();
    change(&mut router, holder);
    let excluded = [router.targets().get(holder).id.clone()];
    let request = RouteRequest {
        excluded: if excludes_holder { &excluded } else { &[] },
        ..route_request(&blocks, 800)
    };
    let choice = router.choose(&request, 2, now).expect("a target");
    let missing = router.missing_blocks(&request, &choice, now);
    missing.map(|missing| (missing.blocks, missing.cause))
}

/// Guards against an account of missing blocks that names the wrong cause, so that the wrong fault is fixed.
#[test]
fn missing_blocks_have_a_cause() {
    let nothing = |_: &mut Router, _| {};
    assert_eq!(missing_after(nothing, false, NOW), None);
    let later = NOW + Duration::from_secs(60);
    let evicted = missing_after(nothing, false, later);
    assert_eq!(evicted, Some((8, MissingCause::Evicted)));
    let failure = missing_after(nothing, true, NOW);
    assert_eq!(failure, Some((8, MissingCause::Failure)));
    let leave = |router: &mut Router, holder| {
        router.targets_mut().get_mut(holder).is_leaving = true;
    };
    let out = Some((8, MissingCause::Out));
    assert_eq!(missing_after(leave, false, NOW), out);
    let load_weights = |router: &mut Router, holder| {
        router.targets_mut().get_mut(holder).busy_until = NOW + Duration::from_secs(9);
    };
    assert_eq!(missing_after(load_weights, false, NOW), out);
    let restart = |router: &mut Router, holder| router.on_event_gap(holder);
    assert_eq!(missing_after(restart, false, NOW), out);
    let fill = |router: &mut Router, holder| {
        let load = &mut router.targets_mut().get_mut(holder).load;
        (0..20).for_each(|_| load.on_sent(Duration::from_millis(100), NOW));
    };
    let full = missing_after(fill, false, NOW);
    assert_eq!(full, Some((8, MissingCause::Full)));

    let mut router = router(50);
    let blocks = prompt("large", "1", &prompt_text("long", 8)).blocks;
    let request = route_request(&blocks, 800);
    let choice = router.choose(&request, 1, NOW).expect("a target");
    let first = router.missing_blocks(&request, &choice, NOW);
    assert_eq!(
        first.map(|missing| missing.cause),
        Some(MissingCause::FirstUse)
    );
    router.on_sent(&request, &choice, NOW);
    let load = &mut router.targets_mut().get_mut(choice.target).load;
    load.on_prefilled(NOW);
    load.on_ended();
    let mut others = router.explain(&request, NOW).into_iter();
    let other = others.find(|other| other.target != choice.target);
    let spread = router.missing_blocks(&request, &other.expect("another target"), NOW);
    assert_eq!(
        spread.map(|missing| missing.cause),
        Some(MissingCause::Spread)
    );
}
