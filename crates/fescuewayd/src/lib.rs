//! The daemon: one node of fescueway, as a process of its own or embedded in another.
//!
//! [`Daemon::start`] binds the addresses of its [`DaemonSettings`] and runs on the caller's
//! runtime; several daemons can share one. There is no global state besides the logger.

mod backend_api;
mod claim_records;
mod claim_task;
mod daemon;
mod daemon_error;
mod daemon_settings;
mod daemon_sockets;
mod drain_orders;
mod local_http;
mod member_link;
mod membership_task;
mod node_meter;
mod operator_api;
mod probe_task;
mod raw_settings;
mod rollout_task;
mod run_rules;
mod settings_file;
mod settings_rules;
mod status_board;
mod store_link;
mod suspect_task;
mod watch_task;

pub use crate::{
    daemon::Daemon,
    daemon_error::{DaemonError, DaemonStep},
    daemon_settings::DaemonSettings,
    daemon_sockets::DaemonAddresses,
    raw_settings::{RawLimits, RawListen, RawPlanFiles, RawSettings},
    settings_file::{SettingsError, read_settings},
    settings_rules::SETTINGS_RULES,
    status_board::{BoardFacts, StatusBoard},
};
