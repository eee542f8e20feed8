//! `jujubelink drain`: takes an instance or a target out of service.

use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Parser, construct, long, positional};
use jujubelink::ops::commands::{drain_instance, drain_target};

use crate::common::{Connection, connection, run_confirmed, yes_switch};

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) enum Options {
    Instance {
        connection: Connection,
        is_confirmed: bool,
    },
    Target {
        connection: Connection,
        is_confirmed: bool,
        is_restored: bool,
        name: String,
    },
}

fn instance() -> impl Parser<Options> {
    let connection = connection();
    let is_confirmed = yes_switch();
    construct!(Options::Instance {
        connection,
        is_confirmed
    })
    .to_options()
    .descr("Stop the instance after its requests have ended")
    .footer("Example: jujubelink drain instance --instance 10.0.0.1:8401 --yes")
    .command("instance")
}

fn target() -> impl Parser<Options> {
    let connection = connection();
    let is_confirmed = yes_switch();
    let is_restored = long("back").help("Put the target back in service").switch();
    let name = positional::<String>("TARGET");
    construct!(Options::Target {
        connection,
        is_confirmed,
        is_restored,
        name
    })
    .to_options()
    .descr("Give a target no new work, or put it back")
    .footer("Example: jujubelink drain target --instance 10.0.0.1:8401 --yes gpu-3")
    .command("target")
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let (instance, target) = (instance(), target());
    construct!([instance, target])
        .to_options()
        .descr("Take an instance or target out of service")
        .command("drain")
}

/// Runs the subcommand.
pub(crate) fn exec(options: Options) -> Result<ExitCode> {
    match options {
        Options::Instance {
            connection,
            is_confirmed,
        } => run_confirmed(
            &connection,
            is_confirmed,
            "Drain the instance",
            async |client| drain_instance(&client).await,
        ),
        Options::Target {
            connection,
            is_confirmed,
            is_restored,
            name,
        } => {
            let operation = format!("Drain target {name}");
            let is_confirmed = is_confirmed || is_restored;
            run_confirmed(&connection, is_confirmed, &operation, async |client| {
                drain_target(&client, &name, !is_restored).await
            })
        }
    }
}
