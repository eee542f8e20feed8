//! Era of the store, which rises with each restore from an older copy.

use jujubelink::core::fleet::{EraFault, EraOutcome, EraTracker, StatedEra, StorePosition};

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

/// Returns a tracker whose present era is `era`.
fn tracker_in(era: u64) -> EraTracker {
    let mut tracker = EraTracker::default();
    tracker.on_response(StatedEra::Number(era), None);
    tracker
}

/// Guards against a comparison of revisions across a restore, which issues them again.
#[test]
fn positions_of_two_eras_do_not_compare() {
    assert!(position(1, 40) < position(1, 60));
    assert_eq!(position(1, 60).partial_cmp(&position(2, 40)), None);
    assert_eq!(position(2, 40).partial_cmp(&position(1, 60)), None);
    assert!(!(position(2, 40) < position(1, 60) || position(2, 40) > position(1, 60)));
}

/// Guards against any change at a store that states no era.
#[test]
fn a_store_without_the_header_has_no_era() {
    let mut tracker = EraTracker::default();
    for _ in 0..3 {
        let outcome = tracker.on_response(StatedEra::Absent, None);
        assert_eq!(outcome, EraOutcome::Present);
    }
    assert_eq!(tracker.current(), None);
}

/// Guards against a restore that is assumed at the start of a process, which has read nothing before.
#[test]
fn the_first_era_shows_no_restore() {
    let mut tracker = EraTracker::default();
    let outcome = tracker.on_response(StatedEra::Number(7), None);
    assert_eq!(outcome, EraOutcome::First { era: 7 });
    let outcome = tracker.on_response(StatedEra::Number(7), Some(7));
    assert_eq!(outcome, EraOutcome::Present);
    let outcome = tracker.on_response(StatedEra::Number(8), Some(7));
    assert_eq!(outcome, EraOutcome::Raised { former: 7, era: 8 });
    assert_eq!(tracker.current(), Some(8));
}

/// Guards against a response from before the restore that overwrites what the new era has stated. Only one
/// whose request was sent in the present era is a fault.
#[test]
fn responses_of_a_former_era_are_not_used() {
    let mut tracker = tracker_in(3);
    tracker.on_response(StatedEra::Number(4), Some(3));
    let late = tracker.on_response(StatedEra::Number(3), Some(3));
    assert_eq!(late, EraOutcome::Former { fault: None });
    for is_first in [true, false] {
        let fell = tracker.on_response(StatedEra::Number(3), Some(4));
        let fault = Some((EraFault::Fell, is_first));
        assert_eq!(fell, EraOutcome::Former { fault });
    }
    assert_eq!(tracker.current(), Some(4));
}

/// Guards against an era that is lost or taken from a faulty header, and against a log line for each
/// faulty response.
#[test]
fn the_last_era_stays_in_effect_at_faults() {
    let faults = [
        (StatedEra::Absent, EraFault::Absent),
        (StatedEra::Invalid, EraFault::Invalid),
        (StatedEra::Repeated, EraFault::Repeated),
        (StatedEra::Number(6), EraFault::Jumped),
        (StatedEra::Number(u64::MAX), EraFault::Jumped),
    ];
    for (stated, fault) in faults {
        let mut tracker = tracker_in(4);
        for is_first in [true, false] {
            let outcome = tracker.on_response(stated, Some(4));
            assert_eq!(outcome, EraOutcome::Faulty { fault, is_first });
        }
        assert_eq!(tracker.current(), Some(4));
        let raised = tracker.on_response(StatedEra::Number(5), Some(4));
        assert_eq!(raised, EraOutcome::Raised { former: 4, era: 5 });
    }
    let mut highest = tracker_in(u64::MAX);
    let outcome = highest.on_response(StatedEra::Number(u64::MAX), Some(u64::MAX));
    assert_eq!(outcome, EraOutcome::Present);
}

/// Guards against an instance that stays in its era after it was cut off over several restores, although
/// its peers state the newer one.
#[test]
fn a_peer_confirms_an_era_that_is_higher_by_more_than_one() {
    let mut tracker = tracker_in(4);
    assert_eq!(tracker.on_peer(3), EraOutcome::Present);
    assert_eq!(tracker.on_peer(4), EraOutcome::Present);
    let raised = tracker.on_peer(7);
    assert_eq!(raised, EraOutcome::Raised { former: 4, era: 7 });
    let outcome = tracker.on_response(StatedEra::Number(7), Some(7));
    assert_eq!(outcome, EraOutcome::Present);
}
