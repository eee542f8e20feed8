//! Precomputed rendezvous ranking of a model's targets.

use super::{MAX_REPLICAS, TargetIndex, rendezvous_score};

/// Slots for each target, so that the first ranks spread evenly over targets.
const BUCKETS_PER_TARGET: usize = 16;

/// Bounds of the number of slots. The upper one keeps a rebuild for 1,300 targets to a few
/// million scores.
const MIN_BUCKETS: usize = 256;
const MAX_BUCKETS: usize = 4096;

/// For each slot of the hash space, the first [`MAX_REPLICAS`] targets by rendezvous score.
///
/// A lookup costs the same for any number of targets. Removing a target changes only the slots that
/// rank it, and moves the later ranks of these up by one.
#[derive(Debug, Clone, Default)]
pub struct RankTable {
    members: Vec<TargetIndex>,
    ranks: Vec<TargetIndex>,
    /// Targets ranked in each slot.
    width: usize,
    /// Number of slots minus one; the number is a power of two.
    mask: usize,
}

impl RankTable {
    /// Ranks members given with a hash of their name, which makes the ranking the same on all
    /// instances.
    pub fn new(members: &[(TargetIndex, u64)]) -> Self {
        let buckets = (members.len() * BUCKETS_PER_TARGET)
            .next_power_of_two()
            .clamp(MIN_BUCKETS, MAX_BUCKETS);
        let width = members.len().min(MAX_REPLICAS);
        let mut ranks = Vec::with_capacity(buckets * width);
        let mut scored = Vec::with_capacity(members.len());
        for bucket in 0..buckets {
            rank_bucket(bucket as u64, members, &mut scored);
            ranks.extend(scored.iter().take(width).map(|(_, target)| *target));
        }
        Self {
            members: members.iter().map(|(target, _)| *target).collect(),
            ranks,
            width,
            mask: buckets - 1,
        }
    }

    /// All members.
    pub fn members(&self) -> &[TargetIndex] {
        &self.members
    }

    /// Members in order of their score for a fingerprint; at most [`MAX_REPLICAS`].
    pub fn ranked(&self, fingerprint: u64) -> &[TargetIndex] {
        let bucket = rendezvous_score(fingerprint, 0) as usize & self.mask;
        &self.ranks[bucket * self.width..(bucket + 1) * self.width]
    }
}

fn rank_bucket(bucket: u64, members: &[(TargetIndex, u64)], scored: &mut Vec<(u64, TargetIndex)>) {
    scored.clear();
    let seed = rendezvous_score(bucket, 1);
    let scores = members
        .iter()
        .map(|(target, name_hash)| (rendezvous_score(seed, *name_hash), *target));
    scored.extend(scores);
    if scored.len() > MAX_REPLICAS {
        scored.select_nth_unstable_by(MAX_REPLICAS, |a, b| b.cmp(a));
        scored.truncate(MAX_REPLICAS);
    }
    scored.sort_unstable_by(|a, b| b.cmp(a));
}
