//! Which live member should hold which slot.

use std::collections::BTreeMap;
use std::time::Duration;

use super::SlotKey;
use crate::core::ids::InstanceId;
use crate::util::hash::{combine, stable_hash};

/// Members after the preferred one that may claim an idle slot.
const MAX_CLAIM_CANDIDATES: usize = 4;

/// Time between the claims of successive ranks, so that they don't write at the same time.
const CLAIM_STAGGER: Duration = Duration::from_secs(2);

/// Time for which a member of a rank waits before it claims an idle slot; rank 0 does not wait.
pub fn claim_delay(rank: usize) -> Duration {
    CLAIM_STAGGER * rank as u32
}

/// Preferred holders of all slots for one set of live members.
///
/// The holders are ranked by rendezvous hashing of the slot, but a member gets at most
/// `ceil(slots / members)` slots of a shard, so that a crash costs the workspaces of a shard as few
/// slots as possible. A change of one member moves few other slots.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotAssignment {
    ranks: BTreeMap<SlotKey, Vec<InstanceId>>,
}

impl SlotAssignment {
    /// The assignment for live members, this instance included.
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

    /// Member that should hold a slot.
    pub fn preferred(&self, key: SlotKey) -> Option<&InstanceId> {
        self.ranks.get(&key)?.first()
    }

    /// Position of a member among those that may claim a slot.
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
        // The first member with room goes to the front; the others keep their order.
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
