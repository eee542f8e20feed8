//! Share of the work at targets that is ahead of a request of a given rank.

use std::time::Duration;

use super::urgency::{MAX_RANK, Rank};
use crate::core::ids::Timestamp;

/// Time constant of the sums, in seconds. An instance of a large fleet sends a few requests per second,
/// so that a shorter one would leave too few of them to tell the shares.
const MIX_WINDOW_S: f64 = 5.0;

/// Work per rank that this instance has sent recently. It stands for the work of all instances, because
/// requests are spread over the instances regardless of their rank.
#[derive(Debug, Clone, Default)]
pub struct WorkMix {
    sent_s: [f64; MAX_RANK as usize + 1],
    updated_at: Timestamp,
}

impl WorkMix {
    /// Records the prefill time of a request that was sent.
    pub fn on_sent(&mut self, rank: Rank, prefill: Duration, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-elapsed_s / MIX_WINDOW_S).exp();
        self.sent_s.iter_mut().for_each(|sent_s| *sent_s *= decay);
        self.updated_at = self.updated_at.max(now);
        self.sent_s[usize::from(rank.min(MAX_RANK))] += prefill.as_secs_f64();
    }

    /// Returns the share of work that targets admit before a new request of a rank or that has the same
    /// rank; 1 if nothing is known.
    pub fn share_ahead(&self, rank: Rank) -> f64 {
        let total: f64 = self.sent_s.iter().sum();
        let ahead: f64 = self.sent_s[..=usize::from(rank.min(MAX_RANK))].iter().sum();
        match total > 0.0 {
            true => ahead / total,
            false => 1.0,
        }
    }
}
