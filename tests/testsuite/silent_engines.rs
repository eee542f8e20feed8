//! Sound engines that are silent for about a second and go on, in the own deployment.

use std::rc::Rc;
use std::time::Duration;

use jujubelink_standins::engine::{EngineFaults, generated_text};
use serde_json::Value;

use crate::support::{
    Fleet, canonical_chat_prompt, chat_body, chat_request, eventually, run, send, stream_text,
};

const TOKENS: u64 = 60;

/// Event before which a connection is cut or a stream pauses.
const FAULT_AT: u64 = 40;

/// Which engines are silent.
#[derive(Debug, Clone, Copy)]
enum Silent {
    /// The one that runs the request.
    Running,
    All,
}

struct Case {
    engines: usize,
    silent: Silent,
    choices: u64,
    is_stream: bool,
    fault: fn(&mut EngineFaults, Duration),
}

impl Case {
    fn new(engines: usize, silent: Silent, fault: fn(&mut EngineFaults, Duration)) -> Self {
        Self {
            engines,
            silent,
            choices: 1,
            is_stream: true,
            fault,
        }
    }

    /// A response that only the same engine can go on with.
    fn with_two_choices(mut self) -> Self {
        self.choices = 2;
        self
    }

    fn without_streaming(mut self) -> Self {
        self.is_stream = false;
        self
    }

    async fn assert_complete(&self, pause: Duration) {
        let fleet = Rc::new(Fleet::new(self.engines));
        let instance = fleet.start_instance().await;
        let address = instance.client_address;
        let mut body: Value =
            serde_json::from_str(&chat_body("verse", TOKENS, self.is_stream)).unwrap();
        body["n"] = self.choices.into();
        let response = compio::runtime::spawn(async move {
            send(address, chat_request(), Some(body.to_string())).await
        });
        let running = fleet.running_engine(5).await;
        for (index, engine) in fleet.engines.iter().enumerate() {
            if index == running || matches!(self.silent, Silent::All) {
                engine.set_faults(|faults| (self.fault)(faults, pause));
            }
        }
        fleet.engines[running].set_faults(|faults| {
            if faults.pause_at.is_none() {
                faults.cut_at = Some(FAULT_AT);
            }
        });
        let response = response.await.unwrap();
        let expected = generated_text(&canonical_chat_prompt("verse"), TOKENS);
        if self.is_stream {
            assert_eq!(stream_text(&response), expected);
        } else {
            assert_eq!(response.status, 200, "{}", response.body);
            let body: Value = serde_json::from_str(&response.body).unwrap();
            assert_eq!(body["choices"][0]["message"]["content"], expected);
        }
    }
}

fn pause_heads(faults: &mut EngineFaults, pause: Duration) {
    faults.head_pause = pause;
}

fn pause_streams(faults: &mut EngineFaults, pause: Duration) {
    faults.pause_at = Some(FAULT_AT);
    faults.stream_pause = pause;
}

fn assert_all_complete(cases: &[Case]) {
    run(async {
        for pause_ms in [900, 1_400] {
            let pause = Duration::from_millis(pause_ms);
            let all = cases.iter().map(|case| case.assert_complete(pause));
            futures_util::future::join_all(all).await;
        }
    });
}

/// Guards against a response that is given up because its engine is silent while its stream is resumed,
/// and no other engine can go on with it.
#[test]
fn a_lost_connection_beside_a_silence_costs_no_response() {
    assert_all_complete(&[
        Case::new(1, Silent::All, pause_heads),
        Case::new(1, Silent::All, pause_heads).without_streaming(),
        Case::new(3, Silent::Running, pause_heads).with_two_choices(),
    ]);
}

/// Guards against a continuation that loses or repeats tokens while a silent engine is awaited beside it.
#[test]
fn a_continuation_beside_a_silent_engine_is_complete() {
    assert_all_complete(&[
        Case::new(3, Silent::Running, pause_heads),
        Case::new(3, Silent::All, pause_heads),
        Case::new(3, Silent::All, pause_heads).without_streaming(),
    ]);
}

