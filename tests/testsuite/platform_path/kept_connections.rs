//! Connections that clients keep open beside changes of the limits, and refusals while a body arrives.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use futures_util::AsyncReadExt;
use futures_util::future::join_all;
use jujubelink::util::net::Stream;
use jujubelink_standins::fleet::StoreMode;
use serde_json::{Value, json};

use super::planned_stop::{Client, check_statuses, request, split_head};
use super::{Deployment, KEY, RunningInstance};
use crate::support::{eventually, run};

impl Deployment {
    /// Writes a configuration that differs from the default one by its limits.
    fn put_limits(&self, version: u64, limits: Value) {
        let mut config = Self::configuration(version, &[KEY], &[]);
        config["limits"] = limits;
        self.store.put("config", "main", config);
    }
}

/// Waits until a body of 4 bytes gets this status. Tests tell by it which configuration is active.
async fn wait_body_status(instance: &RunningInstance, expected: u16) {
    eventually("the configuration is active", || async {
        let response = instance.send_request("probe", "POST", "/pay/x").await;
        (response.status == expected).then_some(())
    })
    .await;
}

/// A request after which the connection is closed.
fn last_request(id: &str) -> String {
    request(id, "/read/x", 3_000).replacen("\r\n", "\r\nconnection: close\r\n", 1)
}

