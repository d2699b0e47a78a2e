//! Idempotency keys: a request with a key runs at most once in the fleet.
//!
//! The keys of a service are split into partitions. A partition's [`PartitionRecord`], kept in the
//! platform's store and changed by compare-and-swap only, names a primary and a backup replica.
//! Both hold the partition's claimed keys in memory. A host runs a request with a key only after
//! both have recorded its claim under the same epoch. A new replica fetches all claimed keys from
//! one of them before it grants any, so it knows every key that may have run.
//!
//! A [`ClaimNode`] holds one node's state for one service: it claims keys for the node's own runs
//! and holds the replicas assigned to the node. It does no I/O and reads no clock.

mod claim_limits;
mod claim_message;
mod claim_node;
mod claim_replica;
mod claim_table;
mod failure_detector;
mod partition_record;
mod pending_claim;
mod record_change;
mod replica_action;
mod replica_choice;
mod replica_state;
mod role_balance;
mod run_history;

pub use crate::{
    claim_limits::ClaimLimits,
    claim_message::{
        ClaimAttemptId, ClaimReply, ClaimRequest, Holder, KeyClaim, RunState, TableChunk,
    },
    claim_node::ClaimNode,
    claim_replica::ClaimReplica,
    claim_table::ClaimTable,
    partition_record::{OrphanSet, PartitionId, PartitionRecord, Replica},
    pending_claim::{ClaimCall, ClaimPurpose, ClaimStep, ClaimVerdict},
    replica_action::ReplicaAction,
    replica_state::ReplicaState,
};
