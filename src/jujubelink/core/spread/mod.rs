//! Propagation of configuration, revocations and gossip between instances.
//!
//! - [`ConfigDelta`] and [`DeltaHistory`]: changes per entry, so that a change of one key does not
//!   resend the whole configuration.
//! - [`Propagation`]: when to fetch the configuration and exchange revocations, and whether to
//!   watch or poll the platform.
//! - [`RevocationSet`]: revoked keys that the configuration does not contain yet.
//! - [`QuarantineSet`] and [`DigestRelay`]: gossip with bounds on entries and bytes.

mod delta;
mod digests;
mod history;
mod propagation;
mod quarantine;
mod rendezvous;
mod revocations;

pub use delta::{ConfigDelta, DeltaError};
pub use digests::{DIGEST_BYTES_PER_S, DigestRelay, MAX_QUEUED_DIGESTS, SequencedDigest};
pub use history::DeltaHistory;
pub use propagation::{PUSH_FANOUT, Propagation, Role, SpreadEffect, WATCHER_COUNT};
pub use quarantine::{MAX_QUARANTINED, QuarantineSet};
pub use rendezvous::rendezvous_rank;
pub use revocations::{MAX_REVOCATIONS, RevocationSet};
