//! Fleet configuration from files, completed by what only the platform holds.

use std::path::PathBuf;

use serde_json::{Value, json};

use super::{AdminClient, CommandError, ExitStatus};
use crate::ops::settings::{Finding, load_fleet, read_sources};

/// A fleet configuration that was loaded from files.
pub(super) struct FleetFiles {
    /// The configuration, encoded.
    pub(super) config: Value,
    /// Warnings about the files.
    pub(super) findings: Vec<Finding>,
    /// Version in the platform.
    pub(super) base_version: u64,
}

/// Loads files and takes over keys from the configuration in the platform if the files name none,
/// because keys are usually granted and withdrawn by commands.
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

/// Withdrawn keys stay withdrawn, whatever the files say.
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

/// Findings, one a line.
pub(super) fn findings_text(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
