//! Mapping of the client's calls to the protocol of a store.

use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use crate::{
    KeyRange, LeaseGrant, LeaseId, RangeReply, StoreEra, StoreFault, StoreTxn, TxnReply, WatchBatch,
};

/// One HTTP call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The body; empty if there is none.
    pub body: Bytes,
}

/// The whole answer to one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A request for one page of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RangePage<'a> {
    /// The keys to read.
    pub range: &'a KeyRange,
    /// Whether a lagging replica may answer.
    pub is_stale_allowed: bool,
    /// The last key of the previous page.
    pub after: Option<&'a str>,
}

/// Mapping of the client's calls to the protocol of a store: functions that encode typed calls as
/// HTTP calls and decode HTTP answers into typed replies, without I/O.
///
/// Replies are decoded in the default era; the client sets the era of the answer.
#[derive(Clone, Copy)]
pub struct StoreMapping {
    /// The era that an answer names, whatever its status; `None` if the protocol has no eras.
    pub read_era: fn(&HeaderMap) -> Option<StoreEra>,
    /// Encodes a read of one page.
    pub range: fn(&RangePage<'_>) -> StoreCall,
    /// Decodes the reply to a read, and whether another page follows.
    pub read_range: fn(&StoreAnswer) -> Result<(RangeReply, bool), StoreFault>,
    /// Encodes a transaction. An error if the protocol cannot express it.
    pub txn: fn(&StoreTxn) -> Result<StoreCall, StoreFault>,
    /// Decodes the reply to a transaction.
    pub read_txn: fn(&StoreAnswer) -> Result<TxnReply, StoreFault>,
    /// Encodes the grant of a lease with this time to live.
    pub grant: fn(Duration) -> StoreCall,
    /// Decodes the reply to a grant.
    pub read_grant: fn(&StoreAnswer) -> Result<LeaseGrant, StoreFault>,
    /// Encodes the renewal of a lease.
    pub keep_alive: fn(LeaseId) -> StoreCall,
    /// Decodes the reply to a renewal of this lease.
    pub read_keep_alive: fn(LeaseId, &StoreAnswer) -> Result<LeaseGrant, StoreFault>,
    /// Encodes the revocation of a lease.
    pub revoke: fn(LeaseId) -> StoreCall,
    /// Decodes the reply to a revocation.
    pub read_revoke: fn(&StoreAnswer) -> Result<(), StoreFault>,
    /// How watches are served.
    pub watch: WatchMapping,
}

/// How the store serves watches.
#[derive(Clone, Copy)]
pub enum WatchMapping {
    /// One streaming call: the store sends a JSON value per line until the watch ends.
    Stream {
        /// Encodes the call that watches from this revision on.
        open: fn(&KeyRange, i64) -> StoreCall,
        /// Decodes one line. The line that confirms the watch has no changes.
        read_line: fn(&[u8]) -> Result<WatchBatch, StoreFault>,
        /// Decodes the answer that refuses the watch.
        read_refusal: fn(&StoreAnswer) -> StoreFault,
    },
    /// Long polling: each call waits until there are changes or its wait is over.
    Poll {
        /// Encodes a poll for changes from this revision on that waits at most this long. The poll may
        /// cover further keys, whose changes are dropped.
        poll: fn(&KeyRange, i64, Duration) -> StoreCall,
        /// Decodes the changes, if any.
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
