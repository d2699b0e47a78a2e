//! How a configuration gets accepted, how it spreads, and how it is known to be in force.
//!
//! - [`ApplyAttempt`] writes a configuration to the platform's store. The head value is swapped
//!   last, by compare-and-swap, so that a half-written configuration is never seen.
//! - [`RolloutState`] is one node's way to the newest configuration. It never goes back to a lower
//!   revision.
//! - [`ReportTree`] sums up which nodes lag, in each failure domain.
//! - [`LeaseHolder`] holds a lease of the store, and fences what is done under it.
//!
//! The decisions do no I/O. The module [`driver`] runs them against a store.

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
