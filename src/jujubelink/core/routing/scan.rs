//! Looks up the prefixes of one prompt: where they are cached, and which targets are their
//! replicas.

use super::demand::{MAX_SMALL_FLEET_INSTANCES, replicas_for};
use super::router::ExpectedShare;
use super::{MAX_REPLICAS, PrefixTable, RankTable, TargetIndex, TargetTable, rendezvous_score};
use crate::core::ids::{Fingerprint, TargetId, Timestamp};

/// Maximum number of candidates by estimated cache contents. The targets with the longest cached
/// prefix are taken.
const MAX_HOLDER_CANDIDATES: usize = 8;

/// In a fleet of more than [`MAX_SMALL_FLEET_INSTANCES`] instances, the replica sets at the first
/// [`MIN_SIZE_DEPTHS`] depths have at least the first block's set size divided by this.
///
/// One of many instances sees too few requests of a new hot prefix to measure its demand, but it
/// can expect a part of the first block's demand. Deeper prefixes are rarely hot.
const MIN_SIZE_DIVISOR: usize = 2;
const MIN_SIZE_DEPTHS: usize = 8;

/// Demand for the first block of a workspace's prompts, as expected from the configuration.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstBlockDemand {
    /// Number of targets that the workspace keeps busy at its full rate.
    pub(super) busy_targets: f64,
    /// Instances in the fleet.
    pub(super) instances: u32,
}

/// Input of a scan.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScanInput<'a> {
    pub(super) prefixes: &'a PrefixTable,
    pub(super) targets: &'a TargetTable,
    pub(super) ranks: &'a RankTable,
    pub(super) blocks: &'a [Fingerprint],
    pub(super) excluded: &'a [TargetId],
    pub(super) first_block: FirstBlockDemand,
}

/// Result of a scan: for each target, how many leading blocks it has cached and for how many it is
/// a replica. The value is reused between requests to reuse its allocations.
#[derive(Debug, Default)]
pub(super) struct PrefixScan {
    /// Number of the current request; entries with another number are stale.
    request_number: u64,
    /// For each target, the request number and the number of leading blocks that the target is
    /// estimated to have cached.
    cached_depths: Vec<(u64, u32)>,
    /// For each target, the request number and the number of leading blocks whose replica sets
    /// contain the target.
    replica_depths: Vec<(u64, u32)>,
    /// Replica set sizes of the leading blocks.
    set_sizes: Vec<usize>,
    /// Number of leading blocks that this instance has recently seen.
    pub(super) recent_blocks: u32,
    /// Random number of the request.
    pub(super) random: u64,
    /// Targets to choose from.
    pub(super) candidates: Vec<TargetIndex>,
    /// Probabilities with which the candidates were chosen, if the choice was random.
    pub(super) shares: Vec<ExpectedShare>,
}

impl PrefixScan {
    /// Returns the number of leading blocks that a target is estimated to have cached.
    pub(super) fn cached_blocks(&self, target: TargetIndex) -> u32 {
        self.entry(&self.cached_depths, target)
    }

    /// Returns the number of leading blocks whose replica sets contain a target.
    pub(super) fn replica_blocks(&self, target: TargetIndex) -> u32 {
        self.entry(&self.replica_depths, target)
    }

    fn entry(&self, entries: &[(u64, u32)], target: TargetIndex) -> u32 {
        match entries.get(target as usize) {
            Some((request_number, depth)) if *request_number == self.request_number => *depth,
            _ => 0,
        }
    }

    /// Raises the first block's set size to the expected demand until the actual demand has been
    /// measured. Runs between [`Self::collect_cached`] and [`Self::collect_replicas`].
    fn apply_expected_demand(&mut self, input: &ScanInput<'_>) {
        let Some(block) = input.blocks.first() else {
            return;
        };
        let (prefixes, first) = (input.prefixes, input.first_block);
        let prefix = prefixes.get(*block);
        if prefix.is_some_and(|prefix| prefix.demand.is_measured(first.instances)) {
            return;
        }
        let expected = replicas_for(first.busy_targets, first.instances);
        match self.set_sizes.first_mut() {
            Some(size) => *size = (*size).max(expected),
            None => self.set_sizes.push(expected),
        }
    }

