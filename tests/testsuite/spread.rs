//! Propagation of the configuration, on the state machines and with real instances.

use std::task::{Context, Poll, Waker};
use std::time::Duration;

use futures_util::FutureExt;
use jujubelink::core::config::{ConfigSnapshot, FleetConfig, StoredConfig};
use jujubelink::core::membership::ConfigSummary;
use jujubelink::core::spread::{
    ConfigDelta, DIGEST_BYTES_PER_S, DeltaHistory, DigestRelay, MAX_QUARANTINED,
    MAX_QUEUED_DIGESTS, Propagation, QuarantineSet, Role, SequencedDigest, SpreadEffect,
};
use jujubelink::ops::spread::Notifier;
use proptest::prelude::*;

use crate::support::{Cluster, config, eventually, run};

fn snapshot(version: u64, keys: &[&str], withdrawn: &[&str]) -> ConfigSnapshot {
    let stored: StoredConfig = serde_json::from_value(config(version, keys)).unwrap();
    let mut fleet: FleetConfig = stored.config;
    fleet.withdrawn_keys = withdrawn.iter().map(|hash| (*hash).into()).collect();
    ConfigSnapshot::new(version, fleet)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against deltas that lose, keep or invent an entry.
    #[test]
    fn a_delta_gives_exactly_the_next_configuration(
        before in proptest::collection::vec("[a-e]", 0..5),
        after in proptest::collection::vec("[a-e]", 0..5),
        gone in proptest::collection::vec("[a-e]", 0..5),
        listed in proptest::collection::vec("[a-e]", 0..5),
        rate in 1u64..3,
    ) {
        fn refs(list: &[String]) -> Vec<&str> {
            list.iter().map(String::as_str).collect()
        }
        let base = snapshot(4, &refs(&before), &refs(&gone));
        let mut next = snapshot(9, &refs(&after), &refs(&listed));
        next.fleet.workspaces.values_mut().for_each(|workspace| workspace.rate_tokens_per_s = rate);
        next.fleet.orders.loads_at_a_time = rate as u32;
        let delta = ConfigDelta::new(&base, &next);
        let text = serde_json::to_vec(&delta).unwrap();
        let delta: ConfigDelta = serde_json::from_slice(&text).unwrap();
        prop_assert_eq!(delta.apply(&base).unwrap(), next);
    }
}

/// Guards against a delta that is applied to another configuration than the one it was made for.
#[test]
fn a_delta_is_refused_on_another_base() {
    let delta = ConfigDelta::new(&snapshot(1, &["a"], &[]), &snapshot(2, &["a", "b"], &[]));
    assert!(delta.apply(&snapshot(3, &["a"], &[])).is_err());
    // The same version with other content, as after a write without a condition.
    assert!(delta.apply(&snapshot(1, &["a", "c"], &[])).is_err());
}

/// Guards against deltas that skip a change, and against a history that grows without bound.
#[test]
fn the_history_is_contiguous_and_bounded() {
    let mut history = DeltaHistory::default();
    let mut held = snapshot(1, &["k1"], &[]);
    for version in 2..200 {
        let key = format!("k{version}");
        let next = snapshot(version, &[&key], &[]);
        history.push(&ConfigDelta::new(&held, &next));
        held = next;
    }
    assert!(history.since(3).is_none());
    let deltas: Vec<ConfigDelta> = serde_json::from_slice(&history.since(150).unwrap()).unwrap();
    let mut rebuilt = snapshot(150, &["k150"], &[]);
    for delta in &deltas {
        rebuilt = delta.apply(&rebuilt).unwrap();
    }
    assert_eq!(rebuilt, held);
    // A jump breaks the chain.
    history.push(&ConfigDelta::new(
        &snapshot(300, &[], &[]),
        &snapshot(301, &["x"], &[]),
    ));
    assert!(history.since(198).is_none() && history.since(300).is_some());
}

/// Guards against a fetch that is never repeated, against a lower version that starts one, and
/// against needless exchanges of revocations.
#[test]
fn larger_versions_and_other_revocations_are_fetched() {
    let summary = |config_version, revocations_hash| ConfigSummary {
        config_version,
        revocations_hash,
    };
    let mut propagation = Propagation::default();
    propagation.set_local(summary(5, 1));
    let from = "127.0.0.1:1".into();
    let at = Duration::from_secs;
    assert_eq!(propagation.on_summary(&from, summary(4, 2), at(1)), None);
    let fetch = Some(SpreadEffect::Fetch { from: from.clone() });
    assert_eq!(propagation.on_summary(&from, summary(6, 2), at(1)), fetch);
    assert_eq!(propagation.on_summary(&from, summary(7, 2), at(2)), None);
    // The call that was under way is given up.
    assert_eq!(propagation.on_summary(&from, summary(7, 2), at(5)), fetch);
    propagation.on_fetch_ended();
    assert_eq!(propagation.on_summary(&from, summary(7, 2), at(5)), fetch);
    let exchange = Some(SpreadEffect::ExchangeRevocations { with: from.clone() });
    assert_eq!(
        propagation.on_summary(&from, summary(5, 2), at(6)),
        exchange
    );
    assert_eq!(propagation.on_summary(&from, summary(5, 2), at(6)), None);
    assert_eq!(propagation.on_summary(&from, summary(5, 1), at(9)), None);
}

