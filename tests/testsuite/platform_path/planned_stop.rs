//! Planned stops, reloads and configuration changes while requests are in progress or half sent.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use futures_util::AsyncReadExt;
use futures_util::future::join_all;
use jujubelink::util::net::Stream;
use jujubelink_standins::fleet::TargetFault;

use super::{Deployment, KEY, RunningInstance, header};
use crate::support::{eventually, run};

/// Settings of a stop that ends 2.8 s after its begin.
const STOP: &str = "[stop]\nbalancer_notice_ms = 300\ndrain_limit_ms = 2500\n";

/// Time that a target takes for a request that it cannot finish before the end of the stop.
const TOO_LONG: Duration = Duration::from_millis(2_900);

/// Time after the close of the listener, when no new clients come.
const LATE: Duration = Duration::from_millis(1_000);

/// A connection of a client that sends its requests in parts.
pub(super) struct Client(TcpStream);

impl Client {
    pub(super) fn connect(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).unwrap())
    }

    /// Connects and gets one response, so that the connection is a kept one.
    pub(super) async fn connect_kept(address: SocketAddr) -> Self {
        let client = Self::connect(address);
        client.write(&request("kept", "/read/x", 3_000));
        let mut stream = Stream::new(client.0.try_clone().unwrap()).unwrap();
        let mut received = String::new();
        while !received.ends_with("GET /read/x body") {
            let mut chunk = [0; 1024];
            let count = stream.read(&mut chunk).await.unwrap();
            assert_ne!(count, 0, "closed after: {received}");
            received.push_str(std::str::from_utf8(&chunk[..count]).unwrap());
        }
        client
    }

    pub(super) fn write(&self, text: &str) {
        let _ = (&self.0).write_all(text.as_bytes());
    }

    /// Reads what has arrived.
    pub(super) fn read_available(self) -> String {
        self.0.set_nonblocking(true).unwrap();
        let mut received = Vec::new();
        let _ = std::io::Read::read_to_end(&mut &self.0, &mut received);
        String::from_utf8(received).unwrap()
    }

    /// Reads until the instance closes the connection.
    pub(super) async fn read_to_close(self) -> String {
        let mut stream = Stream::new(self.0).unwrap();
        let mut received = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            match stream.read(&mut chunk).await {
                Ok(count @ 1..) => received.extend_from_slice(&chunk[..count]),
                Ok(0) => break,
                Err(error) => {
                    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
                    break;
                }
            }
        }
        String::from_utf8(received).unwrap()
    }
}

/// Returns a request with a body of 4 bytes.
pub(super) fn request(id: &str, path: &str, deadline_ms: u64) -> String {
    let prompt = match path.starts_with("/ask/") || path.starts_with("/tell/") {
        true => {
            "jujubelink-model: m\r\njujubelink-token-count: 1200,50\r\n\
             jujubelink-prompt-prefix: a1:800,b2:400\r\n"
        }
        false => "",
    };
    let method = match path.starts_with("/read/") {
        true => "GET",
        false => "POST",
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\njujubelink-attempt-id: {id}\r\n\
         jujubelink-deadline-ms: {deadline_ms}\r\n{prompt}authorization: Bearer {KEY}\r\n\
         content-length: 4\r\n\r\nbody"
    )
}

/// Splits a request within its head.
pub(super) fn split_head(request: &str) -> (&str, &str) {
    request.split_at(request.len() / 2)
}

/// Splits a request within its body.
pub(super) fn split_body(request: &str) -> (&str, &str) {
    request.split_at(request.len() - 1)
}

/// Returns the status of a response, or 0 if the connection was closed without one.
fn status(response: &str) -> u16 {
    let status = response.split(' ').nth(1);
    status.map_or(0, |status| status.parse().unwrap())
}

/// Asserts that each response has one of the statuses.
pub(super) fn check_statuses(responses: &[String], allowed: &[u16]) {
    let statuses: Vec<_> = responses.iter().map(|response| status(response)).collect();
    let cut_count = statuses.iter().filter(|status| **status == 0).count();
    assert!(
        statuses.iter().all(|status| allowed.contains(status)),
        "{cut_count} of {} requests were cut: {statuses:?}",
        statuses.len()
    );
}

/// Asserts that the response refuses a request that was not run, and tells the client where to go.
fn check_not_run(response: &str) {
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("retry-after: 0.000\r\n"), "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert!(response.contains("\"not_run\""), "{response}");
}

impl Deployment {
    /// Adds a fault to the next requests of each kind of targets.
    pub(super) fn add_faults(&self, count: usize, fault: TargetFault) {
        for faults in [&self.service_faults, &self.engine_faults] {
            faults.borrow_mut().extend(vec![Some(fault); count]);
        }
    }

