//! Load of a target: its delayed reports, corrected by the requests of this instance.

use std::time::Duration;

use serde::Deserialize;

use super::ReportedState;
use crate::core::ids::{Incarnation, Timestamp};
use crate::core::pace::ReportedPace;
use crate::util::hash::stable_hash;

/// Response body of `GET /v1/load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Model in service.
    pub model: String,
    /// Version of the model's weights.
    pub weights_version: String,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the engine.
    pub waiting: u32,
    /// Maximum number of concurrent requests; 0 if not reported.
    pub max_running: u32,
    /// Number of cached blocks.
    pub cached_blocks: u64,
    /// `ready`, `loading`, or `leaving` (also reported as `draining`); empty if not reported.
    pub state: String,
    /// How long work takes at the target. Only the load header of responses has this figure.
    #[serde(skip)]
    pub pace: ReportedPace,
}

impl LoadReport {
    /// Returns the fields that do not describe load.
    pub fn reported_state(&self) -> ReportedState {
        let model_hash = match self.model.as_str() {
            "" => 0,
            model => stable_hash(0, model.as_bytes()),
        };
        let weights_hash = match (model_hash, self.weights_version.as_str()) {
            (0, _) | (_, "") => 0,
            (model_hash, version) => stable_hash(model_hash, version.as_bytes()),
        };
        ReportedState {
            model_hash,
            weights_hash,
            is_leaving: matches!(self.state.as_str(), "leaving" | "draining"),
            is_loading: self.state == "loading",
        }
    }
}

/// Smoothed durations of a model's completed requests.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTimes {
    /// Time for which a request holds a slot at a target, in seconds.
    pub occupied_s: f64,
    /// Prefill time of a request, in seconds.
    pub prefill_s: f64,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            occupied_s: 1.0,
            prefill_s: 0.1,
        }
    }
}

/// Smoothing factor of [`ServiceTimes`].
const TIMES_SMOOTHING: f64 = 0.05;

impl ServiceTimes {
    /// Returns the times at a target with the given pace.
    pub fn at_pace(&self, pace: f64) -> Self {
        Self {
            occupied_s: self.occupied_s * pace,
            prefill_s: self.prefill_s * pace,
        }
    }

    /// Records a completed request.
    pub fn on_completed(&mut self, occupied: Duration, prefill: Duration) {
        self.occupied_s += TIMES_SMOOTHING * (occupied.as_secs_f64() - self.occupied_s);
        self.prefill_s += TIMES_SMOOTHING * (prefill.as_secs_f64() - self.prefill_s);
    }
}

/// Time constant with which an observed wait decays, in seconds.
const OBSERVED_WAIT_DECAY_S: f64 = 2.0;

/// Weight of the wait caused by other instances' requests. With the full wait, too many requests
/// are moved away from the targets that have their prefixes cached.
const PEER_WAIT_WEIGHT: f64 = 0.5;

/// Smoothing factor of observed waits.
const OBSERVED_WAIT_SMOOTHING: f64 = 0.5;

/// Part of a wait that counts as a queue although the request before it did not wait, or although a later
/// one has overtaken it, in seconds. With its weight it stays below the wait from which a target counts as
/// full, so that pauses of single requests keep none away.
const MAX_SINGLE_WAIT_S: f64 = 0.1;

/// Age from which a load report is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Load of one target, as estimated by this instance.
#[derive(Debug, Clone, Default)]
pub struct TargetLoad {
    /// Requests of this instance at the target.
    local_requests: u32,
    /// When the target is expected to have finished the prefills of this instance's requests.
    prefill_free_at: Timestamp,
    /// Requests of this instance that have no first token yet.
    local_waiting: u32,
    /// Requests of other instances according to the last report.
    peer_requests: u32,
    /// Waiting requests of other instances according to the last report.
    peer_waiting: u32,
    reported_at: Option<Timestamp>,
    /// Requests that this instance has sent since the last report.
    sent_since_report: u32,
    /// Wait of this instance's requests that its own load doesn't explain, in seconds, and when it
    /// was last observed.
    observed_wait_s: f64,
    observed_at: Timestamp,
    /// The last of this instance's requests in the order of sending that has had its first token, and
    /// its wait that its own load doesn't explain, in seconds.
    last_started: u64,
    last_wait_s: f64,
}

impl TargetLoad {
    /// Returns the number of this instance's requests at the target.
    pub fn local_requests(&self) -> u32 {
        self.local_requests
    }

    /// Returns the remaining prefill time of this instance's requests at the target, in seconds.
    pub fn local_prefill_s(&self, now: Timestamp) -> f64 {
        self.prefill_free_at.saturating_sub(now).as_secs_f64()
    }

