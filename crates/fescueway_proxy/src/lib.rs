//! The proxy: forwards requests from the caller through the entry and the host to the backend
//! server.
//!
//! A [`ProxyState`] holds the state that the proxy shares with the rest of the node.
//! [`serve_callers`] is the entry, [`serve_peers`] the host; [`PeerPool`] connects them.
//! `fescueway_routing` decides which target gets a request, and `fescueway_admission` whether the
//! host admits it; this crate transfers the bytes.

mod accept_loop;
mod backend_announcement;
pub mod body;
mod boot_clock;
mod call_table;
mod connection_activity;
mod duplicate_answer;
mod edge_profile;
mod entry;
mod final_status;
mod headers;
mod hedge_limits;
mod host;
mod idle_sweep;
mod local_targets;
mod mono_clock;
mod observer_slot;
mod offer_answer;
mod offer_request;
mod open_counts;
mod open_guard;
mod overlong_answer;
mod peer;
mod proxy_limits;
mod proxy_options;
mod proxy_state;
mod recent_entries;
mod request_digest;
mod request_log;
mod request_record;
mod route_states;
mod route_table;
mod server_statement;
mod socket_options;
mod task_group;
mod watched_socket;

pub use crate::{
    accept_loop::AcceptLoop,
    backend_announcement::BackendAnnouncement,
    boot_clock::BootClock,
    edge_profile::{AnswerVerdict, EdgeProfile, LoadReader},
    entry::{
        AccountCheck, AccountRequest, AllotmentCheck, AllotmentPermit, PresentedKey, serve_callers,
    },
    hedge_limits::HedgeLimits,
    host::{BackendBody, HostTarget, PermitEnd, RunChecks, RunDenial, RunPermit},
    mono_clock::MonoClock,
    overlong_answer::OverlongAnswer,
    peer::{ControlTable, PeerError, PeerPool, PeerStep, serve_peers},
    proxy_limits::ProxyLimits,
    proxy_options::ProxyOptions,
    proxy_state::ProxyState,
    request_record::{KeyFault, RequestRecord},
    route_table::{RouteTable, TargetView},
    server_statement::{InvalidField, ServerStatement},
    task_group::TaskGroup,
};
