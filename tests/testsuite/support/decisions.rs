//! Configurations, prompts and requests for tests of the router and the scheduler.

use std::rc::Rc;
use std::time::Duration;

use jujubelink::core::config::{ConfigSnapshot, FleetConfig};
use jujubelink::core::ids::Timestamp;
use jujubelink::core::prefix::{CacheScope, PromptFingerprints};
use jujubelink::core::scheduler::NewRequest;
use serde_json::{Value, json};

/// The only model of the configurations below.
pub(crate) const MODEL: &str = "judge";

/// A configuration with engines named `e000`, `e001` and so on that run [`MODEL`].
pub(crate) fn config_with_engines(engines: usize) -> ConfigSnapshot {
    config_with_named_engines((0..engines).map(engine_name))
}

/// A configuration with engines of the given names that run [`MODEL`].
pub(crate) fn config_with_named_engines(engines: impl Iterator<Item = String>) -> ConfigSnapshot {
    let targets: serde_json::Map<String, Value> = engines
        .map(|name| {
            let target = json!({ "kind": "engine", "address": "127.0.0.1:9", "max_running": 16,
                "failure_domain": "a", "models": [MODEL] });
            (name, target)
        })
        .collect();
    let fleet: FleetConfig = serde_json::from_value(json!({
        "workspaces": {
            "large": { "weight": 1, "rate_tokens_per_s": 1000, "burst_tokens": 1000 },
            "small": { "weight": 1, "rate_tokens_per_s": 1000, "burst_tokens": 1000 },
        },
        "models": { MODEL: { "weights_version": "1", "block_bytes": 100 } },
        "targets": targets,
    }))
    .expect("a valid configuration");
    ConfigSnapshot::new(1, fleet)
}

/// Name of an engine.
pub(crate) fn engine_name(index: usize) -> String {
    format!("e{index:03}")
}

/// Fingerprints of a prompt of [`MODEL`], for a workspace and a weights version.
pub(crate) fn prompt(workspace: &str, weights_version: &str, text: &str) -> PromptFingerprints {
    let scope = CacheScope {
        workspace,
        model: MODEL,
        weights_version,
    };
    PromptFingerprints::new(scope, text.as_bytes(), 100)
}

/// A text of `blocks` blocks of 100 bytes, each of which begins with `start`.
pub(crate) fn prompt_text(start: &str, blocks: usize) -> String {
    (0..blocks)
        .map(|block| format!("{start:.<90}{block:0>10}"))
        .collect()
}

/// A request of a workspace whose dispatch deadline is in 410 ms.
pub(crate) fn new_request(workspace: &str, text: &str, now: Timestamp) -> NewRequest {
    NewRequest {
        workspace: workspace.into(),
        model: MODEL.into(),
        prompt: Rc::new(prompt(workspace, "1", text)),
        cost_tokens: 1000,
        deadline: now + Duration::from_millis(410),
        excluded: Vec::new(),
        is_suspect: false,
        aims: None,
    }
}
