//! This instance's part of a store's link.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Fetches that are allowed, against the link. They are counted by what targets are believed to lack,
/// which is more than what moves: at 1.0 quiet days read more again, at 2.5 the recovery after an
/// outage of all machines took as long as without a limit.
const FETCH_OVERCOMMIT_RATIO: f64 = 1.5;

/// Time for which an unused part may be made up for. A transfer waits behind all before it.
const BURST_DURATION: Duration = Duration::from_millis(500);

/// What this instance may have fetched from a store, in bytes.
///
/// All engines fetch over the one link of a store, and transfers run one after another. When many
/// clients come at once, as after an outage, waiting for the link takes longer than reading the prompt
/// again. This answers sites whose load, fetched whole, is more than the link carries.
#[derive(Debug, Default)]
pub struct LinkBudget {
    available_bytes: f64,
    updated: Timestamp,
}

impl LinkBudget {
    /// Takes a fetch of `bytes`. `link_bytes_per_s` is shared by `instances`. A fetch that is larger
    /// than the burst waits for a full budget.
    pub fn try_acquire(
        &mut self,
        bytes: f64,
        link_bytes_per_s: f64,
        instances: usize,
        now: Timestamp,
    ) -> bool {
        let rate = link_bytes_per_s * FETCH_OVERCOMMIT_RATIO / instances.max(1) as f64;
        let burst = rate * BURST_DURATION.as_secs_f64();
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        self.available_bytes = (self.available_bytes + rate * elapsed_s).min(burst);
        self.updated = now;
        if self.available_bytes < bytes.min(burst) {
            return false;
        }
        self.available_bytes -= bytes;
        true
    }
}
