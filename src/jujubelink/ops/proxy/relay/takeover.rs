//! Takeover from a silent target: another one gets the request while the silent one is still awaited,
//! because it may go on.
//!
//! A request runs at one target: it starts to run at the other one with the first bytes of the response,
//! and the connection to the silent target is closed then.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll};
use std::time::Duration;

use super::body::TargetResponse;
use super::exchange::Exchange;
use super::placement::HeldPlacement;
use super::send::{EvaluationFuture, PendingResponse, SendFailure, SendOutcome};
use crate::core::ids::{TargetId, Timestamp};
use crate::core::relay::FIRST_ATTEMPT_TIME_RATIO;
use crate::ops::proxy::waits::Awaited;
use crate::ops::services::AttemptOutcome;

/// Time in which bytes are read that arrived while this process stood still. Without it, every target
/// would count as silent after a stall.
const STALL_RECOVERY: Duration = Duration::from_millis(5);

/// What a silent target is expected to send.
pub(super) trait SilentTarget: Unpin {
    /// Whether a part of the response has arrived, so that another target has to continue it.
    const HAS_RESPONDED: bool;

    /// What it has sent.
    type Output;

    /// Polls until the target goes on. A failure of the target completes nothing, but is kept for the
    /// next read, as another target may take the request over.
    fn poll_continued(&mut self, cx: &mut Context<'_>) -> Poll<Self::Output>;
}

/// Result of an attempt to replace a silent target.
pub(super) enum Takeover<T> {
    /// The silent target went on.
    Continued(T),
    /// Another target responded. The silent one was given up.
    Responded(Box<TargetResponse>),
    /// No other target has taken the request over. The silent one is still awaited.
    Rejected,
}

/// A target that was asked to take a request over.
struct Replacement {
    placement: HeldPlacement,
    /// Weights version that the send required.
    weights: Option<u64>,
    pending: PendingResponse,
    stage: Stage,
}

enum Stage {
    /// The response head has not arrived.
    Head,
    /// The response is evaluated.
    Evaluation(EvaluationFuture),
    /// The head of a streamed response has arrived. A sound target may be silent after it.
    FirstFrame(Box<TargetResponse>),
}

impl Replacement {
    /// Polls until the target has started a response that `accepts` holds for, or has failed.
    fn poll_started(
        &mut self,
        exchange: &Exchange,
        is_continuation: bool,
        accepts: &impl Fn(&TargetResponse) -> bool,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Box<TargetResponse>, SendFailure>> {
        loop {
            self.stage = match &mut self.stage {
                Stage::Head => {
                    let result = std::task::ready!(self.pending.poll_result(cx));
                    Stage::Evaluation(exchange.evaluate(self.pending.record(), result))
                }
                Stage::Evaluation(evaluation) => {
                    match std::task::ready!(evaluation.as_mut().poll(cx))? {
                        SendOutcome::Response(response) if accepts(&response) => {
                            Stage::FirstFrame(Box::new(response))
                        }
                        _ => return Poll::Ready(Err(SendFailure::unusable())),
                    }
                }
                Stage::FirstFrame(response) => {
                    if let Some(body) = response.streamed_body() {
                        let frame = std::task::ready!(body.poll_frame(cx));
                        let is_lost = frame.as_ref().map_or(is_continuation, Result::is_err);
                        if is_lost {
                            return Poll::Ready(Err(SendFailure::connection_lost()));
                        }
                        body.unread(frame);
                    }
                    let stage = std::mem::replace(&mut self.stage, Stage::Head);
                    let Stage::FirstFrame(response) = stage else {
                        unreachable!("the stage was matched above")
                    };
                    return Poll::Ready(Ok(response));
                }
            };
        }
    }
}

/// What happens while a silent target and its possible replacements are awaited.
enum Event<T> {
    /// The silent target went on.
    Continued(T),
    /// The replacement at this index has started its response, or has failed.
    Ended(usize, Result<Box<TargetResponse>, SendFailure>),
    /// A further target was chosen, or none may be asked for the stated reason.
    Placed(Result<HeldPlacement, String>),
    DeadlinePassed,
}

impl Exchange {
    /// Waits for the response to a request that was sent. Other targets may take it over meanwhile, if
    /// `accepts` holds for their responses.
    pub(super) async fn await_response(
        &mut self,
        mut pending: PendingResponse,
        accepts: impl Fn(&TargetResponse) -> bool,
    ) -> Result<SendOutcome, SendFailure> {
        let timers = *self.proxy.context.timers();
        loop {
            let remaining = self.remaining();
            let timeout = self.head_timeout(remaining);
            let answer = {
                let mut changed = pin!(self.cache_namespace_changed(pending.cache_namespace()));
                let answer = std::future::poll_fn(|cx| match pending.poll_result(cx) {
                    Poll::Ready(result) => Poll::Ready(Ok(result)),
                    Poll::Pending => changed.as_mut().poll(cx).map(|()| Err(())),
                });
                timers.timeout(timeout, answer).await
            };
            let result = match answer {
                Some(Ok(result)) => result,
                Some(Err(())) => return Err(SendFailure::cache_namespace_changed()),
                None if timeout >= remaining => return Err(SendFailure::timed_out()),
                None => match self.take_over(&mut pending, &accepts).await {
                    Takeover::Continued(result) => result,
                    Takeover::Responded(response) => {
                        self.record_kept_response(&pending);
                        return Ok(SendOutcome::Response(*response));
                    }
                    Takeover::Rejected => continue,
                },
            };
            return self.evaluate(pending.record(), result).await;
        }
    }

