//! Orders to move a service to another version, and their status.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::core::ids::ObjectVersion;

/// Version of the software of a target.
pub type VersionId = Arc<str>;

/// Order to move the traffic of a service to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: Arc<str>,
    /// Version that is to get all requests.
    pub target: VersionId,
    /// Time within which the roll-out has to be decided.
    pub duration: Duration,
}

/// State of a roll-out as the store records it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RolloutState {
    /// The order was taken up.
    #[display("running")]
    Running,
    /// All requests go to the new version.
    #[display("completed")]
    Completed,
    /// All requests go to the old version.
    #[display("rolled_back")]
    RolledBack,
}

/// Status of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// State.
    pub state: RolloutState,
    /// Version that the state is about. A status of another version belongs to a former order.
    pub target: VersionId,
}

/// An order as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Revision of the object, which a conditional write has to state.
    pub revision: ObjectVersion,
    /// Order.
    pub order: RolloutOrder,
    /// Status, if any was written.
    pub status: Option<RolloutStatus>,
}

impl RolloutRecord {
    /// State of this order; `None` if it was not taken up yet.
    pub fn state(&self) -> Option<RolloutState> {
        let status = self.status.as_ref()?;
        (status.target == self.order.target).then_some(status.state)
    }

    /// Whether the order still needs a decision.
    pub fn is_open(&self) -> bool {
        matches!(self.state(), None | Some(RolloutState::Running))
    }
}
