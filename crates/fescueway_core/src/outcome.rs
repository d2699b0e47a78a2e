//! The outcome of a request, as reported to its caller.

use serde::{Deserialize, Serialize};

/// The outcome of a request, sent to the caller in the `fescueway-outcome` header.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request reached a backend server. Sending it again is safe.
    NotRun,
    /// A backend server ran the request and its answer follows.
    Ran,
    /// The request was handed over and its answer was lost. It may have run.
    Unknown,
}

impl Outcome {
    /// The value of the `fescueway-outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}
