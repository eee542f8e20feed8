//! Limit on the bytes that engines fetch over the link of a KV cache store.

use std::time::Duration;

use crate::core::ids::Timestamp;

/// Fetches allowed per second, relative to the capacity of the link. Fetches are counted by the
/// tokens that targets are estimated to lack, which is more than they actually transfer. With 1.0,
/// more prompts were recomputed under low load. With 2.5, the recovery after an outage of all
/// machines took as long as without a limit.
const FETCH_OVERCOMMIT_RATIO: f64 = 1.5;

/// Time for which unused capacity accumulates. A transfer is queued behind all earlier ones.
const BURST_DURATION: Duration = Duration::from_millis(500);

/// Token bucket for the bytes that this instance's requests may fetch from one store.
///
/// All engines fetch over a single link of the store, which runs one transfer after another. When
/// many clients arrive at once, for example after an outage, waiting for the link takes longer than
/// computing the prompt again. The limit matters at sites whose requests, fetched completely,
/// exceed the capacity of the link.
#[derive(Debug, Default)]
pub struct LinkBudget {
    available_bytes: f64,
    updated: Timestamp,
}

impl LinkBudget {
    /// Acquires the budget for a fetch of `bytes`. `link_bytes_per_s` is divided among `instances`.
    /// A fetch larger than the burst needs a full budget. Returns whether the fetch is allowed.
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
