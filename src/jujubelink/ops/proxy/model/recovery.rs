//! Retries of failed attempts and recovery of interrupted streams.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{Either, LocalBoxFuture, select};
use serde_json::json;

use super::call::{Endpoint, ModelCall};
use super::exchange::{Attempt, Exchange, first_token_timeout};
use super::refusals::attempt_refusal;
use crate::core::ids::{TargetId, Tokens};
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::ops::services::{AttemptOutcome, ModelRequest, RetryAdvice, SchedulerService};
use crate::ops::upstream::{AttemptError, EngineStream, StreamError};

/// Limit on resumptions of a stream at the same engine with no event in between.
pub(super) const MAX_CONSECUTIVE_RESUMES: u32 = 2;

/// Silence of an engine that was asked to resume a stream after which another target is asked for the rest
/// of the response. A sound engine may be silent for about as long.
const CONTINUATION_DELAY: Duration = Duration::from_secs(1);

/// Data of the final event.
const DONE: &[u8] = b"[DONE]";

/// Limit on the number of targets at which one request may fail.
const MAX_ATTEMPTS: usize = 8;

type Resumption = LocalBoxFuture<'static, Result<EngineStream, AttemptError>>;

/// A run whose engine is silent, and the state of the response with which it can go on.
pub(super) struct SilentRun {
    pub(super) attempt: Attempt,
    call: ModelCall,
    request: ModelRequest,
    text: String,
    earlier_tokens: Tokens,
    weights_version: Option<String>,
}

/// Which of two runs goes on with the response.
enum Raced {
    Resumed(EngineStream),
    Continued(Result<Option<Bytes>, Refusal>),
}

impl Exchange {
    /// Prepares the next attempt after one that failed before its first event, or refuses the
    /// request.
    pub(super) async fn prepare_retry(&mut self, error: AttemptError) -> Result<(), Refusal> {
        if error.may_have_run() {
            self.may_have_run = true;
            self.settle_in_full();
        }
        let (advice, attempt) = self.end_attempt(error.outcome());
        let Some(attempt) = attempt else {
            return Err(self.with_outcome(attempt_refusal(&error)));
        };
        let target = attempt.placement.target.clone();
        if matches!(
            error,
            AttemptError::TimedOut | AttemptError::WeightsMismatch | AttemptError::ResponseMismatch
        ) {
            self.cancel_at_engine(attempt);
        }
        if matches!(error, AttemptError::Rejected { .. }) {
            return Err(self.with_outcome(attempt_refusal(&error)));
        }
        let last_refusal = self.with_outcome(attempt_refusal(&error));
        self.apply_retry_advice(advice, target, last_refusal).await
    }

    /// Excludes the target and waits for the backoff, or returns `last_refusal` if no retry is
    /// allowed.
    async fn apply_retry_advice(
        &mut self,
        advice: RetryAdvice,
        target: TargetId,
        last_refusal: Refusal,
    ) -> Result<(), Refusal> {
        match advice {
            RetryAdvice::After { delay, is_suspect }
                if self.request.excluded.len() < MAX_ATTEMPTS =>
            {
                self.request.excluded.push(target);
                self.request.is_suspect |= is_suspect;
                self.proxy.context.metrics().count("retries", 1);
                self.proxy.context.timers().sleep(delay).await;
                Ok(())
            }
            RetryAdvice::Quarantined { retry_after } => {
                let message = "the request has crashed the targets that ran it";
                let refusal = self.refuse(RefusalCode::Quarantined, message);
                Err(refusal.with_retry_after(retry_after))
            }
            RetryAdvice::After { .. } | RetryAdvice::No => Err(last_refusal),
        }
    }

    /// Recovers from an interrupted stream. Returns data for the client if the response was already
    /// complete.
    pub(super) async fn recover(&mut self, error: StreamError) -> Result<Option<Bytes>, Refusal> {
        self.proxy.context.metrics().count("streams_broken", 1);
        if self.delivered.is_finished {
            self.complete();
            return Ok(Some(Bytes::from_static(DONE)));
        }
        let Some(mut resumption) = self.begin_resumption(error) else {
            return self
                .continue_on_other_target(error, outcome_of(error))
                .await;
        };
        let timers = *self.proxy.context.timers();
        let early = timers.timeout(CONTINUATION_DELAY, resumption.as_mut());
        let Some(result) = early.await else {
            return self.continue_beside(resumption, error).await;
        };
        let stream = self.attempt.as_ref().and_then(|it| it.stream.as_ref());
        match check_resumed(result, stream, error) {
            Ok(resumed_stream) => {
                if let Some(attempt) = self.attempt.as_mut() {
                    attempt.stream = Some(resumed_stream);
                }
                self.proxy.context.metrics().count("streams_resumed", 1);
                Ok(None)
            }
            Err(outcome) => self.continue_on_other_target(error, outcome).await,
        }
    }

