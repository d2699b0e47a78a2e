//! What a host does with a request, and how it ended.

use crate::SuspectMessage;

/// What a host does with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SuspectDecision {
    /// Run it: report the moment with [`crate::SuspectList::hand_over`] and its end with
    /// [`crate::SuspectList::finish`].
    Run,
    /// Send this to the coordinator first, and give its reply to [`crate::SuspectList::trial_reply`].
    RequestTrial(SuspectMessage),
    /// Another suspect runs here: ask again when it has ended.
    Wait,
    /// Refuse it.
    Refuse,
}

/// How a request ended at the own backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectEnd {
    /// The backend server answered.
    Answered,
    /// The connection was lost. [`crate::SuspectList::settle_loss`] tells whether by a crash.
    Lost,
    /// It was not handed over, or was cancelled.
    Unused,
}
