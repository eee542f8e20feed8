//! Interface to the platform's store.
//!
//! The store holds the configuration, the list of targets and the announced weights, all of which
//! this program only reads, and three kinds of objects that this program writes: instance entries,
//! the lease for orders and the causes of crashes of targets. It is the only state that outlives all
//! processes, and it may be restored from an older copy. An absent object and an unavailable store are
//! different results.
//!
//! The value of a completed call is of the era that [`StoreEras::current`] returns right after the call.

mod era;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;

use crate::core::canary::{RolloutRecord, RolloutState};
use crate::core::fleet::{FleetPolicy, TargetRecord};
use crate::core::ids::{ConfigDigest, ModelId, ObjectVersion, StoreEra, TargetId};
use crate::core::rollout::LeaseRecord;
use crate::ops::quarantine::StoredEvidence;

pub use era::{EraChange, StoreEras};

/// Failure of a call to the store.
#[derive(Debug, Clone, Display, Error)]
pub enum StoreError {
    /// No response; a write may have taken effect, may take effect later, or never will.
    #[display("the store did not respond: {reason}")]
    NoResponse {
        /// Cause.
        reason: String,
    },
    /// The store refused the call; a write had no effect.
    #[display("the store refused the call with status {status}")]
    Refused {
        /// Status code.
        status: u16,
    },
    /// The store no longer has the change history from the revision that a watch requested.
    #[display("the requested revision is older than the store's change history")]
    HistoryTruncated,
    /// A conditional write failed: the object has a different version, already exists, or was
    /// removed.
    #[display("the object has a different version")]
    Conflict,
    /// The response was sent before a restore of the store that is known here. A write may have been
    /// undone by the restore.
    #[display("the response is of an era before the last restore of the store")]
    FormerEra,
    /// The response cannot be parsed.
    #[display("invalid response of the store: {reason}")]
    InvalidResponse {
        /// Cause.
        reason: String,
    },
}

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// Future of a call to the store.
pub type StoreFuture<T> = LocalBoxFuture<'static, StoreResult<T>>;

/// A configuration read from the store.
#[derive(Debug, Clone)]
pub struct StoredPolicy {
    /// Parsed configuration.
    pub policy: FleetPolicy,
    /// Digest of its contents.
    pub digest: ConfigDigest,
    /// Revision of the object. One that a peer passes on may be of another era.
    pub revision: ObjectVersion,
    /// Serialized form, which is passed on to peers that cannot reach the store.
    pub raw: Bytes,
}

/// A change of the target list.
#[derive(Debug, Clone)]
pub enum TargetChange {
    /// A target's entry was written.
    Written {
        /// Revision of the entry.
        revision: ObjectVersion,
        /// Contents of the entry.
        record: TargetRecord,
    },
    /// A target's entry was removed, or its contents are invalid.
    Removed {
        /// Revision of the store at which this was observed.
        revision: ObjectVersion,
        /// Target of the entry.
        id: TargetId,
        /// Description of the error if the entry exists but is invalid.
        fault: Option<String>,
    },
}

/// Target changes up to a revision of the store.
#[derive(Debug, Clone)]
pub struct TargetChanges {
    /// Changes in order of revision.
    pub changes: Vec<TargetChange>,
    /// Entries that cannot be decoded.
    pub faults: Vec<EntryFault>,
    /// Last included revision; the next watch continues after it.
    pub revision: ObjectVersion,
    /// Era of the revisions; `None` if the store states none.
    pub era: Option<StoreEra>,
}

/// An entry of the store that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryFault {
    /// Kind of the entry.
    pub kind: &'static str,
    /// Name of the entry; empty if it cannot be read either.
    pub name: String,
    /// Revision of the entry; 0 if it cannot be read either.
    pub revision: ObjectVersion,
    /// Description of the error.
    pub reason: String,
}

/// The entries of a list that can be decoded.
#[derive(Debug, Clone)]
pub struct Listed<T> {
    /// Decoded entries.
    pub entries: Vec<T>,
    /// Entries that cannot be decoded.
    pub faults: Vec<EntryFault>,
}

impl<T> Default for Listed<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            faults: Vec::new(),
        }
    }
}

/// The lease for orders as stored.
#[derive(Debug, Clone)]
pub struct StoredLease {
    /// Version that a write has to state.
    pub version: ObjectVersion,
    /// Contents, or why they cannot be decoded.
    pub record: Result<LeaseRecord, EntryFault>,
}

/// The entry of an instance in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: String,
    /// Address at which other instances reach it.
    pub address: SocketAddr,
}

/// Client of the store.
pub trait FleetStore {
    /// Reads the newest configuration, or why it cannot be decoded. The read is linearizable: it
    /// returns a configuration at least as new as any whose write was acknowledged before the call.
    fn read_policy(&self) -> StoreFuture<Option<Result<StoredPolicy, EntryFault>>>;

    /// Decodes the serialized form of a configuration, as received from a peer.
    fn decode_policy(&self, raw: &Bytes) -> Result<StoredPolicy, EntryFault>;

    /// Lists all targets.
    fn list_targets(&self) -> StoreFuture<TargetChanges>;

    /// Waits up to `limit` for changes of the target list after the revision `after`.
    fn watch_targets(&self, after: ObjectVersion, limit: Duration) -> StoreFuture<TargetChanges>;

    /// Lists the newest announced weights version of each model.
    fn list_announced_weights(&self) -> StoreFuture<Listed<(ModelId, u64)>>;

    /// Lists the orders to move services to other versions.
    fn list_rollouts(&self) -> StoreFuture<Listed<RolloutRecord>>;

    /// Writes the status of an order if the object still has the revision of `record`. Returns the new
    /// revision; 0 if the response does not state it.
    fn write_rollout_status(
        &self,
        record: &RolloutRecord,
        state: RolloutState,
    ) -> StoreFuture<ObjectVersion>;

    /// Reads the lease for orders; `None` if it was never held.
    fn read_lease(&self) -> StoreFuture<Option<StoredLease>>;

    /// Writes the lease if its version is `if_version`; 0 requires that it is absent. Returns the
    /// new version.
    fn write_lease(
        &self,
        if_version: ObjectVersion,
        record: LeaseRecord,
    ) -> StoreFuture<ObjectVersion>;

    /// Lists the entries of all instances.
    fn list_instances(&self) -> StoreFuture<Listed<InstanceRecord>>;

    /// Writes this instance's entry. Returns its new version.
    fn write_instance(&self, record: InstanceRecord) -> StoreFuture<ObjectVersion>;

    /// Removes the entry of an instance that no longer exists.
    fn remove_instance(&self, name: &str) -> StoreFuture<()>;

    /// Reads the causes of crashes of targets; empty if none were ever written.
    fn read_evidence(&self) -> StoreFuture<StoredEvidence>;

    /// Replaces the causes of crashes of targets.
    fn write_evidence(&self, evidence: StoredEvidence) -> StoreFuture<ObjectVersion>;
}

/// The store as registered with the kernel.
pub type SharedStore = Rc<dyn FleetStore>;
