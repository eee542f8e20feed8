//! Agreement on who hears whom.

use crate::core::ids::InstanceId;
use crate::util::hash::stable_hash;

/// Digest of a set of instances, whatever their order.
///
/// Two instances share what they leave unused of a limit only if they are in contact with the same
/// instances. Otherwise two that do not hear each other could both take what a third one leaves.
pub fn contact_digest<'a>(instances: impl Iterator<Item = &'a InstanceId>) -> u64 {
    instances
        .map(|name| stable_hash(0, name.as_bytes()))
        .fold(0, u64::wrapping_add)
}
