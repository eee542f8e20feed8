//! Numbers from clients, targets and the configuration that are far outside of what makes sense.

use super::*;
use crate::support::{Reply, ScriptedTarget, WAIT_TIMEOUT};

/// Guards against a prompt whose stated size keeps the process busy, or overflows.
#[test]
fn a_prompt_of_any_stated_size_does_not_stop_an_instance() {
    run(async {
        let (_deployment, instance) = Deployment::start_ready("").await;
        let largest = u64::MAX;
        for parts in [
            format!("a1:{},b2:400", largest - 1_000),
            format!("a1:{largest},b2:{largest},c3:{largest}"),
            "a1:99999999999999999999999,b2:-1,c3:1e400,d4:".to_owned(),
        ] {
            let response = instance.send_prompt_of_parts("r", "/ask/x", &parts);
            let response = compio::time::timeout(WAIT_TIMEOUT, response).await;
            let status = response.map(|response| response.status);
            assert_eq!(status.ok(), Some(200), "{parts}");
        }
        let request = http::Request::post("/ask/x")
            .header("host", "shop.example")
            .header("jujubelink-attempt-id", "largest")
            .header("jujubelink-model", "m")
            .header("jujubelink-token-count", format!("{largest},{largest}"))
            .header("authorization", format!("Bearer {KEY}"));
        let response = send_with_host(instance.process.client_address, request, "prompt").await;
        assert!(
            [200, 429, 503].contains(&response.status),
            "{}",
            response.status
        );
        assert!(instance.is_ready().await);
    });
}

/// Guards against numbers in responses that end the handling of a request or the process.
#[test]
fn any_number_in_a_response_leaves_requests_served() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let largest = u64::MAX;
        let engine = ScriptedTarget::start(move |request| {
            let body = expected_events(1..=5);
            Reply::kept(format!(
                "HTTP/1.1 200 OK\r\njujubelink-attempt-id: {}\r\njujubelink-server-stamp: s\r\n\
                 jujubelink-server-load: 4294967295,4294967295,4294967295\r\n\
                 jujubelink-weight-versions: {largest}\r\nkeep-alive: timeout={largest}\r\n\
                 content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{body}",
                request.id,
                body.len()
            ))
        });
        let service = ScriptedTarget::start(move |request| {
            let seconds = ["1e300", "inf", "NaN", "-1", "1e400"][request.index % 5];
            Reply::kept(format!(
                "HTTP/1.1 503 Service Unavailable\r\njujubelink-attempt-id: {}\r\n\
                 jujubelink-not-executed: 1\r\nretry-after: {seconds}\r\n\
                 jujubelink-server-load: 4294967295,1,0\r\ncontent-length: 0\r\n\r\n",
                request.id
            ))
        });
        deployment.put_target_at("e1", engine.address(), "ready", 2, 1);
        deployment.put_target("e2", "draining", 1);
        deployment.put_target_at("s1", service.address(), "ready", largest, 1);
        eventually("the engine gets requests", || async {
            let status = instance.send_prompt("r", "/ask/x").await.status;
            (status == 200 && !engine.received().is_empty()).then_some(())
        })
        .await;
        for _ in 0..10 {
            instance.send_prompt("r", "/ask/x").await;
            assert_eq!(
                instance.send_request("r", "GET", "/read/x").await.status,
                200
            );
        }
        assert!(!service.received().is_empty());
        deployment.put_target("e2", "ready", 2);
        deployment.put_target("e1", "draining", 2);
        eventually("the other engine gets requests", || async {
            let before = deployment.engines[1].runs();
            let status = instance.send_prompt("r", "/ask/x").await.status;
            (status == 200 && deployment.engines[1].runs() > before).then_some(())
        })
        .await;
    });
}

/// Guards against numbers in a configuration that end the process.
#[test]
fn any_number_in_a_configuration_leaves_requests_served() {
    run(async {
        let (deployment, instance) = Deployment::start_ready("").await;
        let service = json!({ "name": "kv", "kv_store_addr": "127.0.0.1:9", "link_mbps": 1e308 });
        deployment.put_configuration_with_services(6, &[KEY], &[service]);
        for (version, number) in [
            (7, json!(1e308)),
            (80, json!(-1e308)),
            (900, json!(u64::MAX)),
        ] {
            let mut config = deployment.store.spec("config", "main").unwrap();
            config["version"] = json!(version);
            let routes = config["routes"].as_array_mut().unwrap();
            // The last two keep their times, so that they still show which version is in force.
            for route in &mut routes[..2] {
                route["target_latency_ms"] = number.clone();
                route["gap_aim_ms"] = number.clone();
                route["traffic_split"] = json!([{ "service": "app", "weight": number }]);
                if number.as_f64() > Some(0.0) {
                    route["timeout_ms"] = number.clone();
                }
            }
            config["services"][1]["engine"]["kv_token_bytes"] = number.clone();
            for field in ["rate_per_s", "burst"] {
                config["tenants"][0][field] = number.clone();
            }
            config["tenants"][0]["plain_tokens"] = json!(u64::MAX);
            config["tenants"][0]["api_keys"] = json!(["another key"]);
            deployment.store.put("config", "main", config.clone());
            instance.wait_status("the configuration is used", 401).await;
            config["tenants"][0]["api_keys"] = json!([KEY]);
            config["version"] = json!(version + 1);
            deployment.store.put("config", "main", config);
            instance.wait_status("the configuration is used", 200).await;
            assert_eq!(instance.send_prompt("r", "/ask/x").await.status, 200);
        }
    });
}
