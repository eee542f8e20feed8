//! Who holds which slot, and the last known levels at the holders.

use std::collections::{BTreeMap, HashMap};
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use super::{SlotKey, SlotLimit};
use crate::core::ids::{Epoch, InstanceId, Timestamp, Tokens, WorkspaceId};

/// Levels that are remembered; the least recently used is forgotten and its holder taken for full.
const MAX_LEVELS: NonZeroUsize = NonZeroUsize::new(16_384).expect("not zero");

/// Time for which a holder that did not answer is asked last.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(1);

/// Holder of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotHolder {
    /// Instance.
    pub instance: InstanceId,
    /// Fencing number.
    pub epoch: Epoch,
}

/// Holders of slots, as far as this instance knows. A wrong entry costs a call, never a token.
/// Bounded by shards × slots.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    holders: BTreeMap<SlotKey, SlotHolder>,
}

impl Directory {
    /// Notes a holder; the larger epoch wins. Returns whether the entry changed.
    pub fn record_holder(&mut self, key: SlotKey, holder: SlotHolder) -> bool {
        match self.holders.get(&key) {
            Some(cached) if cached.epoch >= holder.epoch => false,
            _ => self.holders.insert(key, holder).is_none_or(|_| true),
        }
    }

    /// Forgets a holder that said it does not hold the slots of a shard.
    pub fn remove_holder(&mut self, shard: u32, instance: &InstanceId) {
        self.holders
            .retain(|key, holder| key.shard != shard || holder.instance != *instance);
    }

    /// All known holders.
    pub fn entries(&self) -> impl Iterator<Item = (SlotKey, &SlotHolder)> {
        self.holders.iter().map(|(key, holder)| (*key, holder))
    }

    /// Instances with slots of a shard, and how many each has.
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

/// How near a holder is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// This instance.
    Local,
    /// In the same failure domain.
    SameDomain,
    /// In the same region.
    SameRegion,
    /// Elsewhere, or not known.
    Other,
}

/// A holder as the planner of a charge sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderView {
    /// Instance.
    pub instance: InstanceId,
    /// How near it is.
    pub proximity: Proximity,
    /// Slots of the shard that it holds.
    pub slots: u32,
    /// Estimated level over those slots.
    pub level_micro: i64,
}

/// Last known levels of workspaces at holders, and holders that did not answer lately.
#[derive(Debug)]
pub struct LevelCache {
    levels: LruCache<(WorkspaceId, InstanceId), (i64, Timestamp)>,
    /// Bounded by the members; entries are removed when their time has passed.
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
    /// Notes a level that a holder reported.
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

    /// Notes that a holder did not answer.
    pub fn mark_unreachable(&mut self, instance: &InstanceId, now: Timestamp) {
        self.unreachable.retain(|_, until| *until > now);
        self.unreachable
            .insert(instance.clone(), now + UNREACHABLE_COOLDOWN);
    }

    /// Whether a holder should be asked.
    pub fn is_reachable(&self, instance: &InstanceId, now: Timestamp) -> bool {
        self.unreachable
            .get(instance)
            .is_none_or(|until| *until <= now)
    }

    /// Estimated level over `slots` slots at a holder: the last known one with what has accrued
    /// since, or full if none is known.
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
