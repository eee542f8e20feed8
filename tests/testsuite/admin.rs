//! Administration API: keys and roles, conditional changes, repeated requests, history and withdrawal of
//! client keys.

use std::rc::Rc;

use http::Request;
use jujubelink::ops::admin::{ENDPOINTS, EndpointMatch, match_path, openapi};
use jujubelink::ops::config_history::history_key;
use jujubelink::util::hash::sha256_hex;
use jujubelink_standins::StandInHandle;
use jujubelink_standins::platform::Platform;
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::support::{ADMIN_KEY, Instance, TestResponse, eventually, run, send};

/// One instance and the platform stand-in that stores its configuration.
struct Deployment {
    platform: Rc<Platform>,
    _platform_handle: StandInHandle,
    instance: Instance,
}

fn initial_config() -> Value {
    json!({
        "workspaces": { "clerks": { "rate_tokens_per_s": 10000, "burst_tokens": 100000 } },
        "keys": { sha256_hex(b"client key"): { "workspace": "clerks" } },
        "models": { "shop": { "weights_version": "1", "min_ready_targets": 0 } },
        "targets": { "e1": { "kind": "engine", "address": "127.0.0.1:1", "failure_domain": "a",
            "models": ["shop"], "credential": "target secret" } },
    })
}

impl Deployment {
    /// Starts an instance with version 1 of the configuration and waits until it is ready.
    async fn start() -> Self {
        let deployment = Self::start_empty().await;
        let stored =
            json!({ "version": 1, "nonce": "n", "author": "x", "config": initial_config() });
        deployment.platform.put("config/current", stored);
        eventually("the instance is ready", || async {
            let request = Request::get("/readyz");
            let response = send(deployment.instance.admin_address, request, None).await;
            (response.status == 200).then_some(())
        })
        .await;
        deployment
    }

    /// Starts an instance without a configuration.
    async fn start_empty() -> Self {
        let platform = Platform::new();
        let handle = StandInHandle::start(platform.clone()).unwrap();
        let instance = Instance::start(handle.address(), &[]).await;
        Self {
            platform,
            _platform_handle: handle,
            instance,
        }
    }

    async fn send_request(&self, method: &str, path: &str, body: Option<Value>) -> TestResponse {
        self.send_request_with_key(
            method,
            path,
            body,
            &format!("{:032x}", rand::random::<u128>()),
        )
        .await
    }

    async fn send_request_with_key(
        &self,
        method: &str,
        path: &str,
        body: Option<Value>,
        idempotency_key: &str,
    ) -> TestResponse {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {ADMIN_KEY}"))
            .header("idempotency-key", idempotency_key);
        let body = body.map(|body| body.to_string());
        send(self.instance.admin_address, request, body).await
    }

    fn stored_config(&self) -> Value {
        self.platform.get("config/current").unwrap()
    }
}

fn parse_json(response: &TestResponse) -> Value {
    serde_json::from_str(&response.body).unwrap_or_else(|_| panic!("not JSON: {}", response.body))
}

/// Guards against a published description that differs from the endpoints. Set `UPDATE_OPENAPI` to
/// rewrite the file.
#[test]
fn openapi_description_matches_the_endpoints() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/openapi.json");
    let text = format!("{:#}\n", openapi());
    if std::env::var_os("UPDATE_OPENAPI").is_some() {
        std::fs::write(path, &text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(path).unwrap(), text);
}

/// Guards against an endpoint without a handler or without a check of keys. Each one has to respond to
/// the administration key, refuse requests without a key or with a client's key, and refuse changes
/// without an idempotency key.
#[test]
fn every_endpoint_checks_keys_and_has_a_handler() {
    run(async {
        let deployment = Deployment::start().await;
        for endpoint in ENDPOINTS {
            let path = endpoint
                .path
                .replace("{name}", "x")
                .replace("{version}", "1");
            for key in [None, Some("client key")] {
                let mut request = Request::builder().method(endpoint.method).uri(&path);
                if let Some(key) = key {
                    request = request.header("authorization", format!("Bearer {key}"));
                }
                let response = send(deployment.instance.admin_address, request, None).await;
                let expected = if endpoint.role.is_some() { 401 } else { 200 };
                assert_eq!(response.status, expected, "{} {path}", endpoint.method);
            }
            let request = Request::builder()
                .method(endpoint.method)
                .uri(&path)
                .header("authorization", format!("Bearer {ADMIN_KEY}"));
            let response = send(deployment.instance.admin_address, request, None).await;
            let is_expected = match endpoint.is_change() {
                true => response.status == 400 && response.body.contains("idempotency-key"),
                false => response.status != 405 && !response.body.contains("no such path"),
            };
            assert!(is_expected, "{} {path}: {}", endpoint.method, response.body);
        }
        assert_eq!(deployment.stored_config()["version"], 1);
    });
}