    /// Number of requests that have reached a target with this id.
    pub(super) fn arrivals(&self, id: &str) -> usize {
        let targets = self.services.iter().chain(&self.engines);
        let seen = targets.flat_map(|target| target.seen());
        seen.filter(|(headers, _)| header(headers, "jujubelink-attempt-id") == id)
            .count()
    }
}

impl RunningInstance {
    /// Begins a planned stop and waits until new connections are not accepted.
    async fn begin_stop(&self) {
        self.process.terminate();
        eventually("new connections are not accepted", || async {
            let limit = Duration::from_millis(20);
            TcpStream::connect_timeout(&self.process.client_address, limit).err()
        })
        .await;
    }

    async fn wait_stopped(&mut self) {
        let status = eventually("the instance stops", || {
            let status = self.process.exit_status();
            async move { status }
        })
        .await;
        assert!(status.success());
    }
}

/// Sends the first part of each request, begins a stop, and sends the rest late in the stop. Returns the
/// responses.
async fn finish_late(
    deployment: &Deployment,
    instance: &RunningInstance,
    requests: &[String],
    split: fn(&str) -> (&str, &str),
) -> Vec<String> {
    deployment.add_faults(requests.len(), TargetFault::Delay(TOO_LONG));
    let address = instance.process.client_address;
    let clients: Vec<_> = requests.iter().map(|_| Client::connect(address)).collect();
    for (client, request) in clients.iter().zip(requests) {
        client.write(split(request).0);
    }
    instance.begin_stop().await;
    compio::time::sleep(LATE).await;
    for (client, request) in clients.iter().zip(requests) {
        client.write(split(request).1);
    }
    join_all(clients.into_iter().map(Client::read_to_close)).await
}

/// Requests that may not be repeated, with more time than a late request has in a stop.
fn single_requests() -> Vec<String> {
    let paths = ["/pay/x", "/tell/x"];
    let requests = (0..20).map(|number| request("late", paths[number % 2], 3_900));
    requests.collect()
}

/// Guards against a request that is passed on so late in a stop that the stop cuts its response.
#[test]
fn a_stop_refuses_requests_whose_heads_arrive_too_late() {
    run(async {
        let (deployment, mut instance) = Deployment::start_ready(STOP).await;
        let requests = single_requests();
        let responses = finish_late(&deployment, &instance, &requests, split_head).await;
        check_statuses(&responses, &[503]);
        responses
            .iter()
            .for_each(|response| check_not_run(response));
        assert_eq!(deployment.arrivals("late"), 0);
        instance.wait_stopped().await;
    });
}

/// Guards against a request that is passed on after its body has arrived too late in a stop.
#[test]
fn a_stop_refuses_requests_whose_bodies_arrive_too_late() {
    run(async {
        let (deployment, mut instance) = Deployment::start_ready(STOP).await;
        let requests = single_requests();
        let responses = finish_late(&deployment, &instance, &requests, split_body).await;
        check_statuses(&responses, &[503]);
        responses
            .iter()
            .for_each(|response| check_not_run(response));
        assert_eq!(deployment.arrivals("late"), 0);
        instance.wait_stopped().await;
    });
}

/// Guards against a stop that keeps a client waiting for a refusal until its end.
#[test]
fn a_stop_answers_requests_whose_bodies_never_end() {
    run(async {
        let (_deployment, mut instance) = Deployment::start_ready(STOP).await;
        let clients: Vec<_> = single_requests()
            .iter()
            .map(|request| {
                let client = Client::connect(instance.process.client_address);
                client.write(split_body(request).0);
                client
            })
            .collect();
        instance.begin_stop().await;
        let responses = join_all(clients.into_iter().map(Client::read_to_close)).await;
        check_statuses(&responses, &[503]);
        instance.wait_stopped().await;
    });
}

/// Guards against refusing a late request that can be served before the stop ends.
#[test]
fn a_stop_serves_late_requests_that_end_in_time() {
    run(async {
        let (deployment, mut instance) = Deployment::start_ready(STOP).await;
        let address = instance.process.client_address;
        let requests: Vec<_> = ["/pay/x", "/read/x", "/tell/x", "/ask/x"]
            .iter()
            .map(|path| request("late", path, 500))
            .collect();
        let clients: Vec<_> = requests.iter().map(|_| Client::connect(address)).collect();
        for (client, request) in clients.iter().zip(&requests) {
            client.write(split_head(request).0);
        }
        instance.begin_stop().await;
        compio::time::sleep(LATE).await;
        for (client, request) in clients.iter().zip(&requests) {
            client.write(split_head(request).1);
        }
        let responses = join_all(clients.into_iter().map(Client::read_to_close)).await;
        check_statuses(&responses, &[200]);
        assert_eq!(deployment.arrivals("late"), requests.len());
        instance.wait_stopped().await;
    });
}

