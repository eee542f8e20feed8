//! Responses of targets to requests of clients.

use std::rc::Rc;
use std::time::Duration;

use jujubelink_standins::StandInHandle;
use jujubelink_standins::fleet::{FaultPlan, FleetTarget, TargetFault};
use serde_json::json;

use super::floods::{chunk, chunked, framing_floods, head_floods, random_bytes, success};
use super::site::{
    Answer, BASE_GROWTH_BYTES, OTHER_DEADLINE_MS, REQUEST_BYTES, Site, expected_body,
};
use crate::support::{Flood, ID, eventually, run};

/// Paths of plain requests: idempotent and not.
const PLAIN_PATHS: [&str; 2] = ["/read/x", "/pay/x"];

/// Paths of streams: resumable and not.
const STREAM_PATHS: [&str; 2] = ["/ask/x", "/tell/x"];
/// Checks each flood with a new instance for each path, because an instance avoids a target that failed.
fn check_floods(floods: Vec<Flood>, paths: [&str; 2], complete: Option<&str>) {
    for flood in floods {
        for path in paths {
            run(async {
                let site = Site::start().await;
                site.check_requests(path, flood.clone(), complete).await;
            });
        }
    }
}

/// Guards against an instance whose event loop reads one connection only, a connection that stays open,
/// and a success, while a target sends a response head without end.
#[test]
fn endless_heads_of_plain_targets() {
    check_floods(head_floods(), PLAIN_PATHS, None);
}

/// As above, for engines.
#[test]
fn endless_heads_of_engines() {
    check_floods(head_floods(), STREAM_PATHS, None);
}

/// Guards against a body without end that fills the memory, looks complete to the client or keeps other
/// requests waiting.
#[test]
fn endless_bodies_of_plain_targets() {
    let body = chunk(&"b".repeat(16 * 1024));
    let failure = chunked().replace("200 OK", "500 Internal Server Error");
    let refusal = "HTTP/1.1 503 Service Unavailable\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut floods = framing_floods();
    floods.extend([
        Flood::new("chunks", &chunked(), &body),
        Flood::new("chunks of one byte", &chunked(), chunk("b")),
        Flood::new("body without a length", &success(""), "b"),
        Flood::new("failure with chunks", &failure, &body),
        Flood::new("unconfirmed refusal with chunks", refusal, &body),
    ]);
    check_floods(floods, PLAIN_PATHS, None);
}

/// Guards against bytes after a complete response that become part of an answer or are read without end.
#[test]
fn endless_bytes_after_a_response() {
    let complete = format!("{}ok", success("content-length: 2\r\n"));
    let floods = vec![
        Flood::new("random bytes after a response", &complete, random_bytes()),
        Flood::new("responses after a response", &complete, &complete),
        Flood::new("empty lines after a response", &complete, "\r\n"),
    ];
    check_floods(floods, PLAIN_PATHS, Some("ok"));
}

/// Guards against a stream without end that fills the memory, looks complete to the client or keeps
/// other requests waiting.
#[test]
fn endless_streams_of_engines() {
    let event = chunk("id: 1\ndata: piece 1\n\n");
    let first = format!("{}{event}", chunked());
    let mut floods = framing_floods();
    floods.extend([
        Flood::new("event line", &chunked(), chunk("data: piece")),
        Flood::new("event lines", &first, chunk("data: piece\n")),
        Flood::new("event in chunks of one byte", &first, chunk("b")),
        Flood::new("comment lines", &first, chunk(": wait\n")),
        Flood::new("comments", &chunked(), chunk(": wait\n\n")),
        Flood::new("empty lines", &chunked(), chunk(&"\n".repeat(4096))),
        Flood::new("events without ids", &chunked(), chunk("data: piece\n\n")),
        Flood::new("events that were sent before", &first, &event),
    ]);
    check_floods(floods, STREAM_PATHS, None);
}

