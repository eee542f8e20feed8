//! Limits of workspaces and retries that hold over all instances together, without a coordinator.
//!
//! [`SharedBucket`] is a token bucket that each instance keeps for the whole fleet: it takes off what
//! peers report that they used, and for a peer that it does not share with the fair share that the
//! peer may use at most. Instances share if they hear each other and are in contact with the same
//! instances ([`contact_digest`]). [`ResendBudget`] needs no talk: each instance keeps to its own part.

mod bucket;
mod contacts;
mod resend;

pub use bucket::{BucketRefusal, PeerUsage, SharedBucket};
pub use contacts::contact_digest;
pub use resend::{ResendBudget, ResendPolicy};
