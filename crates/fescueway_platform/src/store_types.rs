//! Requests to the store and its replies.

use std::{
    fmt::{Debug, Formatter, Result as FormatResult},
    time::Duration,
};

use crate::{StoreEra, StoreRevision};

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseId {
    /// The era in which the store granted it. In another one, the number may be that of another lease.
    pub era: StoreEra,
    /// The store's number of the lease.
    pub number: i64,
}

impl LeaseId {
    /// The lease with this number, in the default era until the client knows that of the answer.
    #[must_use]
    pub fn new(number: i64) -> Self {
        Self {
            era: StoreEra::default(),
            number,
        }
    }
}

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

/// A key and its value in the store. `Debug` shows the length of the value only, since an
/// installation's own configuration may hold API keys.
#[derive(Clone, Eq, PartialEq)]
pub struct StoreValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Store revision of the last write to the key.
    pub mod_revision: StoreRevision,
    /// Number of writes to the key since it was created; zero if the store does not count them.
    pub version: i64,
    /// The lease that the key is bound to, if any.
    pub lease: Option<LeaseId>,
}

impl Debug for StoreValue {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.debug_struct("StoreValue")
            .field("key", &self.key)
            .field("value_bytes", &self.value.len())
            .field("mod_revision", &self.mod_revision)
            .field("version", &self.version)
            .field("lease", &self.lease)
            .finish()
    }
}

impl StoreValue {
    /// Sets the era of the answer that it came in.
    pub(crate) fn set_era(&mut self, era: StoreEra) {
        self.mod_revision.era = era;
        if let Some(lease) = &mut self.lease {
            lease.era = era;
        }
    }
}

/// A condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last written at this store revision.
    ModRevision(String, StoreRevision),
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

impl StoreTxn {
    /// Whether all revisions and leases that it refers to are of `era`.
    pub(crate) fn is_of_era(&self, era: StoreEra) -> bool {
        let mut ops = self.then.iter().chain(&self.otherwise);
        let is_current = |op: &StoreOp| match op {
            StoreOp::Put { lease, .. } => lease.is_none_or(|lease| lease.era == era),
            StoreOp::Delete(_) | StoreOp::Range(_) => true,
        };
        let mut compares = self.compares.iter();
        ops.all(is_current)
            && compares.all(|compare| match compare {
                Compare::ModRevision(_, revision) => revision.era == era,
                Compare::Absent(_) | Compare::Value(..) => true,
            })
    }
}

/// The reply to a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RangeReply {
    /// Store revision at the time of the read.
    pub revision: StoreRevision,
    /// Values found, sorted by key.
    pub values: Vec<StoreValue>,
}

impl RangeReply {
    /// Sets the era of the answer that it came in.
    pub(crate) fn set_era(&mut self, era: StoreEra) {
        self.revision.era = era;
        for value in &mut self.values {
            value.set_era(era);
        }
    }
}

/// The reply to a transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TxnReply {
    /// Whether all compares held.
    pub is_success: bool,
    /// Store revision after the transaction.
    pub revision: StoreRevision,
    /// Values found, one list per read.
    pub reads: Vec<Vec<StoreValue>>,
}

impl TxnReply {
    /// Sets the era of the answer that it came in.
    pub(crate) fn set_era(&mut self, era: StoreEra) {
        self.revision.era = era;
        for value in self.reads.iter_mut().flatten() {
            value.set_era(era);
        }
    }
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
        mod_revision: StoreRevision,
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
    pub revision: StoreRevision,
    /// The changes in the order of their revisions.
    pub events: Vec<WatchEvent>,
}

impl WatchBatch {
    /// Sets the era of the answer that it came in.
    pub(crate) fn set_era(&mut self, era: StoreEra) {
        self.revision.era = era;
        for event in &mut self.events {
            match event {
                WatchEvent::Put(value) => value.set_era(era),
                WatchEvent::Delete { mod_revision, .. } => mod_revision.era = era,
            }
        }
    }
}
