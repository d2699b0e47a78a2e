//! How a command ends when it does not succeed.

use std::fmt::Display;

/// How the process ends. `fescueway help` lists these.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExitStatus {
    /// Done.
    Done = 0,
    /// Refused, not reachable, or not yet in force.
    Refused = 1,
    /// Wrong usage or invalid input.
    Invalid = 2,
}

/// Why a command did not succeed.
#[derive(Debug)]
pub(crate) struct CommandError {
    /// How the process ends.
    pub(crate) status: ExitStatus,
    /// What the operator reads.
    pub(crate) report: eyre::Report,
}

impl CommandError {
    /// Refused, or not reachable.
    pub(crate) fn refused(report: impl Into<eyre::Report>) -> Self {
        Self {
            status: ExitStatus::Refused,
            report: report.into(),
        }
    }

    /// Invalid input.
    pub(crate) fn invalid(report: impl Into<eyre::Report>) -> Self {
        Self {
            status: ExitStatus::Invalid,
            report: report.into(),
        }
    }

    /// Wrong usage.
    pub(crate) fn usage(message: impl Display) -> Self {
        Self::invalid(eyre::eyre!("{message}"))
    }
}

/// What a command prints on standard output, and how the process ends after it.
#[derive(Debug)]
pub(crate) struct CommandReply {
    /// The text, with its last newline.
    pub(crate) text: String,
    /// How the process ends.
    pub(crate) status: ExitStatus,
}

impl CommandReply {
    /// A reply after which the process ends well.
    pub(crate) fn done(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            status: ExitStatus::Done,
        }
    }
}

/// What a command comes to.
pub(crate) type CommandResult = Result<CommandReply, CommandError>;
