//! Client of the platform's key-value store, over HTTP.
//!
//! A [`StoreMapping`] defines the protocol; [`ETCD_MAPPING`] is the JSON mapping of etcd v3. Every
//! call has a deadline, and an error says whether a write may have taken effect.

mod json_mapping;
mod store_call_counters;
mod store_client;
mod store_connection;
mod store_era;
mod store_error;
mod store_mapping;
mod store_pacer;
mod store_types;
mod store_watch;

pub use crate::{
    json_mapping::ETCD_MAPPING,
    store_call_counters::StoreCallCount,
    store_client::{StoreClient, StoreSettings},
    store_era::{StoreEra, StoreRevision},
    store_error::{StoreCallKind, StoreError, StoreFault},
    store_mapping::{RangePage, StoreAnswer, StoreCall, StoreMapping, WatchMapping},
    store_pacer::StorePacer,
    store_types::{
        Compare, KeyRange, LeaseGrant, LeaseId, RangeReply, StoreOp, StoreTxn, StoreValue,
        TxnReply, WatchBatch, WatchEvent,
    },
    store_watch::StoreWatch,
};
