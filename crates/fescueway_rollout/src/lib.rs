//! Applies configurations to the platform's store, distributes them to the nodes, and reports which
//! revisions are in force, that is, active.
//!
//! - [`ApplyAttempt`] writes a configuration to the platform's store. The head value is replaced
//!   last, by compare-and-swap, so that a partially written configuration is never visible.
//! - [`RolloutState`] fetches the newest configuration for one node. It never returns to a lower
//!   revision.
//! - [`ReportTree`] aggregates which nodes lag behind, in each failure domain.
//! - [`LeaseHolder`] holds a lease of the store and fences the transactions that depend on it.
//!
//! These types do no I/O. The module [`driver`] runs attempts against a store.

mod apply_attempt;
mod apply_txn;
mod config_head;
mod config_message;
mod domain_report;
pub mod driver;
mod held_config;
mod lease_holder;
mod report_tree;
mod rollout_state;
pub mod store_keys;

pub use crate::{
    apply_attempt::{ApplyAction, ApplyAttempt, ApplyEvent, ApplyOutcome, ApplyPlan},
    config_head::{ConfigHead, HistoryEntry, SiteDigest, SiteIndex},
    config_message::{ConfigReply, ConfigRequest, MessageError},
    domain_report::{DomainReport, Laggard},
    lease_holder::{LeaseAction, LeaseEvent, LeaseHolder},
    report_tree::{ReportAction, ReportTree},
    rollout_state::{FetchSource, RolloutAction, RolloutEvent, RolloutState, RolloutStatus},
};
