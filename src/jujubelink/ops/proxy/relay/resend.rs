//! Whether and when a request is sent again.

use std::time::Duration;

use super::exchange::Exchange;
use crate::core::ids::Timestamp;
use crate::core::quota::ResendBudget;
use crate::core::relay::{
    AllowedTargets, FIRST_ATTEMPT_TIME_RATIO, Failure, MIN_SEND_TIME, NoResend,
};
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::util::duration::ms;

/// Time after which a target, or a part of the budget, is looked for again. Shorter near the deadline.
const PLACE_RETRY_DELAY: Duration = Duration::from_millis(250);

impl Exchange {
    /// Returns how long the response head is awaited before another target may take the request over.
    /// If none may, this is all remaining time.
    pub(super) fn head_timeout(&self, remaining: Duration) -> Duration {
        match self.check_attempts(Failure::MayHaveRun) {
            Ok(_) => remaining.mul_f64(FIRST_ATTEMPT_TIME_RATIO),
            Err(_) => remaining,
        }
    }

    /// Returns the targets to which the request may be sent after a failure, or beside those that run it.
    pub(super) fn check_attempts(&self, failure: Failure) -> Result<AllowedTargets, NoResend> {
        let Some(admission) = &self.admission else {
            return Err(NoResend::NotRepeatable);
        };
        let route = &admission.route;
        let current = self.placement.iter().map(|placement| &placement.target);
        let running: Vec<_> = current.chain(&self.asked).collect();
        self.attempts
            .check(route.kind, failure, &running, route.max_attempts)
    }

    /// Obtains a placement for the rest of a response that has begun. Waits until its deadline for a target
    /// that may get a place.
    pub(super) async fn place_rest(&mut self) -> Result<(), Refusal> {
        loop {
            let Err(refusal) = self.place().await else {
                return Ok(());
            };
            let may_get_place = match refusal.code {
                RefusalCode::Overloaded => true,
                RefusalCode::NoTarget => self.has_other_target(),
                _ => false,
            };
            if !may_get_place || !self.wait_to_resume(&refusal.message).await {
                return Err(refusal);
            }
        }
    }

    /// Takes the send of the rest of a response that has begun from the resend budget. Waits until its
    /// deadline for the budget.
    pub(super) async fn acquire_rest(&self, failure: Failure) -> Result<(), NoResend> {
        loop {
            match self.acquire_resend(failure) {
                Err(reason @ NoResend::BudgetUsed) => {
                    if !self.wait_to_resume(&reason.to_string()).await {
                        return Err(reason);
                    }
                }
                result => return result,
            }
        }
    }

    /// Waits before the rest of a response is requested once more. Returns whether time is left for that.
    async fn wait_to_resume(&self, reason: &str) -> bool {
        let delay = PLACE_RETRY_DELAY.min(self.remaining() / 2);
        if delay < MIN_SEND_TIME {
            return false;
        }
        slog::info!(self.proxy.context.log(), "stream waits for a target";
            "request" => &*self.head.id, "reason" => reason,
            "last_event" => self.last_event, "sends" => self.attempts.sends(),
            "remaining_ms" => ms(self.remaining()));
        self.proxy.context.timers().sleep(delay).await;
        true
    }

    /// Takes a further send from the resend budget of the service, if the request may be sent again
    /// after a failure.
    pub(super) fn acquire_resend(&self, failure: Failure) -> Result<(), NoResend> {
        self.check_attempts(failure)?;
        // The budget limits the arrivals at targets beyond the first one of each request.
        match self.attempts.may_have_arrived() {
            true => self.with_budget(ResendBudget::try_acquire),
            false => self.check_time(),
        }
    }

    /// Checks whether another target may take the request over from the one that runs it.
    pub(super) fn check_replacement(&self) -> Result<(), NoResend> {
        self.check_attempts(Failure::MayHaveRun)?;
        self.with_budget(ResendBudget::is_allowed)
    }

    /// Takes the send to another target, which is to take the request over, from the resend budget.
    pub(super) fn acquire_replacement(&self) -> Result<(), NoResend> {
        self.with_budget(ResendBudget::try_acquire)
    }

    /// Checks whether time is left for a further send, before the deadline and before a stop.
    fn check_time(&self) -> Result<(), NoResend> {
        match self.remaining() < MIN_SEND_TIME || self.check_stop().is_err() {
            true => Err(NoResend::DeadlineNear),
            false => Ok(()),
        }
    }

    fn with_budget(
        &self,
        is_allowed: impl FnOnce(&mut ResendBudget, usize, Timestamp) -> bool,
    ) -> Result<(), NoResend> {
        let admission = self.admission.as_ref().ok_or(NoResend::NotRepeatable)?;
        self.check_time()?;
        let instances = self.relay.peers.fleet_size();
        let now = self.now();
        let is_allowed = self.relay.with_resend_budget(&admission.service, |budget| {
            is_allowed(budget, instances, now)
        });
        if !is_allowed {
            let metrics = self.proxy.context.metrics();
            metrics.count("relay.resend_refused", 1);
            return Err(NoResend::BudgetUsed);
        }
        Ok(())
    }
}
