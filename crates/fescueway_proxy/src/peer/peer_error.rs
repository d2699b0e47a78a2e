//! What went wrong between two nodes, at which step and with which peer.

use std::{io, net::SocketAddr};

use fescueway_wire::FrameError;
use thiserror::Error;

/// The step at which an exchange with a peer went wrong.
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

/// What went wrong between two nodes.
#[derive(Debug, Error)]
#[error("{step:?} with peer {peer}: {cause}")]
pub struct PeerError {
    /// The step.
    pub step: PeerStep,
    /// The peer.
    pub peer: SocketAddr,
    /// The cause.
    #[source]
    pub cause: PeerCause,
}

/// The cause of a [`PeerError`].
#[derive(Debug, Error)]
pub enum PeerCause {
    /// The operating system says so.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The stream or its connection broke.
    #[error(transparent)]
    Stream(#[from] h2::Error),
    /// The peer sent what is no message of ours.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// It took too long.
    #[error("timed out")]
    TimedOut,
    /// The stream ended before the message did.
    #[error("the stream ended early")]
    Ended,
    /// The peer refused the stream with this HTTP status.
    #[error("the peer answered with status {0}")]
    Status(u16),
    /// The answer is no HTTP answer, or out of place.
    #[error("the answer is malformed")]
    Malformed,
    /// An attempt that began earlier failed.
    #[error("an earlier attempt failed")]
    Earlier,
    /// The peer's handler could not answer.
    #[error("the peer's handler: {0}")]
    Handler(String),
}

impl PeerError {
    /// Something went wrong at `step` with `peer`.
    #[must_use]
    pub fn new(step: PeerStep, peer: SocketAddr, cause: impl Into<PeerCause>) -> Self {
        Self {
            step,
            peer,
            cause: cause.into(),
        }
    }

    /// Whether nothing can have reached the peer.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self.step, PeerStep::Connect | PeerStep::Open)
    }
}