    /// Sends the request to other targets while a silent one is still awaited. The first target that
    /// goes on or starts a response that `accepts` holds for keeps the request. None is given up before.
    pub(super) async fn take_over<S: SilentTarget>(
        &mut self,
        silent: &mut S,
        accepts: impl Fn(&TargetResponse) -> bool,
    ) -> Takeover<S::Output> {
        self.is_taking_over = true;
        let awaited = self.progress.wait.get();
        self.progress.wait.set(Awaited::Takeover);
        let takeover = self.try_take_over(silent, accepts).await;
        self.progress.wait.set(awaited);
        self.is_taking_over = false;
        takeover
    }

    async fn try_take_over<S: SilentTarget>(
        &mut self,
        silent: &mut S,
        accepts: impl Fn(&TargetResponse) -> bool,
    ) -> Takeover<S::Output> {
        let mut replacements = Vec::new();
        let mut next_at = self.now() + STALL_RECOVERY;
        loop {
            let event = self
                .next_event(silent, &mut replacements, next_at, &accepts)
                .await;
            match event {
                Event::Continued(output) => {
                    self.cancel_replacements(replacements);
                    return Takeover::Continued(output);
                }
                Event::Ended(index, Ok(response)) => {
                    let replacement = replacements.swap_remove(index);
                    self.replace_silent_target(replacement, replacements);
                    return Takeover::Responded(response);
                }
                Event::Ended(index, Err(failure)) => {
                    let replacement: Replacement = replacements.swap_remove(index);
                    self.reject_replacement(replacement.placement, &failure);
                }
                Event::Placed(placed) => {
                    match placed {
                        Ok(placement) => replacements.extend(self.begin_replacement(placement)),
                        Err(reason) => {
                            let current = self.current_target();
                            self.log_silent_target(
                                "silent target still awaited",
                                current,
                                &reason,
                                None,
                            );
                        }
                    }
                    let awaited = self.remaining().mul_f64(FIRST_ATTEMPT_TIME_RATIO);
                    next_at = self.now() + awaited;
                }
                Event::DeadlinePassed => {
                    self.cancel_replacements(replacements);
                    return Takeover::Rejected;
                }
            }
            if replacements.is_empty() {
                return Takeover::Rejected;
            }
        }
    }

