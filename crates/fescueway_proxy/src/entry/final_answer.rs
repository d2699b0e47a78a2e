//! Answers that the entry itself gives.

use std::time::Duration;

use bytes::Bytes;
use fescueway_core::{Outcome, Refusal};
use http::{
    HeaderMap, HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};

use crate::{body::AnswerBody, edge_profile::EdgeProfile};

/// An answer of the entry itself, with a line of text.
pub fn own_answer(
    profile: &EdgeProfile,
    status: StatusCode,
    outcome: Outcome,
    text: &str,
) -> Response<AnswerBody> {
    let body = Bytes::from(format!("{text}\n"));
    let mut response = Response::new(AnswerBody::Full(body));
    *response.status_mut() = status;
    let fields = response.headers_mut();
    fields.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    insert_outcome(profile, fields, outcome);
    response
}

/// Tells the caller what became of the request.
pub fn insert_outcome(profile: &EdgeProfile, fields: &mut HeaderMap, outcome: Outcome) {
    if let Some(name) = &profile.outcome {
        fields.insert(name.clone(), HeaderValue::from_static(outcome.as_str()));
    }
}

/// The request was refused: tells why, what became of it, and when to come back.
pub fn refused_answer(
    profile: &EdgeProfile,
    refusal: &Refusal,
    outcome: Outcome,
) -> Response<AnswerBody> {
    let reason = refusal.reason.as_str();
    let text = match outcome {
        Outcome::NotRun => format!("refused: {reason}; the request did not run"),
        Outcome::Ran | Outcome::Unknown => {
            format!("refused: {reason}; an earlier request with this key may have run")
        }
    };
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut response = own_answer(profile, status, outcome, &text);
    let fields = response.headers_mut();
    if let Some(name) = &profile.reason {
        fields.insert(name.clone(), HeaderValue::from_static(reason));
    }
    fields.insert(RETRY_AFTER, retry_seconds(profile, refusal.retry_after));
    response
}

/// The request was handed over and its answer was lost.
pub fn lost_answer(profile: &EdgeProfile, status: StatusCode) -> Response<AnswerBody> {
    own_answer(
        profile,
        status,
        Outcome::Unknown,
        "the answer was lost; the request may have run",
    )
}

/// The caller's body broke off after the request was handed over.
pub fn broken_answer(profile: &EdgeProfile, status: StatusCode) -> Response<AnswerBody> {
    own_answer(
        profile,
        status,
        Outcome::Unknown,
        "the body was not read to its end; the request may have run",
    )
}

/// Whole seconds, rounded up, at least one (RFC 9110, section 10.2.3); or exact to a millisecond,
/// where callers understand that.
fn retry_seconds(profile: &EdgeProfile, time: Duration) -> HeaderValue {
    if profile.is_retry_after_exact {
        let text = format!("{:.3}", time.as_secs_f64());
        return HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("1"));
    }
    let seconds = time.as_millis().div_ceil(1_000).max(1);
    HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX))
}
