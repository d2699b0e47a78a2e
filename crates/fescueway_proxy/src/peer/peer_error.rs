//! Errors of an exchange with a peer.

use std::{io, net::SocketAddr};

use fescueway_wire::FrameError;
use thiserror::Error;

/// Step at which an exchange with a peer failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerStep {
    /// Opening the connection. Nothing was sent.
    Connect,
    /// Opening a stream. Nothing was sent.
    Open,
    /// Sending the message.
    Send,
    /// Waiting for the answer.
    Receive,
}

/// Failed exchange with a peer.
#[derive(Debug, Error)]
#[error("{step:?} failed for peer {peer}: {cause}")]
pub struct PeerError {
    /// Step that failed.
    pub step: PeerStep,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Cause of the failure.
    #[source]
    pub cause: PeerCause,
}

/// Cause of a [`PeerError`].
#[derive(Debug, Error)]
pub enum PeerCause {
    /// I/O error of the operating system.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The HTTP/2 stream or its connection failed.
    #[error(transparent)]
    Stream(#[from] h2::Error),
    /// The peer sent an invalid frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The exchange timed out.
    #[error("timed out")]
    TimedOut,
    /// The connection went silent, while another one to the peer works.
    #[error("the connection went silent")]
    Silent,
    /// The peer answers on no connection.
    #[error("the peer doesn't answer")]
    Unresponsive,
    /// The stream ended before the message did.
    #[error("the stream ended early")]
    Ended,
    /// The peer refused the stream with this HTTP status.
    #[error("the peer answered with status {0}")]
    Status(u16),
    /// The status of the backend server's answer is none of a final answer.
    #[error("the status {0} is none of a final answer")]
    InvalidStatus(u16),
    /// The answer is not valid HTTP or not expected at this point.
    #[error("the answer is malformed")]
    Malformed,
    /// A concurrent attempt to connect, which began earlier, failed.
    #[error("an earlier attempt failed")]
    EarlierAttempt,
    /// The peer has no handler for the message, or its handler failed.
    #[error("the peer's handler: {0}")]
    Handler(String),
}

impl PeerError {
    /// Creates an error of `step` with `peer`.
    #[must_use]
    pub fn new(step: PeerStep, peer: SocketAddr, cause: impl Into<PeerCause>) -> Self {
        Self {
            step,
            peer,
            cause: cause.into(),
        }
    }

    /// Whether certainly nothing was sent to the peer.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self.step, PeerStep::Connect | PeerStep::Open)
    }
}