/// Guards against a connection that is closed after the idle time that applied when it was opened,
/// although clients may use it for longer now, whether the instance can learn of that or not.
#[test]
fn a_raised_idle_time_applies_to_open_connections() {
    run(async {
        let idle_limits = |idle_ms: u64, max_body_bytes: u64| {
            json!({ "max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                "header_timeout_ms": 300, "idle_timeout_ms": idle_ms })
        };
        let mut rows = Vec::new();
        for is_store_away in [false, true] {
            let deployment = Deployment::new();
            deployment.put_limits(6, idle_limits(15_000, 1_000));
            let instance = deployment.start("n1", "").await;
            instance.wait_ready().await;
            let address = instance.process.client_address;
            let clients = join_all((0..4).map(|_| Client::connect_kept(address))).await;
            if is_store_away {
                instance.store_endpoint.set_mode(StoreMode::Silent);
            }
            deployment.put_limits(7, idle_limits(40_000, 2));
            if !is_store_away {
                wait_body_status(&instance, 413).await;
            }
            rows.push((deployment, instance, clients));
        }
        // Longer than the first limit, shorter than four fifths of the second one.
        compio::time::sleep(Duration::from_millis(18_000)).await;
        for (_deployment, _instance, clients) in rows {
            for client in &clients {
                client.write(
                    &last_request("late")
                        .replace("length: 4", "length: 0")
                        .replace("body", ""),
                );
            }
            let responses = join_all(clients.into_iter().map(Client::read_to_close)).await;
            // Keys are refused while it is not known whether they were withdrawn.
            check_statuses(&responses, &[200, 503]);
        }
    });
}

/// Guards against a connection that is closed by the limit of the active configuration although a raise, which
/// was superseded before the instance read it, still holds for clients.
#[test]
fn a_raise_that_was_never_read_applies_while_clients_may_know_it() {
    run(async {
        let idle_limits = |idle_ms: u64| {
            json!({ "max_header_bytes": 16384, "max_body_bytes": 1_000,
                "header_timeout_ms": 300, "idle_timeout_ms": idle_ms })
        };
        let deployment = Deployment::new();
        deployment.put_limits(6, idle_limits(15_000));
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        let address = instance.process.client_address;
        let clients = join_all((0..4).map(|_| Client::connect_kept(address))).await;
        // The wait is over 15.3 s after the responses, and clients learn of a change within 2 s.
        compio::time::sleep(Duration::from_millis(15_000)).await;
        deployment.put_limits(7, idle_limits(40_000));
        deployment.put_limits(8, idle_limits(15_000));
        compio::time::sleep(Duration::from_millis(1_700)).await;
        for client in &clients {
            let request = last_request("late").replace("length: 4", "length: 0");
            client.write(&request.replace("body", ""));
        }
        let responses = join_all(clients.into_iter().map(Client::read_to_close)).await;
        check_statuses(&responses, &[200]);
    });
}

/// Guards against a connection that is closed while a request has arrived in time and is not read yet,
/// because the process was stalled.
#[test]
fn a_stalled_instance_reads_requests_before_it_closes_their_connections() {
    run(async {
        let idle = Duration::from_secs(15);
        let deployment = Deployment::new();
        let limits =
            json!({ "header_timeout_ms": 300, "idle_timeout_ms": idle.as_millis() as u64 });
        deployment.put_limits(6, limits);
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        let address = instance.process.client_address;
        let clients = join_all((0..8).map(|_| Client::connect_kept(address))).await;
        compio::time::sleep(idle * 4 / 5).await;
        instance.process.pause();
        for client in &clients {
            client.write(&last_request("stalled"));
        }
        compio::time::sleep(idle / 3).await;
        instance.process.resume();
        let responses = join_all(clients.into_iter().map(Client::read_to_close)).await;
        // Keys are refused until the configuration is proved again.
        check_statuses(&responses, &[200, 503]);
    });
}

/// Guards against a head that is cut by a time which is not the one that its client has to keep to.
#[test]
fn the_time_for_a_head_is_the_longer_one_of_its_begin_and_end() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let address = instance.process.client_address;
        let mut version = 10;
        for (before_ms, after_ms) in [(1_500, 6_000), (6_000, 300)] {
            let limits = |header_ms: u64, max_body_bytes: u64| {
                json!({ "max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                    "header_timeout_ms": header_ms, "idle_timeout_ms": 1_000 })
            };
            deployment.put_limits(version, limits(before_ms, 1_000));
            wait_body_status(&instance, 200).await;
            let clients = join_all((0..4).map(|_| Client::connect_kept(address))).await;
            let last = last_request("slow");
            let last = last.replace("length: 4", "length: 0").replace("body", "");
            clients
                .iter()
                .for_each(|client| client.write(split_head(&last).0));
            deployment.put_limits(version + 1, limits(after_ms, 2));
            wait_body_status(&instance, 413).await;
            compio::time::sleep(Duration::from_millis(2_500)).await;
            clients
                .iter()
                .for_each(|client| client.write(split_head(&last).1));
            let responses = join_all(clients.into_iter().map(Client::read_to_close)).await;
            check_statuses(&responses, &[200]);
            version += 2;
        }
    });
}

/// Guards against a head that holds its connection for as long as the connection may be idle.
#[test]
fn a_head_that_never_ends_is_cut_after_the_time_for_a_head() {
    run(async {
        let deployment = Deployment::new();
        let limits = json!({ "header_timeout_ms": 300, "idle_timeout_ms": 600_000 });
        deployment.put_limits(6, limits);
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        let address = instance.process.client_address;
        let kept = Client::connect_kept(address).await;
        kept.write("GET /read/x HTTP/1.1\r\n");
        let fresh = Client::connect(address);
        fresh.write(split_head(&last_request("endless")).0);
        let closed = join_all([kept, fresh].map(Client::read_to_close));
        let closed = compio::time::timeout(Duration::from_secs(12), closed).await;
        assert!(closed.is_ok(), "the connections are still open");
    });
}

/// Guards against a head that is refused for a limit which has been raised since its connection was
/// opened, and against one beyond the limit that is passed on.
#[test]
fn the_size_of_a_head_is_checked_against_the_active_configuration() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let address = instance.process.client_address;
        let limits = |max_header_bytes: u64, max_body_bytes: u64| {
            json!({ "max_header_bytes": max_header_bytes, "max_body_bytes": max_body_bytes,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 })
        };
        let clients = join_all((0..4).map(|_| Client::connect_kept(address))).await;
        let padded = |bytes: usize| {
            let padding = format!("\r\nx-padding: {}\r\n", "x".repeat(bytes));
            last_request("large").replacen("\r\n", &padding, 1)
        };
        deployment.put_limits(6, limits(8_192, 2));
        wait_body_status(&instance, 413).await;
        let refused = Client::connect(address);
        refused.write(&padded(20_000));
        check_statuses(&[refused.read_to_close().await], &[431]);
        deployment.put_limits(7, limits(64_000, 1_000));
        wait_body_status(&instance, 200).await;
        clients
            .iter()
            .for_each(|client| client.write(&padded(50_000)));
        let responses = join_all(clients.into_iter().map(Client::read_to_close)).await;
        check_statuses(&responses, &[200]);
    });
}

