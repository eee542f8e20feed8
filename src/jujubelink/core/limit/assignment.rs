//! Assignment of slots to live members.

use std::collections::BTreeMap;
use std::time::Duration;

use super::SlotKey;
use crate::core::ids::InstanceId;
use crate::util::hash::{combine, stable_hash};

/// Number of members that may claim an idle slot, including the preferred one.
const MAX_CLAIM_CANDIDATES: usize = 4;

/// Delay between the claims of successive ranks, so that they do not write at the same time.
const CLAIM_STAGGER: Duration = Duration::from_secs(2);

/// Returns how long a member with this rank waits before it claims an idle slot; rank 0 does not
/// wait.
pub fn claim_delay(rank: usize) -> Duration {
    CLAIM_STAGGER * rank as u32
}

/// Preferred holders of all slots for one set of live members.
///
/// Members are ranked per slot by rendezvous hashing, but a member gets at most `ceil(slots /
/// members)` slots of a shard, so that a crash takes as few slots as possible from the workspaces
/// of a shard. When one member joins or leaves, few other slots move.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotAssignment {
    ranks: BTreeMap<SlotKey, Vec<InstanceId>>,
}

impl SlotAssignment {
    /// Computes the assignment for the live members, including the local instance.
    pub fn new(shards: u32, slots: u32, live: &[InstanceId]) -> Self {
        let mut ranks = BTreeMap::new();
        let hashed: Vec<(u64, &InstanceId)> = live
            .iter()
            .map(|instance| (stable_hash(0, instance.as_bytes()), instance))
            .collect();
        for shard in 0..shards {
            assign_shard(shard, slots, &hashed, &mut ranks);
        }
        Self { ranks }
    }

    /// Returns the member that should hold a slot.
    pub fn preferred(&self, key: SlotKey) -> Option<&InstanceId> {
        self.ranks.get(&key)?.first()
    }

    /// Returns the rank of a member among those that may claim a slot.
    pub fn rank(&self, key: SlotKey, instance: &InstanceId) -> Option<usize> {
        self.ranks
            .get(&key)?
            .iter()
            .position(|ranked| ranked == instance)
    }
}

fn assign_shard(
    shard: u32,
    slots: u32,
    hashed: &[(u64, &InstanceId)],
    ranks: &mut BTreeMap<SlotKey, Vec<InstanceId>>,
) {
    let max_slots = (slots as usize).div_ceil(hashed.len().max(1));
    let mut counts: BTreeMap<&InstanceId, usize> = BTreeMap::new();
    for slot in 0..slots {
        let seed = combine(u64::from(shard), u64::from(slot));
        let mut order: Vec<(u64, &InstanceId)> = hashed
            .iter()
            .map(|(hash, instance)| (combine(seed, *hash), *instance))
            .collect();
        order.sort_unstable();
        // The first member below its limit becomes the preferred one; the others keep their order.
        let has_room =
            |instance: &InstanceId| counts.get(instance).copied().unwrap_or(0) < max_slots;
        if let Some(position) = order.iter().position(|(_, instance)| has_room(instance)) {
            let preferred = order.remove(position);
            *counts.entry(preferred.1).or_default() += 1;
            order.insert(0, preferred);
        }
        let ranked = order.into_iter().take(MAX_CLAIM_CANDIDATES);
        let key = SlotKey { shard, slot };
        ranks.insert(key, ranked.map(|(_, instance)| instance.clone()).collect());
    }
}
