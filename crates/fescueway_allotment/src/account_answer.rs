//! An owner's answer about one account.

use fescueway_core::NodeId;
use serde::{Deserialize, Serialize};

use crate::CLASSES;

/// An owner's answer about one account.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AccountAnswer {
    /// The owner has decided.
    Decided {
        /// Tokens for the waiting requests, by priority.
        granted: [u16; CLASSES],
        /// Tokens for requests that are expected soon.
        prefetched: u16,
        /// Number of priorities, from the most urgent on, none of whose requests was refused. The
        /// entry refuses requests of the others by itself for `pause_ms`.
        open_classes: u8,
        /// How long the entry refuses requests by itself.
        pause_ms: u16,
        /// Time until the account is likely to have room for another request.
        room_after_ms: u16,
    },
    /// Another node owns the account.
    Moved {
        /// The owner.
        to: NodeId,
        /// Tokens that were left, if the node that answers was the owner before and grants no more.
        released: Option<u16>,
    },
    /// The node may not grant tokens now.
    NotGranting,
}
