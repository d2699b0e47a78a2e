//! What became of one call.

use std::time::Duration;

/// What became of one call, as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Status of the answer; `None` when there was none.
    pub status: Option<u16>,
    /// The `fescueway-outcome` of the answer.
    pub outcome: Option<String>,
    /// Why it was refused.
    pub reason: Option<String>,
    /// From the start of the call to the end of its answer.
    pub latency: Duration,
    /// Whether the answer was cut short.
    pub is_cut: bool,
    /// Whether the answer belongs to another request.
    pub is_mixed_up: bool,
}

impl CallResult {
    /// Whether the call got the whole answer to its own request.
    pub fn is_answered(&self) -> bool {
        self.status == Some(200) && !self.is_cut && !self.is_mixed_up
    }

    /// Whether its answer says that it did not run.
    pub fn is_refused(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }
}
