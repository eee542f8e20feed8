//! Exit statuses and errors of subcommands.

use std::io::{self, IsTerminal, Write};
use std::process::ExitCode;

use derive_more::{Display, Error};

/// Exit status of a subcommand. The numbers are documented in `docs/cli.md` and must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The operation succeeded.
    Success = 0,
    /// The operation failed for a reason that has no separate status.
    Failure = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The settings or the configuration have errors, or the change was rejected.
    Findings = 3,
    /// The configuration was changed concurrently; nothing was done.
    Conflict = 4,
    /// The key is missing, malformed or unknown, or its role is insufficient.
    Unauthorized = 5,
    /// The instance or the platform is unreachable. The message states whether it is certain that
    /// nothing was changed.
    Unreachable = 6,
    /// The change is stored but was not active on every live instance before the timeout, or its
    /// outcome is unknown.
    Incomplete = 7,
    /// The operation requires confirmation and was not confirmed.
    NotConfirmed = 8,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Failure of a subcommand.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{message}")]
pub struct CommandError {
    /// Exit status.
    pub status: ExitStatus,
    /// Error message.
    pub message: String,
}

impl CommandError {
    /// Creates an error with its exit status.
    pub fn new(status: ExitStatus, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }
}

impl From<anyhow::Error> for CommandError {
    fn from(error: anyhow::Error) -> Self {
        Self::new(ExitStatus::Failure, format!("{error:#}"))
    }
}

/// Prompts for confirmation of a dangerous operation, unless `is_confirmed`. Fails if standard input
/// is not a terminal.
pub fn confirm(is_confirmed: bool, operation: &str) -> Result<(), CommandError> {
    if is_confirmed {
        return Ok(());
    }
    let not_confirmed = |reason: &str| {
        let message = format!("{operation}: {reason}");
        CommandError::new(ExitStatus::NotConfirmed, message)
    };
    if !io::stdin().is_terminal() {
        return Err(not_confirmed("needs confirmation; pass --yes"));
    }
    eprint!("{operation}. Type \"yes\" to go on: ");
    let _ = io::stderr().flush();
    let mut input = String::new();
    match io::stdin().read_line(&mut input) {
        Ok(_) if input.trim() == "yes" => Ok(()),
        _ => Err(not_confirmed("not confirmed")),
    }
}
