//! Refused requests: their status, error code and whether the response states that nothing was run.

use http::Request;
use jujubelink_standins::StandInHandle;
use jujubelink_standins::platform::Platform;
use serde_json::Value;

use crate::support::{Fleet, Instance, KEY, chat_body, chat_request, run, send};

/// A request and the refusal that it has to get.
struct Case {
    name: &'static str,
    request: http::request::Builder,
    body: Option<String>,
    status: u16,
    code: &'static str,
}

fn case(
    name: &'static str,
    request: http::request::Builder,
    body: impl Into<String>,
    status: u16,
    code: &'static str,
) -> Case {
    let body = Some(body.into());
    Case {
        name,
        request,
        body,
        status,
        code,
    }
}

fn with_key(method: &str, path: &str, key: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("x-api-key", key)
}

fn invalid_request_cases() -> Vec<Case> {
    let invalid = |name, body: &str| case(name, chat_request(), body, 400, "invalid_request");
    vec![
        invalid("no JSON", "{"),
        invalid("no object", "[]"),
        invalid("no model", "{}"),
        invalid("model is a number", r#"{"model":1,"messages":[]}"#),
        invalid("no messages", r#"{"model":"shop"}"#),
        invalid("empty messages", r#"{"model":"shop","messages":[]}"#),
        invalid(
            "message without role",
            r#"{"model":"shop","messages":[{"content":"a"}]}"#,
        ),
        invalid(
            "negative allowance",
            r#"{"model":"shop","max_tokens":-1,"messages":[{"role":"user","content":"a"}]}"#,
        ),
        invalid(
            "too many choices",
            r#"{"model":"shop","n":1000000,"messages":[{"role":"user","content":"a"}]}"#,
        ),
        invalid(
            "stream is text",
            r#"{"model":"shop","stream":"yes","messages":[{"role":"user","content":"a"}]}"#,
        ),
        case(
            "unknown model",
            chat_request(),
            r#"{"model":"none","messages":[{"role":"user","content":"a"}]}"#,
            404,
            "unknown_model",
        ),
        case(
            "model without targets",
            chat_request(),
            r#"{"model":"empty","messages":[{"role":"user","content":"a"}]}"#,
            503,
            "no_target",
        ),
        case(
            "large body",
            chat_request(),
            "x".repeat(5 << 20),
            413,
            "request_too_large",
        ),
    ]
}

fn access_cases() -> Vec<Case> {
    let chat = || chat_body("verse", 5, true);
    let model = "/v1/chat/completions";
    vec![
        case("no key", Request::post(model), chat(), 401, "invalid_key"),
        case(
            "unknown key",
            with_key("POST", model, "x"),
            chat(),
            401,
            "invalid_key",
        ),
        case(
            "withdrawn key",
            with_key("POST", model, "old"),
            chat(),
            401,
            "key_revoked",
        ),
        case(
            "no key for a route",
            Request::post("/shop"),
            "",
            401,
            "invalid_key",
        ),
        case(
            "no key for the models",
            Request::get("/v1/models"),
            "",
            401,
            "invalid_key",
        ),
        case(
            "foreign route",
            with_key("POST", "/poets", KEY),
            "",
            403,
            "forbidden",
        ),
        case(
            "unknown route",
            with_key("GET", "/none", KEY),
            "",
            404,
            "unknown_route",
        ),
        case(
            "segment boundary",
            with_key("GET", "/shopping", KEY),
            "",
            404,
            "unknown_route",
        ),
        case(
            "dead target",
            with_key("POST", "/dead", KEY),
            "x",
            503,
            "no_target",
        ),
        case(
            "field without JSON bound",
            with_key("POST", "/forms", KEY),
            "x".repeat(2 << 20),
            413,
            "request_too_large",
        ),
    ]
}

/// Guards against refusals with a wrong code, and against a request that is reported as not run although
/// it was run.
#[test]
fn refused_requests_have_not_run() {
    run(async {
        let fleet = Fleet::new(1);
        let instance = fleet.start_instance().await;
        for case in invalid_request_cases().into_iter().chain(access_cases()) {
            let response = send(instance.client_address, case.request, case.body).await;
            assert_eq!(
                response.status, case.status,
                "{}: {}",
                case.name, response.body
            );
            let body: Value = serde_json::from_str(&response.body).expect(case.name);
            let error = &body["error"];
            assert_eq!(error["code"], case.code, "{}", case.name);
            assert_eq!(error["outcome"], "not_run", "{}", case.name);
            assert_eq!(
                error["request_id"],
                response.headers["x-request-id"].to_str().unwrap()
            );
        }
        assert_eq!((fleet.started_requests(), fleet.service_runs()), (0, 0));
    });
}

/// Guards against a request that is reported as possibly run although no engine accepted a connection.
#[test]
fn requests_without_a_reachable_engine_have_not_run() {
    run(async {
        let fleet = Fleet::new(2);
        fleet.kill_engine(0);
        fleet.kill_engine(1);
        let instance = fleet.start_instance().await;
        let body = Some(chat_body("verse", 5, true));
        let response = send(instance.client_address, chat_request(), body).await;
        assert_eq!(response.status, 503, "{}", response.body);
        assert!(
            response.body.contains(r#""outcome":"not_run""#),
            "{}",
            response.body
        );
    });
}

/// Guards against requests that are served or left without a response before an instance has a
/// configuration.
#[test]
fn an_instance_without_a_configuration_is_not_ready() {
    run(async {
        let platform = StandInHandle::start(Platform::new()).unwrap();
        let instance = Instance::start(platform.address(), &[]).await;
        let body = Some(chat_body("verse", 5, true));
        let response = send(instance.client_address, chat_request(), body).await;
        assert_eq!(response.status, 503);
        assert!(
            response.body.contains(r#""code":"not_ready""#),
            "{}",
            response.body
        );
        assert!(
            response.body.contains(r#""outcome":"not_run""#),
            "{}",
            response.body
        );
    });
}

/// Guards against request ids of clients that would corrupt a log line or a header.
#[test]
fn request_ids_are_accepted_only_if_well_formed() {
    run(async {
        let fleet = Fleet::new(1);
        let instance = fleet.start_instance().await;
        let long = "a".repeat(65);
        for (given, is_kept) in [("order-17.b_2", true), ("a b", false), (&long, false)] {
            let request = with_key("GET", "/shop/list", KEY).header("x-request-id", given);
            let response = send(instance.client_address, request, None).await;
            assert_eq!(response.status, 200, "{}", response.body);
            assert_eq!(
                response.headers["x-request-id"] == given,
                is_kept,
                "{given}"
            );
        }
    });
}

/// Guards against clients that set headers reserved for the router, and against client keys that are
/// forwarded to targets.
#[test]
fn reserved_headers_of_clients_do_not_reach_targets() {
    run(async {
        let fleet = Fleet::new(1);
        let instance = fleet.start_instance().await;
        let with_reserved_headers = |request: http::request::Builder| {
            request
                .header("x-workspace", "poets")
                .header("x-priority", "0")
                .header("x-attempt", "mine")
                .header("last-event-id", "3")
                .header("connection", "x-hop")
                .header("x-hop", "1")
        };
        let body = Some(chat_body("verse", 2, false));
        let response = send(
            instance.client_address,
            with_reserved_headers(chat_request()),
            body,
        )
        .await;
        assert_eq!(response.status, 200, "{}", response.body);
        let request = with_reserved_headers(with_key("POST", "/shop/orders", KEY));
        let response = send(instance.client_address, request, Some("x".to_owned())).await;
        assert_eq!(response.status, 200, "{}", response.body);
        let engine = fleet.engines[0].seen_headers().remove(0);
        let services = fleet.services.iter();
        let service = services
            .flat_map(|service| service.seen_headers())
            .next()
            .unwrap();
        assert_eq!(engine["authorization"], "Bearer engine-credential");
        assert_eq!(engine["x-priority"], "4");
        assert!(!service.contains_key("x-priority"));
        for headers in [engine, service] {
            assert_ne!(headers["x-workspace"], "poets");
            assert_ne!(headers["x-attempt"], "mine");
            assert!(!headers.contains_key("x-hop"));
            assert!(!headers.contains_key("last-event-id"));
            assert!(!headers.contains_key("x-api-key"));
            assert!(
                headers
                    .values()
                    .all(|value| !value.as_bytes().ends_with(KEY.as_bytes()))
            );
        }
    });
}

/// Guards against a workspace that uses more tokens than its limit, and against refusals without a time
/// after which to retry.
#[test]
fn a_workspace_over_its_rate_limit_is_refused_before_anything_runs() {
    run(async {
        let fleet = Fleet::new(1);
        // Set before the instance starts, so that no request is charged under the earlier, larger burst.
        fleet.update_config(|config| config["workspaces"]["small"]["burst_tokens"] = 1_000.into());
        let instance = fleet.start_instance().await;
        let send_chat = |tokens| {
            let request = with_key("POST", "/v1/chat/completions", "tiny");
            let body = chat_body("verse", tokens, false);
            send(instance.client_address, request, Some(body))
        };
        let response = send_chat(4_096).await;
        assert_eq!(response.status, 413, "{}", response.body);
        assert!(
            response.body.contains("request_too_large"),
            "{}",
            response.body
        );
        let mut refusal = None;
        for _ in 0..8 {
            let response = send_chat(300).await;
            if response.status != 200 {
                refusal = Some(response);
                break;
            }
        }
        let response = refusal.expect("a refusal within the burst of 1,000 tokens");
        assert_eq!(response.status, 429, "{}", response.body);
        let body: Value = serde_json::from_str(&response.body).unwrap();
        assert_eq!(body["error"]["code"], "rate_limited");
        assert_eq!(body["error"]["outcome"], "not_run");
        assert!(body["error"]["retry_after_ms"].as_u64().is_some());
        assert!(fleet.engines[0].counts().generated_tokens <= 1_000);
    });
}
