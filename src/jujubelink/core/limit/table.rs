//! Slots held by the local instance, and charges to them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Bucket, MICRO_PER_TOKEN, SlotKey, SlotLimit, WorkspaceLimit};
use crate::core::ids::{Epoch, Timestamp, Tokens, WorkspaceId};
use crate::core::lease::Safeguards;

/// Largest number of charges kept for refunds and the detection of repeats: more than 3 s of
/// charges at 2,900 requests/s. At the bound the oldest is dropped. It can no longer be refunded;
/// without the refund, fewer tokens are admitted, never more than the limit.
pub const MAX_OPEN_CHARGES: usize = 16_384;

/// Levels of a slot's buckets when the local instance acquires the slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum InitialLevels {
    /// The slot was never held; all buckets are full.
    Full,
    /// Takeover: the buckets are empty at this time, because the earlier holder may have spent
    /// everything.
    EmptySince(Timestamp),
    /// Planned handover with levels in micro-tokens. A workspace without a level starts empty.
    Levels {
        /// Levels by workspace.
        levels: BTreeMap<WorkspaceId, i64>,
        /// When the levels were received.
        at: Timestamp,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HeldSlot {
    epoch: Epoch,
    initial_levels: InitialLevels,
    /// Created at the first use by a workspace. Bounded by the number of workspaces of the shard.
    buckets: BTreeMap<WorkspaceId, Bucket>,
}

impl HeldSlot {
    fn bucket(&mut self, workspace: &WorkspaceId, slot_limit: &SlotLimit) -> &mut Bucket {
        let initial_levels = &self.initial_levels;
        self.buckets
            .entry(workspace.clone())
            .or_insert_with(|| match initial_levels {
                InitialLevels::Full => Bucket::new(slot_limit.cap_micro, Timestamp::ZERO),
                InitialLevels::EmptySince(at) => Bucket::new(0, *at),
                InitialLevels::Levels { levels, at } => {
                    Bucket::new(levels.get(workspace).copied().unwrap_or(0), *at)
                }
            })
    }
}

/// Result of a charge at one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChargeStatus {
    /// Tokens were granted.
    Granted,
    /// The level does not cover the charge; no tokens were taken.
    Short,
    /// The local instance holds no slot of the workspace's shard.
    NotHolder,
}

/// Outcome of a charge at one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ChargeOutcome {
    /// Result.
    pub status: ChargeStatus,
    /// Tokens taken.
    pub granted_tokens: Tokens,
    /// Tokens left in all slots of the shard that the local instance holds.
    pub level_tokens: Tokens,
    /// Time after which the same charge can succeed at this holder; [`Duration::MAX`] if never.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SlotDebit {
    slot: SlotKey,
    epoch: Epoch,
    debit: u64,
    micro: i64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OpenCharge {
    workspace: WorkspaceId,
    slot_debits: Vec<SlotDebit>,
    outcome: ChargeOutcome,
}

/// Slots held by the local instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SlotTable {
    safeguards: Safeguards,
    slots: BTreeMap<SlotKey, HeldSlot>,
    open_charges: BTreeMap<u64, OpenCharge>,
    /// Ids of `open_charges`, oldest first.
    charge_order: VecDeque<u64>,
}

impl Default for SlotTable {
    fn default() -> Self {
        Self::new(Safeguards::default())
    }
}

impl SlotTable {
    /// Creates a table without slots.
    pub fn new(safeguards: Safeguards) -> Self {
        Self {
            safeguards,
            slots: BTreeMap::new(),
            open_charges: BTreeMap::new(),
            charge_order: VecDeque::new(),
        }
    }

    /// Adds a slot.
    pub fn insert(&mut self, key: SlotKey, epoch: Epoch, initial_levels: InitialLevels) {
        let slot = HeldSlot {
            epoch,
            initial_levels,
            buckets: BTreeMap::new(),
        };
        self.slots.insert(key, slot);
    }

