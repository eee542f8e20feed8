//! Command line of jujubelink.

mod common;
mod completions;
mod config;
mod drain;
mod key;
mod lease;
mod rate;
mod route;
mod serve;
mod status;
mod trace;
mod workspace;

use std::process::ExitCode;

use bpaf::{OptionParser, ParseFailure, Parser, construct};
use jujubelink::ops::commands::ExitStatus;

/// Line width of help texts, in characters.
const HELP_WIDTH: usize = 100;

/// A parsed subcommand.
#[derive(Debug, Clone)]
enum Command {
    Serve(serve::Options),
    Config(config::Options),
    Workspace(workspace::Options),
    Key(key::Options),
    Rate(rate::Options),
    Route(route::Options),
    Status(status::Options),
    Drain(drain::Options),
    Lease(lease::Options),
    Trace(trace::Options),
    Completions(completions::Options),
}

fn parser() -> OptionParser<Command> {
    let serve = serve::parser().map(Command::Serve);
    let config = config::parser().map(Command::Config);
    let workspace = workspace::parser().map(Command::Workspace);
    let key = key::parser().map(Command::Key);
    let rate = rate::parser().map(Command::Rate);
    let route = route::parser().map(Command::Route);
    let status = status::parser().map(Command::Status);
    let drain = drain::parser().map(Command::Drain);
    let lease = lease::parser().map(Command::Lease);
    let trace = trace::parser().map(Command::Trace);
    let completions = completions::parser().map(Command::Completions);
    construct!([
        serve,
        config,
        workspace,
        key,
        rate,
        route,
        status,
        drain,
        lease,
        trace,
        completions
    ])
    .to_options()
    .descr("Router for language-model traffic with long shared prompts")
    .footer("Exit statuses are listed in docs/cli.md.")
    .version(env!("CARGO_PKG_VERSION"))
}

fn exec(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Serve(options) => serve::exec(options),
        Command::Config(options) => config::exec(options),
        Command::Workspace(options) => workspace::exec(options),
        Command::Key(options) => key::exec(options),
        Command::Rate(options) => rate::exec(options),
        Command::Route(options) => route::exec(options),
        Command::Status(options) => status::exec(options),
        Command::Drain(options) => drain::exec(options),
        Command::Lease(options) => lease::exec(options),
        Command::Trace(options) => trace::exec(options),
        Command::Completions(options) => completions::exec(&options, &parser()),
    }
}

fn main() -> anyhow::Result<ExitCode> {
    let args = bpaf::Args::current_args();
    match parser().run_inner(args) {
        Ok(command) => exec(command),
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            Ok(match failure {
                ParseFailure::Stderr(_) => ExitStatus::Usage.into(),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            })
        }
    }
}
