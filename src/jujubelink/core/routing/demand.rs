//! Size of a prefix's replica set by demand.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Most targets that a prefix is spread over; a power of two. A prefix with more demand also reaches the random
/// alternatives of each choice.
pub const MAX_REPLICAS: usize = 32;

/// Time constant of the smoothed demand in a fleet of [`WINDOW_INSTANCES`]. Instances see different
/// parts of the traffic; over a shorter time they would disagree more about the size of a set.
const DEMAND_WINDOW: Duration = Duration::from_secs(12);
const WINDOW_INSTANCES: f64 = 8.0;

/// Longest time constant.
const MAX_DEMAND_WINDOW: Duration = Duration::from_secs(90);

/// Time constant for a number of instances. Each sees a smaller part of the traffic in a larger
/// fleet and has to look at it for longer.
fn window(instances: u32) -> Duration {
    let scale = (f64::from(instances) / WINDOW_INSTANCES).sqrt().max(1.0);
    DEMAND_WINDOW.mul_f64(scale).min(MAX_DEMAND_WINDOW)
}

/// Instances up to which each sees enough of the traffic to follow the load of targets.
pub(super) const MAX_SMALL_FLEET: u32 = 32;

/// Share of a target that one prefix may use before its set grows. The rest is room for other
/// prefixes and bursts.
const MAX_PREFIX_UTILIZATION: f64 = 0.6;

/// The same in a larger fleet, where overlapping sets overload targets before instances notice.
const LARGE_FLEET_MAX_PREFIX_UTILIZATION: f64 = 0.2;

fn max_prefix_utilization(instances: u32) -> f64 {
    if instances <= MAX_SMALL_FLEET {
        MAX_PREFIX_UTILIZATION
    } else {
        LARGE_FLEET_MAX_PREFIX_UTILIZATION
    }
}

/// Part of the time constant that a new prefix's demand is spread over at least. Over a shorter time
/// a few requests that arrive together would count as a high rate.
const MIN_AGE_RATIO: f64 = 1.0 / 3.0;

/// A set shrinks when the demand would fill less than this part of it.
const SHRINK_RATIO: f64 = 0.35;

/// Time for which the demand must be lower before a set is halved.
const SHRINK_DELAY: Duration = Duration::from_secs(5);

/// Time after a request for which a prefix counts as seen lately.
const RECENT_PERIOD: Duration = Duration::from_secs(10);

/// Size of the set of a prefix that keeps `busy_targets` targets busy; a power of two.
pub(super) fn replicas_for(busy_targets: f64, instances: u32) -> usize {
    let needed = (busy_targets / max_prefix_utilization(instances)).ceil() as usize;
    needed.clamp(1, MAX_REPLICAS).next_power_of_two()
}

/// Smoothed demand for a prefix and the size of its replica set.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Target time in seconds, decaying with [`DEMAND_WINDOW`].
    busy_time_s: f64,
    updated: Timestamp,
    /// Start of the present series of requests.
    since: Timestamp,
    /// Members of the replica set; at least 1.
    replicas: u16,
    /// Since when the demand has been too low for the set.
    low_since: Option<Timestamp>,
}

impl Demand {
    /// No demand so far.
    pub fn new(now: Timestamp) -> Self {
        Self {
            busy_time_s: 0.0,
            updated: now,
            since: now,
            replicas: 1,
            low_since: None,
        }
    }

    /// Members of the replica set.
    pub fn replicas(&self) -> usize {
        usize::from(self.replicas)
    }

    /// Notes a request that keeps a target busy for `work`, while `instances` serve the fleet.
    ///
    /// The size follows from the earlier requests alone. The present one says nothing about the
    /// rate: any prefix that is looked at has at least one request.
    pub fn on_request(&mut self, work: Duration, instances: u32, now: Timestamp) {
        self.refresh(instances, now);
        self.busy_time_s += work.as_secs_f64();
    }

    /// Whether requests have been counted for long enough to trust the size.
    pub fn is_measured(&self, instances: u32) -> bool {
        self.updated.saturating_sub(self.since) >= window(instances)
    }

    /// Whether this instance has seen a request for the prefix lately.
    pub fn is_recent(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.updated) < RECENT_PERIOD
    }

    /// Adjusts the size without a request.
    pub fn refresh(&mut self, instances: u32, now: Timestamp) {
        let last = self.updated;
        self.decay(window(instances), now);
        self.resize(instances, last, now);
    }

    fn decay(&mut self, window: Duration, now: Timestamp) {
        let elapsed = now.saturating_sub(self.updated);
        if elapsed > window {
            self.since = now;
        }
        self.busy_time_s *= (-elapsed.as_secs_f64() / window.as_secs_f64()).exp();
        self.updated = now;
    }

    /// Grows at once and is halved after each [`SHRINK_DELAY`] of lower demand. Time without requests
    /// since `last` counts as lower demand.
    ///
    /// Sizes are powers of two, so that instances with slightly different demands agree on the size;
    /// sets of different sizes place the longer prefixes differently.
    fn resize(&mut self, instances: u32, last: Timestamp, now: Timestamp) {
        let window_s = window(instances).as_secs_f64();
        let age_s = now.saturating_sub(self.since).as_secs_f64();
        let age_s = age_s.max(window_s * MIN_AGE_RATIO);
        // The mean over the time since the first request, and over the window later.
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
