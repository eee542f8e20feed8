//! Targets that repeat an earlier response on a kept connection, continue a stream with an error, or
//! close the connection within a response.

use std::cell::Cell;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use jujubelink_standins::fleet::TargetFault;

use super::{Deployment, RunningInstance, expected_events, schedule_faults, wait_until_unused};
use crate::support::{ReceivedRequest, Reply, ScriptedTarget, TestResponse, eventually, run};

impl Deployment {
    /// Makes `target` the only one of the plain service, and waits until the instance uses no other.
    async fn use_plain_target(&self, target: &ScriptedTarget, instance: &RunningInstance) {
        self.put_target_at("s1", target.address(), "ready", 2, 1);
        self.put_target("s2", "draining", 1);
        eventually("the target serves requests", || async {
            let response = instance.send_request("r", "GET", "/read/x").await;
            (response.body == "ok").then_some(())
        })
        .await;
        wait_until_unused(&self.services[1], instance).await;
    }
}

pub(super) fn success(request: &ReceivedRequest, body: &str) -> String {
    response_head("200 OK", &request.id, body.len()) + body
}

pub(super) fn refusal(id: &str) -> String {
    let head = response_head("503 Service Unavailable", id, 0);
    head.replacen("\r\n", "\r\njujubelink-not-executed: 1\r\n", 1)
}

pub(super) fn response_head(status: &str, id: &str, body_length: usize) -> String {
    format!(
        "HTTP/1.1 {status}\r\njujubelink-attempt-id: {id}\r\njujubelink-server-stamp: s\r\n\
         content-length: {body_length}\r\n\r\n"
    )
}

/// Returns the head of a stream.
pub(super) fn stream_head(request: &ReceivedRequest) -> String {
    format!(
        "HTTP/1.1 200 OK\r\njujubelink-attempt-id: {}\r\njujubelink-server-stamp: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        request.id
    )
}

/// Returns events as a part of a stream.
pub(super) fn stream_part(events: std::ops::RangeInclusive<u64>) -> String {
    let data = expected_events(events);
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Returns the head of a stream and its first events, without an end.
fn stream_start(request: &ReceivedRequest, events: std::ops::RangeInclusive<u64>) -> String {
    stream_head(request) + &stream_part(events)
}

/// Sends a request that the target refuses, and then another one that arrives on the connection of the
/// refusal, where the target runs it and writes `repeated`. Returns the response to the latter.
async fn send_behind_a_repeated_refusal(
    deployment: &Deployment,
    instance: &RunningInstance,
    repeated: &'static str,
) -> TestResponse {
    let target = ScriptedTarget::start(move |request| match request.id.as_str() {
        "first" => Reply::kept(refusal("first")),
        id if id.starts_with("second") && request.index > 0 => Reply::kept(repeated),
        _ => Reply::kept(success(request, "ok")),
    });
    deployment.use_plain_target(&target, instance).await;
    let number = Cell::new(0);
    let (id, response) = eventually("the request arrives on a kept connection", || async {
        number.set(number.get() + 1);
        let id = format!("second-{}", number.get());
        instance.send_request("first", "POST", "/pay/x").await;
        let response = instance.send_request(&id, "POST", "/pay/x").await;
        let mut received = target.received().into_iter();
        let arrival = received.find(|request| request.id == id)?;
        (arrival.index > 0).then_some((id, response))
    })
    .await;
    let received = target.received().into_iter();
    let arrivals = received.filter(|request| request.id == id).count();
    assert_eq!(arrivals, 1, "{repeated}");
    response
}

/// Guards against a request that runs and is reported as not run, or is sent to a second target.
#[test]
fn a_repeated_refusal_on_a_kept_connection_refuses_no_later_request() {
    run(async {
        for repeated in [
            "HTTP/1.1 503 Service Unavailable\r\njujubelink-attempt-id: first\r\n\
             jujubelink-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 503 Service Unavailable\r\njujubelink-not-executed: 1\r\n\
             content-length: 0\r\n\r\n",
            "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
        ] {
            let (deployment, instance) = Deployment::start_ready("").await;
            let response = send_behind_a_repeated_refusal(&deployment, &instance, repeated).await;
            assert_eq!(response.status, 502, "{repeated}");
        }
    });
}

/// Guards against a resend on the connection of the refusal, which the target may repeat there.
#[test]
fn a_repeated_refusal_does_not_refuse_the_next_attempt_at_the_same_target() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let refusing_connections = Mutex::new(HashSet::new());
        let target = ScriptedTarget::start(move |request| {
            let mut refusing = refusing_connections.lock().unwrap();
            let is_refused = request.path == "/pay/x"
                && (refusing.len() < 2 || refusing.contains(&request.connection));
            if !is_refused {
                return Reply::kept(success(request, "ok"));
            }
            refusing.insert(request.connection);
            Reply::kept(refusal(&request.id))
        });
        deployment.use_plain_target(&target, &instance).await;
        let response = instance.send_request("r", "POST", "/pay/x").await;
        let received = target.received().into_iter();
        let attempts: Vec<_> = received
            .filter(|request| request.path == "/pay/x")
            .collect();
        assert_eq!((response.status, attempts.len()), (200, 3), "{attempts:?}");
    });
}

