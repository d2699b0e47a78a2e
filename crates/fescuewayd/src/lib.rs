//! The daemon: one node of fescueway, as a process of its own or embedded in another.
//!
//! [`Daemon::start`] binds the addresses of its [`DaemonSettings`] and runs on the caller's
//! runtime; several daemons can share one. There is no global state besides the logger.

mod announce_task;
mod daemon;
mod daemon_error;
mod daemon_settings;

pub use crate::{
    daemon::{Daemon, DaemonAddresses},
    daemon_error::{DaemonError, DaemonStep},
    daemon_settings::DaemonSettings,
};
