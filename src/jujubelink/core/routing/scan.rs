//! What is known about the prefixes of one prompt, collected in one pass.

use super::demand::{SMALL_FLEET, replicas_for};
use super::{MAX_REPLICAS, PrefixTable, RankTable, TargetIndex, TargetTable, rendezvous_score};
use crate::core::ids::{Fingerprint, TargetId, Timestamp};

/// Deepest believed holders that are considered beside the replica set.
const MAX_HOLDER_CANDIDATES: usize = 8;

/// In a fleet of more than [`SMALL_FLEET`] instances the sets of the first [`LEAST_LEVELS`] levels have
/// at least this part of the first level's size.
/// An instance of many sees too few requests of a new hot prefix to measure its demand, but can
/// expect a part of the demand of the first level. Deeper levels are rarely hot.
const LEAST_PART: usize = 2;
const LEAST_LEVELS: usize = 8;

/// Demand for a workspace's first level as the configuration lets expect it.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstBlockDemand {
    /// Targets that the workspace keeps busy at its whole rate.
    pub(super) busy: f64,
    /// Instances in the fleet.
    pub(super) instances: u32,
}

/// What a survey looks at.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScanInput<'a> {
    pub(super) prefixes: &'a PrefixTable,
    pub(super) targets: &'a TargetTable,
    pub(super) ranks: &'a RankTable,
    pub(super) blocks: &'a [Fingerprint],
    pub(super) excluded: &'a [TargetId],
    pub(super) first: FirstBlockDemand,
}

/// Cached and home depths of targets for one prompt. It is kept between requests to reuse its
/// memory.
#[derive(Debug, Default)]
pub(super) struct PrefixScan {
    /// Number of the request; entries with another one are void.
    mark: u64,
    /// Leading blocks that a target is believed to have cached, by target.
    believed: Vec<(u64, u32)>,
    /// Leading blocks in whose replica sets a target is, by target.
    homes: Vec<(u64, u32)>,
    /// Replica set sizes of the leading blocks.
    replicas: Vec<usize>,
    /// Leading blocks that this instance has seen lately.
    pub(super) recent_blocks: u32,
    /// Random number of the request.
    pub(super) random: u64,
    /// Targets to choose from.
    pub(super) candidates: Vec<TargetIndex>,
}

impl PrefixScan {
    /// Leading blocks that a target is believed to have cached.
    pub(super) fn believed_blocks(&self, target: TargetIndex) -> u32 {
        self.entry(&self.believed, target)
    }

    /// Leading blocks in whose replica sets a target is.
    pub(super) fn replica_blocks(&self, target: TargetIndex) -> u32 {
        self.entry(&self.homes, target)
    }

    fn entry(&self, entries: &[(u64, u32)], target: TargetIndex) -> u32 {
        match entries.get(target as usize) {
            Some((mark, depth)) if *mark == self.mark => *depth,
            _ => 0,
        }
    }

    /// Raises the size of the first level's set until its demand has been measured. Called between
    /// [`Self::collect_beliefs`] and [`Self::collect_homes`].
    fn expect_first(&mut self, input: &ScanInput<'_>) {
        let Some(block) = input.blocks.first() else {
            return;
        };
        let (prefixes, first) = (input.prefixes, input.first);
        let prefix = prefixes.get(*block);
        if prefix.is_some_and(|prefix| prefix.demand.is_measured(first.instances)) {
            return;
        }
        let expected = replicas_for(first.busy, first.instances);
        match self.replicas.first_mut() {
            Some(size) => *size = (*size).max(expected),
            None => self.replicas.push(expected),
        }
    }

    /// Collects what is known about a prompt. The candidates are the deepest believed holders and
    /// the replica set of the deepest prefix.
    pub(super) fn collect(&mut self, input: &ScanInput<'_>, now: Timestamp) {
        self.mark += 1;
        self.believed.resize(input.targets.len(), (0, 0));
        self.homes.resize(input.targets.len(), (0, 0));
        self.collect_beliefs(input.prefixes, input.targets, input.blocks, now);
        self.expect_first(input);
        self.collect_homes(input);
    }

    fn collect_beliefs(
        &mut self,
        prefixes: &PrefixTable,
        targets: &TargetTable,
        blocks: &[Fingerprint],
        now: Timestamp,
    ) {
        self.replicas.clear();
        self.candidates.clear();
        self.recent_blocks = 0;
        for (level, block) in blocks.iter().enumerate() {
            let Some(prefix) = prefixes.get(*block) else {
                break;
            };
            self.replicas.push(prefix.demand.replicas());
            if prefix.demand.is_recent(now) && self.recent_blocks as usize == level {
                self.recent_blocks += 1;
            }
            for target in prefix.holders(targets, now) {
                let entry = &mut self.believed[target as usize];
                let depth = if entry.0 == self.mark { entry.1 } else { 0 };
                if depth as usize == level {
                    *entry = (self.mark, depth + 1);
                    if level == 0 {
                        self.candidates.push(target);
                    }
                }
            }
        }
        let believed = &self.believed;
        self.candidates
            .sort_unstable_by_key(|target| std::cmp::Reverse(believed[*target as usize].1));
        self.candidates.truncate(MAX_HOLDER_CANDIDATES);
    }

    /// Finds the replica set of each level within that of the level above.
    fn collect_homes(&mut self, input: &ScanInput<'_>) {
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
        for target in ranked.take(self.replicas_at(0)) {
            set[size] = target;
            size += 1;
        }
        let least = match input.first.instances {
            ..=SMALL_FLEET => 1,
            _ => size / LEAST_PART,
        };
        for (level, block) in blocks.iter().enumerate().skip(1) {
            if size <= 1 {
                break;
            }
            let least = if level < LEAST_LEVELS { least } else { 1 };
            let wanted = self.replicas_at(level).max(least);
            if wanted < size {
                let score = |target: &TargetIndex| {
                    let name_hash = targets.get(*target).name_hash;
                    std::cmp::Reverse(rendezvous_score(*block, name_hash))
                };
                set[..size].sort_unstable_by_key(score);
                for target in &set[wanted..size] {
                    self.homes[*target as usize] = (self.mark, level as u32);
                }
                size = wanted;
            }
        }
        for target in &set[..size] {
            self.homes[*target as usize] = (self.mark, blocks.len() as u32);
            self.add(*target);
        }
    }

    fn replicas_at(&self, level: usize) -> usize {
        self.replicas.get(level).copied().unwrap_or(1)
    }

    /// Adds a candidate unless it is there.
    pub(super) fn add(&mut self, target: TargetIndex) {
        if !self.candidates.contains(&target) {
            self.candidates.push(target);
        }
    }
}
