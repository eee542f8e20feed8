//! `jujubelink workspace`: lists, sets and removes workspaces.

use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Parser, construct, long, positional};
use jujubelink::ops::commands::{WorkspaceChange, workspace_list, workspace_remove, workspace_set};

use crate::common::{Connection, connection, run, run_confirmed, yes_switch};

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) enum Options {
    List {
        connection: Connection,
    },
    Set {
        connection: Connection,
        change: WorkspaceChange,
    },
    Remove {
        connection: Connection,
        is_confirmed: bool,
        name: String,
    },
}

fn list() -> impl Parser<Options> {
    let connection = connection();
    construct!(Options::List { connection })
        .to_options()
        .descr("List workspaces")
        .command("list")
}

fn change() -> impl Parser<WorkspaceChange> {
    let weight = long("weight")
        .help("Share of service relative to other workspaces")
        .argument::<u32>("WEIGHT")
        .fallback(1);
    let rate_tokens_per_s = long("rate-tokens-per-s")
        .help("Tokens per second over all instances")
        .argument::<u64>("TOKENS");
    let burst_tokens = long("burst-tokens")
        .help("Tokens that may be used at once, at least one second of the rate")
        .argument::<u64>("TOKENS");
    let priority = long("priority")
        .help("Priority at engines; 0 is most urgent")
        .argument::<u8>("PRIORITY")
        .fallback(4);
    let name = positional::<String>("WORKSPACE");
    construct!(WorkspaceChange {
        weight,
        rate_tokens_per_s,
        burst_tokens,
        priority,
        name
    })
}

fn set() -> impl Parser<Options> {
    let connection = connection();
    let change = change();
    construct!(Options::Set { connection, change })
        .to_options()
        .descr("Define or replace a workspace")
        .footer(
            "Example: jujubelink workspace set --instance 10.0.0.1:8401 \
             --rate-tokens-per-s 20000 --burst-tokens 60000 acervo",
        )
        .command("set")
}

fn remove() -> impl Parser<Options> {
    let connection = connection();
    let is_confirmed = yes_switch();
    let name = positional::<String>("WORKSPACE");
    construct!(Options::Remove {
        connection,
        is_confirmed,
        name
    })
    .to_options()
    .descr("Remove a workspace that no key or route names")
    .footer("Example: jujubelink workspace remove --instance 10.0.0.1:8401 --yes acervo")
    .command("remove")
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let (list, set, remove) = (list(), set(), remove());
    construct!([list, set, remove])
        .to_options()
        .descr("List, set and remove workspaces")
        .command("workspace")
}

/// Runs the subcommand.
pub(crate) fn exec(options: Options) -> Result<ExitCode> {
    match options {
        Options::List { connection } => {
            run(&connection, async |client| workspace_list(&client).await)
        }
        Options::Set { connection, change } => run(&connection, async |client| {
            workspace_set(&client, &change).await
        }),
        Options::Remove {
            connection,
            is_confirmed,
            name,
        } => {
            let operation = format!("Remove workspace {name}");
            run_confirmed(&connection, is_confirmed, &operation, async |client| {
                workspace_remove(&client, &name).await
            })
        }
    }
}
