//! The result of one call.

use std::time::Duration;

/// The result of one call, as its caller observed it.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Status of the response; `None` without one.
    pub status: Option<u16>,
    /// The `fescueway-outcome` header of the response.
    pub outcome: Option<String>,
    /// The `fescueway-reason` header of the response: why the call was refused.
    pub reason: Option<String>,
    /// Time from the start of the call to the end of its response.
    pub latency: Duration,
    /// Whether the response was truncated or missing.
    pub is_incomplete: bool,
    /// Whether the response belongs to another request.
    pub is_mismatched: bool,
}

impl CallResult {
    /// Whether the call got the complete response to its own request.
    pub fn is_answered(&self) -> bool {
        self.status == Some(200) && !self.is_incomplete && !self.is_mismatched
    }

    /// Whether its response states that it did not run.
    pub fn is_refused(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }
}