    /// Scans a prompt. The candidates are the targets with the longest cached prefix and the
    /// replica set of the longest prefix.
    pub(super) fn collect(&mut self, input: &ScanInput<'_>, now: Timestamp) {
        self.request_number += 1;
        self.cached_depths.resize(input.targets.len(), (0, 0));
        self.replica_depths.resize(input.targets.len(), (0, 0));
        self.collect_cached(input.prefixes, input.targets, input.blocks, now);
        self.apply_expected_demand(input);
        self.collect_replicas(input);
    }

    /// Reads the cache index: how many leading blocks each target has cached, without gaps, and the
    /// sizes of the replica sets.
    fn collect_cached(
        &mut self,
        prefixes: &PrefixTable,
        targets: &TargetTable,
        blocks: &[Fingerprint],
        now: Timestamp,
    ) {
        self.set_sizes.clear();
        self.candidates.clear();
        self.shares.clear();
        self.recent_blocks = 0;
        for (depth, block) in blocks.iter().enumerate() {
            let Some(prefix) = prefixes.get(*block) else {
                break;
            };
            self.set_sizes.push(prefix.demand.replicas());
            if prefix.demand.is_recent(now) && self.recent_blocks as usize == depth {
                self.recent_blocks += 1;
            }
            for target in prefix.holders(targets, now) {
                let entry = &mut self.cached_depths[target as usize];
                let cached_depth = if entry.0 == self.request_number {
                    entry.1
                } else {
                    0
                };
                if cached_depth as usize == depth {
                    *entry = (self.request_number, cached_depth + 1);
                    if depth == 0 {
                        self.candidates.push(target);
                    }
                }
            }
        }
        let cached_depths = &self.cached_depths;
        self.candidates
            .sort_unstable_by_key(|target| std::cmp::Reverse(cached_depths[*target as usize].1));
        self.candidates.truncate(MAX_HOLDER_CANDIDATES);
    }

    /// Selects the replica set at each depth from the set at the depth above.
    fn collect_replicas(&mut self, input: &ScanInput<'_>) {
        let (targets, blocks) = (input.targets, input.blocks);
        let Some(first) = blocks.first() else {
            return;
        };
        let is_usable = |target: &TargetIndex| {
            let state = targets.get(*target);
            state.is_in_service() && !input.excluded.contains(&state.id)
        };
        let ranked = input.ranks.ranked(*first).iter().copied().filter(is_usable);
        let mut set = [0; MAX_REPLICAS];
        let mut size = 0;
        for target in ranked.take(self.set_size_at(0)) {
            set[size] = target;
            size += 1;
        }
        let min_size = match input.first_block.instances {
            ..=MAX_SMALL_FLEET_INSTANCES => 1,
            _ => size / MIN_SIZE_DIVISOR,
        };
        for (depth, block) in blocks.iter().enumerate().skip(1) {
            if size <= 1 {
                break;
            }
            let min_size = if depth < MIN_SIZE_DEPTHS { min_size } else { 1 };
            let needed = self.set_size_at(depth).max(min_size);
            if needed < size {
                let score = |target: &TargetIndex| {
                    let name_hash = targets.get(*target).name_hash;
                    std::cmp::Reverse(rendezvous_score(*block, name_hash))
                };
                set[..size].sort_unstable_by_key(score);
                for target in &set[needed..size] {
                    self.replica_depths[*target as usize] = (self.request_number, depth as u32);
                }
                size = needed;
            }
        }
        for target in &set[..size] {
            self.replica_depths[*target as usize] = (self.request_number, blocks.len() as u32);
            self.add(*target);
        }
    }

    /// Returns the size of the replica set at a depth. A prefix without measured demand has one
    /// replica.
    fn set_size_at(&self, depth: usize) -> usize {
        self.set_sizes.get(depth).copied().unwrap_or(1)
    }

    /// Adds a candidate unless it is already present.
    pub(super) fn add(&mut self, target: TargetIndex) {
        if !self.candidates.contains(&target) {
            self.candidates.push(target);
        }
    }
}
