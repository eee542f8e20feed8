//! Propagation of the configuration between instances: tests of the state machines, then of real
//! instances.

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

fn snapshot(version: u64, keys: &[&str], revoked_hashes: &[&str]) -> ConfigSnapshot {
    let stored: StoredConfig = serde_json::from_value(config(version, keys)).unwrap();
    let mut fleet_config: FleetConfig = stored.config;
    fleet_config.withdrawn_keys = revoked_hashes.iter().map(|hash| (*hash).into()).collect();
    ConfigSnapshot::new(version, fleet_config)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against deltas that lose or invent an entry, or that keep a removed one.
    #[test]
    fn a_delta_yields_exactly_the_next_configuration(
        keys_before in proptest::collection::vec("[a-e]", 0..5),
        keys_after in proptest::collection::vec("[a-e]", 0..5),
        revoked_before in proptest::collection::vec("[a-e]", 0..5),
        revoked_after in proptest::collection::vec("[a-e]", 0..5),
        rate in 1u64..3,
    ) {
        fn refs(list: &[String]) -> Vec<&str> {
            list.iter().map(String::as_str).collect()
        }
        let base = snapshot(4, &refs(&keys_before), &refs(&revoked_before));
        let mut next = snapshot(9, &refs(&keys_after), &refs(&revoked_after));
        next.fleet.workspaces.values_mut().for_each(|workspace| workspace.rate_tokens_per_s = rate);
        next.fleet.orders.loads_at_a_time = rate as u32;
        let delta = ConfigDelta::new(&base, &next);
        let json = serde_json::to_vec(&delta).unwrap();
        let delta: ConfigDelta = serde_json::from_slice(&json).unwrap();
        prop_assert_eq!(delta.apply(&base).unwrap(), next);
    }
}

/// Guards against a delta that is applied to another configuration than the one that it was
/// computed from.
#[test]
fn a_delta_is_refused_on_another_base() {
    let delta = ConfigDelta::new(&snapshot(1, &["a"], &[]), &snapshot(2, &["a", "b"], &[]));
    assert!(delta.apply(&snapshot(3, &["a"], &[])).is_err());
    // The same version with other contents, as after a write without a version condition.
    assert!(delta.apply(&snapshot(1, &["a", "c"], &[])).is_err());
}

/// Guards against a sequence of deltas that skips a change, and against an unbounded history.
#[test]
fn the_history_is_contiguous_and_bounded() {
    let mut history = DeltaHistory::default();
    let mut latest = snapshot(1, &["k1"], &[]);
    for version in 2..200 {
        let key = format!("k{version}");
        let next = snapshot(version, &[&key], &[]);
        history.push(&ConfigDelta::new(&latest, &next));
        latest = next;
    }
    assert!(history.since(3).is_none());
    let deltas: Vec<ConfigDelta> = serde_json::from_slice(&history.since(150).unwrap()).unwrap();
    let mut rebuilt = snapshot(150, &["k150"], &[]);
    for delta in &deltas {
        rebuilt = delta.apply(&rebuilt).unwrap();
    }
    assert_eq!(rebuilt, latest);
    // After a gap between versions, the history starts again.
    history.push(&ConfigDelta::new(
        &snapshot(300, &[], &[]),
        &snapshot(301, &["x"], &[]),
    ));
    assert!(history.since(198).is_none() && history.since(300).is_some());
}

