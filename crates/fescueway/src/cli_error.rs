//! Results of commands and the exit statuses of the process.

use std::fmt::Display;

/// Exit status of the process. `fescueway help` lists these.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The request was refused, the node or store is not reachable, or the configuration is not
    /// yet in force.
    Refused = 1,
    /// Wrong usage or invalid input.
    Invalid = 2,
}

/// Why a command did not succeed.
#[derive(Debug)]
pub(crate) struct CommandError {
    /// Exit status of the process.
    pub(crate) status: ExitStatus,
    /// The message for standard error.
    pub(crate) report: eyre::Report,
}

impl CommandError {
    /// An error that ends the process with [`ExitStatus::Refused`].
    pub(crate) fn refused(report: impl Into<eyre::Report>) -> Self {
        Self {
            status: ExitStatus::Refused,
            report: report.into(),
        }
    }

    /// An error that ends the process with [`ExitStatus::Invalid`].
    pub(crate) fn invalid(report: impl Into<eyre::Report>) -> Self {
        Self {
            status: ExitStatus::Invalid,
            report: report.into(),
        }
    }

    /// A usage error with this message; the status is [`ExitStatus::Invalid`].
    pub(crate) fn usage(message: impl Display) -> Self {
        Self::invalid(eyre::eyre!("{message}"))
    }
}

/// What a command prints on standard output, and its exit status.
#[derive(Debug)]
pub(crate) struct CommandReply {
    /// The text, with a trailing newline.
    pub(crate) text: String,
    /// Exit status of the process.
    pub(crate) status: ExitStatus,
}

impl CommandReply {
    /// A reply with [`ExitStatus::Done`].
    pub(crate) fn done(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            status: ExitStatus::Done,
        }
    }
}

/// The result of a command.
pub(crate) type CommandResult = Result<CommandReply, CommandError>;
