//! At most once: a request with an idempotency key runs once in the fleet.
//!
//! The keys of a service are cut into partitions. A partition's [`PartitionRecord`], kept in the
//! platform's store and changed by compare-and-swap only, names a primary and a backup. Both hold
//! the partition's claimed keys in memory. A host runs a keyed request only when both have
//! recorded its claim under the same epoch. Whoever takes over first gets the whole memory of one
//! of them, so it knows every key that may have run.
//!
//! A [`ClaimNode`] is one node's part in one service: it asks for its own runs and keeps the
//! partitions that it is named for. It does no I/O and reads no clock.

mod claim_attempt;
mod claim_limits;
mod claim_message;
mod claim_node;
mod claim_replica;
mod claim_table;
mod partition_record;
mod peer_watch;
mod record_change;
mod replica_action;
mod replica_choice;
mod role_balance;
mod run_memory;
mod tenure;

pub use crate::{
    claim_attempt::{ClaimCall, ClaimPurpose, ClaimStep, ClaimVerdict},
    claim_limits::ClaimLimits,
    claim_message::{
        ClaimAttemptId, ClaimReply, ClaimRequest, Holder, KeyClaim, RunState, TableChunk,
    },
    claim_node::ClaimNode,
    claim_replica::ClaimReplica,
    claim_table::ClaimTable,
    partition_record::{OrphanSet, PartitionId, PartitionRecord, Replica},
    replica_action::ReplicaAction,
    tenure::ReplicaState,
};
