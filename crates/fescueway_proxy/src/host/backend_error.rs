//! What went wrong with a backend server, at which step.

use std::net::SocketAddr;

use thiserror::Error;

/// The step at which an exchange with a backend server went wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendStep {
    /// Opening the connection. Nothing was sent.
    Connect,
    /// Sending the request, of which no byte left.
    Send,
    /// Reading the request's body, which broke off: the request may have run.
    Body,
    /// Waiting for the answer: the request may have run.
    Receive,
}

/// What went wrong with a backend server.
#[derive(Debug, Error)]
#[error("{step:?} with backend server {address}: {detail}")]
pub struct BackendError {
    /// The step.
    pub step: BackendStep,
    /// The backend server.
    pub address: SocketAddr,
    /// What the libraries say.
    pub detail: String,
}

impl BackendError {
    /// Something went wrong at `step`.
    #[must_use]
    pub fn new(step: BackendStep, address: SocketAddr, detail: &impl ToString) -> Self {
        Self {
            step,
            address,
            detail: detail.to_string(),
        }
    }

    /// No answer came within the deadline.
    #[must_use]
    pub fn late(address: SocketAddr) -> Self {
        Self::new(BackendStep::Receive, address, &"deadline passed")
    }

    /// Whether the request surely did not run.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self.step, BackendStep::Connect | BackendStep::Send)
    }

    /// Whether the caller or the entry broke the request off, and not the backend server.
    #[must_use]
    pub fn is_caller_side(&self) -> bool {
        self.step == BackendStep::Body
    }
}