/// Guards against an endpoint that changes something and allows the viewer's role.
#[test]
fn changes_require_the_operator_role() {
    use jujubelink::ops::settings::Role;
    assert!(Role::Viewer < Role::Operator && Role::Operator < Role::Admin);
    for endpoint in ENDPOINTS {
        let is_harmless = !endpoint.is_change();
        assert!(
            is_harmless || endpoint.role >= Some(Role::Operator),
            "{}",
            endpoint.path
        );
    }
}

/// Guards against lost updates when two operators change the configuration at the same time, and against
/// a conflict response without the current version.
#[test]
fn apply_fails_if_the_version_has_changed() {
    run(async {
        let deployment = Deployment::start().await;
        let mut next = initial_config();
        next["workspaces"]["clerks"]["weight"] = 3.into();
        let body = json!({ "config": next });
        let first = deployment.send_request("PUT", "/v1/config?if_version=1", Some(body.clone()));
        let first = first.await;
        assert_eq!(first.status, 200, "{}", first.body);
        assert_eq!(parse_json(&first)["version"], 2);
        next["workspaces"]["clerks"]["weight"] = 4.into();
        let second = deployment.send_request(
            "PUT",
            "/v1/config?if_version=1",
            Some(json!({ "config": next })),
        );
        let second = second.await;
        assert_eq!(second.status, 409);
        assert_eq!(parse_json(&second)["error"]["current_version"], 2);
        assert_eq!(
            deployment.stored_config()["config"]["workspaces"]["clerks"]["weight"],
            3
        );
        assert_eq!(deployment.stored_config()["author"], "tester");
        assert!(deployment.platform.get(&history_key(1)).is_some());
    });
}

/// Guards against a change that is made twice or reported as failed because the platform's response was
/// lost after the write took effect.
#[test]
fn a_lost_platform_response_is_resolved_by_reading_back() {
    run(async {
        let deployment = Deployment::start().await;
        deployment
            .platform
            .put(&history_key(1), deployment.stored_config());
        deployment
            .platform
            .set_faults(|faults| faults.lose_answers = 2);
        let body = json!({ "rate_tokens_per_s": 20000 });
        let response = deployment
            .send_request("PUT", "/v1/workspaces/clerks/rate", Some(body))
            .await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(parse_json(&response)["version"], 2);
        assert_eq!(deployment.stored_config()["version"], 2);
        let rate =
            &deployment.stored_config()["config"]["workspaces"]["clerks"]["rate_tokens_per_s"];
        assert_eq!(rate, 20000);
    });
}

/// Guards against a response that states that nothing was changed although the change may have been made,
/// or the reverse.
#[test]
fn an_outage_response_states_whether_the_change_was_made() {
    run(async {
        // There is no earlier version to write to the history, so the first write is the change itself.
        let deployment = Deployment::start_empty().await;
        let body = json!({ "config": initial_config() });
        let path = "/v1/config?if_version=0";
        deployment
            .platform
            .set_faults(|faults| faults.is_down = true);
        let response = deployment
            .send_request("PUT", path, Some(body.clone()))
            .await;
        assert_eq!(response.status, 503);
        assert!(
            response.body.contains("nothing was changed"),
            "{}",
            response.body
        );
        assert_eq!(deployment.platform.get("config/current"), None);

        deployment.platform.set_faults(|faults| {
            faults.is_down = false;
            faults.outage_at_write = Some("config/current".to_owned());
        });
        let response = deployment
            .send_request_with_key("PUT", path, Some(body.clone()), "outage-1")
            .await;
        assert_eq!(response.status, 504, "{}", response.body);
        assert!(response.body.contains("version 1"), "{}", response.body);

        deployment
            .platform
            .set_faults(|faults| faults.is_down = false);
        let response = deployment
            .send_request_with_key("PUT", path, Some(body), "outage-1")
            .await;
        assert_eq!(parse_json(&response)["version"], 1, "{}", response.body);
        assert_eq!(deployment.stored_config()["version"], 1);
    });
}

