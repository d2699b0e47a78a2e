//! Applies configurations to the platform's store, distributes them to the nodes, and reports which
//! revisions are in force, that is, active.
//!
//! - [`ApplyAttempt`] writes a configuration to the platform's store. The head value is replaced
//!   last, by compare-and-swap, so that a partially written configuration is never visible.
//! - [`RolloutState`] fetches the newest configuration for one node. It never returns to a lower
//!   revision.
//! - [`ReportTree`] aggregates which nodes lag behind, in each failure domain.
//! - [`LeaseHolder`] holds a lease of the store and fences the transactions that depend on it.
//! - [`FreshnessProof`] tells how old the configuration in force may be, and [`ProofSchedule`] when a node
//!   asks for the next proof.
//! - [`EvacuationSet`] holds the failure domains that operators evacuate.
//!
//! These types do no I/O. The module [`driver`] runs attempts against a store.

mod apply_attempt;
mod apply_txn;
mod config_head;
mod config_message;
mod domain_report;
pub mod driver;
mod evacuation_set;
mod freshness_proof;
mod held_config;
mod lease_holder;
mod proof_schedule;
mod proof_times;
mod report_tree;
mod rollout_state;
pub mod store_keys;

pub use crate::{
    apply_attempt::{ApplyAction, ApplyAttempt, ApplyEvent, ApplyOutcome, ApplyPlan},
    config_head::{ConfigHead, HistoryEntry, SiteDigest, SiteIndex},
    config_message::{ConfigReply, ConfigRequest, MessageError},
    domain_report::{DomainReport, Laggard},
    evacuation_set::EvacuationSet,
    freshness_proof::{FreshnessProof, ProofReply},
    lease_holder::{LeaseAction, LeaseEvent, LeaseHolder},
    proof_schedule::{ProofAnswer, ProofRole, ProofSchedule, ProofStep, asked_rank},
    proof_times::ProofTimes,
    report_tree::{ReportAction, ReportTree},
    rollout_state::{FetchSource, RolloutAction, RolloutEvent, RolloutState, RolloutStatus},
};
