//! Requests to the store and its replies.

use std::time::Duration;

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub i64);

/// Which keys a read or a watch covers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyRange {
    /// One key.
    Key(String),
    /// All keys that start with this.
    Prefix(String),
}

/// A key with its value as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Store revision of the last write to the key.
    pub mod_revision: i64,
    /// Writes to the key since it was created.
    pub version: i64,
    /// The lease that the key ends with, if any.
    pub lease: Option<LeaseId>,
}

/// What a transaction requires of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last written at this store revision.
    ModRevision(String, i64),
    /// The key holds this value.
    Value(String, Vec<u8>),
}

/// One step of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOp {
    /// Writes a key, bound to a lease when one is given.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease that the key ends with.
        lease: Option<LeaseId>,
    },
    /// Deletes keys.
    Delete(KeyRange),
    /// Reads keys.
    Range(KeyRange),
}

/// A transaction: `then` when every compare holds, `otherwise` when one doesn't.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreTxn {
    /// What must hold.
    pub compares: Vec<Compare>,
    /// Steps when all of it holds.
    pub then: Vec<StoreOp>,
    /// Steps when it doesn't.
    pub otherwise: Vec<StoreOp>,
}

/// The reply to a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RangeReply {
    /// The store's revision at the read.
    pub revision: i64,
    /// What was found, by key.
    pub values: Vec<StoreValue>,
}

/// The reply to a transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TxnReply {
    /// Whether every compare held.
    pub is_success: bool,
    /// The store's revision after it.
    pub revision: i64,
    /// What its reads found, one entry for each read.
    pub reads: Vec<Vec<StoreValue>>,
}

/// A lease as granted or kept alive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// The lease.
    pub lease: LeaseId,
    /// Time until it lapses, counted from the sending of the request.
    pub time_to_live: Duration,
}

/// One change that a watch tells of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// A key was written.
    Put(StoreValue),
    /// A key was deleted, or its lease lapsed.
    Delete {
        /// The key.
        key: String,
        /// Store revision of the deletion.
        mod_revision: i64,
    },
}

/// Changes that a watch tells of together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// The store's revision. A watch resumes from the next one.
    pub revision: i64,
    /// The changes in order.
    pub events: Vec<WatchEvent>,
}
