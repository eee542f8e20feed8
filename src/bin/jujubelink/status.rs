//! `jujubelink status`: shows instances, targets, workspaces and leases.

use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Parser, construct};
use jujubelink::ops::commands::status;

use crate::common::{Connection, connection, run};

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    connection: Connection,
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let connection = connection();
    construct!(Options { connection })
        .to_options()
        .descr("Show instances, targets, workspaces and leases as one instance sees them")
        .footer("Example: jujubelink status --instance 10.0.0.1:8401 --json")
        .command("status")
}

/// Runs the subcommand.
pub(crate) fn exec(options: Options) -> Result<ExitCode> {
    run(&options.connection, async |client| status(&client).await)
}
