//! Streamed and unstreamed completions while engines and connections fail.

use std::rc::Rc;

use http_body_util::BodyExt;
use jujubelink::util::hash::sha256_hex;
use jujubelink::util::http::{Client, RequestOptions, full};
use jujubelink_standins::engine::{EngineFaults, generated_text};
use serde_json::{Value, json};

use crate::support::{
    Fleet, KEY, UnresponsivePort, canonical_chat_prompt, chat_body, chat_request, event_data,
    eventually, run, send, stream_text,
};

/// Sends a streamed chat request, applies `disrupt` to the engine that runs it, and checks that the
/// client's response has each token exactly once.
fn assert_complete_after(disrupt: impl Fn(&Fleet, usize)) {
    run(async {
        let fleet = Rc::new(Fleet::new(3));
        let instance = fleet.start_instance().await;
        let address = instance.client_address;
        let response = compio::runtime::spawn(async move {
            send(address, chat_request(), Some(chat_body("verse", 60, true))).await
        });
        let engine = fleet.running_engine(5).await;
        disrupt(&fleet, engine);
        let response = response.await.unwrap();
        let expected = generated_text(&canonical_chat_prompt("verse"), 60);
        assert_eq!(stream_text(&response), expected);
    });
}

/// Sends a streamed chat request to engines with a fault, and checks that the client's response has
/// each token exactly once.
fn assert_complete_with_fault(fault: impl Fn(&mut EngineFaults)) -> Rc<Fleet> {
    run(async {
        let fleet = Rc::new(Fleet::new(2));
        fleet
            .engines
            .iter()
            .for_each(|engine| engine.set_faults(&fault));
        let instance = fleet.start_instance().await;
        let body = Some(chat_body("verse", 30, true));
        let response = send(instance.client_address, chat_request(), body).await;
        let expected = generated_text(&canonical_chat_prompt("verse"), 30);
        assert_eq!(stream_text(&response), expected);
        fleet
    })
}

/// Guards against streams that are swapped or mixed when several run through two instances at once.
#[test]
fn concurrent_streams_through_two_instances_are_complete() {
    run(async {
        let fleet = Fleet::new(2);
        let instances = [fleet.start_instance().await, fleet.start_instance().await];
        let streams = (0..40).map(|number| {
            let address = instances[number % 2].client_address;
            async move {
                let prompt = format!("verse {number}");
                let response =
                    send(address, chat_request(), Some(chat_body(&prompt, 30, true))).await;
                let expected = generated_text(&canonical_chat_prompt(&prompt), 30);
                assert_eq!(stream_text(&response), expected);
            }
        });
        futures_util::future::join_all(streams).await;
    });
}

/// Guards against lost or duplicated tokens when an engine restarts in mid-stream and loses its state.
#[test]
fn continues_after_an_engine_crash() {
    assert_complete_after(|fleet, engine| fleet.engines[engine].crash());
}

/// Guards against lost or duplicated tokens when an engine's process ends in mid-stream.
#[test]
fn continues_after_the_loss_of_an_engine() {
    assert_complete_after(|fleet, engine| fleet.kill_engine(engine));
}

/// Guards against a second generation although only the connection failed and the engine still runs the
/// request.
#[test]
fn resumes_a_closed_connection_at_the_same_engine() {
    let fleet = assert_complete_with_fault(|faults| faults.cut_at = Some(6));
    let resumed: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.counts().resumed)
        .sum();
    assert_eq!((resumed, fleet.started_requests()), (1, 1));
}

/// Guards against a stream that hangs because its connection stays open and delivers nothing.
#[test]
fn resumes_a_silent_connection() {
    let fleet = assert_complete_with_fault(|faults| faults.silent_at = Some(6));
    assert_eq!(fleet.started_requests(), 1);
}

/// Guards against a missing token after an event of the engine was lost.
#[test]
fn repairs_a_missing_event() {
    assert_complete_with_fault(|faults| faults.skip_at = Some(6));
}

/// Guards against a duplicated token after an event of the engine arrived twice.
#[test]
fn drops_a_repeated_event() {
    assert_complete_with_fault(|faults| faults.repeat_at = Some(6));
}

