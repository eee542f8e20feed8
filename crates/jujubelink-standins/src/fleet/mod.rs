//! Stand-ins for the users' platform: its object store, its store of KV cache, and targets that speak
//! its protocol.

mod cache;
mod store;
mod target;

pub use cache::CacheStore;
pub use store::{ObjectStore, StoreEndpoint, StoreMode};
pub use target::{FaultPlan, FleetTarget, TargetFault};
