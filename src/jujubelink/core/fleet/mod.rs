//! Current state of the fleet, as read from the platform's store: routes, workspaces, targets and
//! weights.
//!
//! [`FleetState`] merges updates that arrive late, repeatedly or out of order, and never goes back
//! to an older version than one it has seen. [`Freshness`] bounds how long a client key may be used
//! after the configuration was last confirmed to be the newest.
//!
//! Used only in deployments with a fleet store; the scheduler gets the state as a
//! [`ConfigSnapshot`](super::config::ConfigSnapshot).

mod announcement;
mod configuration;
mod contact;
mod draft;
mod era;
mod freshness;
mod order;
mod policy;
mod records;
mod removals;
mod schedule;
mod state;

pub use announcement::{Announcement, WeightsBounds};
pub use configuration::{ConfigCandidate, ConfigOutcome};
pub use contact::{MAX_RELAYED_AGE, StoreContact};
pub use draft::{DraftContext, DraftEntry, DraftFinding, DraftSetting, PolicyDraft, check_draft};
pub use era::{EraFault, EraOutcome, EraTracker, StatedEra, StorePosition};
pub use freshness::{Freshness, FreshnessProof};
pub use order::InstancePosition;
pub use policy::{
    EngineTraits, FleetPolicy, PolicyRoute, PolicyService, PolicyWorkspace, QuotaUnit, RequestKind,
    WeightedService, shared_cache_namespace,
};
pub use records::{TargetAddress, TargetRecord};
pub use schedule::{MIN_SEND_INTERVAL, MessageSchedule};
pub use state::{FleetState, Removal, model_key};
