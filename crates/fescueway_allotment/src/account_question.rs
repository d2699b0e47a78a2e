//! What an entry asks an owner about one account.

use fescueway_core::{AccountName, NodeId};
use serde::{Deserialize, Serialize};

use crate::CLASSES;

/// What an entry asks an owner about one account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountQuestion {
    /// The account.
    pub account: AccountName,
    /// Requests that wait for a token, by priority, the most urgent first.
    pub waiting: [u16; CLASSES],
    /// Tokens wanted for requests that are expected soon.
    pub prefetch: u16,
    /// Unused tokens that the entry gives back. It will not use them.
    pub returned: u16,
    /// Requests refused by the entry itself since its last question, by priority.
    pub refused: [u16; CLASSES],
    /// What a former owner has released, if it sent the entry to this one.
    pub released: Option<ReleasedBucket>,
}

/// The bucket of an owner that no longer grants tokens of an account.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleasedBucket {
    /// The former owner.
    pub by: NodeId,
    /// Tokens that were left.
    pub tokens: u16,
}
