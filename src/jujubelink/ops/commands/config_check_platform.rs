//! `config check --platform`: checks the configuration of a platform's store before it is written there.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

use serde_json::json;

use super::config_diff::change_text;
use super::files::findings_text;
use super::{CommandError, ExitStatus, Output};
use crate::core::config::{Change, diff_values};
use crate::core::fleet::DraftContext;
use crate::ops::settings::Finding;
use crate::ops::store::{FleetStore, StoreEras, TargetChange};
use crate::platform::{
    ConfigurationFault, MAX_CONFIGURATION_BYTES, ObjectStoreClient, check_configuration,
    configuration_by_name, read_configuration_file,
};

/// What a configuration is compared with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformBase {
    /// Nothing.
    None,
    /// Another file.
    File(PathBuf),
    /// The version in force, in the store at this address.
    InForce(SocketAddr),
}

/// A configuration that is compared with, and what is known besides.
struct Base {
    text: String,
    targets: Option<BTreeMap<Arc<str>, usize>>,
}

/// Checks a file and states the differences from `base`. The exit status is 1 if there are errors, and 2 if the
/// file or the base cannot be read.
pub async fn config_check_platform(
    file: &Path,
    base: &PlatformBase,
) -> Result<Output, CommandError> {
    let text = read_file(file)?;
    let base = match base {
        PlatformBase::None => None,
        PlatformBase::File(path) => Some(Base {
            text: usable(&path.display().to_string(), read_file(path)?)?,
            targets: None,
        }),
        PlatformBase::InForce(address) => Some(read_in_force(*address).await?),
    };
    let base_text = base.as_ref().map(|base| base.text.clone());
    let base_version = base_text.as_deref().and_then(version_of);
    let mut context = DraftContext {
        version_in_force: base_version,
        targets: base.and_then(|base| base.targets),
    };
    let compared = base_text.map(|before| {
        diff_values(
            &configuration_by_name(&before),
            &configuration_by_name(&text),
        )
    });
    if compared.as_ref().is_some_and(Vec::is_empty) {
        // The version in force itself needs no further version.
        context.version_in_force = None;
    }
    let checked = check_configuration(&text, &context);
    // A configuration that cannot be used is not compared: its values may be anywhere.
    let changes = compared.filter(|_| checked.version.is_some());
    Ok(output(&checked.faults, changes.as_deref(), base_version))
}

fn unreadable(name: &str, reason: impl std::fmt::Display) -> CommandError {
    CommandError::new(ExitStatus::Usage, format!("{name}: {reason}"))
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    let name = path.display().to_string();
    let mut bytes = Vec::new();
    let read = File::open(path).and_then(|file| {
        // A file without an end, such as a device, is not read further than needed to refuse it.
        let limit = MAX_CONFIGURATION_BYTES as u64 + 1;
        file.take(limit).read_to_end(&mut bytes)
    });
    read.map_err(|error| unreadable(&name, error))?;
    let text = read_configuration_file(&bytes).map_err(|reason| unreadable(&name, reason))?;
    Ok(text.to_owned())
}

/// Returns a base if its entries can be read, as others cannot be compared.
fn usable(name: &str, text: String) -> Result<String, CommandError> {
    let checked = check_configuration(&text, &DraftContext::default());
    match checked.faults.iter().find(|fault| fault.is_error) {
        Some(fault) => Err(unreadable(
            name,
            format!("{}: {}", fault.path, fault.message),
        )),
        None => Ok(text),
    }
}

fn version_of(text: &str) -> Option<u64> {
    check_configuration(text, &DraftContext::default()).version
}

async fn read_in_force(address: SocketAddr) -> Result<Base, CommandError> {
    let source = format!("the store at {address}");
    let store = ObjectStoreClient::new(address, Rc::new(StoreEras::for_command()));
    let stored = store.read_policy().await;
    let stored = stored.map_err(|error| unreadable(&source, error))?;
    let stored = stored.ok_or_else(|| unreadable(&source, "holds no configuration"))?;
    let stored = stored.map_err(|fault| unreadable(&source, fault.reason))?;
    let text =
        read_configuration_file(&stored.raw).map_err(|reason| unreadable(&source, reason))?;
    let listed = store.list_targets().await;
    let listed = listed.map_err(|error| unreadable(&source, error))?;
    let mut targets: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for change in listed.changes {
        if let TargetChange::Written { record, .. } = change
            && !record.is_leaving
        {
            *targets.entry(record.service).or_default() += 1;
        }
    }
    Ok(Base {
        text: text.to_owned(),
        targets: Some(targets),
    })
}

fn output(
    faults: &[ConfigurationFault],
    changes: Option<&[Change]>,
    base_version: Option<u64>,
) -> Output {
    let findings: Vec<Finding> = faults
        .iter()
        .map(|fault| match fault.is_error {
            true => Finding::error(fault.path.as_str(), fault.message.as_str()),
            false => Finding::warning(fault.path.as_str(), fault.message.as_str()),
        })
        .collect();
    let errors = findings.iter().filter(|finding| finding.is_error()).count();
    let warnings = findings.len() - errors;
    let mut text = String::new();
    if !findings.is_empty() {
        text = findings_text(&findings) + "\n";
    }
    let mut result = json!({ "findings": findings, "errors": errors, "warnings": warnings });
    if let Some(changes) = changes {
        let changes = json!(changes);
        let shown = changes.as_array().map_or(&[][..], Vec::as_slice);
        let version = base_version.unwrap_or_default();
        text += &match shown.is_empty() {
            true => format!("no difference to version {version}\n"),
            false => shown.iter().map(change_text).collect::<String>(),
        };
        result["base_version"] = version.into();
        result["changes"] = changes;
    }
    text += &format!("{errors} errors, {warnings} warnings");
    let status = match errors {
        0 => ExitStatus::Success,
        _ => ExitStatus::Failure,
    };
    Output::new(text, result).with_status(status)
}
