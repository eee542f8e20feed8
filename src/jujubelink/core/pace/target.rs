//! Pace of one target, and the usual values of its service.

use std::time::Duration;

use super::{AgedMean, ConcurrencyLimit, IgnoredPace, PlacedWork, ReportedPace};
use crate::core::ids::Timestamp;

/// Bounds of the pace that decisions use. A wrong figure never takes a target out of service, nor
/// draws all work to it.
pub const MIN_PACE: f64 = 0.25;
/// Upper bound of the pace that decisions use.
pub const MAX_PACE: f64 = 8.0;

/// Time constant over which reported figures are averaged, because they change many times per second.
const RECENT_WINDOW: Duration = Duration::from_millis(300);

/// Age at which the average of the last reports has lost most of its weight against the long average.
const RECENT_LIFETIME_S: f64 = 2.0;

/// Time constant of the long average of reported figures. An instance among many hears from a target
/// about every half minute.
const LONG_WINDOW: Duration = Duration::from_secs(60);

/// Weight of reports at which the long average counts one half; the rest is a pace of 1.
const LONG_PRIOR: f64 = 0.25;

/// Time constant of observed times. A correction that has become wrong must lose its weight within
/// seconds where observations are frequent.
const OBSERVED_WINDOW: Duration = Duration::from_secs(20);

/// Weight of observations at which the observed ratio counts one half. Single observations also contain
/// waits, connections and pauses.
const OBSERVED_PRIOR: f64 = 4.0;

/// Bound of the difference between the logarithm of one observed ratio and their mean. One request that
/// was stalled for a minute would outweigh all others.
const MAX_OBSERVED_STEP: f64 = 1.5;

/// Lower bound of times whose logarithm is taken.
const MIN_OBSERVED_S: f64 = 1e-4;

/// A figure counts as frozen if so many reports over this time state the same, while the observed times
/// differ from it by more than this logarithm of a ratio.
const MIN_FROZEN_REPORTS: u32 = 16;
const MIN_FROZEN_TIME: Duration = Duration::from_secs(3);
const MIN_FROZEN_LOG: f64 = 0.25;
const MIN_FROZEN_WEIGHT: f64 = 4.0;

/// Usual values of a service, to which its targets are compared.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServicePace {
    /// Logarithm of the ratio of observed to expected times.
    observed: AgedMean,
    /// Logarithm of the paces that the targets reported at these observations.
    reported: AgedMean,
}

impl ServicePace {
    /// Creates the usual values from the mean logarithms of several targets.
    pub fn from_means(observed: f64, reported: f64, now: Timestamp) -> Self {
        let mut pace = Self::default();
        pace.observed.add(observed, OBSERVED_WINDOW, now);
        pace.reported.add(reported, OBSERVED_WINDOW, now);
        pace
    }
}

/// What an instance knows about the pace of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetPace {
    /// Logarithm of the reported figures, over [`RECENT_WINDOW`] and [`LONG_WINDOW`].
    recent: AgedMean,
    long: AgedMean,
    reported_at: Option<Timestamp>,
    /// Last figure, since when and how often in succession it has been reported.
    last: ReportedPace,
    unchanged_since: Timestamp,
    repeats: u32,
    /// Whether the figure is ignored because it no longer changes and differs from the observed times.
    is_frozen: bool,
    /// Logarithm of the ratio of observed to expected times, and of the figures at these times.
    observed: AgedMean,
    reported_then: AgedMean,
    /// Limit of concurrent work.
    pub limit: ConcurrencyLimit,
    /// Work that this instance was expected to place here.
    pub placed: PlacedWork,
}

impl TargetPace {
    /// Whether the target has ever reported a valid figure.
    pub fn has_reported(&self) -> bool {
        self.reported_at.is_some()
    }

