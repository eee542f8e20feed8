//! Rendezvous hashing, by which instances agree without messages on the few that do a task.

use crate::util::hash::{combine, stable_hash};

/// Returns the rank of `local` among itself and `others`; 0 is first. Instances with the same
/// member list agree on all ranks, and the loss of a member does not reorder the others.
pub fn rendezvous_rank<'a>(seed: u64, local: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let weight = |instance: &str| combine(seed, stable_hash(seed, instance.as_bytes()));
    let local_weight = (weight(local), local);
    others
        .filter(|other| *other != local && (weight(other), *other) > local_weight)
        .count()
}