    /// Returns the epoch of a held slot.
    pub fn epoch(&self, key: SlotKey) -> Option<Epoch> {
        self.slots.get(&key).map(|slot| slot.epoch)
    }

    /// Returns the held slots with their epochs.
    pub fn held_slots(&self) -> impl Iterator<Item = (SlotKey, Epoch)> + '_ {
        self.slots.iter().map(|(key, slot)| (*key, slot.epoch))
    }

    /// Returns the number of held slots of a shard.
    pub fn slot_count(&self, shard: u32) -> u32 {
        self.shard_slots(shard).count() as u32
    }

    fn shard_slots(&self, shard: u32) -> impl Iterator<Item = (&SlotKey, &HeldSlot)> {
        let first = SlotKey { shard, slot: 0 };
        let last = SlotKey {
            shard,
            slot: u32::MAX,
        };
        self.slots.range(first..=last)
    }

    /// Removes a slot, so that its tokens are never spent again. Returns its epoch, and the levels
    /// at `now` of the workspaces in `limits`.
    pub fn remove<'a>(
        &mut self,
        key: SlotKey,
        limits: impl Iterator<Item = (&'a WorkspaceId, SlotLimit)>,
        now: Timestamp,
    ) -> Option<(Epoch, BTreeMap<WorkspaceId, i64>)> {
        let mut slot = self.slots.remove(&key)?;
        let levels = limits
            .map(|(workspace, slot_limit)| {
                let level = slot.bucket(workspace, &slot_limit).refill(&slot_limit, now);
                (workspace.clone(), level)
            })
            .collect();
        Some((slot.epoch, levels))
    }

    /// Removes all slots, discarding their levels.
    pub fn clear(&mut self) {
        self.slots.clear();
        self.open_charges.clear();
        self.charge_order.clear();
    }

    /// Returns the tokens of a workspace in the held slots of a shard.
    pub fn level_tokens(
        &mut self,
        shard: u32,
        workspace: &WorkspaceId,
        slot_limit: &SlotLimit,
        now: Timestamp,
    ) -> Tokens {
        let levels = self.levels(shard, workspace, slot_limit, now);
        to_tokens(levels.iter().map(|(level, _)| *level).sum())
    }

    /// Returns the levels of the held slots of a shard, largest first.
    fn levels(
        &mut self,
        shard: u32,
        workspace: &WorkspaceId,
        slot_limit: &SlotLimit,
        now: Timestamp,
    ) -> Vec<(i64, SlotKey)> {
        let keys: Vec<SlotKey> = self.shard_slots(shard).map(|(key, _)| *key).collect();
        let mut levels: Vec<(i64, SlotKey)> = Vec::with_capacity(keys.len());
        for key in keys {
            if let Some(slot) = self.slots.get_mut(&key) {
                levels.push((
                    slot.bucket(workspace, slot_limit).refill(slot_limit, now),
                    key,
                ));
            }
        }
        levels.sort_unstable_by(|a, b| b.cmp(a));
        levels
    }

    /// Charges the held slots of a shard. With `is_partial_allowed`, grants the available tokens if
    /// they do not cover the charge. A repeated id gets the earlier outcome, without a second
    /// debit.
    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub fn charge(
        &mut self,
        charge_id: u64,
        shard: u32,
        workspace: &WorkspaceId,
        limit: &WorkspaceLimit,
        slots: u32,
        tokens: Tokens,
        is_partial_allowed: bool,
        now: Timestamp,
    ) -> ChargeOutcome {
        if self.safeguards.recognizes_duplicates
            && let Some(charge) = self.open_charges.get(&charge_id)
        {
            return charge.outcome;
        }
        let slot_limit = limit.slot_limit(slots);
        let levels = self.levels(shard, workspace, &slot_limit, now);
        let total: i64 = levels.iter().map(|(level, _)| *level).sum();
        let granted = match to_tokens(total) {
            available if available >= tokens => tokens,
            available if is_partial_allowed => available,
            _ => 0,
        };
        let held = levels.len() as u32;
        let micro = to_micro(tokens);
        let mut outcome = ChargeOutcome {
            status: match (held, granted) {
                (0, _) => ChargeStatus::NotHolder,
                (_, 0) if tokens > 0 => ChargeStatus::Short,
                _ => ChargeStatus::Granted,
            },
            granted_tokens: granted,
            level_tokens: to_tokens(total) - granted,
            retry_after: Duration::ZERO,
        };
        if granted < tokens && held > 0 {
            outcome.retry_after = slot_limit.time_to_accrue(micro - total, held);
        }
        if outcome.status == ChargeStatus::Granted {
            let slot_debits = self.debit(levels, workspace, &slot_limit, to_micro(granted));
            self.record_charge(
                charge_id,
                OpenCharge {
                    workspace: workspace.clone(),
                    slot_debits,
                    outcome,
                },
            );
        }
        outcome
    }

    fn debit(
        &mut self,
        levels: Vec<(i64, SlotKey)>,
        workspace: &WorkspaceId,
        slot_limit: &SlotLimit,
        micro: i64,
    ) -> Vec<SlotDebit> {
        let mut missing = micro;
        let mut slot_debits = Vec::new();
        for (level, key) in levels {
            let taken = missing.min(level.max(0));
            if taken == 0 {
                break;
            }
            if let Some(slot) = self.slots.get_mut(&key) {
                let epoch = slot.epoch;
                let debit = slot.bucket(workspace, slot_limit).debit(slot_limit, taken);
                slot_debits.push(SlotDebit {
                    slot: key,
                    epoch,
                    debit,
                    micro: taken,
                });
            }
            missing -= taken;
        }
        slot_debits
    }

    fn record_charge(&mut self, charge_id: u64, charge: OpenCharge) {
        if self.open_charges.insert(charge_id, charge).is_none() {
            self.charge_order.push_back(charge_id);
        }
        while self.charge_order.len() > MAX_OPEN_CHARGES {
            if let Some(oldest) = self.charge_order.pop_front() {
                self.open_charges.remove(&oldest);
            }
        }
    }

    /// Refunds unused tokens of a charge, at most once. Returns how many tokens were refunded.
    pub fn refund(
        &mut self,
        charge_id: u64,
        unused_tokens: Tokens,
        limit: &WorkspaceLimit,
        slots: u32,
        now: Timestamp,
    ) -> Tokens {
        let Some(charge) = self.open_charges.get_mut(&charge_id) else {
            return 0;
        };
        // The entry is kept, so that a late repeat of the charge is recognized.
        let slot_debits = std::mem::take(&mut charge.slot_debits);
        let workspace = charge.workspace.clone();
        let slot_limit = limit.slot_limit(slots);
        let mut unused = to_micro(unused_tokens);
        let mut returned = 0;
        for slot_debit in slot_debits {
            let wanted = unused.min(slot_debit.micro);
            unused -= wanted;
            let slot = self.slots.get_mut(&slot_debit.slot);
            if let Some(slot) = slot.filter(|slot| slot.epoch == slot_debit.epoch) {
                let bucket = slot.bucket(&workspace, &slot_limit);
                returned += match self.safeguards.limits_refunds {
                    true => bucket.refund(&slot_limit, slot_debit.debit, wanted, now),
                    false => bucket.refund(&slot_limit, u64::MAX, wanted, now),
                };
            }
        }
        to_tokens(returned)
    }
}

fn to_tokens(micro: i64) -> Tokens {
    (micro.max(0) / MICRO_PER_TOKEN) as Tokens
}

fn to_micro(tokens: Tokens) -> i64 {
    i64::try_from(tokens)
        .unwrap_or(i64::MAX)
        .saturating_mul(MICRO_PER_TOKEN)
}
