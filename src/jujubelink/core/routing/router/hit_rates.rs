//! Expected hits on blocks that other instances stored.

/// Observed part of the blocks that a replica set's member has cached although this instance does
/// not know it, because requests of other instances stored them there.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplicaHitRates {
    /// For blocks that this instance has seen lately.
    recent: f64,
    /// For other blocks.
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

/// Weight of one response in [`ReplicaHitRates`].
const HIT_RATE_SMOOTHING: f64 = 0.02;

impl ReplicaHitRates {
    /// Blocks that are expected to be cached beyond the estimated ones.
    pub(super) fn expected_blocks(&self, estimated: u32, recent: u32, replica: u32) -> f64 {
        let (recent_part, other_part) = split(estimated, recent, replica);
        self.recent * f64::from(recent_part) + self.other * f64::from(other_part)
    }

    /// Learns from the blocks that a response found.
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

/// Number of blocks from `estimated` to `replica` below and above `recent`.
fn split(estimated: u32, recent: u32, replica: u32) -> (u32, u32) {
    let boundary = recent.clamp(estimated, replica.max(estimated));
    (boundary - estimated, replica.max(boundary) - boundary)
}
