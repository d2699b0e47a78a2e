//! The answer to a request whose idempotency key was used before.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};

use crate::headers;

/// The answer to a request whose idempotency key was used before, with the status that the earlier
/// request was answered with, when that is known.
pub fn duplicate_answer(status: Option<u16>) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::CONFLICT;
    if let Some(status) = status {
        let fields = response.headers_mut();
        fields.insert(headers::ORIGINAL_STATUS, HeaderValue::from(status));
    }
    response
}
