//! Order of the instances, which decides who watches the store and who acts first.

use std::cmp::Reverse;

use crate::core::ids::{InstanceId, ObjectVersion};

/// Position of an instance in the order of all instances; the smallest comes first. The instance that
/// registered last comes first, because instances are often stopped one after the other, and the one
/// started last then runs longest. Instances that are not registered come last, by name.
///
/// All instances have to agree on the order; otherwise too few or too many of them watch the store, or
/// nobody is first. An instance therefore states the revision of its own record. A start time that is
/// computed from the age in a message differs from receiver to receiver, and the time of day may jump.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstancePosition<'a> {
    registered_revision: Reverse<ObjectVersion>,
    name: &'a InstanceId,
}

impl<'a> InstancePosition<'a> {
    /// Creates the position of an instance. `registered_revision` is the revision at which the store
    /// accepted its record; 0 if it has not.
    pub fn new(name: &'a InstanceId, registered_revision: ObjectVersion) -> Self {
        Self {
            registered_revision: Reverse(registered_revision),
            name,
        }
    }
}
