//! The platform's store, in the words of this project.
//!
//! The store keeps the configuration, the list of targets and the named weights, which this program
//! only reads, and two kinds of objects of its own: the instances and the lease for orders. It is the
//! only thing that outlives all processes. "Absent" and "cannot be asked" are different results.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;

use crate::core::fleet::{FleetPolicy, TargetRecord};
use crate::core::ids::{ModelId, ObjectVersion, TargetId};
use crate::core::rollout::LeaseRecord;

/// Why the store could not be asked, or did not do what it was asked.
#[derive(Debug, Clone, Display, Error)]
pub enum StoreError {
    /// No answer; a write may take effect now, later or never.
    #[display("the store did not answer: {reason}")]
    NoResponse {
        /// Cause.
        reason: String,
    },
    /// The store refused before any effect.
    #[display("the store refused with status {status}")]
    Refused {
        /// Status code.
        status: u16,
    },
    /// The history that a watch asked for is gone.
    #[display("the history of the store does not reach back")]
    HistoryTruncated,
    /// The object has another version, exists already, or is gone.
    #[display("the object has another version")]
    Conflict,
    /// The answer cannot be understood.
    #[display("the store gave an unusable answer: {reason}")]
    InvalidResponse {
        /// What is wrong with it.
        reason: String,
    },
}

/// Result of a call.
pub type StoreResult<T> = Result<T, StoreError>;

/// A call under way.
pub type StoreFuture<T> = LocalBoxFuture<'static, StoreResult<T>>;

/// A configuration as stored.
#[derive(Debug, Clone)]
pub struct StoredPolicy {
    /// The configuration.
    pub policy: FleetPolicy,
    /// Its stored form, for peers that cannot reach the store.
    pub raw: Bytes,
}

/// One change of the list of targets.
#[derive(Debug, Clone)]
pub enum TargetChange {
    /// The target wrote an entry.
    Written {
        /// Revision of the entry.
        revision: ObjectVersion,
        /// Entry.
        record: TargetRecord,
    },
    /// The entry is gone, or names no target that can be used.
    Removed {
        /// Revision of the store at which it was so.
        revision: ObjectVersion,
        /// Target.
        id: TargetId,
        /// What is wrong with an unusable entry.
        fault: Option<String>,
    },
}

/// Changes up to a revision of the store.
#[derive(Debug, Clone)]
pub struct TargetChanges {
    /// Changes in order.
    pub changes: Vec<TargetChange>,
    /// Revision up to which they reach; the next watch continues from here.
    pub revision: ObjectVersion,
}

/// An instance's own entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Name of the machine.
    pub name: String,
    /// Address for other instances.
    pub address: SocketAddr,
}

/// Calls to the store.
pub trait FleetStore {
    /// Reads the newest configuration. The answer proves that no newer one was acknowledged when the
    /// question was sent.
    fn read_policy(&self) -> StoreFuture<Option<StoredPolicy>>;

    /// Decodes a configuration's stored form that a peer passed on.
    fn decode_policy(&self, raw: &Bytes) -> StoreResult<StoredPolicy>;

    /// Lists all targets.
    fn list_targets(&self) -> StoreFuture<TargetChanges>;

    /// Waits up to `limit` for changes of the targets after a revision.
    fn watch_targets(&self, after: ObjectVersion, limit: Duration) -> StoreFuture<TargetChanges>;

    /// Lists the newest named weights.
    fn list_announced_weights(&self) -> StoreFuture<Vec<(ModelId, u64)>>;

    /// Reads the lease for orders, with its version; `None` if nobody ever held it.
    fn read_lease(&self) -> StoreFuture<Option<(ObjectVersion, LeaseRecord)>>;

    /// Writes the lease if it has `if_version`; 0 means that it must be absent. Returns the new
    /// version.
    fn write_lease(
        &self,
        if_version: ObjectVersion,
        record: LeaseRecord,
    ) -> StoreFuture<ObjectVersion>;

    /// Lists the instances.
    fn list_instances(&self) -> StoreFuture<Vec<InstanceRecord>>;

    /// Writes this instance's entry.
    fn write_instance(&self, record: InstanceRecord) -> StoreFuture<()>;

    /// Removes the entry of an instance that is gone.
    fn remove_instance(&self, name: &str) -> StoreFuture<()>;
}

/// The store as a service of the kernel.
pub type SharedStore = Rc<dyn FleetStore>;
