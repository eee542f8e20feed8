//! Rollout of the newest weights to the engines of a model.
//!
//! [`OrderLease`] decides which instance may give orders, based on reads of one object in the
//! store. [`Rollout`] decides which engine gets the next order. A new version may be announced
//! every few seconds, while engines serve requests and orders get lost or are executed late.
//!
//! Used with a fleet store; in standalone deployments, [`orders`](super::orders) takes its place.

mod lease;
mod plan;

pub use lease::{LeaseAction, LeaseRecord, LeaseRole, OrderLease, OrderLeaseTiming};
pub use plan::{
    CompletedLoad, Engine, OrderResult, Rollout, RolloutAction, RolloutParams, RolloutProgress,
};