    /// Waits for the next event. A further target is asked at `next_at`.
    async fn next_event<S: SilentTarget>(
        &self,
        silent: &mut S,
        replacements: &mut [Replacement],
        next_at: Timestamp,
        accepts: &impl Fn(&TargetResponse) -> bool,
    ) -> Event<S::Output> {
        let timers = self.proxy.context.timers();
        let mut deadline = pin!(timers.sleep(self.remaining()));
        let mut placed = pin!(async {
            timers.sleep(next_at.saturating_sub(self.now())).await;
            self.place_replacement().await
        });
        std::future::poll_fn(|cx| {
            if let Poll::Ready(output) = silent.poll_continued(cx) {
                return Poll::Ready(Event::Continued(output));
            }
            for (index, replacement) in replacements.iter_mut().enumerate() {
                let started = replacement.poll_started(self, S::HAS_RESPONDED, accepts, cx);
                if let Poll::Ready(result) = started {
                    return Poll::Ready(Event::Ended(index, result));
                }
            }
            if deadline.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Event::DeadlinePassed);
            }
            placed.as_mut().poll(cx).map(Event::Placed)
        })
        .await
    }

    /// Obtains a placement at another target, within the resend budget.
    async fn place_replacement(&self) -> Result<HeldPlacement, String> {
        self.check_replacement()
            .map_err(|reason| reason.to_string())?;
        self.check_send().map_err(|refusal| refusal.message)?;
        let placement = self.choose_target().await;
        let placement = placement.map_err(|refusal| refusal.message)?;
        let placement = HeldPlacement::new(self, placement);
        self.acquire_replacement()
            .map_err(|reason| reason.to_string())?;
        Ok(placement)
    }

    /// Starts to send the request to another target.
    fn begin_replacement(&mut self, mut held: HeldPlacement) -> Option<Replacement> {
        let placement = held.take()?;
        let target = placement.target.clone();
        let (silent, weights) = (self.placement.replace(placement), self.weights);
        let sent = self.begin_send();
        let placement = std::mem::replace(&mut self.placement, silent)?;
        let held = HeldPlacement::new(self, placement);
        let sent_weights = std::mem::replace(&mut self.weights, weights);
        match sent {
            Ok(pending) => {
                self.asked.push(target);
                Some(Replacement {
                    placement: held,
                    weights: sent_weights,
                    pending,
                    stage: Stage::Head,
                })
            }
            Err(failure) => {
                self.reject_replacement(held, &failure);
                None
            }
        }
    }

    /// Ends the run at the silent target, and at all others but the one that has responded.
    fn replace_silent_target(&mut self, mut winner: Replacement, others: Vec<Replacement>) {
        let target = winner.placement.target();
        self.log_silent_target(
            "silent target replaced",
            target,
            "",
            winner.pending.sent_at(),
        );
        self.cancel_replacements(others);
        self.asked.clear();
        self.weights = winner.weights;
        let silent = std::mem::replace(&mut self.placement, winner.placement.take());
        if let Some(silent) = silent {
            // Its response counts as slow, although it may still arrive.
            self.record_version_response(&silent.target, false);
            // It has not failed, and may continue the response if the other one breaks off.
            self.record_cancelled_run(&silent.target);
            self.avoided.push(silent.target.clone());
            self.release(silent, AttemptOutcome::TimedOut);
        }
    }

    /// Ends the runs at other targets, as another one goes on or the deadline has passed.
    fn cancel_replacements(&mut self, replacements: Vec<Replacement>) {
        for replacement in replacements {
            let (target, sent_at) = (
                replacement.placement.target(),
                replacement.pending.sent_at(),
            );
            self.log_silent_target("silent target not replaced", target.clone(), "", sent_at);
            if let (Some(target), Some(_)) = (target, sent_at) {
                self.record_cancelled_run(&target);
            }
        }
        self.asked.clear();
    }

    fn reject_replacement(&mut self, mut held: HeldPlacement, failure: &SendFailure) {
        if let Some(placement) = held.take() {
            self.asked.retain(|asked| *asked != placement.target);
            self.record_failure_at(Some(placement), failure);
        }
    }

    /// Records that a run was cancelled which might have gone on.
    pub(super) fn record_cancelled_run(&mut self, target: &TargetId) {
        self.attempts.on_cancelled(target);
        self.may_have_run = true;
    }

    /// Records that a target which may have run the request has failed.
    pub(super) fn record_failed_run(&mut self, target: &TargetId) {
        self.attempts.on_failed(target);
        self.may_have_run = true;
    }
}
