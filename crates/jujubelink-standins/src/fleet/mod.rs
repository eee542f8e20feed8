//! Stand-ins for the production platform: its object store, its KV cache store, and targets that
//! implement its protocol.

mod cache;
mod store;
mod target;

pub use cache::CacheStore;
pub use store::{ObjectStore, StoreCopy, StoreEndpoint, StoreMode};
pub use target::{CrashingPart, FaultPlan, FleetTarget, TargetFault};