/// Guards against a fleet in which nobody or everybody watches, and against an instance that hears
/// nobody and waits for members for ever.
#[test]
fn three_watch_and_a_silent_instance_polls() {
    let names: Vec<String> = (0..40).map(|index| format!("127.0.0.1:{index}")).collect();
    let role = |own: &str, heard, now| {
        let live = names.iter().map(String::as_str).filter(|name| *name != own);
        Propagation::role(own, live, heard, now)
    };
    let now = Duration::from_secs(100);
    let roles: Vec<Role> = names.iter().map(|own| role(own, Some(now), now)).collect();
    let is_watcher = |role: &&Role| matches!(role, Role::Watcher { .. });
    assert_eq!(roles.iter().filter(is_watcher).count(), 3);
    let follower = roles
        .iter()
        .position(|role| *role == Role::Follower)
        .unwrap();
    let heard = Some(now - Duration::from_secs(11));
    assert_eq!(role(&names[follower], heard, now), Role::Isolated);
}

fn digest(origin: &str, sequence: u64) -> SequencedDigest {
    SequencedDigest {
        origin: origin.into(),
        origin_incarnation: 1,
        sequence,
        target: "e1".into(),
        incarnation: 2,
        stored: vec![1; 20],
        evicted: Vec::new(),
    }
}

/// Guards against digests that circulate for ever, exceed their bytes or fill the memory.
#[test]
fn digests_are_relayed_once_within_the_budget() {
    let mut relay = DigestRelay::default();
    assert!(relay.on_received(&digest("a", 5)));
    assert!(!relay.on_received(&digest("a", 5)));
    assert!(relay.on_received(&digest("a", 4)));
    assert!(!relay.on_received(&digest("a", 4)));
    for sequence in 6..2_000 {
        relay.on_received(&digest("a", sequence));
    }
    assert!(relay.dropped() >= 2_000 - 10 - MAX_QUEUED_DIGESTS as u64);
    let mut sent = 0;
    for second in 0..20 {
        let digests = relay.take_to_send(4, Duration::from_secs(second));
        sent += digests
            .iter()
            .map(|digest| 4 * digest.size_bytes())
            .sum::<u64>();
    }
    assert!(sent > 0 && sent <= DIGEST_BYTES_PER_S * 22, "{sent}");
}

/// Guards against quarantine that is passed on for ever or grows without bound.
#[test]
fn quarantine_is_news_once_and_bounded() {
    let mut set = QuarantineSet::default();
    let minute = Duration::from_secs(60);
    assert!(set.merge(1, 2, 10 * minute, Duration::ZERO));
    assert!(!set.merge(1, 2, 10 * minute, Duration::from_secs(2)));
    assert!(set.merge(1, 3, 10 * minute, Duration::from_secs(2)));
    assert!(set.merge(1, 2, 10 * minute, 5 * minute));
    for fingerprint in 0..2 * MAX_QUARANTINED as u64 {
        set.merge(fingerprint, 2, 5 * minute, Duration::ZERO);
    }
    assert_eq!(set.current(Duration::ZERO).count(), MAX_QUARANTINED);
    assert_eq!(set.current(20 * minute).count(), 0);
}

/// Guards against a change between the call and the first poll that is missed, and against wakers
/// that stay behind when a waiting task goes away or polls often.
#[test]
fn waiting_for_a_change_loses_and_leaks_nothing() {
    let notifier = Notifier::new();
    let mut cx = Context::from_waker(Waker::noop());
    let early = notifier.changed();
    notifier.notify();
    assert_eq!(Box::pin(early).poll_unpin(&mut cx), Poll::Ready(()));
    let mut waiting: Vec<_> = (0..50).map(|_| Box::pin(notifier.changed())).collect();
    for future in &mut waiting {
        assert!(future.poll_unpin(&mut cx).is_pending());
        assert!(future.poll_unpin(&mut cx).is_pending());
    }
    assert_eq!(notifier.waiting(), 50);
    waiting.truncate(20);
    assert_eq!(notifier.waiting(), 20);
    notifier.notify();
    assert_eq!(notifier.waiting(), 0);
    assert!(
        waiting
            .iter_mut()
            .all(|future| future.poll_unpin(&mut cx).is_ready())
    );
}

