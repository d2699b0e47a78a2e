//! The answer to a request whose idempotency key was used before.

use bytes::Bytes;
use fescueway_core::Outcome;
use http::{HeaderValue, Response, StatusCode};

use crate::headers;

/// The answer to a request whose idempotency key was used before: what became of the earlier
/// request, and the status that it was answered with, when that is known.
pub fn duplicate_answer(outcome: Outcome, status: Option<u16>) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::CONFLICT;
    response.extensions_mut().insert(outcome);
    if let Some(status) = status {
        let fields = response.headers_mut();
        fields.insert(headers::ORIGINAL_STATUS, HeaderValue::from(status));
    }
    response
}
