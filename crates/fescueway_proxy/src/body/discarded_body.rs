//! Reads bodies that nobody wants, within bounds.

use bytes::Buf;
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;

/// Why a body was not read to its end.
#[derive(Debug, Error)]
pub enum DiscardError<E> {
    /// It is longer than allowed.
    #[error("the body is longer than {limit} bytes")]
    Overlong {
        /// The allowed length in bytes.
        limit: u64,
    },
    /// It ended with an error.
    #[error("the body broke off: {0}")]
    Broken(E),
}

/// Reads a body to its end and drops what it holds. The caller limits the time.
///
/// # Errors
///
/// When the body is longer than `limit` bytes, or breaks off. The rest of it is not read.
pub async fn discard_body<B: Body + Unpin>(
    body: &mut B,
    limit: u64,
) -> Result<(), DiscardError<B::Error>> {
    let mut length = 0_u64;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(DiscardError::Broken)?;
        let data = frame.data_ref().map_or(0, Buf::remaining);
        length = length.saturating_add(data as u64);
        if length > limit {
            return Err(DiscardError::Overlong { limit });
        }
    }
    Ok(())
}
