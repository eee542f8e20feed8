//! Handlers for the whole configuration and its history.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::AdminCall;
use crate::core::config::{Change, FleetConfig, StoredConfig, diff_values};
use crate::core::ids::ConfigVersion;
use crate::ops::admin::reply::{ApiError, ApiErrorCode, Reply};
use crate::ops::admin::server::AdminState;
use crate::ops::admin::writer::{change_findings, rollback_config};
use crate::ops::config_history::{HISTORY_PREFIX, MAX_HISTORY_VERSIONS, history_key};
use crate::ops::platform::PlatformClient;
use crate::ops::services::ConfigService;

/// Placeholder for masked credentials in responses. In requests, it means that the credential is
/// unchanged.
const MASK: &str = "***";

/// Maximum number of versions per history request. Each is an object of up to 1 MB.
const MAX_HISTORY_PAGE: u64 = 10;

#[derive(Serialize)]
struct ConfigResponse {
    version: ConfigVersion,
    author: String,
    changed_unix_ms: u64,
    /// `platform`, or `memory` if the platform is unavailable and the configuration active on this
    /// instance is returned.
    source: &'static str,
    config: Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigBody {
    config: FleetConfig,
}

#[derive(Serialize)]
struct HistoryEntry {
    version: ConfigVersion,
    author: String,
    changed_unix_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RollbackBody {
    to_version: ConfigVersion,
    #[serde(default)]
    if_version: Option<ConfigVersion>,
}

pub(super) async fn read(state: &Rc<AdminState>) -> Result<Reply, ApiError> {
    match state.writer.read().await {
        Ok(current) => Ok(Reply::ok(config_response(&current.stored, "platform"))),
        Err(error) => {
            let snapshot = state.context.service::<dyn ConfigService>().current();
            let snapshot = snapshot.ok_or_else(|| ApiError::from(error))?;
            let stored = StoredConfig {
                version: snapshot.version,
                nonce: String::new(),
                author: String::new(),
                changed_unix_ms: 0,
                config: snapshot.fleet.clone(),
            };
            Ok(Reply::ok(config_response(&stored, "memory")))
        }
    }
}

fn config_response(stored: &StoredConfig, source: &'static str) -> ConfigResponse {
    ConfigResponse {
        version: stored.version,
        author: stored.author.clone(),
        changed_unix_ms: stored.changed_unix_ms,
        source,
        config: mask_target_credentials(&stored.config),
    }
}

/// Returns the configuration as JSON, with credentials of targets masked.
fn mask_target_credentials(fleet: &FleetConfig) -> Value {
    let mut fleet = fleet.clone();
    for target in fleet.targets.values_mut() {
        if target.credential.is_some() {
            target.credential = Some(MASK.to_owned());
        }
    }
    serde_json::to_value(fleet).unwrap_or_default()
}

/// Replaces masked credentials of targets with the current ones, and adds the keys that are
/// currently withdrawn, because a withdrawn key must remain so.
fn restore_protected_values(mut fleet: FleetConfig, current: &FleetConfig) -> FleetConfig {
    let withdrawn = current.withdrawn_keys.iter().cloned();
    fleet.withdrawn_keys.extend(withdrawn);
    for (name, target) in &mut fleet.targets {
        if target.credential.as_deref() == Some(MASK) {
            let existing = current.targets.get(name);
            target.credential = existing.and_then(|existing| existing.credential.clone());
        }
    }
    fleet
}

pub(super) async fn apply(state: &Rc<AdminState>, call: &AdminCall) -> Result<Reply, ApiError> {
    let body: ConfigBody = call.json()?;
    let if_version = call.query_number("if_version")?.ok_or_else(|| {
        ApiError::invalid("if_version is needed: the version that the change is based on")
    })?;
    let edit = |current: &FleetConfig| Ok(restore_protected_values(body.config.clone(), current));
    let applied = state
        .writer
        .change(call.metadata()?, Some(if_version), edit)
        .await?;
    Ok(Reply::ok(applied))
}

pub(super) async fn check(state: &Rc<AdminState>, call: &AdminCall) -> Result<Reply, ApiError> {
    let body: ConfigBody = call.json()?;
    let current = state.writer.read().await?.stored;
    let findings = change_findings(
        &current,
        &restore_protected_values(body.config, &current.config),
    );
    let body = serde_json::json!({ "base_version": current.version, "findings": findings });
    Ok(Reply::ok(body))
}

pub(super) async fn diff(state: &Rc<AdminState>, call: &AdminCall) -> Result<Reply, ApiError> {
    let body: ConfigBody = call.json()?;
    let current = state.writer.read().await?.stored;
    let next = restore_protected_values(body.config, &current.config);
    let mut changes = diff_values(&to_value(&current.config), &to_value(&next));
    changes.iter_mut().for_each(mask_change);
    let body = serde_json::json!({ "base_version": current.version, "changes": changes });
    Ok(Reply::ok(body))
}

fn to_value(fleet: &FleetConfig) -> Value {
    serde_json::to_value(fleet).unwrap_or_default()
}

/// Masks credentials in one difference.
fn mask_change(change: &mut Change) {
    let is_credential = change.path.last().is_some_and(|key| key == "credential");
    for side in [&mut change.before, &mut change.after] {
        match side {
            Some(value) if is_credential => *value = MASK.into(),
            Some(value) => mask_credentials(value),
            None => {}
        }
    }
}

/// Masks all credentials inside a JSON value.
fn mask_credentials(value: &mut Value) {
    let Value::Object(fields) = value else {
        return;
    };
    for (key, field) in fields {
        match key.as_str() {
            "credential" if field.is_string() => *field = MASK.into(),
            _ => mask_credentials(field),
        }
    }
}

pub(super) async fn history(state: &Rc<AdminState>, call: &AdminCall) -> Result<Reply, ApiError> {
    let current = state.writer.read().await?.stored;
    let before = call.query_number("before")?.unwrap_or(current.version + 1);
    let mut entries: Vec<HistoryEntry> = Vec::new();
    if current.version > 0 && current.version < before {
        entries.push(history_entry(&current));
    }
    let last = before.min(current.version);
    let first = last.saturating_sub(MAX_HISTORY_PAGE);
    let platform = state.context.service::<PlatformClient>();
    let after = history_key(first.saturating_sub(1));
    let objects = platform
        .list(HISTORY_PREFIX, &after, MAX_HISTORY_PAGE as u32 + 1)
        .await?;
    let mut earlier = Vec::new();
    for object in objects {
        let stored: StoredConfig = match object.parse() {
            Ok(stored) => stored,
            Err(error) => {
                slog::warn!(state.context.log(), "version of the history left out";
                    "error" => %error);
                continue;
            }
        };
        if stored.version < last {
            earlier.push(history_entry(&stored));
        }
    }
    entries.extend(earlier.into_iter().rev());
    let body = serde_json::json!({ "versions": entries, "kept_versions": MAX_HISTORY_VERSIONS });
    Ok(Reply::ok(body))
}

fn history_entry(stored: &StoredConfig) -> HistoryEntry {
    HistoryEntry {
        version: stored.version,
        author: stored.author.clone(),
        changed_unix_ms: stored.changed_unix_ms,
    }
}

fn parse_version(text: &str) -> Result<ConfigVersion, ApiError> {
    text.parse()
        .map_err(|_| ApiError::invalid("a version is a number"))
}

async fn find_version(
    state: &Rc<AdminState>,
    version: ConfigVersion,
) -> Result<StoredConfig, ApiError> {
    let stored = state.writer.read_version(version).await?;
    stored.ok_or_else(|| ApiError::not_found(format!("version {version} is not kept")))
}

pub(super) async fn read_history(
    state: &Rc<AdminState>,
    call: &AdminCall,
) -> Result<Reply, ApiError> {
    let version = parse_version(&call.parameter)?;
    let stored = find_version(state, version).await?;
    Ok(Reply::ok(config_response(&stored, "platform")))
}

pub(super) async fn rollback(state: &Rc<AdminState>, call: &AdminCall) -> Result<Reply, ApiError> {
    let body: RollbackBody = call.json()?;
    let earlier = find_version(state, body.to_version).await?.config;
    let edit = |current: &FleetConfig| {
        if earlier.limit_layout != current.limit_layout {
            return Err(ApiError::new(
                ApiErrorCode::Rejected,
                "the earlier version has another limit_layout, which must not change",
            ));
        }
        Ok(rollback_config(&earlier, current))
    };
    let applied = state
        .writer
        .change(call.metadata()?, body.if_version, edit)
        .await?;
    Ok(Reply::ok(applied))
}
