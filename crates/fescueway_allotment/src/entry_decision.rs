//! Decisions of an entry.

use std::time::Duration;

/// Identifies a request that waits for an owner's answer.
pub type WaitId = u64;

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryDecision {
    /// The request may run.
    Admitted,
    /// The account has used its allotment. The request may come again after this time.
    Refused(Duration),
    /// The request waits for the answer of the account's owner.
    Wait(WaitId),
}

/// Decision on a request that has waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitEnd {
    /// The request.
    pub id: WaitId,
    /// `Ok` if the request may run, else the time after which it may come again.
    pub result: Result<(), Duration>,
}
