//! Limits on workspaces and resends that hold over all instances together, without a coordinator.
//!
//! [`SharedBucket`] is a token bucket that each instance keeps for the whole fleet. It deducts the
//! usage that peers report. For a peer with which the limit is not shared, it deducts the fair
//! share: the part of the limit that the peer may use on its own. Two instances share a limit if
//! they are in contact with each other and with the same other instances ([`contact_digest`]).
//! [`ResendBudget`] needs no communication: each instance uses only its own part.
//!
//! Used with a fleet store; in standalone deployments, [`limit`](super::limit) limits workspaces.

mod bucket;
mod contacts;
mod resend;

pub use bucket::{BucketRefusal, BucketStatus, PeerUsage, SharedBucket};
pub use contacts::contact_digest;
pub use resend::{ResendBudget, ResendPolicy};
