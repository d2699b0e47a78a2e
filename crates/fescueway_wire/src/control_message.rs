//! Requests between nodes that are no offers: configuration, claims, crash fingerprints.

use serde::{Deserialize, Serialize};

/// The largest body of a control message in bytes.
pub const MAX_CONTROL_BYTES: usize = 1_048_576;

/// What a control message is about. Its handler knows the body's form.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ControlKind {
    /// Fetches configuration.
    Config,
    /// Claims an idempotency key.
    Claim,
    /// Tells fingerprints of requests that crashed backend servers.
    Suspect,
}

/// A request to a peer's handler of `kind`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlRequest {
    /// What it is about.
    pub kind: ControlKind,
    /// Its body. Never longer than [`MAX_CONTROL_BYTES`].
    pub body: Vec<u8>,
}

/// The peer's answer to a [`ControlRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlAnswer {
    /// The handler's answer.
    Done(Vec<u8>),
    /// The peer has no handler of this kind.
    NoHandler,
    /// The handler could not answer.
    Failed(String),
}

/// The first frame of a stream between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamHead {
    /// A request is offered; its body follows.
    Offer(Box<crate::OfferHead>),
    /// A control message, whole.
    Control(ControlRequest),
}
