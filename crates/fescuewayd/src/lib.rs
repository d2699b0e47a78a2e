//! The daemon: one node of fescueway, as a process of its own or embedded in another.
//!
//! [`Daemon::start`] binds the addresses of its [`DaemonSettings`] and runs on the caller's
//! runtime; several daemons can share one. There is no global state besides the logger.

mod allotment_task;
mod backend_api;
mod backend_load;
mod backend_query;
mod claim_records;
mod claim_task;
mod daemon;
mod daemon_error;
mod daemon_settings;
mod daemon_sockets;
mod document_proof;
mod document_task;
mod drain_requests;
mod held_document;
mod local_http;
mod member_link;
mod membership_task;
mod node_adapter;
mod node_meter;
mod node_process;
mod operator_api;
mod pace_task;
mod probe_task;
mod proof_task;
mod raw_settings;
mod rollout_task;
mod run_rules;
mod seed_task;
mod settings_file;
mod settings_rules;
mod settings_watch;
mod status_board;
mod store_link;
mod suspect_task;
mod watch_task;

pub use crate::{
    backend_api::CONNECTIONS_PER_SLOT,
    backend_load::{BackendLoad, LoadError},
    daemon::Daemon,
    daemon_error::{DaemonError, DaemonStep},
    daemon_settings::{DaemonSettings, LogSettings},
    daemon_sockets::DaemonAddresses,
    local_http::LocalRequest,
    node_adapter::{
        BackendCall, CallError, CallReader, DocumentReader, DocumentSource, NodeAdapter,
        PlanDocument,
    },
    node_process::run_process,
    raw_settings::{RawLimits, RawListen, RawPlanFiles, RawSettings},
    settings_file::{SettingsError, read_settings},
    settings_rules::SETTINGS_RULES,
    status_board::{BoardFacts, StatusBoard},
    watch_task::WATCHERS_PER_DOMAIN,
};
