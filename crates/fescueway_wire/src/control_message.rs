//! Requests between nodes other than offers: configuration, claims, crash fingerprints and allotments.

use serde::{Deserialize, Serialize};

/// Maximum size of a control message's body in bytes.
pub const MAX_CONTROL_BYTES: usize = 1_048_576;

/// The subject of a control message. Its handler defines the format of the body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ControlKind {
    /// Fetches configuration.
    Config,
    /// Claims an idempotency key.
    Claim,
    /// Reports fingerprints of requests that crashed backend servers.
    Suspect,
    /// Asks for a proof that the configuration is the latest one.
    Freshness,
    /// Asks the owner of client accounts for tokens of their allotments.
    Allotment,
    /// Asks whether the peer knows the fleet.
    Search,
}

/// A request to a peer's handler of `kind`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlRequest {
    /// The subject, which selects the handler.
    pub kind: ControlKind,
    /// Body of at most [`MAX_CONTROL_BYTES`].
    pub body: Vec<u8>,
}

/// The peer's answer to a [`ControlRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ControlAnswer {
    /// The handler's answer.
    Done(Vec<u8>),
    /// The peer has no handler of this kind.
    NoHandler,
    /// The handler failed, with this error message.
    Failed(String),
}

/// The first frame of a stream between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamHead {
    /// Offers a request; its body follows.
    Offer(Box<crate::OfferHead>),
    /// A complete control message.
    Control(ControlRequest),
}
