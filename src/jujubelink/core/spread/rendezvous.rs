//! Agreement without messages on who does a task of which a few instances are enough.

use crate::util::hash::{combine, stable_hash};

/// Rank of `own` among itself and `others` by rendezvous hashing; 0 goes first. Instances that know
/// the same members agree on all ranks, and a lost member moves no other.
pub fn rendezvous_rank<'a>(seed: u64, local: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let weight = |instance: &str| combine(seed, stable_hash(seed, instance.as_bytes()));
    let own_weight = (weight(local), local);
    others
        .filter(|other| *other != local && (weight(other), *other) > own_weight)
        .count()
}
