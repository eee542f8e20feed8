//! Ejection of failing targets and their gradual return.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::ids::Timestamp;

/// Consecutive failures that eject a target.
const MIN_CONSECUTIVE_FAILURES: u32 = 5;

/// Outcomes in [`RATE_WINDOW`] that are needed to judge a target by its failure rate.
const MIN_OUTCOMES: usize = 20;
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Outcomes kept for a target; the oldest is dropped at the bound.
const MAX_OUTCOMES: usize = 64;

/// Time of an ejection; it doubles with each further one before a full return.
const EJECTION_DURATION: Duration = Duration::from_secs(5);
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Share of normal traffic on return, and the time after which it doubles.
const FIRST_TRAFFIC_FRACTION: f64 = 0.1;
const TRAFFIC_DOUBLING_PERIOD: Duration = Duration::from_secs(5);

/// Largest part of a model's targets that may be ejected at once.
pub const MAX_EJECTED_PERCENT: usize = 30;

/// Whether a target is ejected, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ejection {
    /// In service.
    None,
    /// Out of service until the time.
    Ejected {
        /// End of the ejection.
        until: Timestamp,
    },
    /// Returning since the time.
    Returning {
        /// Start of the return.
        since: Timestamp,
    },
}

/// Outcomes of one target.
#[derive(Debug, Clone)]
pub struct TargetHealth {
    consecutive_failures: u32,
    outcomes: VecDeque<(Timestamp, bool)>,
    ejection: Ejection,
    consecutive_ejections: u32,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            outcomes: VecDeque::new(),
            ejection: Ejection::None,
            consecutive_ejections: 0,
        }
    }
}

impl TargetHealth {
    /// Notes the outcome of an attempt. Returns whether the target should be ejected.
    pub fn on_outcome(&mut self, is_failure: bool, now: Timestamp) -> bool {
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, is_failure));
        self.consecutive_failures = if is_failure {
            self.consecutive_failures + 1
        } else {
            0
        };
        let is_ejected = matches!(self.ejection, Ejection::Ejected { .. });
        is_failure && !is_ejected && self.is_failing(now)
    }

    fn is_failing(&self, now: Timestamp) -> bool {
        let recent = self
            .outcomes
            .iter()
            .filter(|(at, _)| now.saturating_sub(*at) <= RATE_WINDOW);
        let (mut total, mut failed) = (0, 0);
        for (_, is_failure) in recent {
            total += 1;
            failed += usize::from(*is_failure);
        }
        let is_rate_high = total >= MIN_OUTCOMES && failed * 2 > total;
        // A target on its way back has no credit: one failure is enough.
        let is_returning = matches!(self.ejection, Ejection::Returning { .. });
        self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES || is_rate_high || is_returning
    }

    /// Ejects the target.
    pub fn eject(&mut self, now: Timestamp) {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
        self.outcomes.clear();
        self.ejection = Ejection::Ejected {
            until: now + EJECTION_DURATION * 2u32.pow(doublings),
        };
    }

    /// Whether the target is ejected.
    pub fn is_ejected(&self) -> bool {
        matches!(self.ejection, Ejection::Ejected { .. })
    }

    /// Share of normal traffic that the target may get now, from 0 to 1.
    pub fn traffic_fraction(&mut self, now: Timestamp) -> f64 {
        if let Ejection::Ejected { until } = self.ejection {
            if now < until {
                return 0.0;
            }
            self.ejection = Ejection::Returning { since: until };
        }
        let Ejection::Returning { since } = self.ejection else {
            return 1.0;
        };
        let doublings =
            now.saturating_sub(since).as_secs_f64() / TRAFFIC_DOUBLING_PERIOD.as_secs_f64();
        let fraction = FIRST_TRAFFIC_FRACTION * 2f64.powi(doublings as i32);
        if fraction >= 1.0 {
            self.ejection = Ejection::None;
            self.consecutive_ejections = 0;
        }
        fraction.min(1.0)
    }
}
