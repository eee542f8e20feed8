//! Work that the instances of a fleet are expected to place at a target.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Time constant of placed work in a fleet of one instance, and its upper bound. It grows with the
/// square root of the number of instances, as each of them sees a smaller part of the work.
const WINDOW: Duration = Duration::from_secs(4);
const MAX_WINDOW: Duration = Duration::from_secs(40);

/// Utilization above which the expected wait no longer grows. The estimate may exceed 1 for a
/// moment, and the formula has a pole there.
const MAX_UTILIZATION: f64 = 0.95;

/// Returns the time constant for a number of instances.
pub fn work_window(instances: u32) -> Duration {
    let scale = f64::from(instances.max(1)).sqrt();
    WINDOW.mul_f64(scale).min(MAX_WINDOW)
}

/// Work that this instance was expected to place at a target. Each placement counts at all of its
/// candidates by their probability, so that a few placements are enough for an estimate. Instances with
/// the same view place with the same probabilities.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacedWork {
    /// Decaying sum of the work, in seconds.
    work_s: f64,
    /// Decaying number of the requests.
    requests: f64,
    updated: Timestamp,
    /// When the first work was placed.
    since: Option<Timestamp>,
}

impl PlacedWork {
    /// Records a request that is placed here with a probability, and its work if it is.
    pub fn add(&mut self, probability: f64, work_s: f64, window: Duration, now: Timestamp) {
        let decay = self.decay(window, now);
        self.work_s = self.work_s * decay + probability * work_s;
        self.requests = self.requests * decay + probability;
        self.updated = self.updated.max(now);
        self.since.get_or_insert(now);
    }

    /// Returns the busy time per second that one instance causes.
    pub fn utilization(&self, window: Duration, now: Timestamp) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let window_s = window.as_secs_f64();
        let age_s = now.saturating_sub(since).as_secs_f64();
        // In the first third of a window, a few requests would count as a high rate.
        let age_s = age_s.max(window_s / 3.0);
        let effective_window_s = window_s * (1.0 - (-age_s / window_s).exp());
        self.work_s * self.decay(window, now) / effective_window_s
    }

    /// Returns the mean work of a request, in seconds.
    pub fn mean_work_s(&self) -> f64 {
        match self.requests > 0.0 {
            true => self.work_s / self.requests,
            false => 0.0,
        }
    }

    fn decay(&self, window: Duration, now: Timestamp) -> f64 {
        let age_s = now.saturating_sub(self.updated).as_secs_f64();
        (-age_s / window.as_secs_f64()).exp()
    }
}

/// Returns the expected wait at a target of `servers` parallel places that are busy for `busy_s`
/// seconds per second, with a mean work of `work_s` (Sakasegawa's approximation of the M/M/c queue).
pub fn queue_wait_s(busy_s: f64, work_s: f64, servers: u32) -> f64 {
    let servers = f64::from(servers.max(1));
    let utilization = (busy_s / servers).clamp(0.0, MAX_UTILIZATION);
    let exponent = (2.0 * (servers + 1.0)).sqrt() - 1.0;
    work_s * utilization.powf(exponent) / (servers * (1.0 - utilization))
}
