//! Configuration of the simulated fleet.

use jujubelink::core::config::{ConfigSnapshot, FleetConfig};
use serde_json::{Map, Value, json};

use crate::workload::WorkloadSpec;

/// Returns the fleet configuration for a workload whose requests cost `mean_tokens` on average.
/// Engines are named `e0000`, `e0001` and so on; models are assigned in proportion to their shares.
pub fn build_config(spec: &WorkloadSpec, mean_tokens: f64) -> ConfigSnapshot {
    let targets: Map<String, Value> = (0..spec.engines)
        .map(|index| {
            let model = spec.models[model_of_engine(spec, index)].name;
            let target = json!({ "kind": "engine", "address": "127.0.0.1:9",
                "failure_domain": "a", "models": [model], "max_running": spec.max_running });
            (engine_name(index), target)
        })
        .collect();
    let models: Map<String, Value> = spec
        .models
        .iter()
        .map(|model| {
            let entry = json!({ "weights_version": "1",
                "prefill_tokens_per_s": spec.prefill_tokens_per_s });
            (model.name.to_owned(), entry)
        })
        .collect();
    let workspaces: Map<String, Value> = spec
        .workspaces
        .iter()
        .map(|workspace| {
            let rate = (spec.requests_per_s * workspace.share * mean_tokens) as u64;
            let entry = json!({ "rate_tokens_per_s": rate, "burst_tokens": rate });
            (workspace.name.clone(), entry)
        })
        .collect();
    let fleet: FleetConfig = serde_json::from_value(
        json!({ "targets": targets, "models": models, "workspaces": workspaces }),
    )
    .expect("a valid configuration");
    ConfigSnapshot::new(1, fleet)
}

/// Returns the name of an engine.
pub(super) fn engine_name(index: usize) -> String {
    format!("e{index:04}")
}

/// Returns the index of the engine with a name made by [`engine_name`].
pub(super) fn engine_index(name: &str) -> usize {
    name[1..].parse().expect("a name made by engine_name")
}

/// Returns the index of the model that an engine serves. Models get engines in proportion to their
/// shares.
pub(super) fn model_of_engine(spec: &WorkloadSpec, engine: usize) -> usize {
    let cumulative_share = (engine as f64 + 0.5) / spec.engines as f64;
    let mut sum = 0.0;
    let found = spec.models.iter().position(|model| {
        sum += model.share;
        cumulative_share < sum
    });
    found.unwrap_or(spec.models.len() - 1)
}
