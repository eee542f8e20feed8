//! Retries of failed attempts and recovery of interrupted streams.

use std::rc::Rc;

use bytes::Bytes;
use serde_json::json;

use super::call::Endpoint;
use super::exchange::{Attempt, Exchange, first_token_timeout};
use super::refusals::attempt_refusal;
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::ops::services::{AttemptOutcome, RetryAdvice};
use crate::ops::upstream::{AttemptError, StreamError};

/// Limit on resumptions of a stream at the same engine with no event in between.
pub(super) const MAX_CONSECUTIVE_RESUMES: u32 = 2;

/// Data of the final event.
const DONE: &[u8] = b"[DONE]";

/// Limit on the number of targets at which one request may fail.
const MAX_ATTEMPTS: usize = 8;

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
        target: crate::core::ids::TargetId,
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
        let outcome = match self.resume(error).await {
            Ok(()) => return Ok(None),
            Err(outcome) => outcome,
        };
        self.continue_on_other_target(error, outcome).await
    }

    /// Resumes the stream at the same incarnation of the engine. On failure, returns the outcome of
    /// the attempt.
    async fn resume(&mut self, error: StreamError) -> Result<(), AttemptOutcome> {
        let outcome = match error {
            StreamError::ConnectionLost => AttemptOutcome::Crashed,
            StreamError::Stalled => AttemptOutcome::TimedOut,
            StreamError::MissingEvent | StreamError::EventTooLarge => AttemptOutcome::Failed,
        };
        let Some(attempt) = self.attempt.as_mut() else {
            return Err(outcome);
        };
        let Some(stream) = attempt.stream.as_ref() else {
            return Err(outcome);
        };
        if self.resumes_left == 0 || error == StreamError::EventTooLarge {
            return Err(outcome);
        }
        self.resumes_left -= 1;
        let engines = &self.proxy.engines;
        let resumed = engines.resume(&attempt.target, &attempt.tag, stream.next_sequence());
        match resumed.await {
            Ok(resumed_stream) if resumed_stream.incarnation == stream.incarnation => {
                attempt.stream = Some(resumed_stream);
                self.proxy.context.metrics().count("streams_resumed", 1);
                Ok(())
            }
            Ok(_) | Err(AttemptError::ConnectFailed) => Err(AttemptOutcome::Crashed),
            Err(_) => Err(outcome),
        }
    }

    /// Has another target generate the rest of the response.
    async fn continue_on_other_target(
        &mut self,
        error: StreamError,
        outcome: AttemptOutcome,
    ) -> Result<Option<Bytes>, Refusal> {
        self.may_have_run = true;
        self.settle_in_full();
        let is_crash = outcome == AttemptOutcome::Crashed;
        let (advice, attempt) = self.end_attempt(outcome);
        let last_refusal = self.refuse(RefusalCode::StreamBroken, &error.to_string());
        let Some(attempt) = attempt else {
            return Err(last_refusal);
        };
        let target = attempt.placement.target.clone();
        if !is_crash {
            self.cancel_at_engine(attempt);
        }
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