/// Guards against a repeated request that makes a second change, and against an idempotency key that is
/// accepted for a different request.
#[test]
fn a_repeated_change_has_one_effect() {
    run(async {
        let deployment = Deployment::start().await;
        let body = json!({ "workspace": "clerks", "note": "till" });
        let first = deployment
            .send_request_with_key("POST", "/v1/keys", Some(body.clone()), "repeat-1")
            .await;
        let repeated = deployment
            .send_request_with_key("POST", "/v1/keys", Some(body), "repeat-1")
            .await;
        let (first, repeated) = (parse_json(&first), parse_json(&repeated));
        assert_eq!(first["key_hash"], repeated["key_hash"]);
        assert_eq!(
            repeated["secret"],
            Value::Null,
            "a secret is returned only once"
        );
        assert_eq!(
            deployment.stored_config()["config"]["keys"]
                .as_object()
                .unwrap()
                .len(),
            2
        );
        let other = json!({ "workspace": "clerks", "note": "other" });
        let other = deployment
            .send_request_with_key("POST", "/v1/keys", Some(other), "repeat-1")
            .await;
        assert_eq!(other.status, 409);
    });
}

/// Guards against secrets in responses, the audit log and the configuration.
#[test]
fn secrets_are_never_returned() {
    run(async {
        let deployment = Deployment::start().await;
        let body = json!({ "workspace": "clerks" });
        let granted = parse_json(
            &deployment
                .send_request("POST", "/v1/keys", Some(body))
                .await,
        );
        let secret = granted["secret"].as_str().unwrap();
        assert_eq!(granted["key_hash"], sha256_hex(secret.as_bytes()));
        for path in [
            "/v1/config",
            "/v1/keys",
            "/v1/audit",
            "/v1/targets",
            "/v1/config/history/1",
        ] {
            let response = deployment.send_request("GET", path, None).await;
            assert_eq!(response.status, 200, "{path}");
            assert!(!response.body.contains(secret), "{path}");
            assert!(!response.body.contains("target secret"), "{path}");
        }
        // A configuration that was read with masked credentials can be applied again.
        let read = parse_json(&deployment.send_request("GET", "/v1/config", None).await);
        let path = format!("/v1/config?if_version={}", read["version"]);
        let mut config = read["config"].clone();
        config["workspaces"]["clerks"]["weight"] = 9.into();
        let response = deployment
            .send_request("PUT", &path, Some(json!({ "config": config })))
            .await;
        assert_eq!(response.status, 200, "{}", response.body);
        let credential = &deployment.stored_config()["config"]["targets"]["e1"]["credential"];
        assert_eq!(credential, "target secret");
    });
}

/// Guards against a withdrawal that takes effect only once the platform is reachable, and against one
/// that is not written to the configuration afterwards.
#[test]
fn a_key_can_be_withdrawn_while_the_platform_is_down() {
    run(async {
        let deployment = Deployment::start().await;
        deployment
            .platform
            .set_faults(|faults| faults.is_down = true);
        let hash = sha256_hex(b"client key");
        let path = format!("/v1/keys/{hash}");
        let response = deployment.send_request("DELETE", &path, None).await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(parse_json(&response)["is_in_configuration"], false);
        let request = Request::post("/v1/completions").header("authorization", "Bearer client key");
        let body = json!({ "model": "shop", "prompt": "p" }).to_string();
        let refused = send(deployment.instance.client_address, request, Some(body)).await;
        assert_eq!(refused.status, 401);
        assert!(refused.body.contains("key_revoked"), "{}", refused.body);
        deployment
            .platform
            .set_faults(|faults| faults.is_down = false);
        eventually("the withdrawal is in the configuration", || async {
            (deployment.stored_config()["config"]["withdrawn_keys"] == json!([hash])).then_some(())
        })
        .await;
        assert_eq!(deployment.stored_config()["config"]["keys"], json!({}));
    });
}

/// Guards against a rollback that makes a withdrawn key valid again, and against versions that are
/// missing from the history.
#[test]
fn rollback_is_a_new_version_and_keeps_withdrawals() {
    run(async {
        let deployment = Deployment::start().await;
        let hash = sha256_hex(b"client key");
        deployment
            .send_request("DELETE", &format!("/v1/keys/{hash}"), None)
            .await;
        let body = json!({ "rate_tokens_per_s": 20000 });
        deployment
            .send_request("PUT", "/v1/workspaces/clerks/rate", Some(body))
            .await;
        let body = json!({ "to_version": 1 });
        let response = deployment
            .send_request("POST", "/v1/config/rollback", Some(body))
            .await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(parse_json(&response)["version"], 4);
        let config = &deployment.stored_config()["config"];
        assert_eq!(config["workspaces"]["clerks"]["rate_tokens_per_s"], 10000);
        assert_eq!(config["keys"], json!({}));
        assert_eq!(config["withdrawn_keys"], json!([hash]));
        let history = parse_json(
            &deployment
                .send_request("GET", "/v1/config/history", None)
                .await,
        );
        let versions: Vec<u64> = history["versions"]
            .as_array()
            .unwrap()
            .iter()
            .map(|version| version["version"].as_u64().unwrap())
            .collect();
        assert_eq!(versions, [4, 3, 2, 1]);
    });
}