    /// Asks the engine to resume the stream. Returns `None` if that cannot help.
    fn begin_resumption(&mut self, error: StreamError) -> Option<Resumption> {
        let attempt = self.attempt.as_ref()?;
        let next_sequence = attempt.stream.as_ref()?.next_sequence();
        if self.resumes_left == 0 || error == StreamError::EventTooLarge {
            return None;
        }
        self.resumes_left -= 1;
        let engines = self.proxy.engines.clone();
        let (target, tag) = (attempt.target.clone(), attempt.tag.clone());
        let resume = async move { engines.resume(&target, &tag, next_sequence).await };
        Some(resume.boxed_local())
    }

    /// Has another target generate the rest of the response after the run has failed.
    async fn continue_on_other_target(
        &mut self,
        error: StreamError,
        outcome: AttemptOutcome,
    ) -> Result<Option<Bytes>, Refusal> {
        let is_crash = outcome == AttemptOutcome::Crashed;
        let (advice, attempt) = self.give_up_run(outcome);
        let last_refusal = self.refuse(RefusalCode::StreamBroken, &error.to_string());
        let Some(attempt) = attempt else {
            return Err(last_refusal);
        };
        let target = attempt.placement.target.clone();
        if !is_crash {
            self.cancel_at_engine(attempt);
        }
        self.start_continuation(advice, target, last_refusal).await
    }

    /// Has another target generate the rest of the response while the silent engine is still awaited.
    /// The first one to start goes on with the response, and only then is the other one cancelled.
    async fn continue_beside(
        &mut self,
        mut resumption: Resumption,
        error: StreamError,
    ) -> Result<Option<Bytes>, Refusal> {
        let (call, request) = (self.call.clone(), self.request.clone());
        let text = self.delivered.text.clone();
        let weights_version = self.weights_version.clone();
        self.may_have_run = true;
        self.settle_in_full();
        let last_refusal = self.refuse(RefusalCode::StreamBroken, &error.to_string());
        let Some(attempt) = self.attempt.take() else {
            return Err(last_refusal);
        };
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        let advice = scheduler.hedge(&attempt.placement);
        let target = attempt.placement.target.clone();
        let incarnation = attempt.stream.as_ref().map(|stream| stream.incarnation);
        self.silent_run = Some(SilentRun {
            attempt,
            call,
            request,
            text,
            earlier_tokens: self.earlier_tokens,
            weights_version,
        });
        let raced = {
            let continuation = pin!(self.start_continuation(advice, target, last_refusal));
            match select(continuation, resumption.as_mut()).await {
                Either::Left((Ok(data), _)) => Raced::Continued(Ok(data)),
                Either::Left((Err(refusal), resumption)) => match resumption.await {
                    Ok(stream) if Some(stream.incarnation) == incarnation => Raced::Resumed(stream),
                    _ => Raced::Continued(Err(refusal)),
                },
                Either::Right((Ok(stream), _)) if Some(stream.incarnation) == incarnation => {
                    Raced::Resumed(stream)
                }
                Either::Right((_, continuation)) => Raced::Continued(continuation.await),
            }
        };
        match (raced, self.silent_run.take()) {
            (Raced::Resumed(stream), Some(run)) => {
                self.abandon_attempt();
                self.restore(run, stream);
                Ok(None)
            }
            (Raced::Continued(result), run) => {
                if let Some(run) = run {
                    self.end_silent_run(run, outcome_of(error));
                }
                result
            }
            (Raced::Resumed(_), None) => {
                Err(self.refuse(RefusalCode::StreamBroken, &error.to_string()))
            }
        }
    }

    /// Reports the end of a silent run and cancels it at its engine.
    pub(super) fn end_silent_run(&self, run: SilentRun, outcome: AttemptOutcome) {
        let scheduler = self.proxy.service::<dyn SchedulerService>();
        // The other run has taken the place of a retry.
        let _ = scheduler.report(&run.request, run.attempt.placement.clone(), outcome);
        self.cancel_at_engine(run.attempt);
    }

