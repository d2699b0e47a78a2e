//! How one store's protocol carries the client's calls.

use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, StatusCode};

use crate::{
    KeyRange, LeaseGrant, LeaseId, RangeReply, StoreFault, StoreTxn, TxnReply, WatchBatch,
};

/// One HTTP call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The body, empty for none.
    pub body: Bytes,
}

/// The whole answer to one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// One page of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RangePage<'a> {
    /// What is read.
    pub range: &'a KeyRange,
    /// Whether a replica that lags may answer.
    pub is_stale_allowed: bool,
    /// The last key of the page before.
    pub after: Option<&'a str>,
}

/// How one store's protocol carries the client's calls: plain functions from typed calls to HTTP
/// ones, and from HTTP answers to typed replies. They do no I/O.
#[derive(Clone, Copy)]
pub struct StoreMapping {
    /// Reads keys.
    pub range: fn(&RangePage<'_>) -> StoreCall,
    /// The reply to a read, and whether another page follows.
    pub read_range: fn(&StoreAnswer) -> Result<(RangeReply, bool), StoreFault>,
    /// Runs a transaction. An error when the protocol can't express it.
    pub txn: fn(&StoreTxn) -> Result<StoreCall, StoreFault>,
    /// The reply to a transaction.
    pub read_txn: fn(&StoreAnswer) -> Result<TxnReply, StoreFault>,
    /// Grants a lease.
    pub grant: fn(Duration) -> StoreCall,
    /// The reply to a grant.
    pub read_grant: fn(&StoreAnswer) -> Result<LeaseGrant, StoreFault>,
    /// Keeps a lease alive.
    pub keep_alive: fn(LeaseId) -> StoreCall,
    /// The reply to a renewal of this lease.
    pub read_keep_alive: fn(LeaseId, &StoreAnswer) -> Result<LeaseGrant, StoreFault>,
    /// Ends a lease.
    pub revoke: fn(LeaseId) -> StoreCall,
    /// The reply to the end of a lease.
    pub read_revoke: fn(&StoreAnswer) -> Result<(), StoreFault>,
    /// Watches keys.
    pub watch: WatchMapping,
}

/// How the store tells of changes.
#[derive(Clone, Copy)]
pub enum WatchMapping {
    /// One call whose answer never ends: a JSON value a line.
    Stream {
        /// Opens the watch from this revision on.
        open: fn(&KeyRange, i64) -> StoreCall,
        /// Reads one line. A line that only confirms the watch has no changes.
        read_line: fn(&[u8]) -> Result<WatchBatch, StoreFault>,
        /// What an answer means that refuses the watch.
        read_refusal: fn(&StoreAnswer) -> StoreFault,
    },
    /// A call for each batch, which waits until there are changes or the time is over.
    Poll {
        /// Asks for changes from this revision on, and waits this long for the first.
        poll: fn(&KeyRange, i64, Duration) -> StoreCall,
        /// The changes, or none.
        read: fn(&StoreAnswer) -> Result<WatchBatch, StoreFault>,
    },
}

impl Debug for StoreMapping {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("StoreMapping").finish_non_exhaustive()
    }
}

impl Debug for WatchMapping {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str(match self {
            Self::Stream { .. } => "Stream",
            Self::Poll { .. } => "Poll",
        })
    }
}