/// Guards against a fetch that is not repeated after it failed, against a fetch of an older
/// version, and against needless exchanges of revocations.
#[test]
fn newer_versions_and_other_revocations_are_fetched() {
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
    // The previous call has timed out.
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

/// Guards against a fleet in which no instance or every instance watches the platform, and against
/// an isolated instance that waits for other members forever instead of polling.
#[test]
fn three_instances_watch_and_an_isolated_one_polls() {
    let names: Vec<String> = (0..40).map(|index| format!("127.0.0.1:{index}")).collect();
    let role = |local: &str, last_contact, now| {
        let live = names
            .iter()
            .map(String::as_str)
            .filter(|name| *name != local);
        Propagation::role(local, live, last_contact, now)
    };
    let now = Duration::from_secs(100);
    let roles: Vec<Role> = names
        .iter()
        .map(|local| role(local, Some(now), now))
        .collect();
    let is_watcher = |role: &&Role| matches!(role, Role::Watcher { .. });
    assert_eq!(roles.iter().filter(is_watcher).count(), 3);
    let follower = roles
        .iter()
        .position(|role| *role == Role::Follower)
        .unwrap();
    let last_contact = Some(now - Duration::from_secs(11));
    assert_eq!(role(&names[follower], last_contact, now), Role::Isolated);
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

/// Guards against cache digests that circulate forever, exceed the byte rate, or fill the memory.
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
    let mut sent_bytes = 0;
    for second in 0..20 {
        let digests = relay.take_to_send(4, Duration::from_secs(second));
        sent_bytes += digests
            .iter()
            .map(|digest| 4 * digest.size_bytes())
            .sum::<u64>();
    }
    assert!(
        sent_bytes > 0 && sent_bytes <= DIGEST_BYTES_PER_S * 22,
        "{sent_bytes}"
    );
}

/// Guards against quarantine entries that instances forward to each other forever, and against an
/// unbounded set. Only entries that change the set are forwarded.
#[test]
fn quarantine_entries_are_new_once_and_bounded() {
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

/// Guards against a missed change between the call and the first poll of the future, and against
/// wakers that stay registered after a waiting task is dropped, or once for each poll.
#[test]
fn waiting_misses_no_change_and_leaks_no_waker() {
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

/// Guards against a change that some instances never receive, and against an instance that reverts
/// to an older configuration after a restart while the platform is down or has an older value.
#[test]
fn a_change_becomes_active_everywhere_and_never_reverts() {
    run(async {
        let mut cluster = Cluster::start(5, Some(config(1, &["a"]))).await;
        cluster.wait_for_version(1).await;
        cluster.wait_for_members().await;
        for version in 2..5 {
            cluster
                .platform
                .put("config/current", config(version, &["a", "b"]));
            cluster.wait_for_version(version).await;
        }
        cluster.platform.set_faults(|faults| faults.is_down = true);
        cluster.kill(1);
        cluster.start_instance(1).await;
        cluster.wait_for_version(4).await;
        // The platform is restored from an old backup.
        cluster.platform.put("config/current", config(2, &[]));
        cluster.platform.set_faults(|faults| faults.is_down = false);
        cluster.kill(3);
        cluster.start_instance(3).await;
        eventually("the restarted instance has a configuration", || async {
            cluster
                .config_version(3)
                .await
                .filter(|version| *version > 0)
        })
        .await;
        cluster.wait_for_version(4).await;
    });
}

/// Guards against a start that waits for an unresponsive platform although other members have the
/// configuration, and against an outage that is taken for an empty configuration.
#[test]
fn an_instance_starts_from_members_while_the_platform_is_unresponsive() {
    run(async {
        let mut cluster = Cluster::start(2, Some(config(7, &["a"]))).await;
        cluster.wait_for_version(7).await;
        cluster.wait_for_members().await;
        cluster
            .platform
            .set_faults(|faults| faults.is_silent = true);
        cluster.kill(1);
        cluster.start_instance(1).await;
        cluster.wait_for_version(7).await;
        // After a restart of both, no member can supply a configuration.
        cluster.kill(0);
        cluster.kill(1);
        cluster.start_instance(0).await;
        cluster.start_instance(1).await;
        assert_eq!(cluster.error_code(0, "a").await, "not_ready");
        cluster
            .platform
            .set_faults(|faults| faults.is_silent = false);
        cluster.wait_for_version(7).await;
    });
}

/// Guards against a paused instance that keeps an old configuration or is not accepted as a member
/// again, and against a crash or planned stop that other members do not detect.
#[test]
fn pause_crash_and_stop_are_detected_and_a_resumed_instance_catches_up() {
    run(async {
        let mut cluster = Cluster::start(5, Some(config(1, &["a"]))).await;
        cluster.wait_for_version(1).await;
        cluster.wait_for_members().await;
        cluster.signal(4, "STOP");
        cluster.kill(3);
        cluster.signal(2, "TERM");
        for index in [0, 1] {
            eventually("the three instances are no longer live members", || async {
                (cluster.live_member_count(index).await == 2).then_some(())
            })
            .await;
        }
        cluster.instances[2] = None;
        cluster.platform.put("config/current", config(2, &["a"]));
        for index in [0, 1] {
            eventually("the change is active", || async {
                (cluster.config_version(index).await == Some(2)).then_some(())
            })
            .await;
        }
        cluster.signal(4, "CONT");
        cluster.wait_for_version(2).await;
        cluster.wait_for_members().await;
    });
}

/// Guards against a simultaneous restart of all instances after which they do not rejoin, or after
/// which one has an older configuration.
#[test]
fn a_simultaneous_restart_ends_with_one_configuration() {
    run(async {
        let mut cluster = Cluster::start(6, Some(config(1, &["a"]))).await;
        cluster.wait_for_members().await;
        cluster.platform.put("config/current", config(2, &["a"]));
        cluster.wait_for_version(2).await;
        (0..6).for_each(|index| cluster.kill(index));
        for index in 0..6 {
            cluster.start_instance(index).await;
        }
        cluster.wait_for_version(2).await;
        cluster.wait_for_members().await;
        cluster.platform.put("config/current", config(3, &["a"]));
        cluster.wait_for_version(3).await;
    });
}

/// Guards against quarantine entries that reach only one instance, and against leaving targets that
/// are visible only to the instance that polls the platform's list.
#[test]
fn quarantine_and_leaving_targets_reach_all_instances() {
    run(async {
        let mut first = config(1, &["a"]);
        let target = serde_json::json!({ "kind": "service", "address": "127.0.0.1:1",
            "failure_domain": "a" });
        first["config"]["targets"] = serde_json::json!({ "s1": target });
        let cluster = Cluster::start(4, Some(first)).await;
        cluster.wait_for_version(1).await;
        cluster.wait_for_members().await;
        cluster.quarantine(2, 77).await;
        cluster
            .platform
            .set_instances(serde_json::json!({ "instances": [
            { "address": "127.0.0.1:1", "kind": "target", "state": "leaving" },
        ] }));
        for index in 0..4 {
            eventually("the instance has the quarantine entry", || async {
                let quarantined = cluster.quarantined(index).await;
                quarantined.contains(&77).then_some(())
            })
            .await;
            eventually("the instance lists the leaving target", || async {
                let leaving = cluster.leaving_targets(index).await;
                leaving.contains(&"s1".to_owned()).then_some(())
            })
            .await;
        }
    });
}
