//! Why a body ended before its end.

use std::net::SocketAddr;

use http::StatusCode;
use thiserror::Error;

/// Why a body ended before its end. The stream that carries it is aborted.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The caller's body broke off.
    #[error("reading the caller's body: {0}")]
    Caller(#[source] hyper::Error),
    /// The backend server's answer broke off.
    #[error("reading the answer of backend server {address}: {source}")]
    Backend {
        /// The backend server.
        address: SocketAddr,
        /// What the HTTP library says.
        #[source]
        source: hyper::Error,
    },
    /// A peer's stream broke off.
    #[error("reading a stream of a peer: {0}")]
    Peer(#[source] h2::Error),
    /// No byte moved for too long.
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
    /// The status for a caller whose own body broke off like this.
    #[must_use]
    pub fn caller_status(&self) -> StatusCode {
        match self {
            Self::Idle => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Backend { .. } | Self::Caller(_) | Self::Peer(_) => StatusCode::BAD_REQUEST,
        }
    }
}
