//! `jujubelink config`: checks, renders, compares, applies and rolls back configurations.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use bpaf::{Parser, construct, long, positional};
use jujubelink::ops::commands::{
    ApplyOptions, PlatformBase, SettingsKind, config_apply, config_check,
    config_check_against_current, config_check_platform, config_diff, config_history,
    config_render, config_rollback,
};
use jujubelink::ops::kernel;

use crate::common::{
    Connection, connection, finish, json_switch, key_file, run, run_confirmed, yes_switch,
};

/// Default of the maximum time to wait until a version is active on all instances, in seconds.
const DEFAULT_WAIT_S: u64 = 17;

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) enum Options {
    Check {
        is_process: bool,
        is_platform: bool,
        against: Option<String>,
        in_force: Option<SocketAddr>,
        key_file: Option<PathBuf>,
        is_json: bool,
        files: Vec<PathBuf>,
    },
    Render {
        is_process: bool,
        is_json: bool,
        files: Vec<PathBuf>,
    },
    Diff {
        connection: Connection,
        files: Vec<PathBuf>,
    },
    Apply {
        connection: Connection,
        if_version: Option<u64>,
        wait_s: u64,
        files: Vec<PathBuf>,
    },
    History {
        connection: Connection,
        before: Option<u64>,
    },
    Rollback {
        connection: Connection,
        is_confirmed: bool,
        wait_s: u64,
        to_version: u64,
    },
}

fn files() -> impl Parser<Vec<PathBuf>> {
    positional::<PathBuf>("FILE")
        .help("Base file, then overlays")
        .some("a file is needed")
}

fn process_switch() -> impl Parser<bool> {
    long("process")
        .help("The files are process settings, not a fleet configuration")
        .switch()
}

fn wait_s() -> impl Parser<u64> {
    long("wait-s")
        .help("Longest wait until the version is in force on every live instance, in seconds")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_WAIT_S)
}

/// Whether the options of a check go together.
fn is_valid_check(options: &Options) -> bool {
    let Options::Check {
        is_process,
        is_platform,
        against,
        in_force,
        key_file,
        files,
        ..
    } = options
    else {
        return true;
    };
    if *is_platform {
        let is_one_base = against.is_none() || in_force.is_none();
        return !is_process && is_one_base && key_file.is_none() && files.len() == 1;
    }
    let address = against
        .as_ref()
        .map(|address| address.parse::<SocketAddr>());
    in_force.is_none() && !matches!(address, Some(Err(_)))
}

fn check() -> impl Parser<Options> {
    let is_process = process_switch();
    let is_platform = long("platform")
        .help("The file is the configuration in the store of a platform with its own format")
        .switch();
    let against = long("against")
        .help("Also check the step from the configuration that the platform of the instance at this IP:PORT holds; with --platform, from that in this file")
        .argument::<String>("BASE")
        .optional();
    let in_force = long("in-force")
        .help("With --platform: also check the step from the configuration in the store at this address")
        .argument::<SocketAddr>("IP:PORT")
        .optional();
    let key_file = key_file();
    let is_json = json_switch();
    let files = files();
    construct!(Options::Check {
        is_process,
        is_platform,
        against,
        in_force,
        key_file,
        is_json,
        files
    })
    .guard(is_valid_check, "--platform takes one FILE, and --against FILE or --in-force IP:PORT; without it, --against takes IP:PORT")
    .to_options()
    .descr("Report all faults of files together")
    .footer("Example: jujubelink config check --against 10.0.0.1:8401 fleet.toml recife.toml")
    .command("check")
}

fn render() -> impl Parser<Options> {
    let is_process = process_switch();
    let is_json = json_switch();
    let files = files();
    construct!(Options::Render {
        is_process,
        is_json,
        files
    })
    .to_options()
    .descr("Print the merged result with the origin of each value")
    .footer("Example: jujubelink config render fleet.toml recife.toml")
    .command("render")
}

fn diff() -> impl Parser<Options> {
    let connection = connection();
    let files = files();
    construct!(Options::Diff { connection, files })
        .to_options()
        .descr("Print what an apply would change")
        .footer("Example: jujubelink config diff --instance 10.0.0.1:8401 fleet.toml recife.toml")
        .command("diff")
}

