//! Targets as they announce themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::ids::{Incarnation, ModelId, TargetId};

/// Where a target listens.
pub type TargetAddress = SocketAddr;

/// A target's own entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name; a restarted target may keep it.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: Arc<str>,
    /// Address.
    pub address: TargetAddress,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether the target takes no new work.
    pub is_leaving: bool,
    /// Weights in service by model.
    pub weights: Vec<(ModelId, u64)>,
    /// Run of the target: the time of its start, in milliseconds since the Unix epoch; 0 if unknown.
    pub incarnation: Incarnation,
}

impl TargetRecord {
    /// Version of a model's weights, as far as the entry tells.
    pub fn weights_of(&self, model: &str) -> Option<u64> {
        let found = self.weights.iter().find(|(name, _)| &**name == model);
        found.map(|(_, version)| *version)
    }
}
