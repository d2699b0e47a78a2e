//! The host: admits offers and runs them on the local backend server.

mod backend_body;
mod backend_error;
mod backend_pool;
mod host_offer;
mod host_run;
mod host_target;
mod informational_limit;
mod run_checks;
mod run_ticket;

pub use self::{
    backend_body::BackendBody,
    backend_error::{BackendError, BackendStep},
    backend_pool::BackendPool,
    host_target::HostTarget,
    run_checks::{PermitEnd, RunChecks, RunDenial, RunPermit},
};
pub(crate) use self::{
    host_offer::{offer_locally, serve_offer},
    host_run::HostRun,
    host_target::NoticeChange,
    run_ticket::RunTicket,
};
