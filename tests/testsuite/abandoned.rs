//! Log lines of requests that end without an answer, in deployments with their own configuration.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::{Value, json};
use socket2::SockRef;

use crate::support::{
    Fleet, Instance, KEY, LogFile, Reply, ScriptedTarget, chat_body, chat_request, eventually, run,
    send,
};

/// Time after which clients leave.
const PATIENCE: Duration = Duration::from_millis(600);

const RESET: &str = "the client reset its connection";

/// A client that resets its connection when it leaves: it may still read after a regular close.
struct Client(TcpStream);

impl Client {
    fn send(instance: &Instance, text: &str) -> Self {
        let stream = TcpStream::connect(instance.client_address).unwrap();
        (&stream).write_all(text.as_bytes()).unwrap();
        Self(stream)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = SockRef::from(&self.0).set_linger(Some(Duration::ZERO));
    }
}

fn request(id: &str, path: &str, key: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-request-id: {id}\r\nauthorization: Bearer {key}\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn chat(id: &str, key: &str, tokens: u64) -> String {
    let body = chat_body("verse", tokens, true);
    request(id, "/v1/chat/completions", key, &body)
}

async fn start(fleet: &Fleet) -> (Instance, LogFile) {
    start_with(fleet, "").await
}

async fn start_with(fleet: &Fleet, settings: &str) -> (Instance, LogFile) {
    let log = LogFile::new();
    let settings = format!("{settings}\n[log]\nlevel = \"info\"\n");
    let instance = fleet.start_instance_with(&settings, log.output()).await;
    (instance, log)
}

async fn line_of(log: &LogFile, message: &str, id: &str) -> Value {
    let is_line = |line: &Value| line["request"] == id;
    let line = log.wait_for(message, is_line).await;
    assert_eq!(line["level"], "INFO");
    line
}

/// Guards against a refusal of which the log at level info tells nothing.
#[test]
fn a_refusal_is_logged_with_its_reason() {
    run(async {
        let fleet = Fleet::new(1);
        let (instance, log) = start(&fleet).await;
        let refused = chat_request().header("x-request-id", "no-model");
        let body = chat_body("verse", 5, true).replace("shop", "none");
        let response = send(instance.client_address, refused, Some(body)).await;
        assert_eq!(response.status, 404);
        let line = line_of(&log, "request refused", "no-model").await;
        assert_eq!(line["code"], "unknown_model");
        assert_eq!(line["reason"], "no such model");
        assert_eq!(line["outcome"], "not_run");
        assert_eq!(line["awaited"], "the body");
        assert!(log.lines("request abandoned").is_empty());
    });
}

/// Guards against a request that ends within its body without a line, or with one on a refusal that has no
/// receiver.
#[test]
fn a_client_that_leaves_within_its_body_is_logged() {
    run(async {
        let fleet = Fleet::new(1);
        let (instance, log) = start(&fleet).await;
        let mut text = chat("short", KEY, 5);
        text.truncate(text.len() - 2);
        let client = Client::send(&instance, &text);
        compio::time::sleep(PATIENCE).await;
        drop(client);
        let line = line_of(&log, "request abandoned", "short").await;
        assert_eq!(line["reason"], RESET, "{line}");
        assert_eq!(line["awaited"], "the body", "{line}");
        assert!(log.lines("request refused").is_empty());
    });
}

/// Guards against a stream that ends without a line if its client leaves.
#[test]
fn a_client_that_leaves_within_a_stream_is_logged() {
    run(async {
        let fleet = Fleet::new(1);
        let (instance, log) = start(&fleet).await;
        let client = Client::send(&instance, &chat("stream", KEY, 2_000));
        compio::time::sleep(PATIENCE).await;
        drop(client);
        let line = line_of(&log, "request abandoned", "stream").await;
        let reasons = [RESET, "the connection failed on write"];
        assert!(
            reasons.contains(&line["reason"].as_str().unwrap()),
            "{line}"
        );
        let awaited = [
            "the rest of the response",
            "the client to read the response",
        ];
        assert!(
            awaited.contains(&line["awaited"].as_str().unwrap()),
            "{line}"
        );
    });
}

/// Guards against requests that are refused after a wait, and of whose wait the log tells nothing.
#[test]
fn a_refusal_names_what_the_request_waited_for() {
    run(async {
        let fleet = Fleet::new(1);
        fleet.update_config(|config| {
            config["targets"]["e0"]["max_running"] = json!(1);
            config["models"]["shop"]["first_token_deadline_ms"] = json!(1_500);
        });
        let (instance, log) = start(&fleet).await;
        fleet.engines[0].set_faults(|faults| faults.is_silent = true);
        fleet.services[0].set_faults(|faults| faults.is_silent = true);
        let mut text = chat("limit", "tiny", 3_900);
        let limited = [text.clone(), text.replace("limit", "limit2")];
        text = request("head", "/slow/x", KEY, "x");
        let queued = [
            chat("q1", KEY, 5),
            chat("q2", KEY, 5),
            chat("q3", KEY, 5),
            text,
        ];
        let all = limited.iter().chain(&queued);
        let _clients: Vec<_> = all.map(|text| Client::send(&instance, text)).collect();
        // The requests of a row may arrive in any order.
        let expected: [(&[&str], _, _, _); 3] = [
            (
                &["limit", "limit2"],
                1,
                "rate_limited",
                "the limit of the workspace",
            ),
            (&["q1", "q2", "q3"], 2, "overloaded", "a place in the queue"),
            (
                &["head"],
                1,
                "deadline_exceeded",
                "the head of the response",
            ),
        ];
        for (ids, count, code, awaited) in expected {
            let is_refused = |line: &Value| {
                let is_one = ids.iter().any(|id| line["request"] == *id);
                let is_info = line["level"] == "INFO";
                is_one && is_info && line["code"] == code && line["awaited"] == awaited
            };
            eventually("the requests are refused", || async {
                let lines = log.lines("request refused");
                let refused = lines.iter().filter(|line| is_refused(line)).count();
                (refused >= count).then_some(())
            })
            .await;
        }
    });
}

/// Guards against a response that a target broke off, and of which the log tells nothing.
#[test]
fn a_response_that_ends_early_is_logged() {
    run(async {
        let fleet = Fleet::new(0);
        let target = ScriptedTarget::start(|_| {
            Reply::closed("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nbegin")
        });
        fleet.update_config(|config| {
            config["targets"]["s0"]["address"] = json!(target.address());
        });
        let (instance, log) = start(&fleet).await;
        let _client = Client::send(&instance, &request("cut", "/open/x", KEY, "x"));
        let line = line_of(&log, "response ended early", "cut").await;
        assert_ne!(line["reason"], "", "{line}");
        assert!(log.lines("request abandoned").is_empty());
    });
}

/// Guards against a client that is said to have left although the end of a planned stop cut its response.
#[test]
fn a_response_that_the_stop_cuts_is_not_blamed_on_its_client() {
    run(async {
        let fleet = Fleet::new(1);
        let stop = "[stop]\nbalancer_notice_ms = 100\ndrain_limit_ms = 900\n";
        let (instance, log) = start_with(&fleet, stop).await;
        let _client = Client::send(&instance, &chat("cut", KEY, 2_000));
        compio::time::sleep(PATIENCE).await;
        instance.terminate();
        let line = line_of(&log, "request abandoned", "cut").await;
        assert_eq!(
            line["reason"], "the planned stop ended the process",
            "{line}"
        );
    });
}

/// Guards against complete answers that are logged as abandoned.
#[test]
fn answers_are_not_logged_as_abandoned() {
    run(async {
        let fleet = Fleet::new(1);
        let (instance, log) = start(&fleet).await;
        for is_stream in [true, false] {
            let body = Some(chat_body("verse", 5, is_stream));
            let response = send(instance.client_address, chat_request(), body).await;
            assert_eq!(response.status, 200, "{}", response.body);
        }
        for method in ["GET", "HEAD", "POST"] {
            let plain = http::Request::builder().method(method).uri("/open/x");
            let response = send(instance.client_address, plain, None).await;
            assert_eq!(response.status, 200, "{}", response.body);
        }
        // This line comes after those of the earlier requests.
        let unknown = http::Request::get("/none").header("x-request-id", "last");
        send(instance.client_address, unknown, None).await;
        let is_last = |line: &Value| line["request"] == "last";
        log.wait_for("request refused", is_last).await;
        assert!(log.lines("request abandoned").is_empty());
        assert!(log.lines("response ended early").is_empty());
    });
}
