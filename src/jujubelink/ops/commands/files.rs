//! Loads a fleet configuration from files and adds the client keys of the current configuration.

use std::path::PathBuf;

use serde_json::{Value, json};

use super::{AdminClient, CommandError, ExitStatus};
use crate::ops::settings::{Finding, load_fleet, read_sources};

/// Fleet configuration loaded from files.
pub(super) struct FleetFiles {
    /// Configuration as JSON.
    pub(super) config: Value,
    /// Warnings about the files.
    pub(super) findings: Vec<Finding>,
    /// Version of the current configuration in the platform.
    pub(super) base_version: u64,
}

/// Loads a fleet configuration from files. If the files contain no keys, the keys of the current
/// configuration are used, because keys are usually granted and withdrawn with commands.
pub(super) async fn load_fleet_files(
    client: &AdminClient,
    files: &[PathBuf],
) -> Result<FleetFiles, CommandError> {
    let loaded = load_fleet(&read_sources(files)?);
    let has_keys = loaded
        .document
        .as_table()
        .is_some_and(|sections| sections.contains_key("keys"));
    let Some(fleet) = loaded.settings else {
        return Err(CommandError::new(
            ExitStatus::Findings,
            findings_text(&loaded.findings),
        ));
    };
    let mut config = json!(fleet);
    let current = client.get("/v1/config").await?;
    if !has_keys {
        config["keys"] = current["config"]["keys"].clone();
    }
    merge_withdrawn_keys(&mut config, &current["config"]);
    Ok(FleetFiles {
        config,
        findings: loaded.findings,
        base_version: current["version"].as_u64().unwrap_or(0),
    })
}

/// Adds the currently withdrawn keys, because a withdrawn key must remain so even if it is missing
/// from the files.
fn merge_withdrawn_keys(config: &mut Value, current: &Value) {
    let key_lists = [&config["withdrawn_keys"], &current["withdrawn_keys"]];
    let hashes: std::collections::BTreeSet<&str> = key_lists
        .into_iter()
        .filter_map(Value::as_array)
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    config["withdrawn_keys"] = json!(hashes);
}

/// Formats findings, one per line.
pub(super) fn findings_text(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
