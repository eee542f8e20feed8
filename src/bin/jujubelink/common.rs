//! Shared code of the subcommands: connection options, output and confirmation.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Parser, construct, long};
use jujubelink::ops::commands::{
    AdminClient, CommandError, ConnectionOptions, ExitStatus, Output, OutputFormat, confirm,
};
use jujubelink::ops::kernel;
use serde_json::json;

/// Options of the connection to an instance's administration API, and the output format.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    address: SocketAddr,
    key_file: Option<PathBuf>,
    is_json: bool,
}

/// Returns the parser of the connection options.
pub(crate) fn connection() -> impl Parser<Connection> {
    let address = long("instance")
        .env("JUJUBELINK_ADMIN_ADDRESS")
        .help("Administration address of an instance")
        .argument::<SocketAddr>("IP:PORT");
    let key_file = key_file();
    let is_json = json_switch();
    construct!(Connection {
        address,
        key_file,
        is_json
    })
}

impl Connection {
    /// Creates the options from their values.
    pub(crate) fn new(address: SocketAddr, key_file: Option<PathBuf>, is_json: bool) -> Self {
        Self {
            address,
            key_file,
            is_json,
        }
    }
}

/// Returns the parser of `--key-file`.
pub(crate) fn key_file() -> impl Parser<Option<PathBuf>> {
    long("key-file")
        .help("File with the administration key; otherwise JUJUBELINK_ADMIN_KEY is used")
        .argument::<PathBuf>("FILE")
        .optional()
}

/// Returns the parser of `--json`.
pub(crate) fn json_switch() -> impl Parser<bool> {
    long("json").help("Print JSON in place of tables").switch()
}

/// Returns the parser of `--yes`.
pub(crate) fn yes_switch() -> impl Parser<bool> {
    long("yes")
        .help("Confirm a dangerous operation without a question")
        .switch()
}

/// Runs an operation on an instance and prints its result.
pub(crate) fn run<F>(
    connection: &Connection,
    operation: impl FnOnce(AdminClient) -> F,
) -> Result<ExitCode>
where
    F: Future<Output = Result<Output, CommandError>>,
{
    let options = ConnectionOptions {
        address: connection.address,
        key_file: connection.key_file.clone(),
    };
    let result = match AdminClient::new(&options) {
        Ok(client) => kernel::run(operation(client))?,
        Err(error) => Err(error),
    };
    Ok(finish(result, connection.is_json))
}

/// Runs an operation if `--yes` was given or the user confirms it.
pub(crate) fn run_confirmed<F>(
    connection: &Connection,
    is_confirmed: bool,
    description: &str,
    operation: impl FnOnce(AdminClient) -> F,
) -> Result<ExitCode>
where
    F: Future<Output = Result<Output, CommandError>>,
{
    match confirm(is_confirmed, description) {
        Ok(()) => run(connection, operation),
        Err(error) => Ok(finish(Err(error), connection.is_json)),
    }
}

/// Prints the result of an operation and returns the exit status.
pub(crate) fn finish(result: Result<Output, CommandError>, is_json: bool) -> ExitCode {
    let format = match is_json {
        true => OutputFormat::Json,
        false => OutputFormat::Table,
    };
    match result {
        Ok(output) => {
            print!("{}", output.to_text(format));
            output.status.into()
        }
        Err(error) => {
            if is_json {
                let status = error.status as u8;
                println!(
                    "{:#}",
                    json!({ "error": error.message, "exit_status": status })
                );
            } else {
                eprintln!("error: {error}");
            }
            ExitStatus::into(error.status)
        }
    }
}
