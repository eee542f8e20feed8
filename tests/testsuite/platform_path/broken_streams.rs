//! Streams whose engine breaks off while no other one has a place.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::expected_events;
use super::faulty_responses::{refusal, stream_head};
use super::scripted_deployment::{
    EVENTS, ScriptedDeployment, assert_complete, broken_stream, is_complete, refusal_when_full,
    stream,
};
use crate::support::{ReceivedRequest, Reply, ScriptedTarget, eventually, run};

/// Time in which no engine takes the rest of the stream; more than half of its deadline remains after it.
const BUSY_TIME: Duration = Duration::from_millis(1_500);

/// Returns a script of engines of which the first breaks off its stream, and which then refuse to continue it
/// for a while.
fn breaks_off_and_refuses(
    refuse: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
) -> impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static {
    let broke_off_at = Mutex::new(None);
    move |request, attempt| {
        let mut broke_off_at = broke_off_at.lock().unwrap();
        match (attempt, *broke_off_at) {
            (0, _) => {
                *broke_off_at = Some(Instant::now());
                broken_stream(request)
            }
            (_, Some(at)) if at.elapsed() < BUSY_TIME => refuse(request),
            _ => stream(request, &[]),
        }
    }
}

/// Guards against a broken stream that ends early because the other engine has no place at that moment.
#[test]
fn a_broken_stream_waits_for_a_place() {
    run(async {
        let ids = ["e1", "e2"];
        let full = async {
            let script = breaks_off_and_refuses(refusal_when_full);
            let setup = ScriptedDeployment::start(&ids, "", script).await;
            ("full", setup.ask("r").await)
        };
        let loading = async {
            let script = breaks_off_and_refuses(|request| Reply::kept(refusal(&request.id)));
            let setup = ScriptedDeployment::start(&ids, "", script).await;
            ("loading weights", setup.ask("r").await)
        };
        let paused = async {
            let script = breaks_off_and_refuses(|request| {
                let pause = "\r\nretry-after: 2.8\r\n";
                Reply::kept(refusal(&request.id).replacen("\r\n", pause, 1))
            });
            let setup = ScriptedDeployment::start(&ids, "", script).await;
            ("a pause", setup.ask("r").await)
        };
        let responses = futures_util::join!(full, loading, paused);
        assert_complete(<[_; 3]>::from(responses));
    });
}

/// Breaks each stream off at the first target.
fn breaks_off_first(request: &ReceivedRequest, attempt: usize) -> Reply {
    match (request.id.starts_with("warm-up"), attempt) {
        (false, 0) => broken_stream(request),
        _ => stream(request, &[]),
    }
}

/// Guards against a broken stream that ends early because other requests have used the resend budget up.
#[test]
fn a_broken_stream_waits_for_the_resend_budget() {
    run(async {
        let settings = "resend_ratio = 0.0\nresend_slack = 2.0\nresend_window_s = 1.5\n";
        let setup = ScriptedDeployment::start(&["e1", "e2"], settings, breaks_off_first).await;
        let (first, second) = futures_util::join!(setup.ask("r1"), setup.ask("r2"));
        assert_complete([("r1", first), ("r2", second)]);
        let mut resent_at: Vec<_> = ["r1", "r2"]
            .iter()
            .map(|id| setup.arrivals(id)[1].1.arrived_at)
            .collect();
        resent_at.sort();
        // Each window has place for one resend.
        assert!(resent_at[1] - resent_at[0] >= Duration::from_millis(1_400));
    });
}

/// Guards against a resend budget that keeps the settings of the start of the process.
#[test]
fn the_resend_budget_follows_the_settings() {
    run(async {
        let settings = "resend_ratio = 0.0\nresend_slack = 0.0\n";
        let setup = ScriptedDeployment::start(&["e1", "e2"], settings, breaks_off_first).await;
        assert_eq!(setup.ask("before").await.status, 0);
        let process = &setup.instance.process;
        process.change_settings(|text| text.replace("resend_slack = 0.0", "resend_slack = 50.0"));
        process.reload();
        let number = std::cell::Cell::new(0);
        eventually("a broken stream is resumed", || async {
            number.set(number.get() + 1);
            let response = setup.ask(&format!("after-{}", number.get())).await;
            is_complete(&response).then_some(())
        })
        .await;
    });
}

/// Guards against a broken stream that ends early because no place is to be expected when it looks for one.
#[test]
fn a_broken_stream_looks_for_a_place_again() {
    run(async {
        let setup = ScriptedDeployment::start(&["e1", "e2"], "", |request, attempt| {
            // The pause lasts beyond the deadline, so that the queue refuses the stream at once.
            let pause = "\r\nretry-after: 60\r\n";
            match attempt {
                0 => broken_stream(request),
                _ => Reply::kept(refusal(&request.id).replacen("\r\n", pause, 1)),
            }
        });
        let setup = setup.await;
        let new = ScriptedTarget::start(|request| stream(request, &[]));
        let starts_late = async {
            eventually("both engines have had the stream", || async {
                (setup.arrivals("r").len() == 2).then_some(())
            })
            .await;
            compio::time::sleep(BUSY_TIME).await;
            let deployment = &setup.deployment;
            deployment.put_target_at("e3", new.address(), "ready", 2, 1);
        };
        let (response, ()) = futures_util::join!(setup.ask("r"), starts_late);
        assert_complete([("a new engine", response)]);
    });
}

/// Guards against a resumed stream that is cut at the length of its first engine's stream and looks complete, as
/// the events of the other engine are longer.
#[test]
fn a_stream_with_a_length_is_complete_after_it_is_resumed() {
    run(async {
        let setup = ScriptedDeployment::start(&["e1", "e2"], "", |request, attempt| {
            let length = expected_events(1..=EVENTS).len();
            let head = stream_head(request).replace(
                "transfer-encoding: chunked",
                &format!("content-length: {length}"),
            );
            match attempt {
                0 => Reply::closed(head + &expected_events(1..=2)),
                _ => {
                    let longer = expected_events(3..=EVENTS).replace("piece", "a longer piece");
                    let chunk = format!("{:x}\r\n{longer}\r\n0\r\n\r\n", longer.len());
                    Reply::kept(stream_head(request) + &chunk)
                }
            }
        });
        let response = setup.await.ask("r").await;
        let longer = expected_events(3..=EVENTS).replace("piece", "a longer piece");
        let expected = expected_events(1..=2) + &longer;
        assert_eq!((response.status, response.body), (200, expected));
    });
}
