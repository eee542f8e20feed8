//! Connections that clients keep open beside changes of the limits.

use std::time::Duration;

use futures_util::future::join_all;
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
        deployment.put_limits(7, limits(100_000, 1_000));
        wait_body_status(&instance, 200).await;
        clients
            .iter()
            .for_each(|client| client.write(&padded(90_000)));
        let responses = join_all(clients.into_iter().map(Client::read_to_close)).await;
        check_statuses(&responses, &[200]);
    });
}