/// Guards against an incomplete response when the connection fails and the engine cannot resume the
/// stream.
#[test]
fn continues_at_another_engine_if_the_stream_is_unknown() {
    run(async {
        let fleet = Fleet::new(3);
        for engine in &fleet.engines {
            engine.set_faults(|faults| faults.forgets_streams = true);
        }
        fleet.engines[0].set_faults(|faults| faults.cut_at = Some(6));
        let instance = fleet.start_instance().await;
        let streams = (0..6).map(|number| {
            let address = instance.client_address;
            async move {
                let prompt = format!("verse {number}");
                let response =
                    send(address, chat_request(), Some(chat_body(&prompt, 30, true))).await;
                let expected = generated_text(&canonical_chat_prompt(&prompt), 30);
                assert_eq!(stream_text(&response), expected);
            }
        });
        futures_util::future::join_all(streams).await;
    });
}

/// Guards against a response without streaming that fails when its engine crashes, and against usage
/// figures that count tokens generated before the crash as part of the prompt.
#[test]
fn responses_without_streaming_survive_a_crash() {
    run(async {
        let fleet = Rc::new(Fleet::new(2));
        let instance = fleet.start_instance().await;
        let address = instance.client_address;
        let response = compio::runtime::spawn(async move {
            send(address, chat_request(), Some(chat_body("verse", 60, false))).await
        });
        let engine = fleet.running_engine(5).await;
        fleet.engines[engine].crash();
        let response = response.await.unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
        let body: Value = serde_json::from_str(&response.body).unwrap();
        let choice = &body["choices"][0];
        let expected = generated_text(&canonical_chat_prompt("verse"), 60);
        assert_eq!(choice["message"]["content"], expected);
        assert_eq!(choice["message"]["role"], "assistant");
        assert_eq!(choice["finish_reason"], "length");
        assert_eq!(body["object"], "chat.completion");
        assert_eq!(body["usage"]["completion_tokens"], 60);
    });
}

/// Reads a streamed response to its end. Returns its text and whether it ended normally.
async fn read_stream(address: std::net::SocketAddr, tokens: u64) -> (String, bool) {
    let request = chat_request()
        .body(full(chat_body("verse", tokens, true)))
        .unwrap();
    let options = RequestOptions::default().with_new_connection();
    let response = Client::new().send(address, request, options).await.unwrap();
    let mut body = response.into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap()),
            Err(_) => return (text, false),
        }
    }
    (text, true)
}

fn last_error(text: &str) -> Value {
    let data = event_data(text);
    let last: Value = serde_json::from_str(data.last().unwrap()).unwrap();
    last["error"].clone()
}

/// Guards against a response that looks complete although no engine could finish it.
#[test]
fn a_stream_that_no_engine_can_continue_ends_with_an_error() {
    run(async {
        let fleet = Rc::new(Fleet::new(1));
        let instance = fleet.start_instance().await;
        let address = instance.client_address;
        let stream = compio::runtime::spawn(async move { read_stream(address, 60).await });
        let engine = fleet.running_engine(5).await;
        fleet.kill_engine(engine);
        let (text, is_complete) = stream.await.unwrap();
        assert!(!is_complete, "{text}");
        assert!(!text.contains("[DONE]"));
        let error = last_error(&text);
        assert_eq!(error["code"], "stream_broken", "{text}");
        assert_eq!(error["outcome"], "run");
    });
}

/// Guards against a response that belongs to another request. The engine returns a wrong request id, by
/// which the router has to recognize this.
#[test]
fn responses_to_other_requests_are_rejected() {
    run(async {
        let fleet = Fleet::new(2);
        fleet.engines[0].set_faults(|faults| faults.echoes_wrong_ids = true);
        let instance = fleet.start_instance().await;
        for number in 0..4 {
            let prompt = format!("verse {number}");
            let body = Some(chat_body(&prompt, 5, true));
            let response = send(instance.client_address, chat_request(), body).await;
            let expected = generated_text(&canonical_chat_prompt(&prompt), 5);
            assert_eq!(stream_text(&response), expected);
        }
        fleet.engines[1].set_faults(|faults| faults.echoes_wrong_ids = true);
        let body = Some(chat_body("verse", 5, true));
        let response = send(instance.client_address, chat_request(), body).await;
        assert!(response.status >= 500);
        assert!(
            response.body.contains("outcome_unknown"),
            "{}",
            response.body
        );
    });
}

