//! Size of a prefix's replica set, derived from its demand.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Maximum size of a replica set; a power of two. If the demand for a prefix needs more targets,
/// further requests go to the random candidates of each choice.
pub const MAX_REPLICAS: usize = 32;

/// Time constant of the smoothed demand in a fleet of [`WINDOW_INSTANCES`]. Instances see different
/// parts of the traffic; with a shorter time constant their set sizes would differ more.
const DEMAND_WINDOW: Duration = Duration::from_secs(12);
const WINDOW_INSTANCES: f64 = 8.0;

/// Upper bound of the time constant.
const MAX_DEMAND_WINDOW: Duration = Duration::from_secs(90);

/// Returns the time constant for a number of instances. In a larger fleet each instance sees a
/// smaller part of the traffic and needs more time to measure it.
fn window(instances: u32) -> Duration {
    let scale = (f64::from(instances) / WINDOW_INSTANCES).sqrt().max(1.0);
    DEMAND_WINDOW.mul_f64(scale).min(MAX_DEMAND_WINDOW)
}

/// Largest fleet in which each instance sees enough of the traffic to track the load of targets.
pub const MAX_SMALL_FLEET_INSTANCES: u32 = 32;

/// Fraction of a target's time that one prefix may use before its replica set grows. The rest is
/// left for other prefixes and for bursts.
const MAX_PREFIX_UTILIZATION: f64 = 0.6;

/// The same in a larger fleet, where overlapping sets overload targets before instances detect it.
const LARGE_FLEET_MAX_PREFIX_UTILIZATION: f64 = 0.2;

/// Returns the maximum utilization by one prefix for a number of instances.
fn max_prefix_utilization(instances: u32) -> f64 {
    if instances <= MAX_SMALL_FLEET_INSTANCES {
        MAX_PREFIX_UTILIZATION
    } else {
        LARGE_FLEET_MAX_PREFIX_UTILIZATION
    }
}

/// Minimum age of a prefix in the demand calculation, as a fraction of the time constant. With a
/// shorter one, a few requests that arrive together would count as a high rate.
const MIN_AGE_RATIO: f64 = 1.0 / 3.0;

/// A set shrinks when the demand needs less than this fraction of its members.
const SHRINK_RATIO: f64 = 0.35;

/// Time for which the demand has to stay low before a set is halved.
const SHRINK_DELAY: Duration = Duration::from_secs(5);

/// Time after a request for which a prefix counts as recently used.
const RECENT_PERIOD: Duration = Duration::from_secs(10);

/// Returns the replica set size for a demand that keeps `busy_targets` targets busy; a power of
/// two.
pub(super) fn replicas_for(busy_targets: f64, instances: u32) -> usize {
    let needed = (busy_targets / max_prefix_utilization(instances)).ceil() as usize;
    needed.clamp(1, MAX_REPLICAS).next_power_of_two()
}

/// Smoothed demand for a prefix and the size of its replica set.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Time for which requests occupy a target, in seconds, decaying with the time constant of
    /// [`window`].
    busy_time_s: f64,
    updated: Timestamp,
    /// Start of the current series of requests.
    since: Timestamp,
    /// Size of the replica set; at least 1.
    replicas: u16,
    /// Since when the demand has been too low for the size.
    low_since: Option<Timestamp>,
}

impl Demand {
    /// Creates a demand of zero.
    pub fn new(now: Timestamp) -> Self {
        Self {
            busy_time_s: 0.0,
            updated: now,
            since: now,
            replicas: 1,
            low_since: None,
        }
    }

    /// Returns the size of the replica set.
    pub fn replicas(&self) -> usize {
        usize::from(self.replicas)
    }

    /// Records a request that keeps a target busy for `work`, in a fleet of `instances`.
    ///
    /// The size follows from the earlier requests alone. The current one carries no information
    /// about the rate: every prefix that is looked up has at least one request.
    pub fn on_request(&mut self, work: Duration, instances: u32, now: Timestamp) {
        self.refresh(instances, now);
        self.busy_time_s += work.as_secs_f64();
    }

    /// Whether requests have been counted for long enough to rely on the size.
    pub fn is_measured(&self, instances: u32) -> bool {
        self.updated.saturating_sub(self.since) >= window(instances)
    }

    /// Whether this instance has recently seen a request for the prefix.
    pub fn is_recent(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.updated) < RECENT_PERIOD
    }

    /// Updates the size without a request.
    pub fn refresh(&mut self, instances: u32, now: Timestamp) {
        let last = self.updated;
        self.decay(window(instances), now);
        self.resize(instances, last, now);
    }

    /// Decays the demand to the current time.
    fn decay(&mut self, window: Duration, now: Timestamp) {
        let elapsed = now.saturating_sub(self.updated);
        if elapsed > window {
            self.since = now;
        }
        self.busy_time_s *= (-elapsed.as_secs_f64() / window.as_secs_f64()).exp();
        self.updated = now;
    }

    /// Grows the set immediately, and halves it after each [`SHRINK_DELAY`] of lower demand. Time
    /// without requests since `last` counts as lower demand.
    ///
    /// Sizes are powers of two, so instances with slightly different demand agree on the size. Sets
    /// of different sizes would place the longer prefixes on different targets.
    fn resize(&mut self, instances: u32, last: Timestamp, now: Timestamp) {
        let window_s = window(instances).as_secs_f64();
        let age_s = now.saturating_sub(self.since).as_secs_f64();
        let age_s = age_s.max(window_s * MIN_AGE_RATIO);
        // The mean over the time since the first request; for an older prefix, over the window.
        let effective_window_s = window_s * (1.0 - (-age_s / window_s).exp());
        let busy_targets = self.busy_time_s / effective_window_s * f64::from(instances.max(1));
        let size = replicas_for(busy_targets, instances) as u16;
        let needed = busy_targets / max_prefix_utilization(instances);
        let is_low = needed < f64::from(self.replicas) * SHRINK_RATIO;
        if size >= self.replicas || !is_low {
            self.replicas = self.replicas.max(size);
            self.low_since = None;
            return;
        }
        let since = *self.low_since.get_or_insert(last);
        let steps = now.saturating_sub(since).as_millis() / SHRINK_DELAY.as_millis();
        if steps > 0 {
            let halvings = steps.min(u128::from(u16::BITS - 1)) as u32;
            self.replicas = (self.replicas >> halvings).max(size);
            self.low_since = Some(now);
        }
    }
}
