//! Administration API: keys and roles, conditional changes, repeats, history and withdrawal.

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

/// One instance with a platform that holds version 1 of a configuration.
struct Site {
    platform: Rc<Platform>,
    _platform_handle: StandInHandle,
    instance: Instance,
}

fn fleet() -> Value {
    json!({
        "workspaces": { "clerks": { "rate_tokens_per_s": 10000, "burst_tokens": 100000 } },
        "keys": { sha256_hex(b"client key"): { "workspace": "clerks" } },
        "models": { "shop": { "weights_version": "1", "min_ready_targets": 0 } },
        "targets": { "e1": { "kind": "engine", "address": "127.0.0.1:1", "failure_domain": "a",
            "models": ["shop"], "credential": "target secret" } },
    })
}

impl Site {
    async fn start() -> Self {
        let site = Self::start_empty().await;
        let stored = json!({ "version": 1, "nonce": "n", "author": "x", "config": fleet() });
        site.platform.put("config/current", stored);
        eventually("the instance is ready", || async {
            let request = Request::get("/readyz");
            let answer = send(site.instance.admin_address, request, None).await;
            (answer.status == 200).then_some(())
        })
        .await;
        site
    }

    /// A site without a configuration.
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

    async fn call(&self, method: &str, path: &str, body: Option<Value>) -> TestResponse {
        self.call_with_id(
            method,
            path,
            body,
            &format!("{:032x}", rand::random::<u128>()),
        )
        .await
    }

    async fn call_with_id(
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

    fn stored(&self) -> Value {
        self.platform.get("config/current").unwrap()
    }
}

fn json_of(answer: &TestResponse) -> Value {
    serde_json::from_str(&answer.body).unwrap_or_else(|_| panic!("not JSON: {}", answer.body))
}

/// Guards against a description that differs from the handlers. Set `UPDATE_OPENAPI` to write it.
#[test]
fn openapi_description_matches_the_endpoints() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/openapi.json");
    let text = format!("{:#}\n", openapi());
    if std::env::var_os("UPDATE_OPENAPI").is_some() {
        std::fs::write(path, &text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(path).unwrap(), text);
}

/// Guards against an endpoint without a handler or without a check of keys: each one answers to the
/// administration key, refuses requests without a key and with a client's key, and refuses changes
/// without an idempotency key.
#[test]
fn every_endpoint_is_guarded_and_handled() {
    run(async {
        let site = Site::start().await;
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
                let answer = send(site.instance.admin_address, request, None).await;
                let expected = if endpoint.role.is_some() { 401 } else { 200 };
                assert_eq!(answer.status, expected, "{} {path}", endpoint.method);
            }
            let request = Request::builder()
                .method(endpoint.method)
                .uri(&path)
                .header("authorization", format!("Bearer {ADMIN_KEY}"));
            let answer = send(site.instance.admin_address, request, None).await;
            let expected = match endpoint.is_change() {
                true => answer.status == 400 && answer.body.contains("idempotency-key"),
                false => answer.status != 405 && !answer.body.contains("no such path"),
            };
            assert!(expected, "{} {path}: {}", endpoint.method, answer.body);
        }
        assert_eq!(site.stored()["version"], 1);
    });
}