/// Guards against a stream that continues after its client's key was withdrawn.
#[test]
fn a_withdrawn_key_ends_its_streams() {
    run(async {
        let fleet = Rc::new(Fleet::new(1));
        let instance = fleet.start_instance().await;
        let address = instance.client_address;
        let stream = compio::runtime::spawn(async move { read_stream(address, 2000).await });
        fleet.running_engine(5).await;
        fleet
            .update_config(|config| config["withdrawn_keys"] = json!([sha256_hex(KEY.as_bytes())]));
        let (text, is_complete) = stream.await.unwrap();
        assert!(!is_complete);
        assert_eq!(last_error(&text)["code"], "key_revoked");
        eventually("the engine cancels the request", || async {
            (fleet.engines[0].counts().cancelled == 1).then_some(())
        })
        .await;
        let response = send(address, chat_request(), Some(chat_body("verse", 5, true))).await;
        assert!(response.body.contains("key_revoked"), "{}", response.body);
    });
}

/// Guards against engines that continue to generate after the client has disconnected.
#[test]
fn a_disconnected_client_cancels_the_generation() {
    run(async {
        let fleet = Fleet::new(1);
        let instance = fleet.start_instance().await;
        let request = chat_request()
            .body(full(chat_body("verse", 2000, true)))
            .unwrap();
        let options = RequestOptions::default().with_new_connection();
        let client = Client::new();
        let response = client.send(instance.client_address, request, options).await;
        let mut body = response.unwrap().into_body();
        assert!(body.frame().await.unwrap().is_ok());
        drop(body);
        eventually("the engine cancels the request", || async {
            (fleet.engines[0].counts().cancelled == 1).then_some(())
        })
        .await;
        assert_eq!(fleet.engines[0].counts().completed, 0);
    });
}

/// Guards against a missed cache entry when two request bodies write the same prompt differently.
#[test]
fn equivalent_request_bodies_share_cached_blocks() {
    run(async {
        let fleet = Fleet::new(1);
        let instance = fleet.start_instance().await;
        let prompt = "x".repeat(9000);
        let first = chat_body(&prompt, 2, false);
        let second = format!(
            r#"{{"messages":[{{"content":"{prompt}","role":"user"}}],"temperature":0.5,
            "max_completion_tokens": 2, "model":"shop"}}"#
        );
        for body in [first, second] {
            let response = send(instance.client_address, chat_request(), Some(body)).await;
            assert_eq!(response.status, 200, "{}", response.body);
        }
        let counts = fleet.engines[0].counts();
        assert_eq!(counts.cached_tokens, 2000);
        let bodies = fleet.engines[0].seen_bodies();
        assert_eq!(bodies[1]["max_tokens"], 2);
    });
}

/// Guards against text completions that are handled as chat completions, and against a list of models
/// that is incomplete.
#[test]
fn text_completions_survive_a_crash() {
    run(async {
        let fleet = Rc::new(Fleet::new(2));
        let instance = fleet.start_instance().await;
        let address = instance.client_address;
        let with_key = |request: http::request::Builder| request.header("x-api-key", KEY);
        let models = send(address, with_key(http::Request::get("/v1/models")), None).await;
        let models: Value = serde_json::from_str(&models.body).unwrap();
        assert_eq!(models["data"][1]["id"], "shop");
        let body = json!({ "model": "shop", "prompt": "once", "max_tokens": 60 }).to_string();
        let request = with_key(http::Request::post("/v1/completions"));
        let response =
            compio::runtime::spawn(async move { send(address, request, Some(body)).await });
        let engine = fleet.running_engine(5).await;
        fleet.engines[engine].crash();
        let response = response.await.unwrap();
        let body: Value = serde_json::from_str(&response.body).unwrap();
        assert_eq!(body["choices"][0]["text"], generated_text("once", 60));
        assert_eq!(body["object"], "text_completion");
    });
}

/// Guards against a refusal, although an engine is free, of a request whose first engine accepts no
/// connection within the time for which its charge is valid.
#[test]
fn a_slow_connect_to_one_engine_costs_no_request() {
    run(async {
        let fleet = Fleet::new(1);
        let hole = UnresponsivePort::new();
        fleet.update_config(|config| {
            config["targets"]["hole"] = config["targets"]["e0"].clone();
            config["targets"]["hole"]["address"] = json!(hole.address());
        });
        let instance = fleet.start_instance().await;
        let requests = (0..8).map(|number| {
            let body = chat_body(&format!("verse {number}"), 5, true);
            send(instance.client_address, chat_request(), Some(body))
        });
        for response in futures_util::future::join_all(requests).await {
            assert_eq!(response.status, 200, "{}", response.body);
        }
    });
}
