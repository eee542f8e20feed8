//! State that an engine reports.

use serde::{Deserialize, Serialize};

use crate::core::ids::{Incarnation, ModelId, WeightsVersion};

/// State of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// The engine runs requests.
    Ready,
    /// The engine is loading weights.
    Loading,
    /// The engine is stopping.
    Leaving,
    /// The engine has no weights, or a state that this release does not support.
    #[default]
    #[serde(other)]
    Idle,
}

/// Response to `GET /v1/load`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Run of the engine.
    pub incarnation: Incarnation,
    /// Loaded model; absent or empty if there is none.
    #[serde(default)]
    pub model: Option<ModelId>,
    /// Version of the loaded weights.
    #[serde(default)]
    pub weights_version: Option<WeightsVersion>,
    /// Number of running requests.
    #[serde(default)]
    pub running: u32,
    /// Number of requests that wait at the engine.
    #[serde(default)]
    pub waiting: u32,
    /// Largest number of requests that run concurrently.
    #[serde(default)]
    pub max_running: u32,
    /// State.
    #[serde(default)]
    pub state: EngineState,
}

impl EngineStatus {
    /// Returns the name of the loaded model.
    pub fn loaded_model(&self) -> Option<&ModelId> {
        self.model.as_ref().filter(|model| !model.is_empty())
    }

    /// Whether the engine can run requests for a model, on any version of its weights.
    pub fn is_ready_for(&self, model: &str) -> bool {
        self.state == EngineState::Ready
            && self.loaded_model().is_some_and(|loaded| **loaded == *model)
    }

    /// Whether the engine is ready with exactly these weights.
    pub fn has(&self, model: &str, weights_version: &str) -> bool {
        self.is_ready_for(model) && self.weights_version.as_deref() == Some(weights_version)
    }
}