/// Size of a body that arrives slowly.
const BODY_BYTES: usize = 400_000;

/// Number of parts in which it is sent, and the pause after each.
const PARTS: usize = 20;
const PART_PAUSE: Duration = Duration::from_millis(90);

/// How a client sends its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sending {
    /// Reads the response once the whole body is sent.
    Whole,
    /// Sends the second half only after it has received the response.
    AfterResponse,
}

/// A client that sends a request with a slow body.
struct SlowClient {
    socket: TcpStream,
    is_chunked: bool,
}

impl SlowClient {
    fn begin(address: SocketAddr, path: &str, key: &str, is_chunked: bool) -> Self {
        let socket = TcpStream::connect(address).unwrap();
        let framing = match is_chunked {
            true => "transfer-encoding: chunked".to_owned(),
            false => format!("content-length: {BODY_BYTES}"),
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: slow\r\n\
             jujubelink-deadline-ms: 8000\r\nauthorization: Bearer {key}\r\n{framing}\r\n\r\n"
        );
        (&socket).write_all(head.as_bytes()).unwrap();
        Self { socket, is_chunked }
    }

    async fn send_parts(&self, count: usize) -> io::Result<()> {
        let part = "x".repeat(BODY_BYTES / PARTS);
        for _ in 0..count {
            if self.is_chunked {
                (&self.socket).write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes())?;
            } else {
                (&self.socket).write_all(part.as_bytes())?;
            }
            compio::time::sleep(PART_PAUSE).await;
        }
        Ok(())
    }

    fn end_body(&self) -> io::Result<()> {
        match self.is_chunked {
            true => (&self.socket).write_all(b"0\r\n\r\n"),
            false => Ok(()),
        }
    }

    /// Reads a response that has a length, and returns its status; 0 if there is none.
    async fn read_response(&self) -> u16 {
        let mut stream = Stream::new(self.socket.try_clone().unwrap()).unwrap();
        let mut received = String::new();
        let is_whole = |received: &str| {
            let (head, body) = received.split_once("\r\n\r\n")?;
            let length = head.split_once("content-length: ")?.1;
            let length = length.split("\r\n").next()?.parse::<usize>().ok()?;
            (body.len() >= length).then_some(())
        };
        while is_whole(&received).is_none() {
            let mut chunk = [0; 1024];
            match stream.read(&mut chunk).await {
                Ok(count @ 1..) => received += std::str::from_utf8(&chunk[..count]).unwrap(),
                _ => return 0,
            }
        }
        self.socket.set_nonblocking(false).unwrap();
        received.split(' ').nth(1).unwrap().parse().unwrap()
    }

    /// Sends the request, and a second one on the same connection. Returns both statuses.
    async fn run(self, sending: Sending) -> Result<(u16, u16), String> {
        let failed = |error: io::Error| format!("cannot send the body: {error}");
        self.send_parts(PARTS / 2).await.map_err(failed)?;
        let mut status = None;
        if sending == Sending::AfterResponse {
            status = Some(self.read_response().await);
        }
        self.send_parts(PARTS - PARTS / 2).await.map_err(failed)?;
        self.end_body().map_err(failed)?;
        let status = match status {
            Some(status) => status,
            None => self.read_response().await,
        };
        let next = request("next", "/read/x", 3_000);
        (&self.socket).write_all(next.as_bytes()).map_err(failed)?;
        Ok((status, self.read_response().await))
    }
}