fn apply() -> impl Parser<Options> {
    let connection = connection();
    let if_version = long("if-version")
        .help("Version that the change is based on; the current one if absent")
        .argument::<u64>("VERSION")
        .optional();
    let wait_s = wait_s();
    let files = files();
    construct!(Options::Apply {
        connection,
        if_version,
        wait_s,
        files
    })
    .to_options()
    .descr("Put files in force and wait until every live instance has them")
    .footer("Example: jujubelink config apply --instance 10.0.0.1:8401 fleet.toml recife.toml")
    .command("apply")
}

fn history() -> impl Parser<Options> {
    let connection = connection();
    let before = long("before")
        .help("List versions before this one")
        .argument::<u64>("VERSION")
        .optional();
    construct!(Options::History { connection, before })
        .to_options()
        .descr("List versions with author and time, latest first")
        .footer("Example: jujubelink config history --instance 10.0.0.1:8401")
        .command("history")
}

fn rollback() -> impl Parser<Options> {
    let connection = connection();
    let is_confirmed = yes_switch();
    let wait_s = wait_s();
    let to_version = positional::<u64>("VERSION").help("Version to return to");
    construct!(Options::Rollback {
        connection,
        is_confirmed,
        wait_s,
        to_version
    })
    .to_options()
    .descr("Apply an earlier version as a new one; withdrawn keys stay withdrawn")
    .footer("Example: jujubelink config rollback --instance 10.0.0.1:8401 --yes 41")
    .command("rollback")
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let (check, render, diff) = (check(), render(), diff());
    let (apply, history, rollback) = (apply(), history(), rollback());
    construct!([check, render, diff, apply, history, rollback])
        .to_options()
        .descr("Check, compare and apply configurations")
        .command("config")
}

fn kind(is_process: bool) -> SettingsKind {
    match is_process {
        true => SettingsKind::Process,
        false => SettingsKind::Fleet,
    }
}

fn report_progress(line: &str) {
    eprintln!("{line}");
}

/// Runs the subcommand.
pub(crate) fn exec(options: Options) -> Result<ExitCode> {
    match options {
        Options::Check {
            is_platform: true,
            against,
            in_force,
            is_json,
            files,
            ..
        } => {
            let base = match (against, in_force) {
                (Some(file), _) => PlatformBase::File(file.into()),
                (None, Some(address)) => PlatformBase::InForce(address),
                (None, None) => PlatformBase::None,
            };
            let file = files.into_iter().next().unwrap_or_default();
            let checked = kernel::run(async move { config_check_platform(&file, &base).await })?;
            Ok(finish(checked, is_json))
        }
        Options::Check {
            is_process: false,
            against: Some(address),
            key_file,
            is_json,
            files,
            ..
        } => {
            let connection = Connection::new(address.parse()?, key_file, is_json);
            run(&connection, async |client| {
                config_check_against_current(&client, &files).await
            })
        }
        Options::Check {
            is_process,
            is_json,
            files,
            ..
        } => Ok(finish(config_check(kind(is_process), &files), is_json)),
        Options::Render {
            is_process,
            is_json,
            files,
        } => Ok(finish(config_render(kind(is_process), &files), is_json)),
        Options::Diff { connection, files } => run(&connection, async |client| {
            config_diff(&client, &files).await
        }),
        Options::Apply {
            connection,
            if_version,
            wait_s,
            files,
        } => {
            let options = ApplyOptions {
                files,
                if_version,
                timeout: Duration::from_secs(wait_s),
            };
            run(&connection, async |client| {
                config_apply(&client, &options, report_progress).await
            })
        }
        Options::History { connection, before } => run(&connection, async |client| {
            config_history(&client, before).await
        }),
        Options::Rollback {
            connection,
            is_confirmed,
            wait_s,
            to_version,
        } => {
            let operation = format!("Roll back to version {to_version}");
            let timeout = Duration::from_secs(wait_s);
            run_confirmed(&connection, is_confirmed, &operation, async |client| {
                config_rollback(&client, to_version, timeout, report_progress).await
            })
        }
    }
}
