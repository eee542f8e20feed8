//! What a target's answer means for its request.

use jujubelink::core::fleet::RequestKind;
use jujubelink::core::relay::{AnswerHead, AnswerVerdict, Failure, judge_answer, may_send_again};

fn head(status: u16) -> AnswerHead {
    AnswerHead {
        status,
        request_id: Some("r".to_owned()),
        is_signed: true,
        ..AnswerHead::default()
    }
}

/// Guards against a foreign, unsigned or surplus answer that a client gets as its own, and against a
/// promise that the request has not run which the target did not give.
#[test]
fn only_own_signed_answers_are_delivered() {
    let judge = |head: &AnswerHead| judge_answer(head, "r", "t");
    assert_eq!(judge(&head(200)), AnswerVerdict::Deliver);
    assert_eq!(judge(&head(404)), AnswerVerdict::Deliver);
    assert_eq!(judge(&head(500)), AnswerVerdict::FailedRun);
    for status in [408, 429, 503] {
        assert_eq!(judge(&head(status)), AnswerVerdict::FailedRun, "{status}");
        let refused = AnswerHead {
            is_not_run: true,
            ..head(status)
        };
        assert_eq!(judge(&refused), AnswerVerdict::Refused, "{status}");
    }
    let foreign = AnswerHead {
        request_id: Some("other".to_owned()),
        ..head(200)
    };
    assert_eq!(judge(&foreign), AnswerVerdict::Foreign);
    let unsigned = AnswerHead {
        is_signed: false,
        ..head(200)
    };
    assert_eq!(judge(&unsigned), AnswerVerdict::Foreign);
    let nameless = AnswerHead {
        request_id: None,
        ..head(200)
    };
    assert_eq!(judge(&nameless), AnswerVerdict::Foreign);
}

/// Guards against a reused address that is taken for a target with other weights.
#[test]
fn a_misdirected_request_tells_who_answered() {
    let mut misdirected = AnswerHead {
        request_id: None,
        is_signed: false,
        target: Some("t".to_owned()),
        ..head(421)
    };
    let verdict = judge_answer(&misdirected, "r", "t");
    assert_eq!(
        verdict,
        AnswerVerdict::Misdirected {
            is_expected_target: true
        }
    );
    misdirected.target = Some("u".to_owned());
    let verdict = judge_answer(&misdirected, "r", "t");
    assert_eq!(
        verdict,
        AnswerVerdict::Misdirected {
            is_expected_target: false
        }
    );
}

/// Guards against a request that runs twice although it may run once, and against more runs than its
/// route allows.
#[test]
fn requests_are_sent_again_only_where_they_may_run_again() {
    let single = [
        RequestKind::SingleRun,
        RequestKind::Stream {
            is_resumable: false,
        },
    ];
    for kind in single {
        assert!(!may_send_again(kind, Failure::MayHaveRun, 1, 1, 3));
        assert!(may_send_again(kind, Failure::NotRun, 0, 1, 1));
        assert!(may_send_again(kind, Failure::NotSent, 0, 1, 1));
        assert!(!may_send_again(kind, Failure::NotSent, 1, 2, 1));
    }
    let repeatable = [
        RequestKind::Idempotent,
        RequestKind::Stream { is_resumable: true },
    ];
    for kind in repeatable {
        assert!(may_send_again(kind, Failure::MayHaveRun, 1, 1, 2));
        assert!(!may_send_again(kind, Failure::MayHaveRun, 2, 2, 2));
        assert!(!may_send_again(kind, Failure::NotRun, 0, 4, 2));
    }
}
