//! Requests to the store and its replies.

use std::time::Duration;

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub i64);

/// The keys that a read, a deletion or a watch covers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyRange {
    /// One key.
    Key(String),
    /// All keys that start with this prefix.
    Prefix(String),
}

impl KeyRange {
    /// Whether the range covers `key`.
    #[must_use]
    pub fn contains(&self, key: &str) -> bool {
        match self {
            Self::Key(only) => only == key,
            Self::Prefix(prefix) => key.starts_with(prefix),
        }
    }
}

/// A key and its value in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Store revision of the last write to the key.
    pub mod_revision: i64,
    /// Number of writes to the key since it was created; zero if the store does not count them.
    pub version: i64,
    /// The lease that the key is bound to, if any.
    pub lease: Option<LeaseId>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last written at this store revision.
    ModRevision(String, i64),
    /// The key holds this value.
    Value(String, Vec<u8>),
}

/// An operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOp {
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease to bind the key to, if any.
        lease: Option<LeaseId>,
    },
    /// Deletes keys.
    Delete(KeyRange),
    /// Reads keys.
    Range(KeyRange),
}

/// A transaction: runs `then` if all compares hold, otherwise `otherwise`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreTxn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// Operations if all conditions hold.
    pub then: Vec<StoreOp>,
    /// Operations if a condition does not hold.
    pub otherwise: Vec<StoreOp>,
}

/// The reply to a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RangeReply {
    /// Store revision at the time of the read.
    pub revision: i64,
    /// Values found, sorted by key.
    pub values: Vec<StoreValue>,
}

/// The reply to a transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TxnReply {
    /// Whether all compares held.
    pub is_success: bool,
    /// Store revision after the transaction.
    pub revision: i64,
    /// Values found, one list per read.
    pub reads: Vec<Vec<StoreValue>>,
}

/// A lease that was granted or renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// The lease.
    pub lease: LeaseId,
    /// Time until the lease expires, measured from the sending of the request.
    pub time_to_live: Duration,
}

/// One change reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// A key was written.
    Put(StoreValue),
    /// A key was deleted, or its lease expired.
    Delete {
        /// The key.
        key: String,
        /// Store revision of the deletion.
        mod_revision: i64,
    },
}

impl WatchEvent {
    /// The key that changed.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(value) => &value.key,
            Self::Delete { key, .. } => key,
        }
    }
}

/// Changes that a watch reports together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// Store revision of the batch. A watch resumes at the next revision.
    pub revision: i64,
    /// The changes in the order of their revisions.
    pub events: Vec<WatchEvent>,
}
