//! Loads settings: reads, merges, decodes and validates files.

use std::path::PathBuf;

use anyhow::{Context, Result};
use serde::de::DeserializeOwned;

use super::{
    Decoded, Finding, Node, NodeTable, NodeValue, Origin, ProcessSettings, Severity, decode,
    merge_overlay, parse_document,
};
use crate::core::config::{FleetConfig, Violation, check_fleet, is_sha256_hex};

/// Minimum length of the cluster key. A shorter key can be found by brute force from captured
/// datagrams.
const MIN_CLUSTER_KEY_CHARS: usize = 16;

/// Name and contents of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsSource {
    /// File name shown in findings.
    pub name: String,
    /// Contents of the file.
    pub text: String,
}

impl SettingsSource {
    /// Creates a source from a name and contents.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }
}

/// Result of loading settings.
#[derive(Debug)]
pub struct Loaded<T> {
    /// The settings; `None` if there are errors.
    pub settings: Option<T>,
    /// Findings, sorted by position.
    pub findings: Vec<Finding>,
    /// The merged document.
    pub document: Node,
}

impl<T> Loaded<T> {
    /// Returns the settings, or an error that lists all findings.
    pub fn into_result(self) -> Result<T> {
        match self.settings {
            Some(settings) => Ok(settings),
            None => {
                let lines: Vec<String> = self.findings.iter().map(ToString::to_string).collect();
                anyhow::bail!("invalid settings:\n{}", lines.join("\n"))
            }
        }
    }
}

/// Reads settings files: the base, then the overlays.
pub fn read_sources(paths: &[PathBuf]) -> Result<Vec<SettingsSource>> {
    paths
        .iter()
        .map(|path| {
            let name = path.display().to_string();
            let text = std::fs::read_to_string(path).with_context(|| format!("read {name}"))?;
            Ok(SettingsSource { name, text })
        })
        .collect()
}

/// Loads process settings. The first source is the base; the others are merged over it in order.
pub fn load_process(sources: &[SettingsSource]) -> Loaded<ProcessSettings> {
    load(sources, |settings, document, _| {
        check_process(settings, document)
    })
}

/// Loads a fleet configuration. The first source is the base; the others are merged over it in
/// order.
pub fn load_fleet(sources: &[SettingsSource]) -> Loaded<FleetConfig> {
    load(sources, |fleet, document, is_complete| {
        let mut violations = check_fleet(fleet);
        violations.retain(|violation| is_complete || !violation.depends_on_other_entries);
        violation_findings(&violations, Some(document))
    })
}

/// Converts violations of configuration rules to findings, with positions if `document` is given.
pub fn violation_findings(violations: &[Violation], document: Option<&Node>) -> Vec<Finding> {
    violations
        .iter()
        .map(|violation| {
            let keys: Vec<&str> = violation.path.iter().map(String::as_str).collect();
            let origin = document.map(|document| document.nearest(&keys).origin.clone());
            let path = keys.join(".");
            let finding = match violation.is_error {
                true => Finding::error(path, violation.message.as_str()),
                false => Finding::warning(path, violation.message.as_str()),
            };
            finding.with_origin(origin)
        })
        .collect()
}

/// Merges and decodes the sources and adds the findings of `check`. The last argument of `check` is
/// whether the settings are complete; otherwise fields with errors were removed.
fn load<T: DeserializeOwned>(
    sources: &[SettingsSource],
    check: impl Fn(&T, &Node, bool) -> Vec<Finding>,
) -> Loaded<T> {
    let mut findings = Vec::new();
    let document = merge_sources(sources, &mut findings);
    let (settings, is_complete) = match decode(&document, &mut findings) {
        Decoded::Complete(settings) => (Some(settings), true),
        Decoded::Partial(settings) => (Some(settings), false),
        Decoded::Failed => (None, false),
    };
    if let Some(settings) = &settings {
        findings.extend(check(settings, &document, is_complete));
    }
    findings.sort();
    findings.dedup();
    let is_usable = !findings.iter().any(Finding::is_error);
    Loaded {
        settings: settings.filter(|_| is_usable),
        findings,
        document,
    }
}

fn merge_sources(sources: &[SettingsSource], findings: &mut Vec<Finding>) -> Node {
    let mut document = Node {
        origin: Origin {
            file: sources.first().map_or("", |source| &source.name).into(),
            line: 1,
            column: 1,
        },
        value: NodeValue::Table(NodeTable::new()),
    };
    for (index, source) in sources.iter().enumerate() {
        let parsed = parse_document(&source.name, &source.text, findings);
        if index == 0 {
            // An empty base is valid and not reported, unlike an empty overlay: all settings can
            // have defaults.
            document = parsed;
        } else {
            merge_overlay(&mut document, parsed, findings);
        }
    }
    document
}

/// Validates process settings.
fn check_process(settings: &ProcessSettings, document: &Node) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut report = |severity: Severity, keys: &[&str], message: String| {
        let origin = document.nearest(keys).origin.clone();
        findings.push(Finding {
            severity,
            ..Finding::error(keys.join("."), message).with_origin(Some(origin))
        });
    };
    if settings.instance.cluster_key.chars().count() < MIN_CLUSTER_KEY_CHARS {
        let message = format!("must have at least {MIN_CLUSTER_KEY_CHARS} characters");
        report(Severity::Error, &["instance", "cluster_key"], message);
    }
    let listen = &settings.listen;
    if listen.client_address == listen.admin_address {
        let message = "is the clients' address; the administration API needs its own".to_owned();
        report(Severity::Error, &["listen", "admin_address"], message);
    }
    if settings
        .instance
        .seeds
        .contains(&settings.instance.peer_address)
    {
        let message = "names this instance's own address".to_owned();
        report(Severity::Warning, &["instance", "seeds"], message);
    }
    if settings.log.level.parse::<slog::Level>().is_err() {
        let message = "unknown level; use error, warning, info, debug or trace".to_owned();
        report(Severity::Error, &["log", "level"], message);
    }
    if settings.tracing.sample_one_in == 0 {
        let message = "must be at least 1".to_owned();
        report(Severity::Error, &["tracing", "sample_one_in"], message);
    }
    let machine = &settings.machine;
    let at_least_one = [
        ("max_client_connections", machine.max_client_connections),
        ("receive_buffer_kib", machine.receive_buffer_kib),
        ("http2_streams", machine.http2_streams),
    ];
    for (name, _) in at_least_one.iter().filter(|(_, value)| *value == Some(0)) {
        let message = "must be at least 1".to_owned();
        report(Severity::Error, &["machine", name], message);
    }
    for (name, key) in &settings.admin.keys {
        if !is_sha256_hex(&key.sha256) {
            let message = "must be a lower-case hexadecimal SHA-256 hash".to_owned();
            report(Severity::Error, &["admin", "keys", name, "sha256"], message);
        }
    }
    if settings.admin.keys.is_empty() {
        let message = "no key is defined, so the administration API refuses all".to_owned();
        report(Severity::Warning, &["admin", "keys"], message);
    }
    findings
}