/// Guards against other requests that are served only after a flood has ended, and against a connection
/// to the target that stays open after the client has left. No limit of size ends these floods.
#[test]
fn other_requests_are_served_during_a_flood() {
    let floods = vec![
        Flood::new("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        Flood::new("chunk size of zeros", &chunked(), "0"),
        Flood::new("spaces after a chunk size", &format!("{}1", chunked()), " "),
        Flood::new("chunks", &chunked(), chunk(&": wait\n\n".repeat(2048))),
        Flood::new("body without a length", &success(""), ": wait\n\n"),
    ];
    for flood in floods {
        for path in ["/pay/x", "/tell/x"] {
            run(async {
                let site = Site::start().await;
                site.check_abandoned_requests(path, flood.clone()).await;
            });
        }
    }
}

/// Guards against a resumable stream that stays at an engine which goes on to send bytes but no new
/// event: the client gives up long before the deadline. Another engine has to send the rest.
#[test]
fn a_stream_without_new_events_is_resumed() {
    const PAUSE: Duration = Duration::from_millis(20);
    let event = chunk("id: 1\ndata: piece 1\n\n");
    let first = format!("{}{event}", chunked());
    let data = chunk("data: piece");
    let floods = [
        Flood::paced("slow event line", &first, &data, PAUSE),
        Flood::paced("slow event line at the start", &chunked(), &data, PAUSE),
        Flood::paced("slow events that were sent before", &first, &event, PAUSE),
        Flood::new("events that were sent before", &first, &event),
    ];
    for flood in floods {
        run(async {
            let name = flood.name;
            let site = Site::start().await;
            let other = FleetTarget::new("e2", &FaultPlan::default());
            let other = StandInHandle::start(other).unwrap();
            site.engine_proxy.set_flood(Some(flood));
            let flooded = site.request("r", "/ask/x", OTHER_DEADLINE_MS);
            let changes = async {
                eventually("the request is flooded", || async {
                    (site.engine_proxy.begun() > 0).then_some(())
                })
                .await;
                let models = json!([{ "name": "m", "version": 1, "adapters": [] }]);
                let entry = json!({ "service": "llm", "address": other.address(), "zone": "a",
                    "version": "v1", "slots": 32, "state": "ready", "models": models,
                    "sequence": 3, "born": 1 });
                site.store.put("servers", "e2", entry);
            };
            let (answer, ()) = futures_util::join!(flooded, changes);
            let complete = Answer::Complete(200, expected_body("/ask/x"));
            assert_eq!(answer, complete, "flood \"{name}\"");
            eventually("the flooded connection is closed", || async {
                (site.engine_proxy.ended() == site.engine_proxy.begun()).then_some(())
            })
            .await;
        });
    }
}

/// Guards against a silent target that begins to send without end while another one is asked to take the
/// request over, or after it was given up: its bytes fill the memory or keep the other one's response back.
#[test]
fn silent_targets_that_begin_to_flood() {
    const SILENCE: Duration = Duration::from_millis(2_200);
    const DEADLINE_MS: u64 = 4_000;
    let event = chunk("id: 1\ndata: piece 1\n\n");
    let first = format!("{}{event}", chunked());
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let floods = [
        Flood::new("silence, then interim responses", "", interim),
        Flood::new(
            "silence, then header lines",
            "HTTP/1.1 200 OK\r\n",
            "x: y\r\n",
        ),
        Flood::new("silence, then comments", &chunked(), chunk(": wait\n\n")),
        Flood::new("silence, then event lines", &first, chunk("data: piece\n")),
        Flood::new(
            "silence, then trailer lines",
            &format!("{first}0\r\n"),
            "x: y\r\n",
        ),
    ];
    // While the other target is asked, and after it has responded.
    for delay in [Duration::from_millis(800), Duration::ZERO] {
        for flood in floods.clone() {
            run(async {
                let name = flood.name;
                let site = Site::start().await;
                let faults = FaultPlan::default();
                let other = FleetTarget::new("e2", &faults);
                let other = StandInHandle::start(other).unwrap();
                let resident = site.memory_bytes("VmRSS");
                site.engine_proxy
                    .set_flood(Some(flood.with_silence(SILENCE)));
                let flooded = site.request("r", "/ask/x", DEADLINE_MS);
                let changes = async {
                    eventually("the request is flooded", || async {
                        (site.engine_proxy.begun() > 0).then_some(())
                    })
                    .await;
                    faults
                        .borrow_mut()
                        .push_back(Some(TargetFault::Delay(delay)));
                    let models = json!([{ "name": "m", "version": 1, "adapters": [] }]);
                    let entry = json!({ "service": "llm", "address": other.address(), "zone": "a",
                        "version": "v1", "slots": 32, "state": "ready", "models": models,
                        "sequence": 3, "born": 1 });
                    site.store.put("servers", "e2", entry);
                    compio::time::sleep(SILENCE).await;
                    site.check_others_served(name).await;
                };
                let (answer, ()) = futures_util::join!(flooded, changes);
                let complete = Answer::Complete(200, expected_body("/ask/x"));
                assert_eq!(answer, complete, "\"{name}\", delay {delay:?}");
                eventually("the flooded connection is closed", || async {
                    (site.engine_proxy.ended() == site.engine_proxy.begun()).then_some(())
                })
                .await;
                let limit = REQUEST_BYTES + BASE_GROWTH_BYTES;
                site.check_memory(resident, limit, name, site.engine_proxy.sent_bytes());
            });
        }
    }
}

/// Guards against a request that is not sent again because the body of its refusal does not end.
#[test]
fn endless_bodies_of_refusals_do_not_hold_up_the_next_attempt() {
    let refusal = format!(
        "HTTP/1.1 503 Service Unavailable\r\njujubelink-attempt-id: {ID}\r\n\
         jujubelink-not-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let body = chunk(&"b".repeat(16 * 1024));
    run(async {
        let site = Site::start().await;
        let other = FleetTarget::new("e2", &FaultPlan::default());
        let other_handle = StandInHandle::start(Rc::clone(&other)).unwrap();
        let models = json!([{ "name": "m", "version": 1, "adapters": [] }]);
        let entry = json!({ "service": "llm", "address": other_handle.address(), "zone": "a",
            "version": "v1", "slots": 32, "state": "ready", "models": models,
            "sequence": 3, "born": 1 });
        site.store.put("servers", "e2", entry);
        eventually("the other engine serves requests", || async {
            site.wait_served("/ask/x").await;
            (other.runs() > 0).then_some(())
        })
        .await;
        let flood = Flood::new("refusal with chunks", &refusal, &body);
        site.engine_proxy.set_flood(Some(flood));
        eventually("a request is flooded", || async {
            let answer = site.request("r", "/ask/x", OTHER_DEADLINE_MS).await;
            assert_eq!(answer, Answer::Complete(200, expected_body("/ask/x")));
            (site.engine_proxy.begun() > 0).then_some(())
        })
        .await;
        site.check_others_served("refusal with chunks").await;
        eventually("the flooded connection is closed", || async {
            (site.engine_proxy.ended() == site.engine_proxy.begun()).then_some(())
        })
        .await;
    });
}
