//! What a target's answer means for its request.

use jujubelink::core::fleet::RequestKind;
use jujubelink::core::relay::{
    Failure, ResponseHead, ResponseVerdict, classify_response, may_send_again,
};

fn head(status: u16) -> ResponseHead {
    ResponseHead {
        status,
        request_id: Some("r".to_owned()),
        is_signed: true,
        ..ResponseHead::default()
    }
}

/// Guards against a foreign, unsigned or surplus answer that a client gets as its own, and against a
/// promise that the request has not run which the target did not give.
#[test]
fn only_own_signed_answers_are_delivered() {
    let judge = |head: &ResponseHead| classify_response(head, "r", "t");
    assert_eq!(judge(&head(200)), ResponseVerdict::Deliver);
    assert_eq!(judge(&head(404)), ResponseVerdict::Deliver);
    assert_eq!(judge(&head(500)), ResponseVerdict::FailedRun);
    for status in [408, 429, 503] {
        assert_eq!(judge(&head(status)), ResponseVerdict::FailedRun, "{status}");
        let refused = ResponseHead {
            is_not_run: true,
            ..head(status)
        };
        assert_eq!(judge(&refused), ResponseVerdict::Refused, "{status}");
    }
    let foreign = ResponseHead {
        request_id: Some("other".to_owned()),
        ..head(200)
    };
    assert_eq!(judge(&foreign), ResponseVerdict::Foreign);
    let unsigned = ResponseHead {
        is_signed: false,
        ..head(200)
    };
    assert_eq!(judge(&unsigned), ResponseVerdict::Foreign);
    let nameless = ResponseHead {
        request_id: None,
        ..head(200)
    };
    assert_eq!(judge(&nameless), ResponseVerdict::Foreign);
}

/// Guards against a reused address that is taken for a target with other weights.
#[test]
fn a_misdirected_request_tells_who_answered() {
    let mut misdirected = ResponseHead {
        request_id: None,
        is_signed: false,
        target: Some("t".to_owned()),
        ..head(421)
    };
    let verdict = classify_response(&misdirected, "r", "t");
    assert_eq!(
        verdict,
        ResponseVerdict::Misdirected {
            is_expected_target: true
        }
    );
    misdirected.target = Some("u".to_owned());
    let verdict = classify_response(&misdirected, "r", "t");
    assert_eq!(
        verdict,
        ResponseVerdict::Misdirected {
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
