//! `config render`: prints the merged settings with the origin of each value.

use std::path::PathBuf;

use serde_json::json;

use super::files::findings_text;
use super::{CommandError, ExitStatus, Output, SettingsKind};
use crate::ops::settings::{load_fleet, load_process, read_sources, render};

/// Merges and renders files. If there are errors, the findings follow the merged settings, so that
/// they can be compared.
pub fn config_render(kind: SettingsKind, files: &[PathBuf]) -> Result<Output, CommandError> {
    let sources = read_sources(files)?;
    let (document, findings, is_usable) = match kind {
        SettingsKind::Fleet => {
            let loaded = load_fleet(&sources);
            let is_usable = loaded.settings.is_some();
            (loaded.document, loaded.findings, is_usable)
        }
        SettingsKind::Process => {
            let loaded = load_process(&sources);
            let is_usable = loaded.settings.is_some();
            (loaded.document, loaded.findings, is_usable)
        }
    };
    let rendered = render(&document);
    let json = json!({ "rendered": rendered, "findings": findings });
    if is_usable {
        return Ok(Output::new(rendered, json));
    }
    let text = format!("{rendered}\n{}", findings_text(&findings));
    Ok(Output::new(text, json).with_status(ExitStatus::Findings))
}
