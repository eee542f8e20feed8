//! Order of the instances, which decides who watches the store and who acts first.

use std::cmp::Reverse;
use std::time::Duration;

use crate::core::ids::InstanceId;

/// Instances whose start times fall into the same interval of this length are ordered by name.
const START_INTERVAL: Duration = Duration::from_secs(1);

/// Position of an instance in the order of all instances; the smallest comes first. The instance that
/// started last comes first, because instances are often stopped one after the other, and the one
/// started last then runs longest.
///
/// All instances have to agree on the order; otherwise too few or too many of them watch the store, or
/// nobody is first. An instance therefore states its start time itself, by the time of day. A start time
/// that is computed from the age in a message differs from receiver to receiver. A wrong clock changes
/// the position of an instance, but at all instances alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstancePosition<'a> {
    start_interval: Reverse<u128>,
    name: &'a InstanceId,
}

impl<'a> InstancePosition<'a> {
    /// Creates the position of an instance. `stated_start` is the start time that it states, since the
    /// Unix epoch; zero if it states none.
    pub fn new(name: &'a InstanceId, stated_start: Duration) -> Self {
        Self {
            start_interval: Reverse(stated_start.as_millis() / START_INTERVAL.as_millis()),
            name,
        }
    }
}
