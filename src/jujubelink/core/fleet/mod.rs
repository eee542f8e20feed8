//! What the platform's store says about the fleet: routes, workspaces, targets and weights.
//!
//! [`FleetState`] merges readings that arrive late, twice or out of order, and never steps back to an
//! older version than one it has seen. [`Freshness`] bounds how long a key may be used after the
//! configuration was last proved to be the newest.

mod freshness;
mod policy;
mod records;
mod state;

pub use freshness::{Freshness, FreshnessProof};
pub use policy::{
    EngineTraits, FleetPolicy, PolicyRoute, PolicyService, PolicyWorkspace, QuotaUnit, RequestKind,
    WeightedService,
};
pub use records::{TargetAddress, TargetRecord};
pub use state::{Announcement, FleetState, model_key};
