//! Retry budgets, ejection of failing targets, and quarantine of requests that crash engines.

use std::time::Duration;

use jujubelink::core::ids::{TargetId, Timestamp};
use jujubelink::core::retry::{
    MAX_SUSPECTS, QUARANTINE_DURATION, RetryBudgets, SuspectState, SuspectTable, TargetHealth,
    backoff,
};
use proptest::prelude::*;

use crate::support::property_config;

const NOW: Timestamp = Duration::from_secs(1000);

fn target(name: &str) -> TargetId {
    name.into()
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against retries after the deadline and against synchronized retries: backoffs are random,
    /// and at most 1 s.
    #[test]
    fn backoff_never_passes_the_deadline(attempt in 0u32..100, random: u64, left_ms in 0u64..3000) {
        let deadline = NOW + Duration::from_millis(left_ms);
        if let Some(delay) = backoff(attempt, random, NOW, deadline) {
            prop_assert!(NOW + delay < deadline);
            prop_assert!(delay <= Duration::from_secs(1));
        }
    }

    /// Guards against retry storms: there is at most one retry per ten requests, plus 10 per 10 s.
    #[test]
    fn retries_are_bounded(requests in 0u32..2000, seconds in 1u64..60) {
        let mut budgets = RetryBudgets::default();
        let mut retries = 0;
        for _ in 0..requests {
            budgets.get(&"a", NOW).on_request();
        }
        for step in 0..seconds * 10 {
            let now = NOW + Duration::from_millis(step * 100);
            while budgets.get(&"a", now).allows(now) {
                budgets.get(&"a", now).consume();
                retries += 1;
            }
        }
        let bound = 10.0 + f64::from(requests) * 0.1 + seconds as f64;
        prop_assert!(f64::from(retries) <= bound, "{retries} over {bound}");
    }
}

/// Guards against a failing target that keeps its traffic, and against an ejected target that gets
/// all of its traffic back at once.
#[test]
fn a_failing_target_is_ejected_and_returns_gradually() {
    let mut health = TargetHealth::default();
    let ejections: Vec<_> = (0..5).map(|_| health.on_outcome(true, NOW)).collect();
    assert_eq!(ejections, [false, false, false, false, true]);
    health.eject(NOW);
    assert_eq!(health.traffic_fraction(NOW + Duration::from_secs(4)), 0.0);
    let fractions: Vec<_> = [5, 10, 15, 20, 25]
        .map(|second| health.traffic_fraction(NOW + Duration::from_secs(second)))
        .into();
    assert_eq!(fractions, [0.1, 0.2, 0.4, 0.8, 1.0]);
}

/// Guards against a target that fails most requests but never five in a row.
#[test]
fn a_high_failure_rate_ejects_a_target() {
    let mut health = TargetHealth::default();
    let outcomes = (0..60).map(|index| health.on_outcome(index % 3 != 0, NOW));
    let first_ejection = outcomes.collect::<Vec<_>>().iter().position(|eject| *eject);
    assert!(
        first_ejection.is_some_and(|index| index >= 19),
        "{first_ejection:?}"
    );
}

/// Guards against ejections of targets that are silent for some requests while they respond to others, and
/// against a target that hangs and is not ejected because the timeouts of its requests are short.
#[test]
fn a_timeout_is_a_failure_only_if_nothing_else_is_answered() {
    let mut health = TargetHealth::default();
    let at = |ms| NOW + Duration::from_millis(ms);
    health.on_sent(at(0));
    health.on_sent(at(100));
    health.on_response(at(2_500));
    assert!(!health.is_timeout_a_failure(at(0), at(2_600)));
    assert!(health.is_timeout_a_failure(at(0), at(4_500)));
    for sent_ms in [5_000, 5_600, 6_200] {
        health.on_sent(at(sent_ms));
        assert!(!health.is_timeout_a_failure(at(sent_ms), at(sent_ms + 500)));
    }
    health.on_sent(at(6_800));
    assert!(health.is_timeout_a_failure(at(6_800), at(7_300)));
}

/// Guards against a request that crashes engines and is retried repeatedly.
#[test]
fn a_second_crash_quarantines_the_request() {
    let mut suspects = SuspectTable::default();
    assert_eq!(suspects.on_crash(5, &target("a"), 1, NOW).crashes, 1);
    assert_eq!(suspects.state(5, NOW), SuspectState::Suspect);
    assert_eq!(suspects.on_crash(5, &target("b"), 1, NOW).crashes, 2);
    let remaining = QUARANTINE_DURATION;
    assert_eq!(
        suspects.state(5, NOW),
        SuspectState::Quarantined { remaining }
    );
    assert_eq!(
        suspects.state(5, NOW + QUARANTINE_DURATION),
        SuspectState::Clear
    );
}

/// Guards against the quarantine of a harmless request because two copies of it ran at an engine
/// that crashed once.
#[test]
fn one_crash_counts_once_for_identical_requests() {
    let mut suspects = SuspectTable::default();
    suspects.on_crash(5, &target("a"), 1, NOW);
    assert!(!suspects.on_crash(5, &target("a"), 1, NOW).is_new);
    assert_eq!(suspects.state(5, NOW), SuspectState::Suspect);
}

/// Guards against a client that sends a request which crashes engines to one instance after
/// another: crashes at all instances count together.
#[test]
fn crashes_at_all_instances_count_together() {
    let mut suspects = SuspectTable::default();
    suspects.on_gossip(5, 1, QUARANTINE_DURATION, NOW);
    assert_eq!(suspects.state(5, NOW), SuspectState::Suspect);
    suspects.on_crash(5, &target("a"), 1, NOW);
    assert!(matches!(
        suspects.state(5, NOW),
        SuspectState::Quarantined { .. }
    ));
    suspects.on_gossip(5, 0, Duration::ZERO, NOW);
    assert!(matches!(
        suspects.state(5, NOW),
        SuspectState::Quarantined { .. }
    ));
}

/// Guards against an unbounded table, and against suspects that evict quarantined requests from it.
#[test]
fn suspects_do_not_evict_quarantined_requests() {
    let mut suspects = SuspectTable::default();
    suspects.on_gossip(0, 2, QUARANTINE_DURATION, NOW);
    for fingerprint in 1..2 * MAX_SUSPECTS as u64 {
        suspects.on_crash(fingerprint, &target("a"), fingerprint, NOW);
    }
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert!(matches!(
        suspects.state(0, NOW),
        SuspectState::Quarantined { .. }
    ));
}