/// Guards against a role that allows more than it should.
#[test]
fn roles_limit_what_a_key_allows() {
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

/// Guards against lost updates when operators change the configuration at the same time, and
/// against a conflict that does not name the version found.
#[test]
fn apply_is_conditional_on_the_version_read() {
    run(async {
        let site = Site::start().await;
        let mut next = fleet();
        next["workspaces"]["clerks"]["weight"] = 3.into();
        let body = json!({ "config": next });
        let first = site.call("PUT", "/v1/config?if_version=1", Some(body.clone()));
        let first = first.await;
        assert_eq!(first.status, 200, "{}", first.body);
        assert_eq!(json_of(&first)["version"], 2);
        next["workspaces"]["clerks"]["weight"] = 4.into();
        let second = site.call(
            "PUT",
            "/v1/config?if_version=1",
            Some(json!({ "config": next })),
        );
        let second = second.await;
        assert_eq!(second.status, 409);
        assert_eq!(json_of(&second)["error"]["current_version"], 2);
        assert_eq!(site.stored()["config"]["workspaces"]["clerks"]["weight"], 3);
        assert_eq!(site.stored()["author"], "tester");
        assert!(site.platform.get(&history_key(1)).is_some());
    });
}

/// Guards against a change that is made twice or reported as failed when the platform's answer is
/// lost after the effect.
#[test]
fn a_lost_answer_of_the_platform_is_resolved_by_reading_back() {
    run(async {
        let site = Site::start().await;
        site.platform.put(&history_key(1), site.stored());
        site.platform.set_faults(|faults| faults.lose_answers = 2);
        let body = json!({ "rate_tokens_per_s": 20000 });
        let answer = site
            .call("PUT", "/v1/workspaces/clerks/rate", Some(body))
            .await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(json_of(&answer)["version"], 2);
        assert_eq!(site.stored()["version"], 2);
        let rate = &site.stored()["config"]["workspaces"]["clerks"]["rate_tokens_per_s"];
        assert_eq!(rate, 20000);
    });
}

/// Guards against an operator who is told that nothing changed when a change may have been made, or
/// the other way round.
#[test]
fn an_outage_is_reported_with_the_truth_about_the_change() {
    run(async {
        // Without an earlier version there is no archive to write: the first write is the change.
        let site = Site::start_empty().await;
        let body = json!({ "config": fleet() });
        let path = "/v1/config?if_version=0";
        site.platform.set_faults(|faults| faults.is_down = true);
        let answer = site.call("PUT", path, Some(body.clone())).await;
        assert_eq!(answer.status, 503);
        assert!(
            answer.body.contains("nothing was changed"),
            "{}",
            answer.body
        );
        assert_eq!(site.platform.get("config/current"), None);

        site.platform.set_faults(|faults| {
            faults.is_down = false;
            faults.lose_answers = 1;
        });
        let change = site.call_with_id("PUT", path, Some(body.clone()), "outage-1");
        let outage = async {
            eventually("the change is made", || async {
                site.platform.get("config/current").map(drop)
            })
            .await;
            site.platform.set_faults(|faults| faults.is_down = true);
        };
        let (answer, ()) = futures_util::join!(change, outage);
        assert_eq!(answer.status, 504, "{}", answer.body);
        assert!(answer.body.contains("version 1"), "{}", answer.body);

        site.platform.set_faults(|faults| faults.is_down = false);
        let answer = site.call_with_id("PUT", path, Some(body), "outage-1").await;
        assert_eq!(json_of(&answer)["version"], 1, "{}", answer.body);
        assert_eq!(site.stored()["version"], 1);
    });
}

/// Guards against a repeat that makes a second change, and against an idempotency key that answers
/// for a different request.
#[test]
fn a_repeated_change_has_one_effect() {
    run(async {
        let site = Site::start().await;
        let body = json!({ "workspace": "clerks", "note": "till" });
        let first = site
            .call_with_id("POST", "/v1/keys", Some(body.clone()), "repeat-1")
            .await;
        let again = site
            .call_with_id("POST", "/v1/keys", Some(body), "repeat-1")
            .await;
        let (first, again) = (json_of(&first), json_of(&again));
        assert_eq!(first["key_hash"], again["key_hash"]);
        assert_eq!(again["secret"], Value::Null, "a secret is shown once");
        assert_eq!(
            site.stored()["config"]["keys"].as_object().unwrap().len(),
            2
        );
        let other = json!({ "workspace": "clerks", "note": "other" });
        let other = site
            .call_with_id("POST", "/v1/keys", Some(other), "repeat-1")
            .await;
        assert_eq!(other.status, 409);
    });
}

/// Guards against secrets in answers, the audit log and the configuration.
#[test]
fn secrets_are_not_shown() {
    run(async {
        let site = Site::start().await;
        let body = json!({ "workspace": "clerks" });
        let granted = json_of(&site.call("POST", "/v1/keys", Some(body)).await);
        let secret = granted["secret"].as_str().unwrap();
        assert_eq!(granted["key_hash"], sha256_hex(secret.as_bytes()));
        for path in [
            "/v1/config",
            "/v1/keys",
            "/v1/audit",
            "/v1/targets",
            "/v1/config/history/1",
        ] {
            let answer = site.call("GET", path, None).await;
            assert_eq!(answer.status, 200, "{path}");
            assert!(!answer.body.contains(secret), "{path}");
            assert!(!answer.body.contains("target secret"), "{path}");
        }
        // A configuration that was read with masked credentials can be applied again.
        let read = json_of(&site.call("GET", "/v1/config", None).await);
        let path = format!("/v1/config?if_version={}", read["version"]);
        let mut config = read["config"].clone();
        config["workspaces"]["clerks"]["weight"] = 9.into();
        let answer = site
            .call("PUT", &path, Some(json!({ "config": config })))
            .await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        let credential = &site.stored()["config"]["targets"]["e1"]["credential"];
        assert_eq!(credential, "target secret");
    });
}

/// Guards against a withdrawal that waits for the platform, and against one that is forgotten when
/// the platform is back.
#[test]
fn a_key_is_withdrawn_while_the_platform_is_down() {
    run(async {
        let site = Site::start().await;
        site.platform.set_faults(|faults| faults.is_down = true);
        let hash = sha256_hex(b"client key");
        let path = format!("/v1/keys/{hash}");
        let answer = site.call("DELETE", &path, None).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(json_of(&answer)["is_in_configuration"], false);
        let request = Request::post("/v1/completions").header("authorization", "Bearer client key");
        let body = json!({ "model": "shop", "prompt": "p" }).to_string();
        let refused = send(site.instance.client_address, request, Some(body)).await;
        assert_eq!(refused.status, 401);
        assert!(refused.body.contains("key_revoked"), "{}", refused.body);
        site.platform.set_faults(|faults| faults.is_down = false);
        eventually("the withdrawal is in the configuration", || async {
            (site.stored()["config"]["withdrawn_keys"] == json!([hash])).then_some(())
        })
        .await;
        assert_eq!(site.stored()["config"]["keys"], json!({}));
    });
}

/// Guards against a rollback that revives a withdrawn key, and against history with holes.
#[test]
fn rollback_is_a_new_version_and_keeps_withdrawals() {
    run(async {
        let site = Site::start().await;
        let hash = sha256_hex(b"client key");
        site.call("DELETE", &format!("/v1/keys/{hash}"), None).await;
        let body = json!({ "rate_tokens_per_s": 20000 });
        site.call("PUT", "/v1/workspaces/clerks/rate", Some(body))
            .await;
        let body = json!({ "to_version": 1 });
        let answer = site.call("POST", "/v1/config/rollback", Some(body)).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(json_of(&answer)["version"], 4);
        let config = &site.stored()["config"];
        assert_eq!(config["workspaces"]["clerks"]["rate_tokens_per_s"], 10000);
        assert_eq!(config["keys"], json!({}));
        assert_eq!(config["withdrawn_keys"], json!([hash]));
        let history = json_of(&site.call("GET", "/v1/config/history", None).await);
        let versions: Vec<u64> = history["versions"]
            .as_array()
            .unwrap()
            .iter()
            .map(|version| version["version"].as_u64().unwrap())
            .collect();
        assert_eq!(versions, [4, 3, 2, 1]);
    });
}

/// Guards against leases that stay with a destroyed instance although an operator says so, and
/// against a running instance that loses its leases by a mistake.
#[test]
fn only_the_session_of_a_gone_instance_is_broken() {
    run(async {
        let site = Site::start().await;
        let key = "sessions/10.0.0.7:7400";
        let record = json!({ "incarnation": 7, "nonce": 1, "witnesses": [], "term_ms": 5_400_000,
            "state": "active" });
        site.platform.put(key, record);
        let call = async |instance: &str| {
            let body = json!({ "instance": instance });
            site.call("POST", "/v1/leases/break", Some(body)).await
        };
        let broken = call("10.0.0.7:7400").await;
        assert_eq!(broken.status, 200, "{}", broken.body);
        assert_eq!(site.platform.get(key).unwrap()["state"], "fenced");
        assert_eq!(call("10.0.0.8:7400").await.status, 422, "no session");
        let own = site.instance.peer_address.to_string();
        assert_eq!(call(&own).await.status, 422, "alive");
    });
}

/// Guards against a configuration in force that cannot be used, and against a layout of limits that
/// changes.
#[test]
fn unusable_configurations_are_rejected_with_findings() {
    run(async {
        let site = Site::start().await;
        let mut next = fleet();
        next["limit_layout"] = json!({ "shards": 64, "slots": 9 });
        next["workspaces"]["clerks"]["burst_tokens"] = 1.into();
        let answer = site.call(
            "PUT",
            "/v1/config?if_version=1",
            Some(json!({ "config": next })),
        );
        let answer = answer.await;
        assert_eq!(answer.status, 422);
        let error = &json_of(&answer)["error"];
        let paths: Vec<&str> = error["findings"]
            .as_array()
            .unwrap()
            .iter()
            .filter(|finding| finding["severity"] == "error")
            .map(|finding| finding["path"].as_str().unwrap())
            .collect();
        assert_eq!(paths, ["limit_layout", "workspaces.clerks.burst_tokens"]);
        let answer = site.call("DELETE", "/v1/workspaces/clerks", None).await;
        assert_eq!(answer.status, 422, "a key names the workspace");
        assert_eq!(site.stored()["version"], 1);
    });
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(512) })]

    /// Guards against panics on any path, in particular on percent escapes.
    #[test]
    fn any_path_is_matched_or_refused(path in "(/[a-z0-9%{}.-]{0,8}){0,5}") {
        let method = http::Method::GET;
        if let EndpointMatch::Found(endpoint, parameter) = match_path(&method, &path) {
            prop_assert_eq!(endpoint.path.contains('{'), parameter.is_some());
        }
    }
}
