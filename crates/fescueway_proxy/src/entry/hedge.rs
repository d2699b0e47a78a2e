//! Selects the result of a hedged request from its two offers.

use super::offer_attempt::AttemptEnd;

/// Whether the offer was answered without a server error.
pub fn is_success(end: &AttemptEnd) -> bool {
    match end {
        AttemptEnd::Answered(answer, _) => !answer.response.status().is_server_error(),
        AttemptEnd::Refused(..) | AttemptEnd::Lost { .. } => false,
    }
}

/// The end to report for a hedged request whose first end was no success.
///
/// A refusal says nothing of the other offer, which may have run, so the other end is preferred.
pub fn more_conclusive_end(first: AttemptEnd, second: AttemptEnd) -> AttemptEnd {
    match second {
        AttemptEnd::Refused(..) => first,
        AttemptEnd::Answered(..) | AttemptEnd::Lost { .. } => second,
    }
}
