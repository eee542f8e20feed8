//! Requests in a planned stop.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::exchange::Exchange;
use crate::core::ids::Timestamp;
use crate::core::stop::{RequestTimes, StopSchedule};
use crate::ops::kernel::Context;
use crate::ops::proxy::refusal::{Refusal, RefusalCode};
use crate::ops::proxy::waits::CurrentWait;

/// Progress of a request, which a planned stop observes.
#[derive(Default)]
pub(super) struct Progress {
    pub(super) wait: CurrentWait,
    /// Set once the request is admitted.
    times: Cell<Option<RequestTimes>>,
    is_passed_on: Cell<bool>,
}

impl Progress {
    pub(super) fn set_times(&self, times: RequestTimes) {
        self.times.set(Some(times));
    }

    /// Sets whether a target may have received the request.
    pub(super) fn set_passed_on(&self, is_passed_on: bool) {
        self.is_passed_on.set(is_passed_on);
    }

    fn latest_send(&self, schedule: &StopSchedule, was_run: bool) -> Timestamp {
        let times = self.times.get();
        times.map_or(schedule.answer_by(), |times| {
            schedule.latest_send(&times, was_run)
        })
    }

    /// Returns when the stop ends the request.
    fn end(&self, schedule: &StopSchedule) -> Timestamp {
        match self.is_passed_on.get() {
            true => schedule.answer_by(),
            false => self.latest_send(schedule, false),
        }
    }

    fn refusal(&self) -> Refusal {
        match self.is_passed_on.get() {
            true => Refusal::outcome_unknown(
                RefusalCode::DeadlineExceeded,
                "the instance stops before the target has answered",
            ),
            false => too_late(),
        }
    }
}

fn too_late() -> Refusal {
    Refusal::not_run(
        RefusalCode::Draining,
        "the instance stops before the request could end",
    )
    .with_retry_after(Duration::ZERO)
}

/// Completes when a planned stop has no more time for the request, with the response to its client.
pub(super) async fn no_time_left(context: Context, progress: Rc<Progress>) -> Refusal {
    context.shutdown().requested().await;
    while let Some(schedule) = context.stop_schedule() {
        let remaining = progress
            .end(&schedule)
            .saturating_sub(context.timers().boot_now());
        if remaining.is_zero() {
            break;
        }
        context.timers().sleep(remaining).await;
    }
    progress.refusal()
}

impl Exchange {
    /// Returns the time that a planned stop leaves to a target. Fails if it is too late to send the
    /// request.
    pub(super) fn check_stop(&self) -> Result<Duration, Refusal> {
        let Some(schedule) = self.proxy.context.stop_schedule() else {
            return Ok(Duration::MAX);
        };
        let now = self.now();
        if now >= self.progress.latest_send(&schedule, self.has_begun()) {
            return Err(self.with_outcome(too_late()));
        }
        Ok(schedule.answer_by().saturating_sub(now))
    }
}
