//! Demand and estimated cache contents for each prefix.
//!
//! The table is an approximate cache index: targets evict blocks without notice, so an entry is an
//! estimate that expires after the target's observed block lifetime.

use std::num::NonZeroUsize;

use lru::LruCache;

use super::missing::HolderUse;
use super::{Demand, TargetIndex, TargetTable};
use crate::core::ids::{Fingerprint, Timestamp};

/// Maximum number of prefixes; the least recently used one is evicted.
pub const MAX_PREFIXES: usize = 65_536;

/// Maximum number of holders stored for a prefix; the one seen longest ago is replaced.
const MAX_HOLDERS: usize = 32;

/// A target that is estimated to have a block cached.
#[derive(Debug, Clone, Copy)]
struct Holder {
    target: TargetIndex,
    /// The target's generation when the entry was written.
    generation: u32,
    /// Last observed use of the block.
    seen_at: Timestamp,
}

/// Demand for a prefix and the targets that are estimated to have it cached.
#[derive(Debug)]
pub(super) struct Prefix {
    pub(super) demand: Demand,
    holders: Vec<Holder>,
}

impl Prefix {
    /// Returns the targets whose entry has not expired.
    pub(super) fn holders<'a>(
        &'a self,
        targets: &'a TargetTable,
        now: Timestamp,
    ) -> impl Iterator<Item = TargetIndex> + 'a {
        let is_valid = move |holder: &&Holder| {
            let target = targets.get(holder.target);
            target.is_estimate_valid(holder.generation, holder.seen_at, now)
        };
        self.holders
            .iter()
            .filter(is_valid)
            .map(|holder| holder.target)
    }

    /// Returns the use of each target that has an entry; `use_of` classifies those whose entry is valid.
    pub(super) fn holder_uses(
        &self,
        targets: &TargetTable,
        now: Timestamp,
        use_of: impl Fn(TargetIndex) -> HolderUse,
    ) -> impl Iterator<Item = HolderUse> {
        self.holders.iter().map(move |holder| {
            let target = targets.get(holder.target);
            if holder.generation != target.generation {
                return HolderUse::Out;
            }
            match target.is_estimate_valid(holder.generation, holder.seen_at, now) {
                true => use_of(holder.target),
                false => HolderUse::Expired,
            }
        })
    }

    /// Records that a target uses or stored the block.
    pub(super) fn store(&mut self, target: TargetIndex, generation: u32, now: Timestamp) {
        let entry = Holder {
            target,
            generation,
            seen_at: now,
        };
        let holders = &mut self.holders;
        if let Some(holder) = holders.iter_mut().find(|holder| holder.target == target) {
            *holder = entry;
        } else if holders.len() < MAX_HOLDERS {
            holders.push(entry);
        } else if let Some(oldest) = holders.iter_mut().min_by_key(|holder| holder.seen_at) {
            *oldest = entry;
        }
    }
}

/// Prefixes by fingerprint.
#[derive(Debug)]
pub struct PrefixTable {
    prefixes: LruCache<Fingerprint, Prefix>,
}

impl Default for PrefixTable {
    fn default() -> Self {
        let bound = NonZeroUsize::new(MAX_PREFIXES).expect("MAX_PREFIXES is positive");
        Self {
            prefixes: LruCache::new(bound),
        }
    }
}

impl PrefixTable {
    /// Returns a prefix if it is in the table.
    pub(super) fn get(&self, fingerprint: Fingerprint) -> Option<&Prefix> {
        self.prefixes.peek(&fingerprint)
    }

    /// Returns a prefix, adding it if it is new.
    pub(super) fn get_or_add(&mut self, fingerprint: Fingerprint, now: Timestamp) -> &mut Prefix {
        self.prefixes.get_or_insert_mut(fingerprint, || Prefix {
            demand: Demand::new(now),
            holders: Vec::new(),
        })
    }

    /// Whether a prefix is in the table.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.prefixes.contains(&fingerprint)
    }

    /// Returns the last observed use of a block at a target, even if the entry has expired. `None`
    /// if the entry belongs to another generation of the target.
    pub fn last_use(
        &self,
        fingerprint: Fingerprint,
        target: TargetIndex,
        generation: u32,
    ) -> Option<Timestamp> {
        let prefix = self.prefixes.peek(&fingerprint)?;
        let holder = prefix
            .holders
            .iter()
            .find(|holder| holder.target == target)?;
        (holder.generation == generation).then_some(holder.seen_at)
    }

    /// Records that a target no longer has a block cached.
    pub fn evict(&mut self, fingerprint: Fingerprint, target: TargetIndex) {
        if let Some(prefix) = self.prefixes.peek_mut(&fingerprint) {
            prefix.holders.retain(|holder| holder.target != target);
        }
    }
}
