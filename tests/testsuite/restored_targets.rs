//! Targets that are kept, or stay removed, when the store is restored from an older copy.

use std::time::Duration;

use jujubelink::core::fleet::{FleetState, Removal, TargetRecord};
use jujubelink::core::ids::TargetId;

const GRACE: Duration = Duration::from_millis(2_200);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn record(id: &str, incarnation: u64) -> TargetRecord {
    TargetRecord {
        id: id.into(),
        service: "llm".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 4,
        is_leaving: false,
        weights: vec![("m".into(), 1)],
        incarnation,
        version: "".into(),
    }
}

/// Returns the state in era 1 with a list at revision 60.
fn state_with(ids: &[&str]) -> FleetState {
    let mut state = FleetState::new();
    state.on_era(1, false, ms(0));
    let entries = ids.iter().map(|id| (50, record(id, 10)));
    state.on_target_list(60, entries.collect(), ms(0));
    state
}

fn serving(state: &FleetState) -> Vec<TargetId> {
    state.serving_targets("llm")
}

/// Guards against targets that are given up because the copy lacks them, and against a departure that is
/// concluded from that: a response that ends meanwhile would count as ended by a planned departure.
#[test]
fn a_target_that_the_copy_lacks_has_time_to_write_its_entry_again() {
    let mut state = state_with(&["back", "gone"]);
    state.on_era(2, true, ms(1_000));
    assert_eq!(serving(&state).len(), 2);
    // The list that is read first in the new era has a lower revision.
    let removals = state.on_target_list(40, Vec::new(), ms(1_100));
    let until = ms(1_000) + GRACE;
    assert!(
        removals
            .iter()
            .all(|(_, removal)| *removal == Removal::Postponed { until })
    );
    assert_eq!(serving(&state).len(), 2);
    for id in ["back", "gone"] {
        assert_eq!(state.departed_at(&record(id, 10)), None);
        assert!(!state.has_left(&record(id, 10)));
    }
    state.on_target(41, record("back", 10));
    assert!(state.expire_lapsed(until - ms(1)).is_empty());
    assert_eq!(state.expire_lapsed(until), [TargetId::from("gone")]);
    assert_eq!(serving(&state), [TargetId::from("back")]);
    assert_eq!(state.departed_at(&record("gone", 10)), Some(until));
    assert_eq!(state.departed_at(&record("back", 10)), None);
}

/// Guards against changes of the new era that are ignored because revisions went back.
#[test]
fn entries_of_the_new_era_replace_former_ones_whatever_their_revision() {
    let mut state = state_with(&["t"]);
    state.on_era(2, true, ms(1_000));
    let leaving = TargetRecord {
        is_leaving: true,
        ..record("t", 10)
    };
    state.on_target_list(40, vec![(39, record("t", 10))], ms(1_100));
    assert_eq!(serving(&state).len(), 1);
    state.on_target(41, leaving);
    assert!(serving(&state).is_empty());
    state.on_target(42, record("t", 11));
    assert_eq!(serving(&state).len(), 1);
    state.on_target_removed(&"t".into(), 43, ms(9_000));
    assert!(state.target("t").is_none());
}

/// Guards against work for a target that was removed before the restore and comes back with the copy.
#[test]
fn a_removed_target_of_the_copy_gets_no_work() {
    let mut state = state_with(&["t", "other"]);
    state.on_target_removed(&"t".into(), 61, ms(500));
    let restored_at = ms(500 + 9 * 60_000);
    state.on_era(2, true, restored_at);
    let copy = vec![(30, record("t", 10)), (31, record("other", 10))];
    state.on_target_list(40, copy, restored_at);
    assert_eq!(serving(&state), [TargetId::from("other")]);
    // An earlier incarnation has ended too, whether the copy or a late change brings it back.
    state.on_target(40, record("t", 9));
    assert_eq!(serving(&state), [TargetId::from("other")]);
    // A later incarnation is another run, and a later revision shows that the target lives.
    state.on_target(35, record("t", 11));
    assert_eq!(serving(&state).len(), 2);
    let mut state = state_with(&["t"]);
    state.on_target_removed(&"t".into(), 61, ms(500));
    state.on_era(2, true, ms(1_000));
    state.on_target(30, record("t", 10));
    assert!(serving(&state).is_empty(), "before the first list");
    state.on_target_list(40, vec![(30, record("t", 10))], ms(1_100));
    assert!(serving(&state).is_empty());
    state.on_target(41, record("t", 10));
    assert_eq!(serving(&state).len(), 1);
}

