//! Errors of a body.

use std::net::SocketAddr;

use http::StatusCode;
use thiserror::Error;

/// Error of an incomplete body. The stream that carries the body is aborted.
#[derive(Debug, Error)]
pub enum BodyError {
    /// Reading the caller's request body failed.
    #[error("reading the caller's body: {0}")]
    Caller(#[source] hyper::Error),
    /// Reading the response body of the backend server failed.
    #[error("reading the answer of backend server {address}: {source}")]
    Backend {
        /// Address of the backend server.
        address: SocketAddr,
        /// Error of the HTTP library.
        #[source]
        source: hyper::Error,
    },
    /// A stream between nodes failed.
    #[error("reading a stream of a peer: {0}")]
    Peer(#[source] h2::Error),
    /// No byte was transferred within the idle timeout.
    #[error("reading a body: no byte within the time allowed")]
    Idle,
    /// The body is larger than allowed.
    #[error("reading a body: more than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: u64,
    },
}

impl BodyError {
    /// Status for a caller whose request body failed with this error.
    #[must_use]
    pub fn caller_status(&self) -> StatusCode {
        match self {
            Self::Idle => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Backend { .. } | Self::Caller(_) | Self::Peer(_) => StatusCode::BAD_REQUEST,
        }
    }
}
