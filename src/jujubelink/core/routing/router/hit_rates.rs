//! Expected hits on blocks that other instances stored.

/// Observed part of the blocks that a replica set's member has cached although this instance does
/// not know it, because requests of other instances stored them there.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplicaHitRates {
    /// For blocks that this instance has seen lately.
    known: f64,
    /// For other blocks.
    unknown: f64,
}

impl Default for ReplicaHitRates {
    fn default() -> Self {
        Self {
            known: 0.5,
            unknown: 0.3,
        }
    }
}

/// Weight of one response in [`ReplicaHitRates`].
const PRIOR_GAIN: f64 = 0.02;

impl ReplicaHitRates {
    /// Blocks that are expected to be cached beyond the believed ones.
    pub(super) fn expected_blocks(&self, believed: u32, known: u32, home: u32) -> f64 {
        let (known_part, unknown_part) = split(believed, known, home);
        self.known * f64::from(known_part) + self.unknown * f64::from(unknown_part)
    }

    /// Learns from the blocks that a response found.
    pub(super) fn observe(&mut self, believed: u32, known: u32, home: u32, found: u32) {
        let (known_part, unknown_part) = split(believed, known, home);
        let (known_found, unknown_found) = split(believed, known, home.min(found));
        let learn = |prior: &mut f64, part: u32, found: u32| {
            if part > 0 {
                *prior += PRIOR_GAIN * (f64::from(found) / f64::from(part) - *prior);
            }
        };
        learn(&mut self.known, known_part, known_found);
        learn(&mut self.unknown, unknown_part, unknown_found);
    }
}

/// Number of blocks from `believed` to `home` below and above `known`.
fn split(believed: u32, known: u32, home: u32) -> (u32, u32) {
    let border = known.clamp(believed, home.max(believed));
    (border - believed, home.max(border) - border)
}
