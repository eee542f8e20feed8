//! Exit statuses and errors of subcommands.

use std::io::{self, IsTerminal, Write};
use std::process::ExitCode;

use derive_more::{Display, Error};

/// Exit status of a subcommand. The numbers are documented in `docs/cli.md` and do not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// Any failure without a status of its own.
    Failure = 1,
    /// The command line cannot be understood.
    Usage = 2,
    /// Settings or configuration have errors, or a change was rejected.
    Findings = 3,
    /// Somebody else changed the configuration meanwhile; nothing was done.
    Conflict = 4,
    /// The key is missing, unknown or has too small a role.
    Unauthorized = 5,
    /// The instance or the platform cannot be reached. The message says if nothing was changed.
    Unreachable = 6,
    /// The change is stored but not in force on every live instance in time, or its outcome is not
    /// known.
    Incomplete = 7,
    /// The operation is dangerous and was not confirmed.
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
    /// Explanation.
    pub message: String,
}

impl CommandError {
    /// A failure with its exit status.
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

/// Asks for confirmation of a dangerous operation, unless `is_confirmed`. Without a terminal the
/// operation is refused.
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