    /// Applies the figure of a load report that counts `requests` at the target. Returns why it is
    /// ignored, if so. A target that has never reported one is not expected to.
    pub fn on_report(
        &mut self,
        pace: ReportedPace,
        requests: u32,
        now: Timestamp,
    ) -> Option<IgnoredPace> {
        let ratio = match pace.ratio() {
            Ok(ratio) => ratio,
            Err(IgnoredPace::Missing) if !self.has_reported() => return None,
            Err(reason) => return Some(reason),
        };
        if pace == self.last {
            self.repeats = self.repeats.saturating_add(1);
        } else {
            self.last = pace;
            self.repeats = 1;
            self.unchanged_since = now;
            self.is_frozen = false;
        }
        self.reported_at = Some(now);
        self.recent.add(ratio.ln(), RECENT_WINDOW, now);
        self.long.add(ratio.ln(), LONG_WINDOW, now);
        if self.is_frozen {
            return Some(IgnoredPace::Frozen);
        }
        self.limit.on_report(requests, ratio, now);
        None
    }

    /// Records that work which usually takes `expected_s` took `observed_s`, also in the usual values of
    /// the service.
    pub fn on_observed(
        &mut self,
        observed_s: f64,
        expected_s: f64,
        service: &mut ServicePace,
        now: Timestamp,
    ) {
        let mut ratio = (observed_s.max(MIN_OBSERVED_S) / expected_s.max(MIN_OBSERVED_S)).ln();
        if self.observed.weight(OBSERVED_WINDOW, now) >= 1.0 {
            let mean = self.observed.mean();
            ratio = ratio.clamp(mean - MAX_OBSERVED_STEP, mean + MAX_OBSERVED_STEP);
        }
        let reported = self.reported_log(now);
        self.observed.add(ratio, OBSERVED_WINDOW, now);
        self.reported_then.add(reported, OBSERVED_WINDOW, now);
        service.observed.add(ratio, OBSERVED_WINDOW, now);
        service.reported.add(reported, OBSERVED_WINDOW, now);
        self.is_frozen = self.contradicts_observations(service, now);
    }

    /// Returns the mean logarithms of the observed ratio and of the figures at these times, if enough
    /// has been observed.
    pub fn observed_means(&self, now: Timestamp) -> Option<(f64, f64)> {
        let is_known = self.observed.weight(OBSERVED_WINDOW, now) > 0.1;
        is_known.then(|| (self.observed.mean(), self.reported_then.mean()))
    }

    /// Returns the pace: the reported figure, corrected by what the observed times at this target differ
    /// from it more than those of the service do.
    pub fn pace(&self, service: &ServicePace, now: Timestamp) -> f64 {
        let confidence = self
            .observed
            .confidence(OBSERVED_PRIOR, OBSERVED_WINDOW, now);
        let observed = self.observed.mean() - service.observed.mean();
        let log = if self.is_frozen {
            observed * confidence
        } else {
            let reported = self.reported_then.mean() - service.reported.mean();
            self.reported_log(now) + (observed - reported) * confidence
        };
        log.exp().clamp(MIN_PACE, MAX_PACE)
    }

    /// Returns the logarithm of the reported pace. With its age it falls back to the long average, and
    /// that to a pace of 1.
    fn reported_log(&self, now: Timestamp) -> f64 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        let long = self.long.mean() * self.long.confidence(LONG_PRIOR, LONG_WINDOW, now);
        let age_s = now.saturating_sub(at).as_secs_f64();
        long + (self.recent.mean() - long) * (-age_s / RECENT_LIFETIME_S).exp()
    }

    /// Whether the figure no longer changes and differs from the observed times.
    fn contradicts_observations(&self, service: &ServicePace, now: Timestamp) -> bool {
        let is_unchanged = self.repeats >= MIN_FROZEN_REPORTS
            && now.saturating_sub(self.unchanged_since) >= MIN_FROZEN_TIME;
        if !is_unchanged || self.observed.weight(OBSERVED_WINDOW, now) < MIN_FROZEN_WEIGHT {
            return false;
        }
        let observed = self.observed.mean() - service.observed.mean();
        let reported = self.reported_then.mean() - service.reported.mean();
        (observed - reported).abs() > MIN_FROZEN_LOG
    }
}
