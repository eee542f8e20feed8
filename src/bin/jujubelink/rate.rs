//! `jujubelink rate`: changes the rate limit of a workspace.

use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Parser, construct, long, positional};
use jujubelink::ops::commands::rate_set;

use crate::common::{Connection, connection, run};

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    connection: Connection,
    burst_tokens: Option<u64>,
    workspace: String,
    rate_tokens_per_s: u64,
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let connection = connection();
    let burst_tokens = long("burst-tokens")
        .help("New burst; unchanged if absent")
        .argument::<u64>("TOKENS")
        .optional();
    let workspace = positional::<String>("WORKSPACE");
    let rate_tokens_per_s = positional::<u64>("RATE").help("Tokens per second over all instances");
    construct!(Options {
        connection,
        burst_tokens,
        workspace,
        rate_tokens_per_s
    })
    .to_options()
    .descr("Change the rate and burst of a workspace")
    .footer("Example: jujubelink rate set --instance 10.0.0.1:8401 acervo 30000")
    .command("set")
    .to_options()
    .descr("Change rates")
    .command("rate")
}

/// Runs the subcommand.
pub(crate) fn exec(options: Options) -> Result<ExitCode> {
    run(&options.connection, async |client| {
        let rate = options.rate_tokens_per_s;
        rate_set(&client, &options.workspace, rate, options.burst_tokens).await
    })
}
