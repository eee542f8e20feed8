//! Stand-ins for the users' platform: its object store, and targets that speak its protocol.

mod store;
mod target;

pub use store::{ObjectStore, StoreDoor, StoreMode};
pub use target::{FaultPlan, FleetTarget, TargetFault};
