//! Roll-out of a service by version.
//!
//! [`InForce`] decides which version serves without an order, [`Exposure`] how many requests this instance
//! may send to a new version, [`VersionTest`] whether a new version is worse than the old one, and [`Plan`]
//! which step the holder of the order lease takes next. `docs/design/version-rollout.md` states the rules.

mod evidence;
mod exposure;
mod in_force;
mod instance;
mod order;
mod plan;
mod relays;
mod slowness;

pub use evidence::{Arm, CellCounts, CellKey, GROUPS, MAX_CELLS, Proof, Verdict, VersionTest};
pub use exposure::{Exposure, ExposureBounds, Share};
pub use in_force::{InForce, ListedVersion};
pub use instance::{
    InstanceReport, InstanceRollouts, MAX_ORDERS, RolloutNews, StopCause, VersionChoice,
    VersionResponse, VersionedTarget,
};
pub use order::{RolloutOrder, RolloutRecord, RolloutState, RolloutStatus, VersionId};
pub use plan::{Phase, Plan, PlanInput, PlanStep, RollbackReason};
pub use relays::ShareRoutes;
