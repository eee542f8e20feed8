//! `jujubelink lease`: releases the leases of a destroyed instance.

use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Parser, construct, positional};
use jujubelink::ops::commands::lease_break;

use crate::common::{Connection, connection, run_confirmed, yes_switch};

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    connection: Connection,
    is_confirmed: bool,
    instance: String,
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let connection = connection();
    let is_confirmed = yes_switch();
    let instance =
        positional::<String>("PEER_ADDRESS").help("Peer address of the destroyed instance");
    construct!(Options {
        connection,
        is_confirmed,
        instance
    })
    .to_options()
    .descr("Assert that an instance is destroyed, so that its leases can be taken at once")
    .footer("Example: jujubelink lease break --instance 10.0.0.1:8401 --yes 10.0.0.7:7400")
    .command("break")
    .to_options()
    .descr("Free the leases of a destroyed instance")
    .command("lease")
}

/// Runs the subcommand.
pub(crate) fn exec(options: Options) -> Result<ExitCode> {
    let instance = options.instance;
    let operation =
        format!("Assert that {instance} is destroyed; if it runs, limits can be exceeded");
    run_confirmed(
        &options.connection,
        options.is_confirmed,
        &operation,
        async |client| lease_break(&client, &instance).await,
    )
}