/// Guards against a change that some instances never get, and against an instance that reverts
/// after a restart, with the platform up or down or holding an older value.
#[test]
fn a_change_is_in_force_everywhere_and_never_reverts() {
    run(async {
        let mut fleet = Cluster::start(5, Some(config(1, &["a"]))).await;
        fleet.wait_for_version(1).await;
        fleet.wait_for_members().await;
        for version in 2..5 {
            fleet
                .platform
                .put("config/current", config(version, &["a", "b"]));
            fleet.wait_for_version(version).await;
        }
        fleet.platform.set_faults(|faults| faults.is_down = true);
        fleet.kill(1);
        fleet.start_instance(1).await;
        fleet.wait_for_version(4).await;
        // A platform that was restored from an old copy.
        fleet.platform.put("config/current", config(2, &[]));
        fleet.platform.set_faults(|faults| faults.is_down = false);
        fleet.kill(3);
        fleet.start_instance(3).await;
        eventually("the restarted instance is ready", || async {
            fleet.config_version(3).await.filter(|version| *version > 0)
        })
        .await;
        fleet.wait_for_version(4).await;
    });
}

/// Guards against a start that waits for a silent or slow platform although members answer, and
/// against an outage that is taken for an empty configuration.
#[test]
fn an_instance_starts_from_members_while_the_platform_is_silent() {
    run(async {
        let mut fleet = Cluster::start(2, Some(config(7, &["a"]))).await;
        fleet.wait_for_version(7).await;
        fleet.wait_for_members().await;
        fleet.platform.set_faults(|faults| faults.is_silent = true);
        fleet.kill(1);
        fleet.start_instance(1).await;
        fleet.wait_for_version(7).await;
        // Both at once: nobody has a configuration, and nobody invents one.
        fleet.kill(0);
        fleet.kill(1);
        fleet.start_instance(0).await;
        fleet.start_instance(1).await;
        assert_eq!(fleet.error_code(0, "a").await, "not_ready");
        fleet.platform.set_faults(|faults| faults.is_silent = false);
        fleet.wait_for_version(7).await;
    });
}

/// Guards against a paused instance that keeps an old configuration or is not taken back, and
/// against a crash or planned stop that members do not notice.
#[test]
fn pause_crash_and_leave_are_noticed_and_a_returned_instance_catches_up() {
    run(async {
        let mut fleet = Cluster::start(5, Some(config(1, &["a"]))).await;
        fleet.wait_for_version(1).await;
        fleet.wait_for_members().await;
        fleet.signal(4, "STOP");
        fleet.kill(3);
        fleet.signal(2, "TERM");
        for index in [0, 1] {
            eventually("the three are gone", || async {
                (fleet.live_member_count(index).await == 2).then_some(())
            })
            .await;
        }
        fleet.instances[2] = None;
        fleet.platform.put("config/current", config(2, &["a"]));
        for index in [0, 1] {
            eventually("the change is in force", || async {
                (fleet.config_version(index).await == Some(2)).then_some(())
            })
            .await;
        }
        fleet.signal(4, "CONT");
        fleet.wait_for_version(2).await;
        fleet.wait_for_members().await;
    });
}

/// Guards against a fleet that does not come back after all instances restart at once, and against
/// one of them that reverts to an older configuration.
#[test]
fn a_simultaneous_restart_ends_with_one_configuration() {
    run(async {
        let mut fleet = Cluster::start(6, Some(config(1, &["a"]))).await;
        fleet.wait_for_members().await;
        fleet.platform.put("config/current", config(2, &["a"]));
        fleet.wait_for_version(2).await;
        (0..6).for_each(|index| fleet.kill(index));
        for index in 0..6 {
            fleet.start_instance(index).await;
        }
        fleet.wait_for_version(2).await;
        fleet.wait_for_members().await;
        fleet.platform.put("config/current", config(3, &["a"]));
        fleet.wait_for_version(3).await;
    });
}

/// Guards against quarantine that stays at one instance, and against targets that only the instance
/// that polls the platform's list knows to be leaving.
#[test]
fn quarantine_and_leaving_targets_reach_all_instances() {
    run(async {
        let mut first = config(1, &["a"]);
        let target = serde_json::json!({ "kind": "service", "address": "127.0.0.1:1",
            "failure_domain": "a" });
        first["config"]["targets"] = serde_json::json!({ "s1": target });
        let fleet = Cluster::start(4, Some(first)).await;
        fleet.wait_for_version(1).await;
        fleet.wait_for_members().await;
        fleet.quarantine(2, 77).await;
        fleet
            .platform
            .set_instances(serde_json::json!({ "instances": [
            { "address": "127.0.0.1:1", "kind": "target", "state": "leaving" },
        ] }));
        for index in 0..4 {
            eventually("the quarantine is known", || async {
                let known = fleet.quarantined(index).await;
                known.contains(&77).then_some(())
            })
            .await;
            eventually("the leaving target is known", || async {
                let leaving = fleet.leaving_targets(index).await;
                leaving.contains(&"s1".to_owned()).then_some(())
            })
            .await;
        }
    });
}