    /// Records a sent request.
    pub fn on_sent(&mut self, prefill: Duration, now: Timestamp) {
        self.local_requests += 1;
        self.local_waiting += 1;
        self.prefill_free_at = self.prefill_free_at.max(now) + prefill;
        self.sent_since_report += 1;
    }

    /// Records a first token, or the end of a request that had none.
    pub fn on_prefilled(&mut self, now: Timestamp) {
        self.local_waiting = self.local_waiting.saturating_sub(1);
        if self.local_waiting == 0 {
            self.prefill_free_at = now;
        }
    }

    /// Records the time that a request waited for its prefill, minus the time that this instance's
    /// own requests account for. Returns the part of it that is attributed to a queue. A queue delays
    /// successive requests, while a target that falls silent for a moment delays single ones.
    pub fn on_observed_wait(&mut self, placement: u64, wait_s: f64, now: Timestamp) -> f64 {
        let is_overtaken = placement < self.last_started;
        let confirmed_s = match is_overtaken {
            true => 0.0,
            false => std::mem::replace(&mut self.last_wait_s, wait_s),
        };
        self.last_started = self.last_started.max(placement);
        let queue_wait_s = wait_s.min(confirmed_s.max(MAX_SINGLE_WAIT_S));
        let earlier = self.expected_peer_wait_s(now);
        self.observed_wait_s = earlier + OBSERVED_WAIT_SMOOTHING * (queue_wait_s - earlier);
        self.observed_at = now;
        queue_wait_s
    }

    /// Returns the expected wait caused by other instances' requests. It decays from the last
    /// observation.
    fn expected_peer_wait_s(&self, now: Timestamp) -> f64 {
        let age_s = now.saturating_sub(self.observed_at).as_secs_f64();
        self.observed_wait_s * (-age_s / OBSERVED_WAIT_DECAY_S).exp()
    }

    /// Records the end of a request.
    pub fn on_ended(&mut self) {
        self.local_requests = self.local_requests.saturating_sub(1);
    }

    /// Applies a load report.
    pub fn on_report(&mut self, report: &LoadReport, now: Timestamp) {
        let reported = report.running.saturating_add(report.waiting);
        self.peer_requests = reported.saturating_sub(self.local_requests);
        self.peer_waiting = report.waiting.saturating_sub(self.local_waiting);
        self.reported_at = Some(now);
        self.sent_since_report = 0;
    }

    /// Discards the reported requests of other instances after a restart of the engine.
    pub fn on_restart(&mut self) {
        self.peer_requests = 0;
        self.peer_waiting = 0;
        self.reported_at = None;
    }

    /// Returns the number of requests at the target. For each request that this instance has sent
    /// since the last report, `unreported` requests of other instances are assumed.
    pub fn total_requests(&self, unreported: f64, now: Timestamp) -> f64 {
        let peer_requests = if self.is_fresh(now) {
            self.peer_requests
        } else {
            0
        };
        f64::from(self.local_requests)
            + f64::from(peer_requests)
            + f64::from(self.sent_since_report) * unreported
    }

    /// Returns the expected time until the target starts the prefill of one more request, in
    /// seconds.
    pub fn wait_s(
        &self,
        max_running: u32,
        times: &ServiceTimes,
        unreported: f64,
        now: Timestamp,
    ) -> f64 {
        let limit = f64::from(max_running.max(1));
        let excess = (self.total_requests(unreported, now) + 1.0 - limit).max(0.0);
        let slot_wait_s = excess * times.occupied_s / limit;
        let peer_waiting = if self.is_fresh(now) {
            f64::from(self.peer_waiting)
        } else {
            0.0
        };
        let mut queued = peer_waiting + f64::from(self.local_waiting) * unreported;
        let local_prefill = self.prefill_free_at.saturating_sub(now);
        if self.local_waiting > 0 && local_prefill.is_zero() {
            // The prefill takes longer than expected. Assume that half of it remains.
            queued += 0.5;
        }
        let peer_wait_s = PEER_WAIT_WEIGHT * self.expected_peer_wait_s(now);
        slot_wait_s + peer_wait_s + local_prefill.as_secs_f64() + queued * times.prefill_s
    }

    /// Returns the age of the last load report.
    pub fn report_age(&self, now: Timestamp) -> Option<Duration> {
        self.reported_at.map(|at| now.saturating_sub(at))
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.reported_at
            .is_some_and(|at| now.saturating_sub(at) < REPORT_LIFETIME)
    }
}
