//! Precomputed rendezvous ranking of a model's targets.

use super::{MAX_REPLICAS, TargetIndex, rendezvous_score};

/// Hash buckets for each target, enough to spread the first ranks evenly over the targets.
const BUCKETS_PER_TARGET: usize = 16;

/// Bounds of the number of buckets. The upper bound limits a rebuild for 1,300 targets to a few
/// million scores.
const MIN_BUCKETS: usize = 256;
const MAX_BUCKETS: usize = 4096;

/// For each bucket of the hash space, the first [`MAX_REPLICAS`] targets by rendezvous score.
///
/// A lookup costs the same for any number of targets. Removing a target changes only the buckets
/// that rank it, where each lower-ranked target moves up by one.
#[derive(Debug, Clone, Default)]
pub struct RankTable {
    members: Vec<TargetIndex>,
    ranks: Vec<TargetIndex>,
    /// Number of targets ranked in each bucket.
    width: usize,
    /// Number of buckets minus one; the number of buckets is a power of two.
    mask: usize,
}

impl RankTable {
    /// Ranks the given targets. Each comes with a hash of its name, so all instances compute the
    /// same ranking.
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

    /// Returns all ranked targets.
    pub fn members(&self) -> &[TargetIndex] {
        &self.members
    }

    /// Returns the targets in descending order of their score for a fingerprint, at most
    /// [`MAX_REPLICAS`].
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
