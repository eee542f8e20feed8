//! `jujubelink key`: grants, revokes and lists the API keys of clients.

use std::io::Read;
use std::process::ExitCode;

use anyhow::{Context, Result};
use bpaf::{Parser, construct, long, positional};
use jujubelink::ops::commands::{key_grant, key_hash_of, key_list, key_withdraw};

use crate::common::{Connection, connection, run, run_confirmed, yes_switch};

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) enum Options {
    Grant {
        connection: Connection,
        note: String,
        workspace: String,
    },
    Withdraw {
        connection: Connection,
        is_confirmed: bool,
        hash: Option<String>,
    },
    List {
        connection: Connection,
    },
}

fn grant() -> impl Parser<Options> {
    let connection = connection();
    let note = long("note")
        .help("Note for operators, for example who uses the key")
        .argument::<String>("TEXT")
        .fallback(String::new());
    let workspace = positional::<String>("WORKSPACE");
    construct!(Options::Grant {
        connection,
        note,
        workspace
    })
    .to_options()
    .descr("Grant a new key and print its secret, once")
    .footer("Example: jujubelink key grant --instance 10.0.0.1:8401 --note till-3 acervo")
    .command("grant")
}

fn withdraw() -> impl Parser<Options> {
    let connection = connection();
    let is_confirmed = yes_switch();
    let hash = positional::<String>("HASH")
        .help("Hash of the key; without it the secret is read from standard input")
        .optional();
    construct!(Options::Withdraw {
        connection,
        is_confirmed,
        hash
    })
    .to_options()
    .descr("Withdraw a key, at once and also while the platform is down")
    .footer("Example: jujubelink key withdraw --instance 10.0.0.1:8401 --yes < leaked-key")
    .command("withdraw")
}

fn list() -> impl Parser<Options> {
    let connection = connection();
    construct!(Options::List { connection })
        .to_options()
        .descr("List granted and withdrawn keys by hash")
        .command("list")
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let (grant, withdraw, list) = (grant(), withdraw(), list());
    construct!([grant, withdraw, list])
        .to_options()
        .descr("Grant, withdraw and list keys of clients")
        .command("key")
}

/// Returns the given hash, or the hash of the secret on standard input. A secret is not accepted as an
/// argument, because other users of the machine can read the arguments of a process.
fn hash_or_read_secret(hash: Option<String>) -> Result<String> {
    if let Some(hash) = hash {
        return Ok(hash);
    }
    let mut secret = String::new();
    std::io::stdin()
        .read_to_string(&mut secret)
        .context("read the secret from standard input")?;
    Ok(key_hash_of(&secret))
}

/// Runs the subcommand.
pub(crate) fn exec(options: Options) -> Result<ExitCode> {
    match options {
        Options::Grant {
            connection,
            note,
            workspace,
        } => run(&connection, async |client| {
            key_grant(&client, &workspace, &note).await
        }),
        Options::Withdraw {
            connection,
            is_confirmed,
            hash,
        } => {
            let hash = hash_or_read_secret(hash)?;
            let operation = format!("Withdraw key {hash}");
            run_confirmed(&connection, is_confirmed, &operation, async |client| {
                key_withdraw(&client, &hash).await
            })
        }
        Options::List { connection } => run(&connection, async |client| key_list(&client).await),
    }
}