/// Guards against a connection that is reset while its client still sends the body of a request that
/// was refused, and against a refusal that is held back until the body has arrived.
#[test]
fn refusals_are_sent_at_once_and_the_rest_of_the_body_is_read() {
    run(async {
        let deployment = Deployment::new();
        let limits = json!({ "max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 300, "idle_timeout_ms": 1_000 });
        deployment.put_limits(6, limits);
        let instance = deployment.start("n1", "").await;
        instance.wait_ready().await;
        let without_configuration = deployment
            .start_with_store("n2", "", StoreMode::Refusing)
            .await;
        let (ready, new) = (
            instance.process.client_address,
            without_configuration.process.client_address,
        );
        let rows = [
            ("no such route", ready, "/none/x", KEY, false, 404),
            ("unknown key", ready, "/pay/x", "unknown", false, 401),
            ("too large", ready, "/pay/x", KEY, false, 413),
            ("too large, in chunks", ready, "/pay/x", KEY, true, 413),
            ("no configuration", new, "/pay/x", KEY, false, 503),
        ];
        let clients = rows
            .iter()
            .flat_map(|(what, address, path, key, is_chunked, status)| {
                [Sending::Whole, Sending::AfterResponse].map(|sending| async move {
                    let client = SlowClient::begin(*address, path, key, *is_chunked);
                    let result = client.run(sending).await;
                    let is_expected = matches!(result, Ok((first, 200 | 503)) if first == *status);
                    (!is_expected).then(|| format!("{what}, {sending:?}: {result:?}"))
                })
            });
        let failures: Vec<_> = join_all(clients).await.into_iter().flatten().collect();
        assert!(
            failures.is_empty(),
            "{} of {}: {failures:#?}",
            failures.len(),
            2 * rows.len()
        );
    });
}

/// Guards against a route that is dropped while a slow body arrives, so that the connection is reset.
#[test]
fn a_route_that_is_dropped_while_a_body_arrives_resets_no_connection() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let address = instance.process.client_address;
        let clients = join_all((0..4).map(|_| async {
            let client = SlowClient::begin(address, "/pay/x", KEY, false);
            client.send_parts(PARTS / 2).await.unwrap();
            client
        }))
        .await;
        let mut config = Deployment::configuration(6, &[KEY], &[]);
        config["routes"].as_array_mut().unwrap().remove(1);
        deployment.store.put("config", "main", config);
        wait_body_status(&instance, 404).await;
        let statuses = join_all(clients.into_iter().map(|client| async move {
            client
                .send_parts(PARTS - PARTS / 2)
                .await
                .map_err(|error| error.to_string())?;
            let first = client.read_response().await;
            let next = request("next", "/read/x", 3_000);
            (&client.socket)
                .write_all(next.as_bytes())
                .map_err(|error| error.to_string())?;
            Ok::<_, String>((first, client.read_response().await))
        }))
        .await;
        for status in &statuses {
            assert!(matches!(status, Ok((200 | 404, 200))), "{statuses:?}");
        }
    });
}

/// Guards against a connection on which the next request is taken for the body of a refused one, because
/// its client waited for permission to send the body and did not get it.
#[test]
fn a_refusal_of_a_body_that_is_not_sent_announces_the_close() {
    run(async {
        let (_deployment, instance) = Deployment::start_ready("").await;
        let client = Client::connect(instance.process.client_address);
        client.write(&format!(
            "POST /none/x HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: waiting\r\n\
             jujubelink-deadline-ms: 500\r\nauthorization: Bearer {KEY}\r\n\
             expect: 100-continue\r\ncontent-length: 4\r\n\r\n"
        ));
        let response = client.read_to_close().await;
        assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
        assert!(response.contains("connection: close\r\n"), "{response}");
    });
}

/// Guards against a refused body without end that holds its connection.
#[test]
fn a_refused_body_that_never_ends_does_not_hold_its_connection() {
    run(async {
        let (_deployment, instance) = Deployment::start_ready("").await;
        let mut socket = TcpStream::connect(instance.process.client_address).unwrap();
        let head = format!(
            "POST /none/x HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: endless\r\n\
             jujubelink-deadline-ms: 500\r\nauthorization: Bearer {KEY}\r\n\
             transfer-encoding: chunked\r\n\r\n1\r\nx\r\n"
        );
        socket.write_all(head.as_bytes()).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let started = Instant::now();
        let mut response = Vec::new();
        let end = socket.read_to_end(&mut response);
        let response = String::from_utf8_lossy(&response).into_owned();
        assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
        let is_timeout = end.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        assert!(!is_timeout, "still open after {:?}", started.elapsed());
    });
}
