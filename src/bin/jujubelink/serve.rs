//! `jujubelink serve`: runs an instance.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Parser, construct, long};
use jujubelink::ops::commands::ExitStatus;
use jujubelink::ops::settings::{load_process, read_sources};
use jujubelink::ops::telemetry::new_logger;
use slog::Level;

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    settings: Vec<PathBuf>,
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let settings = long("settings")
        .help("Process settings, in TOML; repeat for overlays")
        .argument::<PathBuf>("FILE")
        .some("--settings FILE is needed");
    construct!(Options { settings })
        .to_options()
        .descr("Run an instance")
        .footer("Example: jujubelink serve --settings base.toml --settings recife-a.toml")
        .command("serve")
}

/// Runs the subcommand.
pub(crate) fn exec(options: Options) -> Result<ExitCode> {
    let loaded = load_process(&read_sources(&options.settings)?);
    let Some(settings) = loaded.settings else {
        for finding in &loaded.findings {
            eprintln!("{finding}");
        }
        return Ok(ExitStatus::Findings.into());
    };
    let log = new_logger(Level::Warning);
    for finding in &loaded.findings {
        slog::warn!(log, "settings"; "finding" => finding.to_string());
    }
    jujubelink::ops::serve::serve(settings, options.settings)?;
    Ok(ExitCode::SUCCESS)
}
