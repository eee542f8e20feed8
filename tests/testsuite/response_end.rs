//! Whether the end of a connection is the end of the response, and since when a target is known to leave.

use std::net::SocketAddr;
use std::time::Duration;

use jujubelink::core::fleet::{FleetState, TargetRecord};
use jujubelink::core::ids::TargetId;
use jujubelink::core::relay::{
    EndReason, MissingEvidence, ProbeFinding, RESTART_TIME, ResponseEnd, judge_end,
};

const DRAIN_TIME: Duration = Duration::from_secs(2);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn end(probe: Option<ProbeFinding>, departed_for: Option<Duration>) -> ResponseEnd {
    ResponseEnd {
        is_delimited: false,
        probe,
        probed_after: Duration::ZERO,
        is_replaced: false,
        is_registration_known: false,
        departed_for,
        drain_time: DRAIN_TIME,
        is_store_fresh: true,
    }
}

/// Guards against an end without a proof that counts as complete, in each combination of what is known. The time
/// since a departure is none.
#[test]
fn an_end_is_complete_only_with_a_proof() {
    use ProbeFinding::{Alive, Gone, Unknown};
    let departures = [None, Some(Duration::ZERO), Some(DRAIN_TIME), Some(secs(60))];
    for is_store_fresh in [true, false] {
        for probe in [None, Some(Alive), Some(Gone), Some(Unknown)] {
            for departed_for in departures {
                let end = ResponseEnd {
                    is_store_fresh,
                    ..end(probe, departed_for)
                };
                assert_eq!(
                    judge_end(&end).map(EndReason::is_complete),
                    probe
                        .map(|finding| finding == Alive)
                        .ok_or(MissingEvidence::Probe),
                    "{end:?}"
                );
                let delimited = ResponseEnd {
                    is_delimited: true,
                    ..end
                };
                assert_eq!(judge_end(&delimited), Ok(EndReason::Delimited), "{end:?}");
            }
        }
    }
}

/// Guards against a log that gives the wrong reason.
#[test]
fn the_reason_names_what_is_known() {
    let gone = |departed_for| end(Some(ProbeFinding::Gone), departed_for);
    let silent = ResponseEnd {
        is_store_fresh: false,
        ..gone(None)
    };
    for (end, expected) in [
        (gone(None), EndReason::TargetGone),
        (silent, EndReason::GoneUnannounced),
        (gone(Some(secs(1))), EndReason::GoneWhileDraining),
        (gone(Some(DRAIN_TIME)), EndReason::GoneAfterDraining),
        (end(Some(ProbeFinding::Unknown), None), EndReason::NoProof),
        (end(Some(ProbeFinding::Alive), None), EndReason::TargetAlive),
    ] {
        assert_eq!(judge_end(&end), Ok(expected), "{end:?}");
    }
}

/// Guards against a response that looks complete because its target, which has started again since, responds
/// without stating its incarnation.
#[test]
fn a_target_that_may_have_started_again_proves_nothing() {
    let late = ResponseEnd {
        probed_after: RESTART_TIME,
        ..end(Some(ProbeFinding::Responded), None)
    };
    let known = ResponseEnd {
        is_registration_known: true,
        ..late
    };
    let rows = [
        (
            end(Some(ProbeFinding::Responded), None),
            Ok(EndReason::TargetAlive),
        ),
        (late, Err(MissingEvidence::Registration)),
        (known, Ok(EndReason::TargetAlive)),
        (
            ResponseEnd {
                is_store_fresh: false,
                ..known
            },
            Ok(EndReason::NoProof),
        ),
        (
            ResponseEnd {
                probe: Some(ProbeFinding::Alive),
                ..late
            },
            Ok(EndReason::TargetAlive),
        ),
    ];
    for (end, expected) in rows {
        assert_eq!(judge_end(&end), expected, "{end:?}");
        let replaced = ResponseEnd {
            is_replaced: true,
            is_store_fresh: true,
            ..end
        };
        assert_eq!(judge_end(&replaced), Ok(EndReason::TargetGone), "{end:?}");
    }
}

fn record(incarnation: u64, is_leaving: bool) -> TargetRecord {
    TargetRecord {
        id: "t".into(),
        service: "app".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        failure_domain: "zone".into(),
        is_leaving,
        slots: 1,
        weights: Vec::new(),
        incarnation,
        version: "".into(),
    }
}

/// Guards against a drain time that starts again with later news, as each target is announced in several ways
/// and its entry is removed in the end.
#[test]
fn the_drain_time_counts_from_the_first_news() {
    let mut state = FleetState::new();
    let id: TargetId = "t".into();
    state.on_target(1, record(1, false));
    assert_eq!(state.departed_at(&record(1, false)), None);
    assert!(state.set_leaving(&id, 1));
    state.on_departure(&id, 1, secs(5));
    assert_eq!(state.departed_at(&record(1, false)), Some(secs(5)));
    state.on_target(2, record(1, true));
    state.on_departure(&id, 1, secs(6));
    state.on_target(3, record(1, false));
    assert_eq!(state.departed_at(&record(1, false)), Some(secs(5)));
    state.on_target_removed(&id, 4, secs(8));
    assert_eq!(state.departed_at(&record(1, false)), Some(secs(5)));
    state.on_target(5, record(2, false));
    assert_eq!(state.departed_at(&record(2, false)), None);
}

/// Guards against a live target that counts as having left, because its entry was missing for a while, and
/// against a crashed incarnation that does because its successor has the name.
#[test]
fn a_target_with_an_entry_has_not_left() {
    let mut state = FleetState::new();
    let id: TargetId = "t".into();
    state.on_target(1, record(1, false));
    state.on_target_removed(&id, 2, secs(1));
    assert_eq!(state.departed_at(&record(1, false)), Some(secs(1)));
    state.on_target(3, record(1, false));
    assert_eq!(state.departed_at(&record(1, false)), None);
    state.on_target(4, record(2, false));
    assert_eq!(state.departed_at(&record(1, false)), None);
    // Another target at its address is no departure.
    assert!(state.on_replaced(&id, secs(2)));
    assert_eq!(state.departed_at(&record(2, false)), None);
}

/// Guards against a removal of an older entry that counts as the departure of a target that came back.
#[test]
fn an_old_removal_is_no_departure() {
    let mut state = FleetState::new();
    state.on_target(5, record(1, false));
    state.on_target_removed(&"t".into(), 4, secs(1));
    assert_eq!(state.departed_at(&record(1, false)), None);
}
