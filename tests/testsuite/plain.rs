//! Plain routes.

use std::io::{Read, Write};

use http::Request;
use serde_json::Value;

use crate::support::{Fleet, Instance, KEY, eventually, run, send};

fn request(method: &str, path: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {KEY}"))
}

/// Largest resident size of a process so far.
fn peak_resident_kb(instance: &Instance) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", instance.pid())).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against methods, paths, queries or bodies that change on the way.
#[test]
fn requests_pass_unchanged() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        for method in ["GET", "POST", "PUT", "PATCH", "DELETE", "PURGE"] {
            let body = (method != "GET").then(|| "a body".to_owned());
            let path = "/shop/orders/17?view=full&x=%20";
            let answer = send(instance.client_address, request(method, path), body.clone()).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
            let seen: Value = serde_json::from_str(&answer.body).unwrap();
            assert_eq!(seen["method"], method);
            assert_eq!(seen["path"], "/shop/orders/17");
            assert_eq!(seen["query"], "view=full&x=%20");
            assert_eq!(seen["body"], body.unwrap_or_default());
        }
        let open = Request::post("/open/hook").header("authorization", "Basic abc");
        let answer = send(instance.client_address, open, Some("x".to_owned())).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    });
}

/// Guards against a second run of a request that may have run, and against "not run" for it.
#[test]
fn a_silent_target_gets_a_request_once() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        fleet.services[0].set_faults(|faults| faults.is_silent = true);
        let answer = send(instance.client_address, request("POST", "/slow"), None).await;
        assert_eq!(answer.status, 504, "{}", answer.body);
        assert!(
            answer.body.contains(r#""outcome":"outcome_unknown""#),
            "{}",
            answer.body
        );
        assert_eq!(fleet.service_runs(), 1);
    });
}

/// Guards against a refusal although another target can be connected to: nothing was sent to the
/// dead one.
#[test]
fn a_dead_target_is_passed_over() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        for _ in 0..4 {
            let sent = send(
                instance.client_address,
                request("POST", "/half"),
                Some("x".into()),
            );
            let answer = sent.await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        assert_eq!(fleet.service_runs(), 4);
    });
}

fn charge(key: &str) -> http::request::Builder {
    request("POST", "/shop/charge")
        .header("idempotency-key", key)
        .header("x-run-id", key)
}

fn runs_of(fleet: &Fleet, key: &str) -> u32 {
    let runs = fleet.services.iter().map(|service| service.runs_of(key));
    runs.sum()
}

/// Guards against a second run of a request with an idempotency key that arrives again at the same
/// or another instance, and against an answer that belongs to another body.
#[test]
fn a_repeated_charge_runs_once() {
    run(async {
        let fleet = Fleet::new(0);
        let instances = [fleet.start_instance().await, fleet.start_instance().await];
        let mut answers = Vec::new();
        for instance in instances.iter().cycle().take(4) {
            let sent = send(
                instance.client_address,
                charge("k1"),
                Some("17 pesos".into()),
            );
            answers.push(sent.await);
        }
        for answer in &answers {
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert_eq!(answer.body, answers[0].body);
        }
        let other = Some("18 pesos".to_owned());
        let answer = send(instances[0].client_address, charge("k1"), other).await;
        assert_eq!(answer.status, 409, "{}", answer.body);
        assert!(answer.body.contains("claim_conflict"), "{}", answer.body);
        assert_eq!(runs_of(&fleet, "k1"), 1);
    });
}

/// Guards against a second run under a key in a JSON field.
#[test]
fn a_repeated_form_runs_once() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        for _ in 0..2 {
            let form = request("POST", "/forms").header("x-run-id", "f1");
            let body = r#"{"id":"f1","amount":17}"#.to_owned();
            let answer = send(instance.client_address, form, Some(body)).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        assert_eq!(runs_of(&fleet, "f1"), 1);
    });
}

/// Guards against a second run after an answer that broke off: whether the first run took effect is
/// not known, and each repeat has to say so.
#[test]
fn a_charge_with_a_broken_answer_is_not_run_again() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        for service in &fleet.services {
            service.set_faults(|faults| faults.cut_answers = 1);
        }
        for _ in 0..3 {
            let answer = send(instance.client_address, charge("k2"), Some("x".into())).await;
            assert_eq!(answer.status, 502, "{}", answer.body);
            assert!(
                answer.body.contains(r#""outcome":"outcome_unknown""#),
                "{}",
                answer.body
            );
        }
        assert_eq!(runs_of(&fleet, "k2"), 1);
    });
}

/// Guards against a charge that runs without a claim, and against "may have run" for it.
#[test]
fn a_charge_without_the_platform_has_not_run() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        fleet.platform.set_faults(|faults| faults.is_down = true);
        let answer = send(instance.client_address, charge("k3"), Some("x".into())).await;
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert!(answer.body.contains("claim_unavailable"), "{}", answer.body);
        assert!(
            answer.body.contains(r#""outcome":"not_run""#),
            "{}",
            answer.body
        );
        fleet.platform.set_faults(|faults| faults.is_down = false);
        let answer = send(instance.client_address, charge("k3"), Some("x".into())).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(runs_of(&fleet, "k3"), 1);
    });
}

/// Guards against bodies that are collected in memory instead of streamed through.
#[test]
fn large_bodies_and_slow_readers_use_bounded_memory() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        let warm_up = send(instance.client_address, request("POST", "/shop"), None).await;
        assert_eq!(warm_up.status, 200);
        let before = peak_resident_kb(&instance);
        let body = "x".repeat(48 << 20);
        let answer = send(
            instance.client_address,
            request("POST", "/shop"),
            Some(body),
        )
        .await;
        let seen: Value = serde_json::from_str(&answer.body).unwrap();
        assert_eq!(seen["bytes"], 48 << 20);

        let mut reader = std::net::TcpStream::connect(instance.client_address).unwrap();
        let head = format!(
            "GET /shop/dump?answer_bytes=67108864 HTTP/1.1\r\nhost: a\r\nx-api-key: {KEY}\r\n\
             connection: close\r\n\r\n"
        );
        reader.write_all(head.as_bytes()).unwrap();
        compio::time::sleep(std::time::Duration::from_millis(500)).await;
        assert!(peak_resident_kb(&instance) < before + 8 * 1024);
        reader.set_nonblocking(true).unwrap();
        let mut total = 0;
        let mut buffer = vec![0; 1 << 16];
        eventually("the whole answer", || {
            loop {
                match reader.read(&mut buffer) {
                    Ok(0) => break std::future::ready(Some(())),
                    Ok(read) => total += read,
                    Err(_) => break std::future::ready(None),
                }
            }
        })
        .await;
        assert!(total >= 64 << 20, "{total}");
        assert!(peak_resident_kb(&instance) < before + 8 * 1024);
    });
}
