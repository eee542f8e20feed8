//! Fleet configuration, shared by all instances.
//!
//! Standalone deployments store it in the platform's object API. With a fleet store,
//! [`fleet`](super::fleet) builds a [`ConfigSnapshot`] from what it read there.

mod check;
mod diff;
mod model;
mod snapshot;

pub use check::{
    MAX_ENTRIES, TYPICAL_REQUEST_TOKENS, Violation, check_change, check_fleet, is_sha256_hex,
};
pub use diff::{Change, diff_values};
pub use model::{
    Access, FleetConfig, KeyGrant, LimitLayout, Model, OnDisconnect, OrderSettings, Route, Target,
    TargetKind, Workspace,
};
pub use snapshot::{ConfigSnapshot, StoredConfig};
