//! Reloads of the settings and changes of the configuration while requests are in progress or half
//! sent.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use jujubelink::platform::names::{KIND_LEASES, ORDER_LEASE};
use jujubelink_standins::fleet::TargetFault;
use serde_json::{Value, json};

use super::planned_stop::{Client, check_statuses, request, split_body, split_head};
use super::{Deployment, KEY, RunningInstance};
use crate::support::{eventually, run};

/// Number of requests in each state.
const CLIENTS: usize = 8;

/// Requests that are in progress or half sent.
struct Requests {
    running: Vec<Client>,
    half_sent: Vec<(Client, String)>,
}

impl Requests {
    /// Starts requests. Those in progress may not be repeated, and run for `run_time`; the others are of
    /// all kinds.
    async fn start(
        deployment: &Deployment,
        instance: &RunningInstance,
        id: &str,
        run_time: Duration,
    ) -> Self {
        let address = instance.process.client_address;
        let paths = ["/pay/x", "/tell/x", "/read/x", "/ask/x"];
        let closing_request = |id: &str, path: &str| {
            let request = request(id, path, 3_900);
            request.replacen("\r\n", "\r\nconnection: close\r\n", 1)
        };
        let mut half_sent = Vec::new();
        for number in 0..CLIENTS {
            let request = closing_request("half", paths[number % 4]);
            let kept = Client::connect_kept(address).await;
            let states = [
                (Client::connect(address), split_head(&request)),
                (kept, split_head(&request)),
                (Client::connect(address), split_body(&request)),
            ];
            for (client, (first, rest)) in states {
                client.write(first);
                half_sent.push((client, rest.to_owned()));
            }
        }
        let faults = &deployment.service_faults;
        faults
            .borrow_mut()
            .extend([Some(TargetFault::Delay(run_time)); CLIENTS]);
        let running: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let client = Client::connect(address);
                client.write(&closing_request(id, "/pay/x"));
                client
            })
            .collect();
        eventually("the requests have reached targets", || async {
            (deployment.arrivals(id) == CLIENTS).then_some(())
        })
        .await;
        Self { running, half_sent }
    }

    /// Sends the rest of the requests, and checks that each gets a response: those in progress a success,
    /// the others one of the statuses.
    async fn finish(self, allowed: &[u16]) {
        for (client, rest) in &self.half_sent {
            client.write(rest);
        }
        let half_sent = self.half_sent.into_iter().map(|(client, _)| client);
        let half_sent = join_all(half_sent.map(Client::read_to_close)).await;
        let running = join_all(self.running.into_iter().map(Client::read_to_close)).await;
        check_statuses(&running, &[200]);
        check_statuses(&half_sent, allowed);
    }
}

/// A change of the configuration, and the status of a request that it affects.
type Change = (fn(&mut Value), u16);

const CHANGES: [Change; 6] = [
    (
        |config| {
            config["limits"] = json!({ "max_header_bytes": 1024, "max_body_bytes": 2,
                "header_timeout_ms": 300, "idle_timeout_ms": 500 });
        },
        413,
    ),
    (|config| config["routes"] = json!([]), 404),
    (
        |config| {
            for route in config["routes"].as_array_mut().unwrap() {
                route["service"] = json!("another");
            }
        },
        503,
    ),
    (
        |config| {
            for route in config["routes"].as_array_mut().unwrap() {
                route["timeout_ms"] = json!(1);
            }
        },
        504,
    ),
    (
        |config| config["tenants"][0]["api_keys"] = json!(["another key"]),
        401,
    ),
    (
        |config| {
            let tenant = &mut config["tenants"][0];
            (tenant["rate_per_s"], tenant["burst"]) = (json!(0.001), json!(20));
        },
        429,
    ),
];

/// Guards against a change of the configuration that closes connections whose client has a request in
/// progress or has sent a part of one.
#[test]
fn configuration_changes_cut_no_request() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        for (number, (change, status)) in CHANGES.into_iter().enumerate() {
            let id = format!("running{number}");
            let run_time = Duration::from_millis(1_500);
            let requests = Requests::start(&deployment, &instance, &id, run_time).await;
            let version = 10 + 2 * number as u64;
            let mut config = Deployment::configuration(version, &[KEY], &[]);
            change(&mut config);
            deployment.store.put("config", "main", config);
            eventually("the change is active", || async {
                let response = instance.send_request("probe", "POST", "/pay/x").await;
                (response.status == status).then_some(())
            })
            .await;
            // A request may have been admitted before the change, and a prompt may find no time in the
            // queue.
            requests.finish(&[200, 503, status]).await;
            deployment.put_configuration(version + 1, &[KEY]);
            eventually("the change is undone", || async {
                let response = instance.send_request("probe", "POST", "/pay/x").await;
                (response.status == 200).then_some(())
            })
            .await;
        }
    });
}

/// Guards against a reload of the settings, with or without a signal, that closes connections whose
/// client has a request in progress or has sent a part of one.
#[test]
fn reloads_of_the_settings_cut_no_request() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let strict = "is_revocation_strict = true\n";
        let changes = [
            (true, "revocation_ms = 4000\ncontact_ms = 2000\n"),
            (true, "revocation_ms = \"invalid\"\n"),
            (false, "resend_ratio = 0.1\nquota_window_s = 4\n"),
        ];
        for (number, (is_signalled, settings)) in changes.into_iter().enumerate() {
            let id = format!("running{number}");
            let run_time = Duration::from_millis(2_800);
            let requests = Requests::start(&deployment, &instance, &id, run_time).await;
            instance.process.change_settings(|text| {
                let (before, after) = text.split_once(strict).unwrap();
                let rest = after.split_once("[log]").unwrap().1;
                format!("{before}{strict}{settings}[log]{rest}")
            });
            if is_signalled {
                instance.process.reload();
            }
            // Longer than the interval at which the file is checked for changes.
            compio::time::sleep(Duration::from_millis(2_200)).await;
            // The queue may refuse prompts whose bodies come that late.
            requests.finish(&[200, 503]).await;
        }
    });
}

/// Guards against a reload that raises the pause between holders and does not reach the lease: its times
/// would stay those of the start.
#[test]
fn a_longer_pause_between_holders_applies_after_a_reload() {
    const PAUSE: Duration = Duration::from_millis(4_000);
    run(async {
        let settings = "holder_pause_ms = 100\nweights_ms = 60000";
        let (deployment, instance) = Deployment::start_ready(settings).await;
        instance.process.change_settings(|text| {
            text.replace("holder_pause_ms = 100", "holder_pause_ms = 4000")
        });
        instance.process.reload();
        compio::time::sleep(Duration::from_secs(1)).await;
        // A holder on another machine, which ends after its first renewal.
        let lease = json!({ "holder": "gone", "epoch": 1, "is_released": false, "nonce": 1 });
        deployment.store.put(KIND_LEASES, ORDER_LEASE, lease);
        deployment.announce_weights(4);
        let written = Instant::now();
        eventually("an engine has an order", || async {
            let mut orders = deployment.engines.iter().flat_map(|engine| engine.orders());
            orders.next()
        })
        .await;
        let waited = written.elapsed();
        assert!(waited > PAUSE, "{waited:?}");
    });
}
