//! Routes to plain services: forwarding, idempotency keys and memory use.

use std::io::{Read, Write};

use http::Request;
use serde_json::{Value, json};

use crate::support::{Fleet, Instance, KEY, UnresponsivePort, eventually, run, send};

fn request(method: &str, path: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {KEY}"))
}

/// Peak resident memory of an instance's process.
fn peak_resident_kb(instance: &Instance) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", instance.pid())).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against methods, paths, queries or bodies that are changed when a request is forwarded.
#[test]
fn forwards_requests_unchanged() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        for method in ["GET", "POST", "PUT", "PATCH", "DELETE", "PURGE"] {
            let body = (method != "GET").then(|| "a body".to_owned());
            let path = "/shop/orders/17?view=full&x=%20";
            let response = send(instance.client_address, request(method, path), body.clone()).await;
            assert_eq!(response.status, 200, "{}", response.body);
            let seen: Value = serde_json::from_str(&response.body).unwrap();
            assert_eq!(seen["method"], method);
            assert_eq!(seen["path"], "/shop/orders/17");
            assert_eq!(seen["query"], "view=full&x=%20");
            assert_eq!(seen["body"], body.unwrap_or_default());
        }
        let open = Request::post("/open/hook").header("authorization", "Basic abc");
        let response = send(instance.client_address, open, Some("x".to_owned())).await;
        assert_eq!(response.status, 200, "{}", response.body);
    });
}

/// Guards against a second attempt for a request that may have run, and against reporting it as not run.
/// The target accepts the request and never responds.
#[test]
fn a_request_to_a_silent_target_is_not_repeated() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        fleet.services[0].set_faults(|faults| faults.is_silent = true);
        let response = send(instance.client_address, request("POST", "/slow"), None).await;
        assert_eq!(response.status, 504, "{}", response.body);
        assert!(
            response.body.contains(r#""outcome":"outcome_unknown""#),
            "{}",
            response.body
        );
        assert_eq!(fleet.service_runs(), 1);
    });
}

/// Guards against a failed request although another target is reachable: nothing was sent to the
/// unreachable one, so another attempt is safe.
#[test]
fn an_unreachable_target_is_skipped() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        for _ in 0..4 {
            let response_future = send(
                instance.client_address,
                request("POST", "/half"),
                Some("x".into()),
            );
            let response = response_future.await;
            assert_eq!(response.status, 200, "{}", response.body);
        }
        assert_eq!(fleet.service_runs(), 4);
    });
}

/// A request that charges a customer, under an idempotency key in its header.
fn charge_request(key: &str) -> http::request::Builder {
    request("POST", "/shop/charge")
        .header("idempotency-key", key)
        .header("x-run-id", key)
}

/// How often the services ran the request with this key.
fn runs_of(fleet: &Fleet, key: &str) -> u32 {
    let runs = fleet.services.iter().map(|service| service.runs_of(key));
    runs.sum()
}

/// Guards against a request that runs again when a client repeats it with its idempotency key at the
/// same or another instance, and against a stored response that is returned for another body.
#[test]
fn a_repeated_idempotency_key_runs_once() {
    run(async {
        let fleet = Fleet::new(0);
        let instances = [fleet.start_instance().await, fleet.start_instance().await];
        let mut responses = Vec::new();
        for instance in instances.iter().cycle().take(4) {
            let response_future = send(
                instance.client_address,
                charge_request("k1"),
                Some("17 pesos".into()),
            );
            responses.push(response_future.await);
        }
        for response in &responses {
            assert_eq!(response.status, 200, "{}", response.body);
            assert_eq!(response.body, responses[0].body);
        }
        let other = Some("18 pesos".to_owned());
        let response = send(instances[0].client_address, charge_request("k1"), other).await;
        assert_eq!(response.status, 409, "{}", response.body);
        assert!(
            response.body.contains("claim_conflict"),
            "{}",
            response.body
        );
        assert_eq!(runs_of(&fleet, "k1"), 1);
    });
}

/// Guards against a second run when the route takes the idempotency key from a field of the JSON body.
#[test]
fn a_repeated_key_in_a_json_field_runs_once() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        for _ in 0..2 {
            let form = request("POST", "/forms").header("x-run-id", "f1");
            let body = r#"{"id":"f1","amount":17}"#.to_owned();
            let response = send(instance.client_address, form, Some(body)).await;
            assert_eq!(response.status, 200, "{}", response.body);
        }
        assert_eq!(runs_of(&fleet, "f1"), 1);
    });
}

/// Guards against a second run after a truncated response: it is unknown whether the first run took
/// effect, and the response to each repeat has to say so.
#[test]
fn a_request_with_a_truncated_response_is_not_repeated() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        for service in &fleet.services {
            service.set_faults(|faults| faults.cut_answers = 1);
        }
        for _ in 0..3 {
            let response = send(
                instance.client_address,
                charge_request("k2"),
                Some("x".into()),
            )
            .await;
            assert_eq!(response.status, 502, "{}", response.body);
            assert!(
                response.body.contains(r#""outcome":"outcome_unknown""#),
                "{}",
                response.body
            );
        }
        assert_eq!(runs_of(&fleet, "k2"), 1);
    });
}

/// Guards against a request with an idempotency key that runs although its claim cannot be written
/// because the platform is down, and against reporting that it may have run.
#[test]
fn a_request_without_a_claim_is_not_run() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        fleet.platform.set_faults(|faults| faults.is_down = true);
        let response = send(
            instance.client_address,
            charge_request("k3"),
            Some("x".into()),
        )
        .await;
        assert_eq!(response.status, 503, "{}", response.body);
        assert!(
            response.body.contains("claim_unavailable"),
            "{}",
            response.body
        );
        assert!(
            response.body.contains(r#""outcome":"not_run""#),
            "{}",
            response.body
        );
        fleet.platform.set_faults(|faults| faults.is_down = false);
        let response = send(
            instance.client_address,
            charge_request("k3"),
            Some("x".into()),
        )
        .await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(runs_of(&fleet, "k3"), 1);
    });
}

