//! `config diff`: shows what `config apply` would change.

use std::path::PathBuf;

use serde_json::{Value, json};

use super::files::load_fleet_files;
use super::{AdminClient, CommandError, Output};

/// Compares a configuration from files with the current one.
pub async fn config_diff(client: &AdminClient, files: &[PathBuf]) -> Result<Output, CommandError> {
    let loaded = load_fleet_files(client, files).await?;
    let body = json!({ "config": loaded.config });
    let response = client.query("/v1/config/diff", &body).await?;
    Ok(Output::new(diff_text(&response), &response))
}

fn diff_text(response: &Value) -> String {
    let changes = response["changes"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    if changes.is_empty() {
        return format!("no difference to version {}", response["base_version"]);
    }
    changes.iter().map(change_text).collect()
}

/// Formats one changed setting as a line.
pub(super) fn change_text(change: &Value) -> String {
    let keys: Vec<&str> = change["path"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let path = keys.join(".").escape_debug().to_string();
    match (change.get("before"), change.get("after")) {
        (Some(before), Some(after)) => format!("~ {path}: {before} -> {after}\n"),
        (Some(before), None) => format!("- {path}: {before}\n"),
        (None, after) => format!("+ {path}: {}\n", after.unwrap_or(&Value::Null)),
    }
}
