//! `jujubelink completions`: prints completion scripts for shells.

use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, positional};
use jujubelink::ops::commands::ExitStatus;

/// Shell for which a completion script is printed.
#[derive(Debug, Clone, Copy)]
enum Shell {
    Bash,
    Zsh,
    Fish,
    Elvish,
}

impl std::str::FromStr for Shell {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "bash" => Ok(Self::Bash),
            "zsh" => Ok(Self::Zsh),
            "fish" => Ok(Self::Fish),
            "elvish" => Ok(Self::Elvish),
            _ => Err("must be bash, zsh, fish or elvish".to_owned()),
        }
    }
}

impl Shell {
    /// Returns the arguments with which the parser library generates the script.
    fn arguments(self) -> &'static [&'static str; 1] {
        match self {
            Self::Bash => &["--bpaf-complete-style-bash"],
            Self::Zsh => &["--bpaf-complete-style-zsh"],
            Self::Fish => &["--bpaf-complete-style-fish"],
            Self::Elvish => &["--bpaf-complete-style-elvish"],
        }
    }
}

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    shell: Shell,
}

/// Returns the parser of the subcommand.
pub(crate) fn parser() -> impl Parser<Options> {
    let shell = positional::<Shell>("SHELL").help("bash, zsh, fish or elvish");
    construct!(Options { shell })
        .to_options()
        .descr("Print a completion script for a shell")
        .footer("Example: jujubelink completions bash >> ~/.bash_completion")
        .command("completions")
}

/// Runs the subcommand.
pub(crate) fn exec<T>(options: &Options, parser: &OptionParser<T>) -> Result<ExitCode> {
    let args = Args::from(options.shell.arguments()).set_name("jujubelink");
    match parser.run_inner(args) {
        Err(ParseFailure::Completion(script)) => {
            print!("{script}");
            Ok(ExitCode::SUCCESS)
        }
        _ => Ok(ExitStatus::Failure.into()),
    }
}
