//! Aims of a relayed request under overload, and the log of its waits.

use super::admission::Admission;
use super::exchange::{Exchange, QUEUE_TIME_RATIO};
use crate::core::ids::Timestamp;
use crate::core::overload::{Aims, FEATURE};
use crate::ops::services::{PlacementError, SchedulerService};
use crate::util::duration::ms;

impl Exchange {
    /// Whether requests are ordered by urgency.
    pub(super) fn has_pressure(&self) -> bool {
        self.relay.fleet.settings().has_feature(FEATURE)
    }

    /// Returns the aims of the request on the clock of [`Self::now`], if requests are ordered by urgency.
    pub(super) fn aims(&self, admission: &Admission) -> Option<Aims> {
        if !self.has_pressure() {
            return None;
        }
        let objective = admission.route.latency_objective;
        Some(Aims {
            arrived: self.arrived,
            latest_start: self.arrived + objective.mul_f64(QUEUE_TIME_RATIO),
            deadline: self.deadline,
            priority: admission.priority(),
            is_begun: self.is_response_begun,
        })
    }

    /// Logs and counts a wait that ended in a refusal, or after which the objective can no longer be met.
    pub(super) fn log_wait(&self, aims: &Aims, since: Timestamp, error: Option<&PlacementError>) {
        let now = self.now();
        let metrics = self.proxy.context.metrics();
        metrics.time("overload.wait", now.saturating_sub(since));
        let result = match error {
            None if aims.is_timely(now) => return,
            None => "late",
            Some(PlacementError::Overloaded { .. }) => "refused_overloaded",
            Some(PlacementError::NoTarget) => "refused_no_target",
            Some(_) => "refused_other",
        };
        metrics.count(&format!("overload.waits.{result}"), 1);
        let figures = self.proxy.service::<dyn SchedulerService>().queue_figures();
        slog::info!(self.proxy.context.log(), "request waited"; "request" => &*self.head.id,
            "decided_by" => "queue of the instance", "result" => result, "rank" => aims.rank(now),
            "was_timely" => aims.is_timely(since), "waited_ms" => ms(now.saturating_sub(since)),
            "took_ms" => ms(now.saturating_sub(self.arrived)),
            "remaining_ms" => ms(aims.deadline.saturating_sub(now)),
            "queued" => figures.queued, "running" => figures.running, "sends" => self.attempts.sends());
    }
}
