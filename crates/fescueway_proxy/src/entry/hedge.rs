//! Which of two offers of one idempotent request counts.

use super::offer_attempt::AttemptEnd;

/// Whether the offer brought an answer that is no failure.
pub fn is_success(end: &AttemptEnd) -> bool {
    match end {
        AttemptEnd::Answered(answer, _) => !answer.response.status().is_server_error(),
        AttemptEnd::Refused(..) | AttemptEnd::Lost(_) => false,
    }
}

/// The end that tells more of a request whose first end was no success.
///
/// A refusal tells least: beside it the other offer may have run.
pub fn more_conclusive_end(first: AttemptEnd, second: AttemptEnd) -> AttemptEnd {
    match second {
        AttemptEnd::Refused(..) => first,
        AttemptEnd::Answered(..) | AttemptEnd::Lost(_) => second,
    }
}
