//! Urgency of a request, from the times that its route states.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Rank of a request among others; 0 is the most urgent. It is also the priority sent to engines.
pub type Rank = u8;

/// Rank of a request that can no longer meet its objective.
pub const LATE_RANK: Rank = 7;

/// Highest rank, which is the lowest priority that engines know.
pub const MAX_RANK: Rank = 9;

/// Time left to the objective from which a request has the rank 0. Each doubling adds one rank.
const MOST_URGENT: Duration = Duration::from_millis(250);

/// Highest rank of a request that can still meet its objective.
const MAX_TIMELY_RANK: Rank = 5;

/// Ranks by which a request rises at most while its time runs out. A route with a long objective usually
/// has long requests. If they rose further, each would make several short ones late at the last moment.
const MAX_RISE: Rank = 1;

/// Priority that engines assume if none is sent. Requests with a configured priority beyond it are
/// background work, whose rank is never more urgent than configured.
const DEFAULT_PRIORITY: Rank = 5;

/// What a request should achieve. All times are on one clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Aims {
    /// When the request arrived.
    pub arrived: Timestamp,
    /// Latest time of a send after which the request can still meet its objective.
    pub latest_start: Timestamp,
    /// End of the time for which the client waits.
    pub deadline: Timestamp,
    /// Configured priority.
    pub priority: u8,
    /// Whether the client has received a part of the response. The rest is always urgent.
    pub is_begun: bool,
}

impl Aims {
    /// Returns the same aims on another clock. `now` is the time on the present clock and `other_now`
    /// the same moment on the other one.
    pub fn on_clock(self, now: Timestamp, other_now: Timestamp) -> Self {
        let convert = |time: Timestamp| {
            let left = other_now.saturating_add(time.saturating_sub(now));
            left.saturating_sub(now.saturating_sub(time))
        };
        Self {
            arrived: convert(self.arrived),
            latest_start: convert(self.latest_start),
            deadline: convert(self.deadline),
            ..self
        }
    }

    /// Whether the request can still meet its objective.
    pub fn is_timely(&self, now: Timestamp) -> bool {
        self.is_begun || now <= self.latest_start
    }

    /// Returns the rank of the request.
    pub fn rank(&self, now: Timestamp) -> Rank {
        if self.is_begun {
            return 0;
        }
        let urgency = match self.is_timely(now) {
            true => {
                let floor = octave(self.latest_start - self.arrived.min(self.latest_start));
                octave(self.latest_start - now).max(floor.saturating_sub(MAX_RISE))
            }
            false => LATE_RANK,
        };
        match self.priority > DEFAULT_PRIORITY {
            true => urgency.max(self.priority).min(MAX_RANK),
            false => urgency,
        }
    }
}

/// Returns the rank for the time left to the objective.
fn octave(left: Duration) -> Rank {
    (0..MAX_TIMELY_RANK)
        .find(|rank| left <= MOST_URGENT * (1 << rank))
        .unwrap_or(MAX_TIMELY_RANK)
}