    /// Goes on with a run that was silent, whose charge is settled.
    fn restore(&mut self, run: SilentRun, stream: EngineStream) {
        self.call = run.call;
        self.request = run.request;
        self.delivered.text = run.text;
        self.earlier_tokens = run.earlier_tokens;
        self.weights_version = run.weights_version;
        let mut attempt = run.attempt;
        attempt.stream = Some(stream);
        self.attempt = Some(attempt);
        self.proxy.context.metrics().count("streams_resumed", 1);
    }

    /// Settles the charge of the run in full and reports its end.
    fn give_up_run(&mut self, outcome: AttemptOutcome) -> (RetryAdvice, Option<Attempt>) {
        self.may_have_run = true;
        self.settle_in_full();
        self.end_attempt(outcome)
    }

    /// Starts the rest of the response on another target than `target`.
    async fn start_continuation(
        &mut self,
        advice: RetryAdvice,
        target: TargetId,
        last_refusal: Refusal,
    ) -> Result<Option<Bytes>, Refusal> {
        if self.delivered.blocks_continuation {
            return Err(last_refusal);
        }
        self.apply_retry_advice(advice, target, last_refusal)
            .await?;
        if !self.prepare_continuation()? {
            self.complete();
            self.final_data = Some(Bytes::from_static(DONE));
            return Ok(Some(self.final_chunk()));
        }
        self.open().await.map_err(|refusal| Refusal {
            code: match refusal.code {
                RefusalCode::Quarantined | RefusalCode::KeyRevoked => refusal.code,
                _ => RefusalCode::StreamBroken,
            },
            ..refusal
        })?;
        self.proxy.context.metrics().count("streams_continued", 1);
        Ok(None)
    }

    /// Replaces the request by one for the rest of the response. Returns whether anything is left
    /// to generate.
    fn prepare_continuation(&mut self) -> Result<bool, Refusal> {
        let config = self.proxy.config()?;
        if self.delivered.tokens > 0 {
            let delivered_tokens = self.delivered.tokens - self.earlier_tokens;
            let delivered_text = self.delivered.text.split_off(0);
            let call = self.call.continuation(
                &config,
                &self.cache_namespace,
                &delivered_text,
                delivered_tokens,
            );
            let Some(call) = call else {
                return Ok(false);
            };
            self.call = call;
            self.earlier_tokens = self.delivered.tokens;
        } else {
            self.weights_version = None;
        }
        self.request.prompt = Rc::clone(&self.call.prompt);
        self.request.cost_tokens = self.call.cost_tokens();
        let now = self.proxy.context.timers().now();
        self.request.first_token_deadline = now + first_token_timeout(&config, &self.call);
        Ok(true)
    }

    /// Returns the chunk that ends a response whose token limit was reached.
    fn final_chunk(&self) -> Bytes {
        let choice = match self.call.endpoint {
            Endpoint::Chat => json!({ "index": 0, "delta": {}, "finish_reason": "length" }),
            Endpoint::Completion => json!({ "index": 0, "text": "", "finish_reason": "length" }),
        };
        let chunk = json!({ "model": self.call.model, "choices": [choice] });
        chunk.to_string().into()
    }

    /// Cancels the attempt at its engine, in the background.
    pub(super) fn cancel_at_engine(&self, attempt: Attempt) {
        let engines = self.proxy.engines.clone();
        compio::runtime::spawn(async move {
            engines.cancel(&attempt.target, &attempt.tag).await;
        })
        .detach();
    }
}

/// Outcome of a run whose stream was interrupted and cannot be resumed.
fn outcome_of(error: StreamError) -> AttemptOutcome {
    match error {
        StreamError::ConnectionLost => AttemptOutcome::Crashed,
        StreamError::Stalled => AttemptOutcome::TimedOut,
        StreamError::MissingEvent | StreamError::EventTooLarge => AttemptOutcome::Failed,
    }
}

/// Returns the resumed stream if it comes from the same incarnation of the engine, and otherwise the outcome
/// of the run.
fn check_resumed(
    result: Result<EngineStream, AttemptError>,
    interrupted: Option<&EngineStream>,
    error: StreamError,
) -> Result<EngineStream, AttemptOutcome> {
    let incarnation = interrupted.map(|stream| stream.incarnation);
    match result {
        Ok(stream) if Some(stream.incarnation) == incarnation => Ok(stream),
        Ok(_) | Err(AttemptError::ConnectFailed) => Err(AttemptOutcome::Crashed),
        Err(_) => Err(outcome_of(error)),
    }
}
