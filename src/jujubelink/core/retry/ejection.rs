//! Ejection of failing targets and their gradual return to service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::ids::Timestamp;

/// Number of consecutive failures that ejects a target.
const MIN_CONSECUTIVE_FAILURES: u32 = 5;

/// Minimum number of outcomes in [`RATE_WINDOW`] for an ejection by failure rate.
const MIN_OUTCOMES: usize = 20;
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of outcomes stored for a target; the oldest is dropped at the limit.
const MAX_OUTCOMES: usize = 64;

/// Duration of an ejection; doubles with each further ejection until the target has fully returned.
const EJECTION_DURATION: Duration = Duration::from_secs(5);
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Fraction of normal traffic right after an ejection, and the period after which it doubles.
const FIRST_TRAFFIC_FRACTION: f64 = 0.1;
const TRAFFIC_DOUBLING_PERIOD: Duration = Duration::from_secs(5);

/// Time without any response of a target from which a request that timed out there counts as a failure. A
/// sound target may be silent for about a second, for one request or for all.
const MIN_FAILURE_SILENCE: Duration = Duration::from_secs(2);

/// Maximum percentage of the targets of a model or route that may be ejected at the same time.
pub const MAX_EJECTED_PERCENT: usize = 30;

/// The same for the targets of a plain service, which may have only two.
pub const MAX_EJECTED_SERVICE_PERCENT: usize = 50;

/// Ejection state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ejection {
    /// In service.
    None,
    /// Out of service.
    Ejected {
        /// End of the ejection.
        until: Timestamp,
    },
    /// In service again with increasing traffic.
    Returning {
        /// End of the ejection.
        since: Timestamp,
    },
}

/// Recent outcomes and ejection state of one target.
#[derive(Debug, Clone)]
pub struct TargetHealth {
    consecutive_failures: u32,
    outcomes: VecDeque<(Timestamp, bool)>,
    ejection: Ejection,
    consecutive_ejections: u32,
    /// When the target last started or ended a response.
    last_response_at: Timestamp,
    /// When the first request since then was sent.
    unanswered_since: Option<Timestamp>,
    /// Number of requests sent since then, except those that say nothing about the silence.
    unanswered: u32,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            outcomes: VecDeque::new(),
            ejection: Ejection::None,
            consecutive_ejections: 0,
            last_response_at: Timestamp::ZERO,
            unanswered_since: None,
            unanswered: 0,
        }
    }
}

impl TargetHealth {
    /// Records a request that is sent to the target.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
        self.unanswered += 1;
    }

    /// Records that the target has started or ended a response.
    pub fn on_response(&mut self, now: Timestamp) {
        self.last_response_at = now;
        self.unanswered_since = None;
        self.unanswered = 0;
    }

    /// Records that a request sent at `sent_at` was cancelled or refused before its response. Without another
    /// request that waits, it is not known how long the target goes on being silent.
    pub fn on_withdrawn(&mut self, sent_at: Timestamp) {
        if sent_at < self.last_response_at {
            return;
        }
        self.unanswered = self.unanswered.saturating_sub(1);
        if self.unanswered == 0 {
            self.unanswered_since = None;
        }
    }

    /// Whether the timeout of a request that was sent at `sent_at` is a failure of the target. It is none if
    /// the target has responded to another request a moment ago.
    pub fn is_timeout_a_failure(&self, sent_at: Timestamp, now: Timestamp) -> bool {
        let silent_since = match self.unanswered_since {
            Some(since) if sent_at > self.last_response_at => since,
            _ => self.last_response_at.max(sent_at),
        };
        now.saturating_sub(silent_since) >= MIN_FAILURE_SILENCE
    }

    /// Records the outcome of an attempt. Returns whether the target should be ejected.
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
        // One failure is enough to eject a target that has just returned.
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

    /// Returns the fraction of normal traffic that the target may receive, from 0 to 1, and
    /// advances the ejection state.
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
