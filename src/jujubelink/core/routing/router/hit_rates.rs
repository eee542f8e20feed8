//! Expected cache hits on blocks that other instances' requests stored.

use crate::core::routing::MAX_SMALL_FLEET_INSTANCES;

/// Observed hit rates at members of a replica set, for blocks beyond the estimated cache contents.
/// Such hits occur because requests of other instances stored the blocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplicaHitRates {
    /// For blocks that this instance has recently seen.
    recent: f64,
    /// For all other blocks.
    other: f64,
    /// Whether a response has stated how much was cached.
    is_observed: bool,
    /// Whether a complete response has not stated it.
    is_unstated: bool,
}

impl Default for ReplicaHitRates {
    fn default() -> Self {
        Self {
            recent: 0.5,
            other: 0.3,
            is_observed: false,
            is_unstated: false,
        }
    }
}

/// Hit rate that is assumed in a fleet of more than [`MAX_SMALL_FLEET_INSTANCES`] instances whose responses do
/// not state how much was cached, as on the platform. The other instances send nearly all
/// requests for a prefix, to the same members. With 0.5 and 0.3, the members seemed hardly cheaper than other
/// targets, and a simulated fleet of 85 instances prefilled three times as many shared tokens again.
const LARGE_FLEET_HIT_RATE: f64 = 1.0;

/// Smoothing factor of [`ReplicaHitRates`].
const HIT_RATE_SMOOTHING: f64 = 0.02;

impl ReplicaHitRates {
    /// Returns the number of blocks that are expected to be cached beyond the `estimated` ones.
    /// `recent` is the number of leading blocks that this instance has recently seen, and `replica`
    /// the number of leading blocks for which the target is a replica.
    pub(super) fn expected_blocks(
        &self,
        estimated: u32,
        recent: u32,
        replica: u32,
        instances: u32,
    ) -> f64 {
        let (recent_part, other_part) = split(estimated, recent, replica);
        let is_unknown = self.is_unstated && !self.is_observed;
        if is_unknown && instances > MAX_SMALL_FLEET_INSTANCES {
            return LARGE_FLEET_HIT_RATE * f64::from(recent_part + other_part);
        }
        self.recent * f64::from(recent_part) + self.other * f64::from(other_part)
    }

    /// Records a complete response that does not state how much was cached.
    pub(super) fn on_unstated(&mut self) {
        self.is_unstated = true;
    }

    /// Updates the hit rates with the number of cached blocks that a response reported.
    pub(super) fn observe(&mut self, estimated: u32, recent: u32, replica: u32, found: u32) {
        self.is_observed = true;
        let (recent_part, other_part) = split(estimated, recent, replica);
        let (recent_found, other_found) = split(estimated, recent, replica.min(found));
        let update = |rate: &mut f64, part: u32, found: u32| {
            if part > 0 {
                *rate += HIT_RATE_SMOOTHING * (f64::from(found) / f64::from(part) - *rate);
            }
        };
        update(&mut self.recent, recent_part, recent_found);
        update(&mut self.other, other_part, other_found);
    }
}

/// Splits the blocks from `estimated` to `replica` at `recent`, and returns both counts.
fn split(estimated: u32, recent: u32, replica: u32) -> (u32, u32) {
    let boundary = recent.clamp(estimated, replica.max(estimated));
    (boundary - estimated, replica.max(boundary) - boundary)
}
