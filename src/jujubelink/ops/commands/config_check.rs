//! `config check`: validates settings files.

use std::path::PathBuf;

use serde_json::json;

use super::files::{findings_text, load_fleet_files};
use super::{AdminClient, CommandError, ExitStatus, Output};
use crate::ops::settings::{Finding, load_fleet, load_process, read_sources};

/// Kind of settings in a set of files.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsKind {
    /// Fleet configuration.
    Fleet,
    /// Process settings.
    Process,
}

/// Validates files without contacting an instance.
pub fn config_check(kind: SettingsKind, files: &[PathBuf]) -> Result<Output, CommandError> {
    let sources = read_sources(files)?;
    let findings = match kind {
        SettingsKind::Fleet => load_fleet(&sources).findings,
        SettingsKind::Process => load_process(&sources).findings,
    };
    Ok(findings_output(&findings))
}

/// Validates files of a fleet configuration, and the change to it from the current configuration.
pub async fn config_check_against_current(
    client: &AdminClient,
    files: &[PathBuf],
) -> Result<Output, CommandError> {
    let loaded = load_fleet_files(client, files).await?;
    let body = json!({ "config": loaded.config });
    let response = client.query("/v1/config/check", &body).await?;
    let mut findings = loaded.findings;
    for finding in response["findings"].as_array().into_iter().flatten() {
        let text = |field: &str| finding[field].as_str().unwrap_or_default();
        let parsed_finding = match text("severity") {
            "error" => Finding::error(text("path"), text("message")),
            _ => Finding::warning(text("path"), text("message")),
        };
        let is_duplicate = findings.iter().any(|existing| {
            existing.path == parsed_finding.path && existing.message == parsed_finding.message
        });
        if !is_duplicate {
            findings.push(parsed_finding);
        }
    }
    Ok(findings_output(&findings))
}

fn findings_output(findings: &[Finding]) -> Output {
    let errors = findings.iter().filter(|finding| finding.is_error()).count();
    let warnings = findings.len() - errors;
    let summary = format!("{errors} errors, {warnings} warnings");
    let text = match findings.is_empty() {
        true => summary,
        false => format!("{}\n{summary}", findings_text(findings)),
    };
    let status = match errors {
        0 => ExitStatus::Success,
        _ => ExitStatus::Findings,
    };
    let json = json!({ "findings": findings, "errors": errors, "warnings": warnings });
    Output::new(text, json).with_status(status)
}
