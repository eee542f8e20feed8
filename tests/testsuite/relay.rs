//! Classification of a target's response, and whether its request may be sent again.

use std::time::Duration;

use http::Request;
use jujubelink::core::fleet::RequestKind;
use jujubelink::core::ids::TargetId;
use jujubelink::core::relay::{
    AllowedTargets, Attempts, Failure, NoResend, ResponseHead, ResponseVerdict, check_resend,
    classify_response,
};
use jujubelink::util::http::{Client, ClientError, RequestOptions, empty};

use crate::support::{Reply, ScriptedTarget, run};

fn head(status: u16) -> ResponseHead {
    ResponseHead {
        status,
        request_id: Some("r".to_owned()),
        is_signed: true,
        ..ResponseHead::default()
    }
}

/// Guards against a response to another request, or an unsigned one, that is delivered to the
/// client, and against a request that counts as not run although the target did not state so.
#[test]
fn only_signed_responses_to_the_request_are_delivered() {
    let classify = |head: &ResponseHead| classify_response(head, "r", "t", false);
    assert_eq!(classify(&head(200)), ResponseVerdict::Deliver);
    assert_eq!(classify(&head(404)), ResponseVerdict::Deliver);
    assert_eq!(classify(&head(500)), ResponseVerdict::FailedRun);
    for status in [408, 429, 503] {
        assert_eq!(
            classify(&head(status)),
            ResponseVerdict::FailedRun,
            "{status}"
        );
        let refusal = ResponseHead {
            is_not_run: true,
            ..head(status)
        };
        assert_eq!(classify(&refusal), ResponseVerdict::Refused, "{status}");
    }
    let foreign = ResponseHead {
        request_id: Some("other".to_owned()),
        ..head(200)
    };
    assert_eq!(classify(&foreign), ResponseVerdict::Foreign);
    let unsigned = ResponseHead {
        is_signed: false,
        ..head(200)
    };
    assert_eq!(classify(&unsigned), ResponseVerdict::Foreign);
    let without_id = ResponseHead {
        request_id: None,
        ..head(200)
    };
    assert_eq!(classify(&without_id), ResponseVerdict::Foreign);
}

/// Guards against another target at a reused address that is taken for the expected target with
/// other weights.
#[test]
fn a_misdirected_response_shows_which_target_sent_it() {
    let mut misdirected = ResponseHead {
        request_id: None,
        is_signed: false,
        target: Some("t".to_owned()),
        ..head(421)
    };
    let verdict = classify_response(&misdirected, "r", "t", true);
    assert_eq!(
        verdict,
        ResponseVerdict::Misdirected {
            is_expected_target: true
        }
    );
    misdirected.target = Some("u".to_owned());
    let verdict = classify_response(&misdirected, "r", "t", true);
    assert_eq!(
        verdict,
        ResponseVerdict::Misdirected {
            is_expected_target: false
        }
    );
}

/// Guards against a repeated earlier response that is taken for the response to the request.
#[test]
fn responses_without_an_identifier_count_only_on_new_connections() {
    let classify = |head: &ResponseHead, is_new| classify_response(head, "r", "t", is_new);
    for status in [200, 404, 421, 429, 500, 503] {
        for is_not_run in [false, true] {
            let response = ResponseHead {
                request_id: None,
                is_not_run,
                ..head(status)
            };
            assert_eq!(
                classify(&response, false),
                ResponseVerdict::Foreign,
                "{status}"
            );
        }
    }
    let refusal = ResponseHead {
        request_id: None,
        is_not_run: true,
        ..head(503)
    };
    assert_eq!(classify(&refusal, true), ResponseVerdict::Refused);
}

/// Guards against a request that runs twice although it may run only once, and against more runs
/// than its route allows.
#[test]
fn requests_are_sent_again_only_where_they_may_run_again() {
    let single_run = [
        RequestKind::SingleRun,
        RequestKind::Stream {
            is_resumable: false,
        },
    ];
    for kind in single_run {
        let check = |failure, runs, sends, max| check_resend(kind, failure, runs, sends, max);
        let may_have_run = check(Failure::MayHaveRun, 1, 1, 3);
        assert_eq!(may_have_run, Err(NoResend::NotRepeatable));
        assert_eq!(check(Failure::NotRun, 0, 1, 1), Ok(()));
        assert_eq!(check(Failure::NotSent, 0, 1, 1), Ok(()));
        let ran_before = check(Failure::NotSent, 1, 2, 1);
        assert_eq!(ran_before, Err(NoResend::AttemptsUsed));
    }
    let repeatable = [
        RequestKind::Idempotent,
        RequestKind::Stream { is_resumable: true },
    ];
    for kind in repeatable {
        let check = |failure, runs, sends| check_resend(kind, failure, runs, sends, 2);
        assert_eq!(check(Failure::MayHaveRun, 1, 1), Ok(()));
        let last_attempt = check(Failure::MayHaveRun, 2, 2);
        assert_eq!(last_attempt, Err(NoResend::AttemptsUsed));
        assert_eq!(check(Failure::NotRun, 0, 4), Err(NoResend::SendsUsed));
    }
}