/// Guards against one odd object of the platform that hides the others of its list.
#[test]
fn an_odd_object_does_not_hide_others_of_its_list() {
    run(async {
        let deployment = Deployment::start().await;
        let stored =
            json!({ "version": 2, "nonce": "m", "author": "y", "config": initial_config() });
        deployment
            .platform
            .put(&history_key(1), deployment.stored_config());
        deployment.platform.put("config/current", stored);
        let mut odd = json!(1);
        for _ in 0..200 {
            odd = json!([odd]);
        }
        let odd_key = format!("{}-odd", history_key(1));
        deployment.platform.put(&odd_key, odd.clone());
        deployment.platform.put("sessions/odd", odd);
        deployment.platform.put("sessions/valid", json!({ "a": 1 }));
        eventually("the history contains both versions", || async {
            let response = deployment.send_request("GET", "/v1/config/history", None);
            let history = parse_json(&response.await);
            (history["versions"].as_array()?.len() == 2).then_some(())
        })
        .await;
        let response = deployment.send_request("GET", "/v1/leases", None).await;
        let leases = parse_json(&response);
        let mut leases = leases["leases"].as_array().expect("a list").iter();
        assert!(leases.any(|lease| lease["key"] == "sessions/valid"));
    });
}

/// Guards against leases that stay with a destroyed instance although an operator breaks its session, and
/// against a running instance that loses its leases because an operator named it by mistake.
#[test]
fn only_the_session_of_a_lost_instance_can_be_broken() {
    run(async {
        let deployment = Deployment::start().await;
        let key = "sessions/10.0.0.7:7400";
        let record = json!({ "incarnation": 7, "nonce": 1, "witnesses": [], "term_ms": 5_400_000,
            "state": "active" });
        deployment.platform.put(key, record);
        let break_session = async |instance: &str| {
            let body = json!({ "instance": instance });
            deployment
                .send_request("POST", "/v1/leases/break", Some(body))
                .await
        };
        let response = break_session("10.0.0.7:7400").await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(deployment.platform.get(key).unwrap()["state"], "fenced");
        assert_eq!(
            break_session("10.0.0.8:7400").await.status,
            422,
            "no session"
        );
        let local = deployment.instance.peer_address.to_string();
        assert_eq!(break_session(&local).await.status, 422, "alive");
    });
}

/// Guards against an invalid configuration that is applied, and against a change of the limit layout,
/// which has to stay as it is.
#[test]
fn invalid_configurations_are_rejected_with_findings() {
    run(async {
        let deployment = Deployment::start().await;
        let mut next = initial_config();
        next["limit_layout"] = json!({ "shards": 64, "slots": 9 });
        next["workspaces"]["clerks"]["burst_tokens"] = 1.into();
        let response = deployment.send_request(
            "PUT",
            "/v1/config?if_version=1",
            Some(json!({ "config": next })),
        );
        let response = response.await;
        assert_eq!(response.status, 422);
        let error = &parse_json(&response)["error"];
        let paths: Vec<&str> = error["findings"]
            .as_array()
            .unwrap()
            .iter()
            .filter(|finding| finding["severity"] == "error")
            .map(|finding| finding["path"].as_str().unwrap())
            .collect();
        assert_eq!(paths, ["limit_layout", "workspaces.clerks.burst_tokens"]);
        let response = deployment
            .send_request("DELETE", "/v1/workspaces/clerks", None)
            .await;
        assert_eq!(response.status, 422, "a key refers to the workspace");
        assert_eq!(deployment.stored_config()["version"], 1);
    });
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(512) })]

    /// Guards against panics on any path, in particular on percent escapes.
    #[test]
    fn any_path_is_matched_or_rejected(path in "(/[a-z0-9%{}.-]{0,8}){0,5}") {
        let method = http::Method::GET;
        if let EndpointMatch::Found(endpoint, parameter) = match_path(&method, &path) {
            prop_assert_eq!(endpoint.path.contains('{'), parameter.is_some());
        }
    }
}
