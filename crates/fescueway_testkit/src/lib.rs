//! Stubs of the systems around fescueway: the platform's store, backend servers and the network.
//!
//! For tests, examples and benches only. Every server listens on loopback and stops when its
//! handle is dropped.

mod backend_plan;
mod backend_server;
mod backend_tally;
mod backend_work;
mod json_body;
mod loopback;
pub mod member_network;
mod store_data;
mod store_faults;
mod store_leases;
mod store_server;
mod store_watch;

pub use crate::{
    backend_plan::{BackendFault, BackendPlan, ReportForm},
    backend_server::BackendStub,
    backend_tally::BackendTally,
    loopback::unique_loopback,
    store_faults::{StoreFaults, StoreTally},
    store_server::StoreStub,
};
