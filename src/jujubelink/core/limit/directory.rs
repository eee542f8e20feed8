//! Cached holders of slots, and the last known levels at the holders.

use std::collections::{BTreeMap, HashMap};
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use super::{SlotKey, SlotLimit};
use crate::core::ids::{Epoch, InstanceId, Timestamp, Tokens, WorkspaceId};

/// Largest number of cached levels. The least recently used one is evicted, and its holder is then
/// assumed to be full.
const MAX_LEVELS: NonZeroUsize = NonZeroUsize::new(16_384).expect("not zero");

/// Time for which a holder that did not respond is skipped.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(1);

/// Holder of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotHolder {
    /// Instance.
    pub instance: InstanceId,
    /// Fencing number.
    pub epoch: Epoch,
}

/// Cached holders of slots. A wrong entry may cause a useless call, but loses no tokens. Bounded by
/// shards × slots.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    holders: BTreeMap<SlotKey, SlotHolder>,
}

impl Directory {
    /// Records a holder, unless an entry with the same or a larger epoch exists. Returns whether
    /// the entry changed.
    pub fn record_holder(&mut self, key: SlotKey, holder: SlotHolder) -> bool {
        match self.holders.get(&key) {
            Some(cached) if cached.epoch >= holder.epoch => false,
            _ => self.holders.insert(key, holder).is_none_or(|_| true),
        }
    }

    /// Removes a holder that reported that it does not hold the slots of a shard.
    pub fn remove_holder(&mut self, shard: u32, instance: &InstanceId) {
        self.holders
            .retain(|key, holder| key.shard != shard || holder.instance != *instance);
    }

    /// Returns all cached entries.
    pub fn entries(&self) -> impl Iterator<Item = (SlotKey, &SlotHolder)> {
        self.holders.iter().map(|(key, holder)| (*key, holder))
    }

    /// Returns the instances that hold slots of a shard, with the number of slots of each.
    pub fn holders_of(&self, shard: u32) -> BTreeMap<InstanceId, u32> {
        let first = SlotKey { shard, slot: 0 };
        let last = SlotKey {
            shard,
            slot: u32::MAX,
        };
        let mut counts = BTreeMap::new();
        for holder in self.holders.range(first..=last).map(|(_, holder)| holder) {
            *counts.entry(holder.instance.clone()).or_default() += 1;
        }
        counts
    }
}

/// Proximity of a holder to the local instance, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// The local instance.
    Local,
    /// In the same failure domain.
    SameDomain,
    /// In the same region.
    SameRegion,
    /// In another region, or unknown.
    Other,
}

/// A holder as a candidate for a charge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderView {
    /// Instance.
    pub instance: InstanceId,
    /// Proximity to the local instance.
    pub proximity: Proximity,
    /// Number of slots of the shard that it holds.
    pub slots: u32,
    /// Estimated level over those slots, in micro-tokens.
    pub level_micro: i64,
}

/// Last known levels of workspaces at holders, and holders that recently did not respond.
#[derive(Debug)]
pub struct LevelCache {
    levels: LruCache<(WorkspaceId, InstanceId), (i64, Timestamp)>,
    /// Holders that are skipped until the given time. Bounded by the number of members; expired
    /// entries are removed.
    unreachable: HashMap<InstanceId, Timestamp>,
}

impl Default for LevelCache {
    fn default() -> Self {
        Self {
            levels: LruCache::new(MAX_LEVELS),
            unreachable: HashMap::new(),
        }
    }
}

impl LevelCache {
    /// Records a level that a holder reported.
    pub fn record_level(
        &mut self,
        workspace: &WorkspaceId,
        instance: &InstanceId,
        level_tokens: Tokens,
        now: Timestamp,
    ) {
        let level = (level_tokens as i64).saturating_mul(super::MICRO_PER_TOKEN);
        self.levels
            .put((workspace.clone(), instance.clone()), (level, now));
    }

    /// Marks a holder that did not respond as unreachable for a while.
    pub fn mark_unreachable(&mut self, instance: &InstanceId, now: Timestamp) {
        self.unreachable.retain(|_, until| *until > now);
        self.unreachable
            .insert(instance.clone(), now + UNREACHABLE_COOLDOWN);
    }

    /// Whether a holder should be called.
    pub fn is_reachable(&self, instance: &InstanceId, now: Timestamp) -> bool {
        self.unreachable
            .get(instance)
            .is_none_or(|until| *until <= now)
    }

    /// Returns the estimated level over `slots` slots at a holder: the last known level plus what
    /// has accrued since, or the cap if none is known.
    pub fn estimate_level(
        &mut self,
        workspace: &WorkspaceId,
        instance: &InstanceId,
        slot_limit: &SlotLimit,
        slots: u32,
        now: Timestamp,
    ) -> i64 {
        let cap = slot_limit.cap_micro.saturating_mul(i64::from(slots));
        let cached = self.levels.get(&(workspace.clone(), instance.clone()));
        cached.map_or(cap, |(level, at)| {
            let accrued = slot_limit.accrued(now.saturating_sub(*at));
            level
                .saturating_add(accrued.saturating_mul(i64::from(slots)))
                .min(cap)
        })
    }
}
