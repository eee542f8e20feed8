//! What this instance believes about prefixes: demand and holders.

use std::num::NonZeroUsize;

use lru::LruCache;

use super::{Demand, TargetIndex, TargetTable};
use crate::core::ids::{Fingerprint, Timestamp};

/// Prefixes kept; the one that was used least recently is dropped at the bound.
pub const MAX_PREFIXES: usize = 65_536;

/// Believed holders of a prefix; the oldest belief is replaced at the bound.
const MAX_HOLDERS: usize = 32;

/// A belief that a target has a block cached.
#[derive(Debug, Clone, Copy)]
struct Holder {
    target: TargetIndex,
    /// The target's generation when the belief was formed.
    generation: u32,
    /// Last known use of the block.
    seen_at: Timestamp,
}

/// Demand for a prefix and its believed holders.
#[derive(Debug)]
pub(super) struct Prefix {
    pub(super) demand: Demand,
    holders: Vec<Holder>,
}

impl Prefix {
    /// Targets that are believed to hold the prefix.
    pub(super) fn holders<'a>(
        &'a self,
        targets: &'a TargetTable,
        now: Timestamp,
    ) -> impl Iterator<Item = TargetIndex> + 'a {
        let is_valid = move |holder: &&Holder| {
            let target = targets.get(holder.target);
            target.is_estimate_valid(holder.generation, holder.seen_at, now)
        };
        self.holders.iter().filter(is_valid).map(|held| held.target)
    }

    /// Notes that a target uses or stored the block.
    pub(super) fn store(&mut self, target: TargetIndex, generation: u32, now: Timestamp) {
        let belief = Holder {
            target,
            generation,
            seen_at: now,
        };
        let holders = &mut self.holders;
        if let Some(held) = holders.iter_mut().find(|held| held.target == target) {
            *held = belief;
        } else if holders.len() < MAX_HOLDERS {
            holders.push(belief);
        } else if let Some(oldest) = holders.iter_mut().min_by_key(|held| held.seen_at) {
            *oldest = belief;
        }
    }
}

/// Demand and believed holders of prefixes.
#[derive(Debug)]
pub struct PrefixTable {
    prefixes: LruCache<Fingerprint, Prefix>,
}

impl Default for PrefixTable {
    fn default() -> Self {
        let bound = NonZeroUsize::new(MAX_PREFIXES).expect("a positive bound");
        Self {
            prefixes: LruCache::new(bound),
        }
    }
}

impl PrefixTable {
    /// A prefix, if it is known here.
    pub(super) fn get(&self, fingerprint: Fingerprint) -> Option<&Prefix> {
        self.prefixes.peek(&fingerprint)
    }

    /// A prefix, which is added if it is new.
    pub(super) fn get_or_add(&mut self, fingerprint: Fingerprint, now: Timestamp) -> &mut Prefix {
        self.prefixes.get_or_insert_mut(fingerprint, || Prefix {
            demand: Demand::new(now),
            holders: Vec::new(),
        })
    }

    /// Whether a prefix is known here.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.prefixes.contains(&fingerprint)
    }

    /// Last known use of a block at a target, whether or not the belief has expired.
    pub fn last_use(
        &self,
        fingerprint: Fingerprint,
        target: TargetIndex,
        generation: u32,
    ) -> Option<Timestamp> {
        let prefix = self.prefixes.peek(&fingerprint)?;
        let holder = prefix.holders.iter().find(|held| held.target == target)?;
        (holder.generation == generation).then_some(holder.seen_at)
    }

    /// Notes that a target no longer has a block.
    pub fn evict(&mut self, fingerprint: Fingerprint, target: TargetIndex) {
        if let Some(prefix) = self.prefixes.peek_mut(&fingerprint) {
            prefix.holders.retain(|held| held.target != target);
        }
    }
}
