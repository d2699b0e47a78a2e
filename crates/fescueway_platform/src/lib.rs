//! Client of the platform's store, over HTTP.
//!
//! The protocol is a value, [`StoreMapping`]; [`ETCD_MAPPING`] is etcd v3's JSON mapping. Every call has a
//! deadline, and an error tells whether a write may have taken effect.

mod json_mapping;
mod store_call_counters;
mod store_client;
mod store_connection;
mod store_error;
mod store_mapping;
mod store_pacer;
mod store_types;
mod store_watch;

pub use crate::{
    json_mapping::ETCD_MAPPING,
    store_call_counters::StoreCallCount,
    store_client::{StoreClient, StoreSettings},
    store_error::{StoreCallKind, StoreError, StoreFault},
    store_mapping::{RangePage, StoreAnswer, StoreCall, StoreMapping, WatchMapping},
    store_pacer::StorePacer,
    store_types::{
        Compare, KeyRange, LeaseGrant, LeaseId, RangeReply, StoreOp, StoreTxn, StoreValue,
        TxnReply, WatchBatch, WatchEvent,
    },
    store_watch::StoreWatch,
};
