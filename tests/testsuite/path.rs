//! The path of a request from a client through an instance to an engine, and of its response back.

use std::time::Duration;

use http::Request;
use jujubelink::util::hash::sha256_hex;
use jujubelink_standins::StandInHandle;
use jujubelink_standins::engine::{Engine, EngineTimes, generated_text};
use jujubelink_standins::platform::Platform;
use serde_json::json;

use crate::support::{Instance, eventually, run, send};

/// Guards against a streamed response that arrives incomplete or out of order, and against a client key
/// that is forwarded to the target.
#[test]
fn streams_a_completion_without_forwarding_the_key() {
    run(async {
        let engine = Engine::new(EngineTimes {
            prefill: Duration::from_millis(2),
            per_token: Duration::from_millis(1),
        });
        let engine_handle = StandInHandle::start(engine.clone()).unwrap();
        let platform = Platform::new();
        let platform_handle = StandInHandle::start(platform.clone()).unwrap();
        platform.put(
            "config/current",
            json!({ "version": 1, "nonce": "n", "config": {
                "workspaces": { "clerks": { "rate_tokens_per_s": 100000, "burst_tokens": 100000 } },
                "keys": { sha256_hex(b"secret"): { "workspace": "clerks" } },
                "models": { "shop": { "weights_version": "1" } },
                "targets": { "e1": { "kind": "engine", "address": engine_handle.address(),
                    "failure_domain": "a", "models": ["shop"] } },
            } }),
        );
        let instance = Instance::start(platform_handle.address(), &[]).await;
        eventually("the instance is ready", || async {
            let response = send(instance.client_address, Request::get("/readyz"), None).await;
            (response.status == 200).then_some(())
        })
        .await;

        let body = json!({ "model": "shop", "stream": true, "max_tokens": 20,
            "messages": [{ "role": "user", "content": "regrind?" }] });
        let request = Request::post("/v1/chat/completions")
            .header("authorization", "Bearer secret")
            .header("content-type", "application/json");
        let response = send(instance.client_address, request, Some(body.to_string())).await;

        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(response.headers["content-type"], "text/event-stream");
        let text: String = response
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter(|data| *data != "[DONE]")
            .map(|data| {
                let chunk: serde_json::Value = serde_json::from_str(data).unwrap();
                chunk["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default()
                    .to_owned()
            })
            .collect();
        let expected = generated_text("<|user|>regrind?<|end|><|assistant|>", 20);
        assert_eq!(text, expected);
        assert!(response.body.contains("data: [DONE]"));
        let seen = &engine.seen_headers()[0];
        assert!(
            seen.values()
                .all(|value| !value.as_bytes().windows(6).any(|part| part == b"secret"))
        );
    });
}

/// Guards against a library that starts threads in the serving process, and against a planned stop
/// that does not complete or exits with a failure.
#[test]
fn serves_on_one_thread_and_stops_on_sigterm() {
    run(async {
        let platform = StandInHandle::start(Platform::new()).unwrap();
        let mut instance = Instance::start(platform.address(), &[]).await;
        let response = send(instance.client_address, Request::get("/healthz"), None).await;
        assert_eq!(response.status, 200);
        let threads = std::fs::read_dir(format!("/proc/{}/task", instance.pid())).unwrap();
        assert_eq!(threads.count(), 1);
        instance.terminate();
        let status = eventually("the instance stops", || {
            let status = instance.exit_status();
            async move { status }
        })
        .await;
        assert!(status.success());
    });
}
