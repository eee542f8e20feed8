//! `jujubelink trace`: shows where a prompt would be routed.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use bpaf::{Parser, construct, long, positional};
use jujubelink::ops::commands::trace;

use crate::common::{Connection, connection, run};

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    connection: Connection,
    workspace: String,
    model: String,
    file: PathBuf,
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let connection = connection();
    let workspace = long("workspace").argument::<String>("WORKSPACE");
    let model = long("model").argument::<String>("MODEL");
    let file = positional::<PathBuf>("FILE").help("Body of the request as the client sends it");
    construct!(Options {
        connection,
        workspace,
        model,
        file
    })
    .to_options()
    .descr("Show where a prompt would be routed, and why; nothing is sent to a target")
    .footer(
        "Example: jujubelink trace --instance 10.0.0.1:8401 --workspace acervo --model judge \
         body.json",
    )
    .command("trace")
}

/// Runs the subcommand.
pub(crate) fn exec(options: Options) -> Result<ExitCode> {
    let path = options.file.display();
    let prompt = std::fs::read_to_string(&options.file).with_context(|| format!("read {path}"))?;
    run(&options.connection, async |client| {
        trace(&client, &options.workspace, &options.model, &prompt).await
    })
}