/// Guards against requests to the address of an earlier incarnation, which the copy brings back, and against
/// a target that stays in service for good if only that entry is left.
#[test]
fn an_earlier_incarnation_of_the_copy_does_not_replace_the_present_one() {
    let mut state = state_with(&["t"]);
    state.on_era(2, true, ms(1_000));
    state.on_target_list(40, vec![(30, record("t", 9))], ms(1_100));
    assert_eq!(state.target("t").unwrap().incarnation, 10);
    assert_eq!(state.expire_lapsed(ms(1_000) + GRACE).len(), 1);
    assert!(serving(&state).is_empty());
}

/// Guards against removals that were postponed in the outage before a restore and take effect right after it.
#[test]
fn postponed_removals_are_postponed_again_by_a_restore() {
    let mut state = state_with(&["t"]);
    state.on_store_recovered(ms(1_000));
    state.on_target_removed(&"t".into(), 61, ms(1_000));
    state.on_era(2, true, ms(3_000));
    assert!(state.expire_lapsed(ms(1_000) + GRACE).is_empty());
    assert_eq!(serving(&state).len(), 1);
    assert_eq!(state.expire_lapsed(ms(3_000) + GRACE).len(), 1);
}

/// Guards against older weights that an entry of the copy states for the same run of an engine.
#[test]
fn weights_of_an_incarnation_do_not_go_back_with_the_copy() {
    let mut state = state_with(&["t"]);
    let newer = TargetRecord {
        weights: vec![("m".into(), 4)],
        ..record("t", 10)
    };
    state.on_target(61, newer);
    state.on_era(2, true, ms(1_000));
    state.on_target_list(40, vec![(30, record("t", 10))], ms(1_100));
    let weights = state.weights_of(state.target("t").unwrap(), "m");
    assert_eq!(weights, Some(4));
    assert_eq!(state.first_list_revision(), Some(40));
}

/// Guards against entries that are passed to peers under revisions of another era.
#[test]
fn only_entries_of_an_era_are_passed_on_for_it() {
    let mut state = state_with(&["kept", "listed"]);
    assert_eq!(state.entries(1).len(), 2);
    state.on_era(2, true, ms(1_000));
    assert_eq!(state.entries(2).len(), 0);
    state.on_target_list(40, vec![(30, record("listed", 10))], ms(1_100));
    assert_eq!(state.entries(2), [(30, record("listed", 10))]);
}

/// Guards against a restore that is concluded from the first era, and against entries that were read before
/// it and then look like those of another era.
#[test]
fn the_first_era_applies_to_what_was_read_before() {
    let mut state = FleetState::new();
    state.on_target(60, record("t", 10));
    state.on_target(61, record("removed", 10));
    state.on_target_removed(&"removed".into(), 62, ms(500));
    state.on_era(7, false, ms(1_000));
    state.on_target(59, record("t", 11));
    assert_eq!(state.target("t").unwrap().incarnation, 10);
    state.on_target(61, record("removed", 11));
    assert_eq!(serving(&state), [TargetId::from("t")]);
    assert_eq!(state.entries(7).len(), 1);
}

/// Guards against the loss of recent removals at their bound.
#[test]
fn the_oldest_removal_is_forgotten_at_the_bound() {
    let mut state = FleetState::new();
    state.on_era(1, false, ms(0));
    for number in 0..5_000 {
        let id = format!("t{number}");
        state.on_target(2 * number + 1, record(&id, 10));
        state.on_target_removed(&id.into(), 2 * number + 2, ms(number));
    }
    state.on_era(2, true, ms(6_000));
    state.on_target_list(
        40,
        vec![(30, record("t4999", 10)), (31, record("t0", 10))],
        ms(6_000),
    );
    assert_eq!(serving(&state), [TargetId::from("t0")]);
}
