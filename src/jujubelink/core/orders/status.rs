//! What an engine reports.

use serde::{Deserialize, Serialize};

use crate::core::ids::{Incarnation, ModelId, WeightsVersion};

/// Whether an engine can run requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Runs requests.
    Ready,
    /// Loads weights.
    Loading,
    /// Stops.
    Leaving,
    /// Has no weights, or a state that this release does not know.
    #[default]
    #[serde(other)]
    Idle,
}

/// Answer of `GET /v1/load`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Run of the engine.
    pub incarnation: Incarnation,
    /// Loaded model; empty if none.
    #[serde(default)]
    pub model: Option<ModelId>,
    /// Version of the loaded weights.
    #[serde(default)]
    pub weights_version: Option<WeightsVersion>,
    /// Requests that run.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait at the engine.
    #[serde(default)]
    pub waiting: u32,
    /// Requests that can run at once.
    #[serde(default)]
    pub max_running: u32,
    /// State.
    #[serde(default)]
    pub state: EngineState,
}

impl EngineStatus {
    /// Name of the loaded model.
    pub fn loaded_model(&self) -> Option<&ModelId> {
        self.model.as_ref().filter(|model| !model.is_empty())
    }

    /// Whether requests of a model can run here, on any version of its weights.
    pub fn is_ready_for(&self, model: &str) -> bool {
        self.state == EngineState::Ready
            && self.loaded_model().is_some_and(|loaded| **loaded == *model)
    }

    /// Whether it has exactly these weights ready.
    pub fn has(&self, model: &str, weights_version: &str) -> bool {
        self.is_ready_for(model) && self.weights_version.as_deref() == Some(weights_version)
    }
}
