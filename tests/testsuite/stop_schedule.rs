//! Time limits of a planned stop.

use std::time::Duration;

use jujubelink::core::fleet::RequestKind;
use jujubelink::core::ids::Timestamp;
use jujubelink::core::stop::{RequestTimes, StopSchedule};
use proptest::prelude::*;

use crate::support::property_config;

/// Begin of the stop.
const BEGIN: Timestamp = Duration::from_secs(1_000);

const KINDS: [RequestKind; 4] = [
    RequestKind::Idempotent,
    RequestKind::SingleRun,
    RequestKind::Stream { is_resumable: true },
    RequestKind::Stream {
        is_resumable: false,
    },
];

fn schedule(notice_ms: u64, drain_limit_ms: u64) -> StopSchedule {
    StopSchedule::new(
        BEGIN,
        Duration::from_millis(notice_ms),
        Duration::from_millis(drain_limit_ms),
    )
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against a request that is sent in the last part of a stop, and against one that may run
    /// once, or a new stream, that is sent after new clients have ceased to come and whose deadline is
    /// later than the stop.
    #[test]
    fn late_requests_end_with_the_stop(
        notice_ms in 0u64..5_000,
        drain_limit_ms in 0u64..10_000,
        deadline_ms in 0u64..20_000,
        objective_ms in 0u64..5_000,
        kind in 0usize..KINDS.len(),
    ) {
        let schedule = schedule(notice_ms, drain_limit_ms);
        let request = RequestTimes {
            kind: KINDS[kind],
            deadline: BEGIN + Duration::from_millis(deadline_ms),
            latency_objective: Duration::from_millis(objective_ms),
        };
        let latest = schedule.latest_send(&request, false);
        prop_assert!(schedule.answer_by() <= schedule.end());
        prop_assert!(latest <= schedule.answer_by());
        prop_assert!(latest <= schedule.latest_send(&request, true));
        let is_early = latest <= BEGIN + Duration::from_millis(notice_ms + 500);
        let ends_in_time = request.deadline <= schedule.answer_by();
        if request.kind != RequestKind::Idempotent {
            prop_assert!(is_early || ends_in_time);
        }
    }
}

/// Guards against a stop that refuses requests which could be served before it ends.
#[test]
fn a_stop_sends_requests_that_can_end_in_time() {
    let at = |seconds| BEGIN + Duration::from_secs(seconds);
    let schedule = schedule(2_000, 5_000);
    let request = |kind, deadline| RequestTimes {
        kind,
        deadline,
        latency_objective: Duration::from_secs(1),
    };
    for kind in KINDS {
        let latest = schedule.latest_send(&request(kind, at(6)), false);
        assert_eq!(latest, schedule.answer_by());
        let latest = schedule.latest_send(&request(kind, at(12)), false);
        assert!(latest >= at(2));
    }
    let repeatable = request(RequestKind::Idempotent, at(12));
    assert!(schedule.latest_send(&repeatable, false) > at(5));
    let resumed = request(RequestKind::Stream { is_resumable: true }, at(12));
    assert!(schedule.latest_send(&resumed, true) > at(5));
}
