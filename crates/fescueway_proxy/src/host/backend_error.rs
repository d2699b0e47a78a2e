//! Errors of an exchange with a backend server.

use std::net::SocketAddr;

use thiserror::Error;

/// Step at which an exchange with a backend server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendStep {
    /// Opening the connection. Nothing was sent.
    Connect,
    /// Sending the request. No byte of it was sent.
    Send,
    /// Reading the request body from the caller or the entry. The request may have run.
    Body,
    /// Waiting for the response. The request may have run.
    Receive,
}

/// Failed exchange with a backend server.
#[derive(Debug, Error)]
#[error("{step:?} failed for backend server {address}: {detail}")]
pub struct BackendError {
    /// Step that failed.
    pub step: BackendStep,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Error text of the underlying library.
    pub detail: String,
}

impl BackendError {
    /// Creates an error of `step`.
    #[must_use]
    pub fn new(step: BackendStep, address: SocketAddr, detail: &impl ToString) -> Self {
        Self {
            step,
            address,
            detail: detail.to_string(),
        }
    }

    /// Creates the error of a response that did not arrive before the deadline.
    #[must_use]
    pub fn timed_out(address: SocketAddr) -> Self {
        Self::new(BackendStep::Receive, address, &"deadline passed")
    }

    /// Whether the request certainly did not run, because no byte of it was sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self.step, BackendStep::Connect | BackendStep::Send)
    }

    /// Whether the request body from the caller or the entry failed, not the backend server.
    #[must_use]
    pub fn is_caller_side(&self) -> bool {
        self.step == BackendStep::Body
    }
}
