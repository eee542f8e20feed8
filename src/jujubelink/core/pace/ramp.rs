//! Gradual increase of the traffic of a new or returned target.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Time in which the traffic of a target rises from [`FIRST_SHARE`] of its part to all of it.
const RAMP_TIME: Duration = Duration::from_secs(5);
const FIRST_SHARE: f64 = 0.1;

/// Progress of a target that is new or has returned. Instances know neither its pace nor its limit, and all
/// of them see an idle target at the same moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Ramp {
    /// The target gets its full part of the traffic.
    #[default]
    Done,
    /// The target is new, and the time is not known yet.
    Pending,
    /// The target has been in service since then.
    Since(Timestamp),
}

impl Ramp {
    /// Records the time. Called about once per second.
    pub fn on_tick(&mut self, now: Timestamp) {
        match *self {
            Self::Pending => *self = Self::Since(now),
            Self::Since(since) if now.saturating_sub(since) >= RAMP_TIME => *self = Self::Done,
            Self::Since(_) | Self::Done => {}
        }
    }

    /// Returns the share of its requests that the target gets, from 0 to 1.
    pub fn share(&self, now: Timestamp) -> f64 {
        match self {
            Self::Done => 1.0,
            Self::Pending => FIRST_SHARE,
            Self::Since(since) => {
                let age_s = now.saturating_sub(*since).as_secs_f64();
                let share = FIRST_SHARE + (1.0 - FIRST_SHARE) * age_s / RAMP_TIME.as_secs_f64();
                share.min(1.0)
            }
        }
    }
}
