//! Decisions on requests that may crash a backend server, and how such requests end.

use crate::SuspectMessage;

/// What a host should do with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SuspectDecision {
    /// Run the request. Call [`crate::SuspectList::hand_over`] before its first byte is sent and
    /// [`crate::SuspectList::finish`] when it ends.
    Run,
    /// Send this message to the coordinator and pass its reply to
    /// [`crate::SuspectList::trial_reply`].
    RequestTrial(SuspectMessage),
    /// Another suspect runs here. Call [`crate::SuspectList::begin`] again when it has ended.
    Wait,
    /// Refuse the request.
    Refuse,
}

/// How a request ended at the local backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectEnd {
    /// The backend server answered.
    Answered,
    /// The connection was lost. A call of [`crate::SuspectList::settle_loss`] states whether the
    /// backend server crashed.
    Lost,
    /// The request was not handed over, or was cancelled.
    Unused,
}
