//! Answers that the entry generates itself.

use std::time::Duration;

use bytes::Bytes;
use fescueway_core::{Outcome, Refusal, RefusalReason};
use http::{
    HeaderMap, HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};

use crate::{body::AnswerBody, edge_profile::EdgeProfile};

/// An answer of the entry, with a line of text as its body.
pub fn entry_answer(
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

/// Adds the header field that tells the caller the request's outcome.
pub fn insert_outcome(profile: &EdgeProfile, fields: &mut HeaderMap, outcome: Outcome) {
    if let Some(name) = &profile.outcome {
        fields.insert(name.clone(), HeaderValue::from_static(outcome.as_str()));
    }
}

/// The answer to a refused request: the reason, the outcome, and when to retry.
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
    let status = match refusal.reason {
        RefusalReason::AllotmentSpent => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = entry_answer(profile, status, outcome, &text);
    let fields = response.headers_mut();
    if let Some(name) = &profile.reason {
        fields.insert(name.clone(), HeaderValue::from_static(reason));
    }
    fields.insert(RETRY_AFTER, retry_seconds(profile, refusal.retry_after));
    response
}

/// The answer to a request that was handed over and whose answer was lost.
pub fn lost_answer(profile: &EdgeProfile, status: StatusCode) -> Response<AnswerBody> {
    entry_answer(
        profile,
        status,
        Outcome::Unknown,
        "the answer was lost; the request may have run",
    )
}

/// The answer to a request whose body ended early after it was handed over.
pub fn incomplete_body_answer(profile: &EdgeProfile, status: StatusCode) -> Response<AnswerBody> {
    entry_answer(
        profile,
        status,
        Outcome::Unknown,
        "the body was not read to its end; the request may have run",
    )
}

/// The value of `Retry-After`: whole seconds, rounded up, at least one (RFC 9110, section 10.2.3);
/// or with millisecond precision, when the profile allows it.
fn retry_seconds(profile: &EdgeProfile, time: Duration) -> HeaderValue {
    if profile.is_retry_after_exact {
        let text = format!("{:.3}", time.as_secs_f64());
        return HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("1"));
    }
    let seconds = time.as_millis().div_ceil(1_000).max(1);
    HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX))
}
