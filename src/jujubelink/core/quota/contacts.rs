//! Digest by which instances compare whom they are in contact with.

use crate::core::ids::InstanceId;
use crate::util::hash::stable_hash;

/// Returns a digest of a set of instances that does not depend on their order.
///
/// Two instances share the unused part of a limit only if they are in contact with the same
/// instances. Otherwise, two instances without contact to each other could both use what a third
/// one leaves unused.
pub fn contact_digest<'a>(instances: impl Iterator<Item = &'a InstanceId>) -> u64 {
    instances
        .map(|name| stable_hash(0, name.as_bytes()))
        .fold(0, u64::wrapping_add)
}