/// Guards against a cancelled run that counts as an attempt of its own when its target runs the request
/// again, and against more targets or sends than allowed.
#[test]
fn attempts_are_targets() {
    let kind = RequestKind::Stream { is_resumable: true };
    let [a, b, c]: [TargetId; 3] = ["a", "b", "c"].map(Into::into);
    let mut attempts = Attempts::default();
    let check = |attempts: &Attempts, running: &[&_], max_attempts| {
        attempts.check(kind, Failure::MayHaveRun, running, max_attempts)
    };
    attempts.on_send();
    assert_eq!(check(&attempts, &[&a], 2), Ok(AllowedTargets::Any));
    assert_eq!(check(&attempts, &[&a], 1), Err(NoResend::AttemptsUsed));
    attempts.on_send();
    assert_eq!(check(&attempts, &[&a, &b], 2), Err(NoResend::AttemptsUsed));
    assert_eq!(check(&attempts, &[&a, &b], 3), Ok(AllowedTargets::Any));
    attempts.on_cancelled(&b);
    let again = AllowedTargets::Only(vec![b.clone()]);
    assert!(again.contains(&b) && !again.contains(&c));
    assert_eq!(check(&attempts, &[&a], 2), Ok(again.clone()));
    assert_eq!(check(&attempts, &[&a], 3), Ok(AllowedTargets::Any));
    attempts.on_send();
    attempts.on_cancelled(&b);
    // The last send is kept for a broken stream.
    assert_eq!(check(&attempts, &[&a], 2), Err(NoResend::SendsUsed));
    attempts.on_failed(&a);
    assert_eq!(check(&attempts, &[], 2), Ok(again));
    attempts.on_send();
    assert_eq!(check(&attempts, &[&b], 2), Err(NoResend::AttemptsUsed));
    attempts.on_failed(&b);
    assert_eq!(check(&attempts, &[], 2), Err(NoResend::AttemptsUsed));
    assert_eq!(check(&attempts, &[], 3), Err(NoResend::SendsUsed));
}

/// Guards against a request that is refused, although time is left and another target is free, because
/// connections to targets that have just ended count as sends. Also against connections without end while
/// no target can be reached, and against more than one free connection to the same target.
#[test]
fn failed_connections_are_bounded_by_target_and_time() {
    let kind = RequestKind::SingleRun;
    let check = |attempts: &Attempts| attempts.check(kind, Failure::NotSent, &[], 1);
    let mut attempts = Attempts::default();
    let mut delay = Duration::ZERO;
    for number in 0..20 {
        delay += attempts.connection_delay();
        attempts.on_send();
        attempts.on_connection_failed(&format!("t{number}").into());
        assert_eq!(check(&attempts), Ok(AllowedTargets::Any), "{number}");
    }
    assert!(!attempts.may_have_arrived());
    assert!(delay >= Duration::from_millis(500), "{delay:?}");
    for again in 1..=4 {
        assert_eq!(check(&attempts), Ok(AllowedTargets::Any), "{again}");
        attempts.on_send();
        attempts.on_connection_failed(&"t0".into());
    }
    assert_eq!(check(&attempts), Err(NoResend::SendsUsed));
    assert!(!attempts.may_have_arrived());

    let mut attempts = Attempts::default();
    attempts.on_send();
    attempts.on_connection_failed(&"t0".into());
    attempts.on_send();
    assert!(attempts.may_have_arrived());
    attempts.on_failed(&"t1".into());
    assert_eq!(check(&attempts), Err(NoResend::AttemptsUsed));
}

/// Guards against requests to a target that asks for a pause while a connection to it is opened.
#[test]
fn a_request_is_withheld_if_its_target_may_not_be_used_once_connected() {
    run(async {
        let target =
            ScriptedTarget::start(|_| Reply::kept("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"));
        let client = Client::new();
        let request = Request::get("/read/x")
            .header("host", target.address().to_string())
            .body(empty())
            .unwrap();
        let options = RequestOptions::default();
        let withheld = client.send_if(target.address(), request, options, || false);
        let failure = withheld.await.expect_err("the request is withheld");
        assert!(matches!(failure.error, ClientError::Withheld { .. }));
        assert!(target.received().is_empty());
        let request = failure.unsent.expect("the request is returned");
        let sent = client.send_if(target.address(), request, options, || true);
        assert_eq!(sent.await.ok().expect("a response").status(), 200);
        assert_eq!(target.received().len(), 1);
    });
}
