//! Expected cache hits on blocks that other instances' requests stored.

/// Observed hit rates at members of a replica set, for blocks beyond the estimated cache contents.
/// Such hits occur because requests of other instances stored the blocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplicaHitRates {
    /// For blocks that this instance has recently seen.
    recent: f64,
    /// For all other blocks.
    other: f64,
}

impl Default for ReplicaHitRates {
    fn default() -> Self {
        Self {
            recent: 0.5,
            other: 0.3,
        }
    }
}

/// Smoothing factor of [`ReplicaHitRates`].
const HIT_RATE_SMOOTHING: f64 = 0.02;

impl ReplicaHitRates {
    /// Returns the number of blocks that are expected to be cached beyond the `estimated` ones.
    /// `recent` is the number of leading blocks that this instance has recently seen, and `replica`
    /// the number of leading blocks for which the target is a replica.
    pub(super) fn expected_blocks(&self, estimated: u32, recent: u32, replica: u32) -> f64 {
        let (recent_part, other_part) = split(estimated, recent, replica);
        self.recent * f64::from(recent_part) + self.other * f64::from(other_part)
    }

    /// Updates the hit rates with the number of cached blocks that a response reported.
    pub(super) fn observe(&mut self, estimated: u32, recent: u32, replica: u32, found: u32) {
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
