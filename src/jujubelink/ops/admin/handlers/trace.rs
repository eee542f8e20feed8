//! Handler that explains where a prompt would be routed.

use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;

use super::{AdminCall, config_entries::active_config};
use crate::core::ids::{ModelId, WorkspaceId};
use crate::core::prefix::{CacheScope, PromptFingerprints};
use crate::core::prompt::cache_namespace;
use crate::ops::admin::reply::{ApiError, Reply};
use crate::ops::admin::server::AdminState;
use crate::ops::services::{MemberService, ModelRequest, TraceService};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TraceBody {
    workspace: WorkspaceId,
    model: ModelId,
    /// Request body as the client would send it; used as the prompt.
    prompt: String,
}

pub(super) async fn trace(state: &Rc<AdminState>, call: &AdminCall) -> Result<Reply, ApiError> {
    let body: TraceBody = call.json()?;
    let config = active_config(state)?;
    let (model_id, model) = config
        .fleet
        .models
        .get_key_value(&body.model)
        .ok_or_else(|| ApiError::not_found(format!("model `{}` is not defined", body.model)))?;
    let (workspace, _) = config.workspace(&body.workspace).ok_or_else(|| {
        ApiError::not_found(format!("workspace `{}` is not defined", body.workspace))
    })?;
    let namespace = cache_namespace(workspace);
    let scope = CacheScope {
        workspace: &namespace,
        model: model_id,
        weights_version: &model.weights_version,
    };
    let prompt = body.prompt.as_bytes();
    let fingerprints = PromptFingerprints::new(scope, prompt, model.block_bytes as usize);
    let leaving = state
        .context
        .service::<dyn MemberService>()
        .leaving_targets();
    let targets: Vec<_> = config
        .engines_of(model_id)
        .map(|(name, target)| {
            let is_in_service = !target.is_draining && !leaving.contains(name);
            json!({ "target": name, "failure_domain": target.failure_domain,
                "is_in_service": is_in_service })
        })
        .collect();
    let estimated = prompt.len() as u64 / u64::from(model.min_bytes_per_token.max(1))
        + model.default_max_tokens;
    let now = state.context.timers().now();
    let request = ModelRequest {
        id: "trace".into(),
        workspace: workspace.clone(),
        model: model_id.clone(),
        prompt: Rc::new(fingerprints),
        cost_tokens: estimated,
        first_token_deadline: now + Duration::from_millis(model.first_token_deadline_ms),
        excluded: Vec::new(),
        is_suspect: false,
        aims: None,
    };
    let scheduler = state.context.find_service::<dyn TraceService>();
    let decision = scheduler.map(|scheduler| scheduler.explain(&request));
    Ok(Reply::ok(json!({
        "workspace": workspace,
        "model": model_id,
        "weights_version": model.weights_version,
        "config_version": config.version,
        "blocks": request.prompt.blocks.iter().map(|block| format!("{block:016x}"))
            .collect::<Vec<_>>(),
        "estimated_tokens": estimated,
        "targets": targets,
        "decision": decision,
    })))
}
