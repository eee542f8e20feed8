//! Bringing model engines to the newest weights.
//!
//! [`OrderLease`] decides which instance may give orders, from readings of one object of the store.
//! [`Rollout`] decides which engine gets the next order. Loads: a new version may be named every few
//! seconds, while engines serve and orders get lost or are carried out late.

mod lease;
mod plan;

pub use lease::{LeaseAction, LeaseRecord, LeaseRole, OrderLease, OrderLeaseTiming};
pub use plan::{Engine, OrderResult, Rollout, RolloutAction, RolloutParams};
