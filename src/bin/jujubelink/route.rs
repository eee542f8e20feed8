//! `jujubelink route`: lists, sets and removes plain routes, which lead to targets that are not model
//! engines.

use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Parser, construct, long, positional};
use jujubelink::ops::commands::{RouteChange, route_list, route_remove, route_set};

use crate::common::{Connection, connection, run, run_confirmed, yes_switch};

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) enum Options {
    List {
        connection: Connection,
    },
    Set {
        connection: Connection,
        change: RouteChange,
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
        .descr("List plain routes")
        .command("list")
}

fn optional_text(name: &'static str, help: &'static str) -> impl Parser<Option<String>> {
    long(name).help(help).argument::<String>("TEXT").optional()
}

fn change() -> impl Parser<RouteChange> {
    let host = optional_text("host", "Host that requests must name");
    let path_prefix = long("path-prefix")
        .help("Path prefix, ending at a segment boundary")
        .argument::<String>("PATH");
    let targets = long("target")
        .help("Target that serves the route; repeat for more")
        .argument::<String>("TARGET")
        .some("--target TARGET is needed");
    let is_open = long("open")
        .help("Anyone may use the route without a key")
        .switch();
    let is_idempotent = long("idempotent")
        .help("Requests of any method may be repeated")
        .switch();
    let idempotency_header = optional_text(
        "idempotency-header",
        "Header with the client's idempotency key",
    );
    let idempotency_field = optional_text(
        "idempotency-field",
        "Field of a JSON body with the client's idempotency key",
    );
    let name = positional::<String>("ROUTE");
    construct!(RouteChange {
        host,
        path_prefix,
        targets,
        is_open,
        is_idempotent,
        idempotency_header,
        idempotency_field,
        name
    })
}

fn set() -> impl Parser<Options> {
    let connection = connection();
    let change = change();
    construct!(Options::Set { connection, change })
        .to_options()
        .descr("Define or replace a plain route")
        .footer(
            "Example: jujubelink route set --instance 10.0.0.1:8401 --path-prefix /orders \
             --target shop-1 --idempotency-header idempotency-key orders",
        )
        .command("set")
}

fn remove() -> impl Parser<Options> {
    let connection = connection();
    let is_confirmed = yes_switch();
    let name = positional::<String>("ROUTE");
    construct!(Options::Remove {
        connection,
        is_confirmed,
        name
    })
    .to_options()
    .descr("Remove a plain route")
    .footer("Example: jujubelink route remove --instance 10.0.0.1:8401 --yes orders")
    .command("remove")
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let (list, set, remove) = (list(), set(), remove());
    construct!([list, set, remove])
        .to_options()
        .descr("List, set and remove plain routes")
        .command("route")
}

/// Runs the subcommand.
pub(crate) fn exec(options: Options) -> Result<ExitCode> {
    match options {
        Options::List { connection } => run(&connection, async |client| route_list(&client).await),
        Options::Set { connection, change } => run(&connection, async |client| {
            route_set(&client, &change).await
        }),
        Options::Remove {
            connection,
            is_confirmed,
            name,
        } => {
            let operation = format!("Remove route {name}");
            run_confirmed(&connection, is_confirmed, &operation, async |client| {
                route_remove(&client, &name).await
            })
        }
    }
}
