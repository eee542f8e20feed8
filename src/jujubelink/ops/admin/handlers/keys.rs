//! Handlers for client keys.

use std::rc::Rc;

use serde::Deserialize;
use serde_json::json;

use super::{AdminCall, config_entries::active_config};
use crate::core::config::{FleetConfig, KeyGrant, is_sha256_hex};
use crate::core::ids::{KeyHash, WorkspaceId};
use crate::ops::admin::reply::{ApiError, ApiErrorCode, Reply};
use crate::ops::admin::server::AdminState;
use crate::ops::services::ConfigService;
use crate::util::hash::sha256_hex;

/// Prefix of every key, by which scanners for leaked secrets recognize it.
const KEY_PREFIX: &str = "jjl_";

/// Number of random bytes in a key.
const KEY_RANDOM_BYTES: usize = 32;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantBody {
    workspace: WorkspaceId,
    #[serde(default)]
    note: String,
}

pub(super) fn list(state: &AdminState) -> Result<Reply, ApiError> {
    let config = active_config(state)?;
    Ok(Reply::ok(json!({
        "keys": config.fleet.keys,
        "withdrawn_keys": config.fleet.withdrawn_keys,
    })))
}

pub(super) async fn grant(state: &Rc<AdminState>, call: &AdminCall) -> Result<Reply, ApiError> {
    let body: GrantBody = call.json()?;
    let secret = generate_secret();
    let hash: KeyHash = sha256_hex(secret.as_bytes()).into();
    let edit = |fleet: &FleetConfig| {
        if !fleet.workspaces.contains_key(&body.workspace) {
            let message = format!("workspace `{}` is not defined", body.workspace);
            return Err(ApiError::new(ApiErrorCode::Rejected, message));
        }
        let mut next = fleet.clone();
        let grant = KeyGrant {
            workspace: body.workspace.clone(),
            note: body.note.clone(),
        };
        next.keys.insert(hash.clone(), grant);
        Ok(next)
    };
    let applied = state.writer.change(call.metadata()?, None, edit).await?;
    Ok(Reply::ok(json!({
        "version": applied.version,
        "key_hash": hash,
        "workspace": body.workspace,
        "secret": secret,
    })))
}

fn generate_secret() -> String {
    format!(
        "{KEY_PREFIX}{}",
        hex::encode(rand::random::<[u8; KEY_RANDOM_BYTES]>())
    )
}

pub(super) async fn withdraw(state: &Rc<AdminState>, call: &AdminCall) -> Result<Reply, ApiError> {
    let hash: KeyHash = call.parameter.as_str().into();
    if !is_sha256_hex(&hash) {
        let message = "a key is named by the lower-case hexadecimal SHA-256 of its secret";
        return Err(ApiError::invalid(message));
    }
    // Gossip spreads the revocation even if the platform is unavailable. If this instance cannot
    // write it to the configuration, the instances that watch the configuration do so later.
    let config = state.context.service::<dyn ConfigService>();
    config.revoke(&hash);
    let edit = |fleet: &FleetConfig| {
        let mut next = fleet.clone();
        next.keys.remove(&hash);
        next.withdrawn_keys.insert(hash.clone());
        Ok(next)
    };
    let result = state.writer.change(call.metadata()?, None, edit).await;
    let body = match result {
        Ok(applied) => json!({
            "key_hash": hash, "is_in_configuration": true, "version": applied.version,
        }),
        Err(error) if config.is_revoked(&hash) => json!({
            "key_hash": hash, "is_in_configuration": false, "reason": error.message,
        }),
        Err(error) => return Err(error),
    };
    Ok(Reply::ok(body))
}