/// Guards against request and response bodies that are buffered in memory instead of streamed.
#[test]
fn large_bodies_and_slow_readers_use_bounded_memory() {
    run(async {
        let fleet = Fleet::new(0);
        let instance = fleet.start_instance().await;
        let warm_up = send(instance.client_address, request("POST", "/shop"), None).await;
        assert_eq!(warm_up.status, 200);
        let before = peak_resident_kb(&instance);
        let body = "x".repeat(48 << 20);
        let response = send(
            instance.client_address,
            request("POST", "/shop"),
            Some(body),
        )
        .await;
        let seen: Value = serde_json::from_str(&response.body).unwrap();
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
        eventually("the complete response is read", || {
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

/// Sends a body of 400 KB within 2 s, and a second request on the same connection. Returns the statuses,
/// or what failed.
async fn send_slow_body(address: std::net::SocketAddr, key: &str) -> Result<(u16, u16), String> {
    const PARTS: usize = 20;
    let part = vec![b'x'; 400_000 / PARTS];
    let failed = |error: std::io::Error| error.to_string();
    let socket = std::net::TcpStream::connect(address).map_err(failed)?;
    let head = format!(
        "POST /dead/x HTTP/1.1\r\nhost: a\r\nx-api-key: {key}\r\ncontent-length: 400000\r\n\r\n"
    );
    (&socket).write_all(head.as_bytes()).map_err(failed)?;
    for _ in 0..PARTS {
        (&socket).write_all(&part).map_err(failed)?;
        compio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    let first = read_status(&socket).await?;
    (&socket)
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n")
        .map_err(failed)?;
    Ok((first, read_status(&socket).await?))
}

/// Reads a response whose body has a length and returns its status.
async fn read_status(mut socket: &std::net::TcpStream) -> Result<u16, String> {
    let mut received = String::new();
    let mut buffer = [0; 4096];
    socket.set_nonblocking(true).unwrap();
    let status = loop {
        match socket.read(&mut buffer) {
            Ok(0) => break Err("the connection ended".to_owned()),
            Ok(count) => received += std::str::from_utf8(&buffer[..count]).unwrap(),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                compio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            Err(error) => break Err(error.to_string()),
        }
        let Some((head, body)) = received.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .split_once("content-length: ")
            .map_or("0", |(_, rest)| {
                rest.split("\r\n").next().unwrap_or_default()
            });
        if body.len() >= length.parse().unwrap() {
            break Ok(head.split(' ').nth(1).unwrap().parse().unwrap());
        }
    };
    socket.set_nonblocking(false).unwrap();
    status
}

/// Guards against a connection that is reset while its client still sends a body that was to be streamed to
/// a target and is refused.
#[test]
fn a_refusal_of_a_streamed_body_resets_no_connection() {
    run(async {
        let fleet = Fleet::new(0);
        fleet.update_config(|config| config["routes"]["dead"]["cost_tokens"] = 100_000.into());
        let instance = fleet.start_instance().await;
        let address = instance.client_address;
        // The workspace `small` has less than the cost.
        for (key, status) in [(KEY, 503), ("tiny", 413)] {
            let clients = (0..10).map(|_| send_slow_body(address, key));
            let results = futures_util::future::join_all(clients).await;
            let expected = vec![Ok((status, 200)); 10];
            assert_eq!(results, expected, "{key}");
        }
    });
}

/// Guards against a refusal, although a target is free, of a request whose first target accepts no
/// connection within the time for which its charge is valid.
#[test]
fn a_slow_connect_to_one_target_costs_no_request() {
    run(async {
        let fleet = Fleet::new(0);
        let hole = UnresponsivePort::new();
        fleet.update_config(|config| {
            config["targets"]["hole"] =
                json!({ "kind": "service", "address": hole.address(), "failure_domain": "a" });
            config["routes"]["half"]["targets"] = json!(["hole", "s1"]);
            config["routes"]["half"]["cost_tokens"] = 10.into();
            config["routes"]["half"]["response_timeout_ms"] = 8_000.into();
        });
        let instance = fleet.start_instance().await;
        let requests = (0..8).map(|_| {
            let body = Some("x".to_owned());
            send(instance.client_address, request("POST", "/half"), body)
        });
        for response in futures_util::future::join_all(requests).await {
            assert_eq!(response.status, 200, "{}", response.body);
        }
        assert_eq!(fleet.service_runs(), 8);
    });
}

/// Guards against a refusal of a request whose claim takes longer than its charge is valid.
#[test]
fn a_slow_claim_costs_no_request() {
    run(async {
        let fleet = Fleet::new(0);
        fleet.update_config(|config| config["routes"]["shop"]["cost_tokens"] = 10.into());
        let instance = fleet.start_instance().await;
        // Waits until the instance holds the limit of the workspace.
        let warm_up = send(instance.client_address, request("POST", "/shop"), None).await;
        assert_eq!(warm_up.status, 200, "{}", warm_up.body);
        let delay = std::time::Duration::from_millis(700);
        fleet.platform.set_faults(|faults| faults.delay = delay);
        let body = Some("x".to_owned());
        let response = send(instance.client_address, charge_request("k4"), body).await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(runs_of(&fleet, "k4"), 1);
    });
}
