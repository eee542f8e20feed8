//! Entries that targets register in the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::canary::VersionId;
use crate::core::ids::{Incarnation, ModelId, TargetId};

/// Address at which a target listens.
pub type TargetAddress = SocketAddr;

/// Entry that a target registers for itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name; a restarted target may reuse it.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: Arc<str>,
    /// Address.
    pub address: TargetAddress,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the target is shutting down and takes no new work.
    pub is_leaving: bool,
    /// Weights versions in service, by model.
    pub weights: Vec<(ModelId, u64)>,
    /// Incarnation of the target: its start time in milliseconds since the Unix epoch; 0 if
    /// unknown.
    pub incarnation: Incarnation,
    /// Version of the target's software; empty if the entry states none.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub version: VersionId,
}

impl TargetRecord {
    /// Returns the version of a model's weights, if it is in the entry.
    pub fn weights_of(&self, model: &str) -> Option<u64> {
        let found = self.weights.iter().find(|(name, _)| &**name == model);
        found.map(|(_, version)| *version)
    }
}
