//! Takeover from a silent target: another one gets the request while the silent one is still awaited,
//! because it may go on.
//!
//! A request runs at one target: it starts to run at the other one with the first bytes of the response,
//! and the connection to the silent target is closed then.

use std::future::Future;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use super::body::TargetResponse;
use super::exchange::Exchange;
use super::send::{PendingResponse, SendFailure, SendOutcome};
use crate::ops::services::{AttemptOutcome, Placement};

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
    /// Another target has the request and has not responded yet. The silent one was given up.
    Sent(Box<PendingResponse>),
    /// No other target has taken the request over. The silent one is still awaited.
    Rejected,
}

enum Race<T, U> {
    Continued(T),
    Other(U),
}

/// Waits until a silent target goes on or another future completes.
async fn race<S: SilentTarget, F: Future>(
    silent: &mut S,
    mut other: Pin<&mut F>,
) -> Race<S::Output, F::Output> {
    std::future::poll_fn(|cx| {
        if let Poll::Ready(output) = silent.poll_continued(cx) {
            return Poll::Ready(Race::Continued(output));
        }
        other.as_mut().poll(cx).map(Race::Other)
    })
    .await
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
            let response = std::future::poll_fn(|cx| pending.poll_result(cx));
            let result = match timers.timeout(timeout, response).await {
                Some(result) => result,
                None if timeout >= remaining => return Err(SendFailure::timed_out()),
                None => match self.take_over(&mut pending, &accepts).await {
                    Takeover::Continued(result) => result,
                    Takeover::Responded(response) => {
                        self.record_kept_response(&pending);
                        return Ok(SendOutcome::Response(*response));
                    }
                    Takeover::Sent(replacement) => {
                        self.record_kept_response(&pending);
                        pending = *replacement;
                        continue;
                    }
                    Takeover::Rejected => continue,
                },
            };
            return self.evaluate(pending.record(), result).await;
        }
    }

    /// Sends the request to another target while a silent one is still awaited. The silent target is
    /// given up once the other one has started a response that `accepts` holds for, or after a while if
    /// a third target may be tried.
    pub(super) async fn take_over<S: SilentTarget>(
        &mut self,
        silent: &mut S,
        accepts: impl Fn(&TargetResponse) -> bool,
    ) -> Takeover<S::Output> {
        self.is_taking_over = true;
        let takeover = self.try_take_over(silent, accepts).await;
        self.is_taking_over = false;
        takeover
    }

    async fn try_take_over<S: SilentTarget>(
        &mut self,
        silent: &mut S,
        accepts: impl Fn(&TargetResponse) -> bool,
    ) -> Takeover<S::Output> {
        let placement = match race(silent, pin!(self.place_replacement())).await {
            Race::Continued(output) => return Takeover::Continued(output),
            Race::Other(Ok(placement)) => placement,
            Race::Other(Err(reason)) => {
                self.log_silent_target("silent target still awaited", &reason, None);
                return Takeover::Rejected;
            }
        };
        let weights = self.weights;
        self.silent_placement = self.placement.replace(placement);
        let takeover = self.send_replacement(silent, accepts).await;
        if let Takeover::Continued(_) | Takeover::Rejected = &takeover {
            self.placement = self.silent_placement.take();
            self.weights = weights;
        }
        takeover
    }

    /// Obtains a placement at another target, within the resend budget.
    async fn place_replacement(&self) -> Result<Placement, String> {
        self.proxy.context.timers().sleep(STALL_RECOVERY).await;
        self.check_replacement()
            .map_err(|reason| reason.to_string())?;
        self.check_send().map_err(|refusal| refusal.message)?;
        let placement = self.choose_target().await;
        let placement = placement.map_err(|refusal| refusal.message)?;
        if let Err(reason) = self.acquire_replacement() {
            self.release(placement, AttemptOutcome::Cancelled);
            return Err(reason.to_string());
        }
        Ok(placement)
    }

    async fn send_replacement<S: SilentTarget>(
        &mut self,
        silent: &mut S,
        accepts: impl Fn(&TargetResponse) -> bool,
    ) -> Takeover<S::Output> {
        let mut pending = match self.begin_send() {
            Ok(pending) => pending,
            Err(failure) => return self.reject_replacement(&failure),
        };
        let timers = *self.proxy.context.timers();
        let arrived = {
            let timeout = self.replacement_timeout();
            let response = std::future::poll_fn(|cx| pending.poll_result(cx));
            race(silent, pin!(timers.timeout(timeout, response))).await
        };
        let result = match arrived {
            Race::Other(Some(result)) => result,
            Race::Continued(output) => {
                self.cancel_replacement(&pending);
                return Takeover::Continued(output);
            }
            Race::Other(None) if self.remaining().is_zero() => {
                self.cancel_replacement(&pending);
                return Takeover::Rejected;
            }
            Race::Other(None) => {
                self.give_up_silent_target(&pending);
                return Takeover::Sent(Box::new(pending));
            }
        };
        let evaluated = {
            let evaluation = self.evaluate(pending.record(), result);
            race(silent, pin!(evaluation)).await
        };
        match evaluated {
            Race::Continued(output) => {
                self.cancel_replacement(&pending);
                Takeover::Continued(output)
            }
            Race::Other(Ok(SendOutcome::Response(response))) if accepts(&response) => {
                self.await_first_frame(silent, &pending, response).await
            }
            Race::Other(Ok(_)) => self.reject_replacement(&SendFailure::unusable()),
            Race::Other(Err(failure)) => self.reject_replacement(&failure),
        }
    }

    /// Waits until the other target has sent the start of a body that is forwarded as it arrives. A sound
    /// target may send the head of a response and then be silent as well.
    async fn await_first_frame<S: SilentTarget>(
        &mut self,
        silent: &mut S,
        pending: &PendingResponse,
        mut response: TargetResponse,
    ) -> Takeover<S::Output> {
        let first = match response.streamed_body() {
            None => None,
            Some(body) => {
                let timers = *self.proxy.context.timers();
                let frame = std::future::poll_fn(|cx| body.poll_frame(cx));
                let frame = timers.timeout(self.replacement_timeout(), frame);
                match race(silent, pin!(frame)).await {
                    Race::Continued(output) => {
                        self.cancel_replacement(pending);
                        return Takeover::Continued(output);
                    }
                    Race::Other(Some(Some(Err(_)))) => {
                        return self.reject_replacement(&SendFailure::connection_lost());
                    }
                    Race::Other(Some(None)) if S::HAS_RESPONDED => {
                        return self.reject_replacement(&SendFailure::connection_lost());
                    }
                    Race::Other(None) if self.remaining().is_zero() => {
                        self.cancel_replacement(pending);
                        return Takeover::Rejected;
                    }
                    Race::Other(frame) => frame,
                }
            }
        };
        if let (Some(body), Some(frame)) = (response.streamed_body(), first) {
            body.unread(frame);
        }
        self.give_up_silent_target(pending);
        Takeover::Responded(Box::new(response))
    }

    /// Ends the run at the silent target.
    fn give_up_silent_target(&mut self, pending: &PendingResponse) {
        self.log_silent_target("silent target replaced", "", pending.sent_at());
        if let Some(silent) = self.silent_placement.take() {
            self.excluded.push(silent.target.clone());
            self.release(silent, AttemptOutcome::TimedOut);
        }
        self.record_run();
    }

    /// Ends the run at the other target, as the silent one went on or the deadline has passed.
    fn cancel_replacement(&mut self, pending: &PendingResponse) {
        self.log_silent_target("silent target not replaced", "", pending.sent_at());
        if pending.sent_at().is_some() {
            self.record_run();
        }
        self.end_placement(AttemptOutcome::Cancelled);
    }

    fn reject_replacement<T>(&mut self, failure: &SendFailure) -> Takeover<T> {
        self.record_failure(failure);
        Takeover::Rejected
    }

    /// Records that a target may have run the request.
    pub(super) fn record_run(&mut self) {
        self.runs += 1;
        self.may_have_run = true;
    }
}
