//! Client of the platform's store: etcd v3's JSON mapping over HTTP.
//!
//! The client is narrow on purpose, so that another store is one module. Every call has a
//! deadline, and an error tells whether a write may have taken effect.

mod json_mapping;
mod store_client;
mod store_connection;
mod store_error;
mod store_pacer;
mod store_types;
mod store_watch;

pub use crate::{
    store_client::{StoreClient, StoreSettings},
    store_error::{StoreError, StoreFault, StoreStep},
    store_pacer::StorePacer,
    store_types::{
        Compare, KeyRange, LeaseGrant, LeaseId, RangeReply, StoreOp, StoreTxn, StoreValue,
        TxnReply, WatchBatch, WatchEvent,
    },
    store_watch::StoreWatch,
};
