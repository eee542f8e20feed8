//! Values of the platform objects of sessions, slots and leases.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::core::ids::{Epoch, Incarnation, InstanceId, WorkspaceId};

/// Identifies a session by its holder: one run of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{instance}#{incarnation:016x}")]
pub struct SessionId {
    /// Peer address.
    pub instance: InstanceId,
    /// Run of the instance.
    pub incarnation: Incarnation,
}

impl SessionId {
    /// Returns the key of the session's platform object.
    pub fn object_key(&self) -> String {
        session_key(&self.instance)
    }
}

/// Returns the key of the platform object of an instance's session.
pub(crate) fn session_key(instance: &str) -> String {
    format!("sessions/{instance}")
}

/// A witness as listed in a session: one run of an instance.
pub type WitnessRef = SessionId;

/// State of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionState {
    /// The session is valid as long as its term and vouches are.
    Active,
    /// The session has ended permanently.
    Fenced,
}

/// Value of `sessions/<instance>`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionRecord {
    /// Run of the instance that holds the session.
    pub incarnation: Incarnation,
    /// Nonce of the last write. After a lost response, the writer reads the object back and
    /// compares it.
    pub nonce: u64,
    /// Instances that vouch for the session.
    pub witnesses: Vec<WitnessRef>,
    /// Validity of a write, in milliseconds.
    pub term_ms: u64,
    /// State.
    pub state: SessionState,
}

impl SessionRecord {
    /// Whether the session of `incarnation` has ended: it is fenced, or a later incarnation has
    /// replaced it, which is possible only after its end.
    pub fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.incarnation != incarnation || self.state == SessionState::Fenced
    }
}

/// Value of a slot or lease object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Session that holds the slot or lease; absent after a planned release.
    pub holder: Option<SessionId>,
    /// Fencing number; increases with each new holder.
    pub epoch: Epoch,
    /// Nonce of the last write.
    pub nonce: u64,
    /// Levels in micro-tokens at a planned handover. If absent, the earlier holder may have spent
    /// tokens until the time of the write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub levels: Option<BTreeMap<WorkspaceId, i64>>,
}
