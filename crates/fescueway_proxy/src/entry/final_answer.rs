//! Answers that the entry itself gives.

use std::time::Duration;

use bytes::Bytes;
use fescueway_core::{Outcome, Refusal};
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};

use crate::{body::AnswerBody, headers};

/// An answer of the entry itself, with a line of text.
pub fn own_answer(status: StatusCode, outcome: Outcome, text: &str) -> Response<AnswerBody> {
    let body = Bytes::from(format!("{text}\n"));
    let mut response = Response::new(AnswerBody::Own(body));
    *response.status_mut() = status;
    let fields = response.headers_mut();
    fields.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    fields.insert(headers::OUTCOME, outcome_value(outcome));
    response
}

/// The request was refused: tells why, what became of it, and when to come back.
pub fn refused_answer(refusal: &Refusal, outcome: Outcome) -> Response<AnswerBody> {
    let reason = refusal.reason.as_str();
    let text = match outcome {
        Outcome::NotRun => format!("refused: {reason}; the request did not run"),
        Outcome::Ran | Outcome::Unknown => {
            format!("refused: {reason}; an earlier request with this key may have run")
        }
    };
    let mut response = own_answer(StatusCode::SERVICE_UNAVAILABLE, outcome, &text);
    let fields = response.headers_mut();
    fields.insert(headers::REASON, HeaderValue::from_static(reason));
    fields.insert(RETRY_AFTER, retry_seconds(refusal.retry_after));
    response
}

/// The request was handed over and its answer was lost.
pub fn lost_answer(status: StatusCode) -> Response<AnswerBody> {
    own_answer(
        status,
        Outcome::Unknown,
        "the answer was lost; the request may have run",
    )
}

/// The caller's body broke off after the request was handed over.
pub fn broken_answer(status: StatusCode) -> Response<AnswerBody> {
    own_answer(
        status,
        Outcome::Unknown,
        "the body was not read to its end; the request may have run",
    )
}

/// The value of `fescueway-outcome`.
pub fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(outcome.as_str())
}

/// Whole seconds, rounded up, at least one (RFC 9110, section 10.2.3).
fn retry_seconds(time: Duration) -> HeaderValue {
    let seconds = time.as_millis().div_ceil(1_000).max(1);
    HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX))
}
