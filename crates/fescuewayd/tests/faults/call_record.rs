//! What callers saw.

/// What came of sending a request once.
#[derive(Clone, Debug)]
pub struct SendEnd {
    /// Status, if an answer began.
    pub status: Option<u16>,
    /// Value of `fescueway-outcome`.
    pub outcome: Option<String>,
    /// Value of `fescueway-reason`.
    pub reason: Option<String>,
    /// The connection or the answer broke off.
    pub is_cut: bool,
    /// A whole success that answers another request, or only a part of this one.
    pub is_wrong: bool,
}

impl SendEnd {
    /// Whether the caller was told that the request did not run.
    pub fn is_not_run(&self) -> bool {
        !self.is_cut && self.outcome.as_deref() == Some("not-run")
    }

    /// Whether the caller has its answer.
    pub fn is_success(&self) -> bool {
        !self.is_cut && self.status == Some(200)
    }

    /// Whether an answer was lost on its way. A refusal, which has a reason, may say `unknown` of
    /// an earlier request with the same key; nothing of it was lost.
    pub fn is_lost(&self) -> bool {
        self.is_cut || self.is_unknown() && self.reason.is_none()
    }

    /// Whether the caller was told that nobody knows whether it ran.
    pub fn is_unknown(&self) -> bool {
        self.outcome.as_deref() == Some("unknown")
    }
}

/// A request with all the times that its caller sent it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The key by which backend servers count its runs.
    pub key: String,
    /// Whether it may run only once.
    pub is_booking: bool,
    /// What came of each time.
    pub ends: Vec<SendEnd>,
}