/// Guards against a connection that is closed without a response to a request that a target still runs
/// when the stop ends.
#[test]
fn a_stop_answers_requests_that_do_not_end_in_time() {
    run(async {
        let (deployment, mut instance) = Deployment::start_ready(STOP).await;
        deployment.add_faults(20, TargetFault::Hang);
        let paths = ["/pay/x", "/read/x", "/tell/x", "/ask/x"];
        let clients: Vec<_> = (0..20)
            .map(|number| {
                let client = Client::connect(instance.process.client_address);
                client.write(&request("early", paths[number % 4], 3_900));
                client
            })
            .collect();
        eventually("the requests have reached targets", || async {
            (deployment.arrivals("early") == 20).then_some(())
        })
        .await;
        instance.begin_stop().await;
        let responses = join_all(clients.into_iter().map(Client::read_to_close)).await;
        check_statuses(&responses, &[504]);
        instance.wait_stopped().await;
    });
}

/// Guards against a target that works on a request for longer than the stop lasts.
#[test]
fn deadlines_of_targets_end_with_the_stop() {
    run(async {
        let (deployment, mut instance) = Deployment::start_ready(STOP).await;
        let client = Client::connect_kept(instance.process.client_address).await;
        instance.begin_stop().await;
        client.write(&request("early", "/pay/x", 3_900));
        check_statuses(&[client.read_to_close().await], &[200]);
        let seen = deployment.services.iter().flat_map(|target| target.seen());
        let mut seen = seen.map(|(headers, _)| headers);
        let headers = seen.find(|headers| header(headers, "jujubelink-attempt-id") == "early");
        let deadline = header(&headers.unwrap(), "jujubelink-deadline-ms").to_owned();
        let deadline_ms: u64 = deadline.parse().unwrap();
        assert!((1_000..=2_500).contains(&deadline_ms), "{deadline_ms}");
        instance.wait_stopped().await;
    });
}

/// Guards against requests that are lost because the process is paused when SIGTERM and they arrive.
#[test]
fn a_stop_that_begins_in_a_pause_answers_all_requests() {
    run(async {
        let (_deployment, mut instance) = Deployment::start_ready(STOP).await;
        let address = instance.process.client_address;
        let kept = join_all((0..10).map(|_| Client::connect_kept(address))).await;
        instance.process.pause();
        instance.process.terminate();
        for client in &kept {
            client.write(&request("early", "/pay/x", 3_900));
        }
        let new: Vec<_> = (0..10)
            .map(|_| {
                let client = Client::connect(address);
                client.write(&request("early", "/tell/x", 3_900));
                client
            })
            .collect();
        compio::time::sleep(Duration::from_millis(1_000)).await;
        instance.process.resume();
        let clients = kept.into_iter().chain(new);
        let responses = join_all(clients.map(Client::read_to_close)).await;
        check_statuses(&responses, &[200]);
        instance.wait_stopped().await;
    });
}

/// Guards against closing a kept connection while its client sends the head of a request.
#[test]
fn a_stop_serves_requests_whose_heads_arrive_slowly_on_kept_connections() {
    run(async {
        let (_deployment, mut instance) = Deployment::start_ready(STOP).await;
        let address = instance.process.client_address;
        let requests = ["/pay/x", "/tell/x"].map(|path| request("slow", path, 500));
        let clients = join_all((0..10).map(|_| Client::connect_kept(address))).await;
        for (number, client) in clients.iter().enumerate() {
            client.write(split_head(&requests[number % 2]).0);
        }
        instance.begin_stop().await;
        // Longer than idle connections take requests after the listener has closed.
        compio::time::sleep(LATE).await;
        for (number, client) in clients.iter().enumerate() {
            client.write(split_head(&requests[number % 2]).1);
        }
        let responses = join_all(clients.into_iter().map(Client::read_to_close)).await;
        check_statuses(&responses, &[200]);
        instance.wait_stopped().await;
    });
}

/// Guards against a stop that lasts until its end because a client goes on sending a body that was refused.
#[test]
fn a_refused_body_without_end_does_not_prolong_a_stop() {
    run(async {
        let settings = "[stop]\nbalancer_notice_ms = 300\ndrain_limit_ms = 8000\n";
        let (_deployment, mut instance) = Deployment::start_ready(settings).await;
        let client = Client::connect(instance.process.client_address);
        let whole = request("endless", "/none/x", 20_000);
        let whole = whole.replace("content-length: 4", "transfer-encoding: chunked");
        let (head, _) = whole.split_once("\r\n\r\n").unwrap();
        client.write(&format!("{head}\r\n\r\n1\r\nx\r\n"));
        client.0.set_nonblocking(true).unwrap();
        eventually("the refusal is sent", || async {
            client.0.peek(&mut [0]).is_ok().then_some(())
        })
        .await;
        let started = Instant::now();
        instance.process.terminate();
        while instance.process.exit_status().is_none() {
            assert!(started.elapsed() < Duration::from_secs(6), "still running");
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}
