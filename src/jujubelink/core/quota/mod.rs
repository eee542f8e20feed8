//! Limits of workspaces and retries that hold over all instances together, without a coordinator.
//!
//! [`SharedBucket`] is a token bucket that each instance keeps for the whole fleet: it takes off what
//! peers report that they used, and for a peer that is not in mutual contact the fair share that the
//! peer may use at most. [`ResendBudget`] needs no talk: each instance keeps to its own part.

mod bucket;
mod resend;

pub use bucket::{BucketRefusal, PeerUse, SharedBucket};
pub use resend::{ResendBudget, ResendPolicy};