/// Guards against error text within a stream, and a broken stream that looks complete.
#[test]
fn an_error_response_does_not_continue_a_stream() {
    run(async {
        for (status, content_type, body) in [
            (
                "500 Internal Server Error",
                "text/plain",
                "error: no room\n\n",
            ),
            (
                "404 Not Found",
                "text/event-stream",
                "id: 9\ndata: error\n\n",
            ),
            (
                "503 Service Unavailable",
                "text/event-stream",
                "id: 9\ndata: error\n\n",
            ),
            ("302 Found", "text/plain", "error: elsewhere\n\n"),
            ("200 OK", "application/json", "{\"error\": \"no room\"}\n\n"),
            ("200 OK", "application/json", ""),
        ] {
            let (deployment, instance) = Deployment::start_ready("").await;
            let error = format!(
                "content-type: {content_type}\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            let sent = Mutex::new(HashSet::new());
            let script = Arc::new(move |request: &ReceivedRequest| {
                let is_first = sent.lock().unwrap().insert(request.id.clone());
                match is_first {
                    true => Reply::closed(stream_start(request, 1..=2)),
                    false => Reply::kept(format!(
                        "HTTP/1.1 {status}\r\njujubelink-attempt-id: {}\r\n\
                         jujubelink-server-stamp: s\r\n{error}",
                        request.id
                    )),
                }
            });
            let targets = ["e1", "e2"].map(|id| {
                let script = script.clone();
                let target = ScriptedTarget::start(move |request| script(request));
                deployment.put_target_at(id, target.address(), "ready", 2, 1);
                target
            });
            let number = Cell::new(0);
            let response = eventually("the stream is sent to both engines", || async {
                number.set(number.get() + 1);
                let (id, prompt) = (
                    format!("p{}", number.get()),
                    format!("{:x}:1200", number.get()),
                );
                let response = instance.send_prompt_of_parts(&id, "/ask/x", &prompt).await;
                let received = targets.iter().flat_map(ScriptedTarget::received);
                (received.filter(|request| request.id == id).count() == 2).then_some(response)
            })
            .await;
            assert_eq!(
                response.status, 0,
                "{status} {content_type}: {}",
                response.body
            );
            assert_eq!(
                response.body,
                expected_events(1..=2),
                "{status} {content_type}"
            );
        }
    });
}

/// Guards against a cut response that looks complete or states that the request has not run.
#[test]
fn a_response_that_ends_early_is_not_delivered_as_complete() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        for id in ["s1", "s2", "e1", "e2"] {
            deployment.store.remove("servers", id);
        }
        let request = ReceivedRequest {
            arrived_at: Instant::now(),
            connection: 0,
            index: 0,
            path: String::new(),
            id: "r".to_owned(),
            last_event: None,
            priority: None,
            head: String::new(),
            body: Vec::new(),
        };
        let complete = success(&request, &expected_events(1..=1));
        let is_boundary = |length: &usize| {
            let ends_line = complete[..*length].ends_with(['\r', '\n']);
            ends_line || length % 20 == 1 || *length + 1 >= complete.len()
        };
        for length in (0..=complete.len()).filter(is_boundary) {
            let prefix = complete[..length].to_owned();
            // Targets that fail repeatedly get no requests, and prompts that crash targets are refused.
            let targets = [format!("s{length}"), format!("e{length}")].map(|id| {
                let reply = prefix.clone();
                let target = ScriptedTarget::start(move |_| Reply::closed(reply.clone()));
                deployment.put_target_at(&id, target.address(), "ready", 1, 1);
                (id, target)
            });
            for (route, (_, target)) in ["pay", "tell"].iter().zip(&targets) {
                let path = format!("/{route}/{length}");
                let prompt = format!("{length:x}:1200");
                let response = eventually("the request is sent to the target", || async {
                    let response = match *route {
                        "pay" => instance.send_request("r", "POST", &path).await,
                        _ => instance.send_prompt_of_parts("r", &path, &prompt).await,
                    };
                    (!target.received().is_empty()).then_some(response)
                })
                .await;
                let expected: &[u16] = match length < complete.len() {
                    true => &[0, 502],
                    false => &[200],
                };
                assert!(
                    expected.contains(&response.status),
                    "{} to {path} after {prefix:?}",
                    response.status
                );
            }
            for (id, _) in &targets {
                deployment.store.remove("servers", id);
            }
        }
    });
}

/// Guards against requests that are refused because failures have taken all targets of a plain service out
/// of service.
#[test]
fn failures_do_not_take_all_targets_of_a_service_out() {
    run(async {
        const REQUESTS: usize = 20;
        let (deployment, instance) = Deployment::start_ready("").await;
        // Each request is tried at two targets.
        let failures = [Some(TargetFault::Fail); 2 * REQUESTS];
        schedule_faults(&deployment.service_faults, &failures);
        for _ in 0..REQUESTS {
            let response = instance.send_request("r", "GET", "/read/x").await;
            assert_eq!(response.status, 500, "{}", response.body);
        }
        let response = instance.send_request("r", "GET", "/read/x").await;
        assert_eq!(response.status, 200, "{}", response.body);
    });
}
