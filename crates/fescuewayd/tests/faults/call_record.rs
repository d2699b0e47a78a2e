//! Results of requests as callers see them.

/// Result of one send of a request.
#[derive(Clone, Debug)]
pub struct SendResult {
    /// Status, if a response began.
    pub status: Option<u16>,
    /// Value of `fescueway-outcome`.
    pub outcome: Option<String>,
    /// Value of `fescueway-reason`.
    pub reason: Option<String>,
    /// The connection closed before the response was complete.
    pub is_interrupted: bool,
    /// A complete response with status 200 whose body isn't the whole answer to this request.
    pub is_mismatched: bool,
}

impl SendResult {
    /// Whether the caller was told that the request did not run.
    pub fn is_not_run(&self) -> bool {
        !self.is_interrupted && self.outcome.as_deref() == Some("not-run")
    }

    /// Whether the caller has a complete successful response.
    pub fn is_success(&self) -> bool {
        !self.is_interrupted && self.status == Some(200)
    }

    /// Whether the response was lost on its way. A refusal, which has a reason, may report
    /// `unknown` for an earlier request with the same key; its own response is not lost.
    pub fn is_response_lost(&self) -> bool {
        self.is_interrupted || self.is_unknown() && self.reason.is_none()
    }

    /// Whether the caller was told that the request may or may not have run.
    pub fn is_unknown(&self) -> bool {
        self.outcome.as_deref() == Some("unknown")
    }
}

/// A request and the results of all its sends.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The key by which backend servers count its runs.
    pub key: String,
    /// Whether it may run only once.
    pub is_booking: bool,
    /// Results of its sends, in order.
    pub results: Vec<SendResult>,
}