/// Guards against a sound run that is cancelled although it goes on before another engine has started.
#[test]
fn a_run_that_goes_on_first_is_not_cancelled() {
    run(async {
        let fleet = Rc::new(Fleet::new(3));
        let instance = fleet.start_instance().await;
        let address = instance.client_address;
        let response = compio::runtime::spawn(async move {
            send(
                address,
                chat_request(),
                Some(chat_body("verse", TOKENS, true)),
            )
            .await
        });
        let running = fleet.running_engine(5).await;
        for (index, engine) in fleet.engines.iter().enumerate() {
            let pause_ms = if index == running { 1_400 } else { 3_000 };
            engine.set_faults(|faults| faults.head_pause = Duration::from_millis(pause_ms));
        }
        fleet.engines[running].set_faults(|faults| faults.cut_at = Some(FAULT_AT));
        let response = response.await.unwrap();
        let expected = generated_text(&canonical_chat_prompt("verse"), TOKENS);
        assert_eq!(stream_text(&response), expected);
        assert_eq!(fleet.started_requests(), 1);
    });
}

/// Guards against a run that is reported as ended while it goes on, so that its later crash ends the response.
#[test]
fn a_crash_after_a_silence_costs_no_response() {
    const MANY_TOKENS: u64 = 600;
    run(async {
        let fleet = Rc::new(Fleet::new(3));
        let instance = fleet.start_instance().await;
        let address = instance.client_address;
        let response = compio::runtime::spawn(async move {
            let body = chat_body("verse", MANY_TOKENS, true);
            send(address, chat_request(), Some(body)).await
        });
        let running = fleet.running_engine(5).await;
        for (index, engine) in fleet.engines.iter().enumerate() {
            let pause_ms = if index == running { 1_400 } else { 3_000 };
            engine.set_faults(|faults| faults.head_pause = Duration::from_millis(pause_ms));
        }
        fleet.engines[running].set_faults(|faults| faults.cut_at = Some(FAULT_AT));
        eventually("the run has gone on", || async {
            let tokens = fleet.engines[running].counts().generated_tokens;
            (tokens >= MANY_TOKENS - 80).then_some(())
        })
        .await;
        for engine in &fleet.engines {
            engine.set_faults(|faults| faults.head_pause = Duration::ZERO);
        }
        fleet.kill_engine(running);
        let expected = generated_text(&canonical_chat_prompt("verse"), MANY_TOKENS);
        assert_eq!(stream_text(&response.await.unwrap()), expected);
    });
}

/// Guards against a request that is given up because the engines are silent before its response begins.
#[test]
fn a_silence_before_the_head_costs_no_response() {
    run(async {
        let requests = [(1, 900, true), (1, 1_400, false), (3, 1_400, true)];
        let all = requests.map(|(engines, pause_ms, is_stream)| async move {
            let fleet = Fleet::new(engines);
            for engine in &fleet.engines {
                engine.set_faults(|faults| faults.head_pause = Duration::from_millis(pause_ms));
            }
            let instance = fleet.start_instance().await;
            let body = Some(chat_body("verse", TOKENS, is_stream));
            let response = send(instance.client_address, chat_request(), body).await;
            assert_eq!(response.status, 200, "{}", response.body);
            assert_eq!(fleet.started_requests(), 1);
        });
        futures_util::future::join_all(all).await;
    });
}

/// Guards against a stream that is broken off within a pause of its engine.
#[test]
fn a_pause_within_a_stream_costs_no_response() {
    assert_all_complete(&[
        Case::new(1, Silent::All, pause_streams),
        Case::new(3, Silent::All, pause_streams),
        Case::new(3, Silent::Running, pause_streams).with_two_choices(),
    ]);
}
