//! One node's state for the claims of one service.

mod claiming;

use std::collections::BTreeMap;

use fescueway_core::{MonoTime, NodeId, ServiceName};

use crate::{
    ClaimAttemptId, ClaimLimits, ClaimReplica, ClaimReply, ClaimRequest, PartitionId,
    PartitionRecord, Replica, ReplicaAction, RunState, pending_claim::PendingClaim,
    role_balance::RoleBalance, run_history::RunHistory,
};

/// One node's state for the claims of one service: it claims keys for the node's own runs and holds
/// the replicas assigned to the node.
#[derive(Debug)]
pub struct ClaimNode {
    /// This node, as records name it.
    own: Replica,
    /// The service.
    service: ServiceName,
    /// Limits.
    limits: ClaimLimits,
    /// The node's replica of each partition, by index. Never empty.
    replicas: Vec<ClaimReplica>,
    /// Claims that wait for replies, by the serial number of their first attempt.
    pending_claims: BTreeMap<u64, PendingClaim>,
    /// The node's own runs.
    runs: RunHistory,
    /// The serial number of the next attempt.
    next_serial: u64,
}

impl ClaimNode {
    /// Creates a node that is not assigned to any partition of `service`.
    #[must_use]
    pub fn new(
        own: Replica,
        service: ServiceName,
        partitions: u16,
        limits: ClaimLimits,
        now: MonoTime,
    ) -> Self {
        let replica = |index| {
            let partition = PartitionId {
                service: service.clone(),
                index,
            };
            ClaimReplica::new(own.clone(), partition, now)
        };
        let replicas = (0..partitions.max(1)).map(replica).collect();
        Self {
            own,
            service,
            limits,
            replicas,
            pending_claims: BTreeMap::new(),
            runs: RunHistory::default(),
            next_serial: 1,
        }
    }

    /// The node's replica of each partition, by index.
    #[must_use]
    pub fn replicas(&self) -> &[ClaimReplica] {
        &self.replicas
    }

    /// Number of partitions whose record the node doesn't know, or whose record names the node but
    /// for which it grants no claims now.
    #[must_use]
    pub fn unsettled_partitions(&self, now: MonoTime) -> u16 {
        let is_unclaimable = |held: &&ClaimReplica| !held.is_claimable(now, &self.limits);
        let unclaimable = self.replicas.iter().filter(is_unclaimable).count();
        u16::try_from(unclaimable).unwrap_or(u16::MAX)
    }

    /// Starts to hand over the partitions assigned to the node.
    pub fn leave(&mut self) {
        self.replicas.iter_mut().for_each(ClaimReplica::leave);
    }

    /// Whether the node may stop without losing claimed keys that no other node has.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.replicas.iter().all(ClaimReplica::has_left)
    }

    /// Handles a message of another node or of this one.
    pub fn handle(&mut self, now: MonoTime, request: &ClaimRequest) -> ClaimReply {
        if let ClaimRequest::Query { ask, .. } = request {
            return ClaimReply::Run(self.run_state(*ask));
        }
        let partition = request.partition();
        let is_own = partition.service == self.service;
        let replica = self.replicas.get_mut(usize::from(partition.index));
        let Some(replica) = replica.filter(|_| is_own) else {
            return ClaimReply::Unavailable;
        };
        match request {
            ClaimRequest::Claim(claim) => replica.claim(now, &self.limits, claim),
            ClaimRequest::Release { key, ask, .. } => {
                replica.release(*key, *ask);
                ClaimReply::Done
            }
            ClaimRequest::Fetch { record, after, .. } => replica
                .fetch(now, &self.limits, record, *after)
                .map_or(ClaimReply::Unavailable, ClaimReply::Chunk),
            ClaimRequest::Learn { record, .. } => {
                replica.learn(now, &self.limits, record);
                ClaimReply::Done
            }
            ClaimRequest::Doubt { epoch, silent, .. } => {
                replica.suspect_peer(now, *epoch, *silent);
                ClaimReply::Done
            }
            ClaimRequest::Stand { node, .. } if *node == self.own.node => replica.standing(now),
            ClaimRequest::Stand { .. } | ClaimRequest::Query { .. } => ClaimReply::Unavailable,
        }
    }

    /// Returns the run state of an attempt. One that still waits for replicas is cancelled, so that
    /// the returned state stays true.
    fn run_state(&mut self, attempt_id: ClaimAttemptId) -> RunState {
        let is_own = attempt_id.host == self.own.node && attempt_id.serial < self.next_serial;
        if !is_own {
            return RunState::Unknown;
        }
        self.pending_claims
            .retain(|_, claim| !claim.may_run(attempt_id));
        self.runs.state(attempt_id.serial)
    }

    /// Processes the record of a partition found in the store by a call sent at `sent_at`.
    pub fn confirm(
        &mut self,
        now: MonoTime,
        partition: &PartitionId,
        sent_at: MonoTime,
        found: Option<&PartitionRecord>,
    ) {
        if let Some(replica) = self.replicas.get_mut(usize::from(partition.index)) {
            replica.confirm(now, &self.limits, sent_at, found);
        }
    }

    /// Processes the reply to a [`ReplicaAction::Fetch`], [`ReplicaAction::Announce`] or
    /// [`ReplicaAction::Probe`]. Returns the next fetch, to be sent at once, if there is one.
    pub fn handle_action_reply(
        &mut self,
        now: MonoTime,
        partition: &PartitionId,
        action: &ReplicaAction,
        reply: &ClaimReply,
    ) -> Option<ReplicaAction> {
        let replica = self.replicas.get_mut(usize::from(partition.index))?;
        match (action, reply) {
            (ReplicaAction::Fetch { from, record, .. }, ClaimReply::Chunk(chunk)) => {
                let is_more = replica.receive(now, from.node, record, chunk);
                let after = chunk.entries.last().map(|(key, _)| *key);
                is_more.then(|| ReplicaAction::Fetch {
                    from: from.clone(),
                    record: record.clone(),
                    after,
                })
            }
            (ReplicaAction::Announce { to, record }, ClaimReply::Done) => {
                replica.record_announced(to.node, record);
                None
            }
            (
                ReplicaAction::Probe { to, probed_at },
                ClaimReply::Standing {
                    epoch,
                    confirmed_ago,
                },
            ) => {
                replica.receive_standing(now, to.node, *probed_at, *epoch, *confirmed_ago);
                None
            }
            _ => None,
        }
    }

    /// Processes the passage of time and returns the actions that are due. `live` are the hosts of
    /// the service that are up, including this node.
    pub fn tick(
        &mut self,
        now: MonoTime,
        live: &BTreeMap<NodeId, Replica>,
    ) -> Vec<(PartitionId, ReplicaAction)> {
        self.runs.expire(now, self.limits.run_retention());
        // Nothing else ends a claim whose caller has left.
        let limit = 2 * self.limits.claim_timeout;
        self.pending_claims
            .retain(|_, claim| now.since(claim.started_at) <= limit);
        let mut actions = Vec::new();
        for (index, replica) in (0..).zip(&mut self.replicas) {
            for action in replica.tick(now, &self.limits, live) {
                let partition = PartitionId {
                    service: self.service.clone(),
                    index,
                };
                actions.push((partition, action));
            }
        }
        if actions.is_empty() {
            actions.extend(self.rebalance(now, live));
        }
        actions
    }

    /// The store actions due when the node may make the store call for `requested`. That may be
    /// long after the request, and other partitions may join the call.
    pub fn due_store_actions(
        &mut self,
        now: MonoTime,
        live: &BTreeMap<NodeId, Replica>,
        requested: Vec<(PartitionId, ReplicaAction)>,
    ) -> Vec<(PartitionId, ReplicaAction)> {
        let mut due = Vec::new();
        for (index, replica) in (0..).zip(&mut self.replicas) {
            if let Some(action) = replica.due_store_action(now, &self.limits, live) {
                let service = self.service.clone();
                due.push((PartitionId { service, index }, action));
            }
        }
        if due.is_empty() { requested } else { due }
    }

    /// Moves one partition at a time, when no other action is due and no replica is suspected.
    fn rebalance(
        &mut self,
        now: MonoTime,
        live: &BTreeMap<NodeId, Replica>,
    ) -> Option<(PartitionId, ReplicaAction)> {
        if !self.replicas.iter().all(ClaimReplica::has_live_replicas) {
            return None;
        }
        let records = self.replicas.iter().map(ClaimReplica::record);
        let known = records.collect::<Option<Vec<_>>>()?;
        let balance = RoleBalance::new(known.into_iter(), live);
        let limits = &self.limits;
        let moved = (0..).zip(&mut self.replicas).find_map(|(index, replica)| {
            let action = replica.rebalance(now, limits, &balance)?;
            Some((index, action))
        });
        let (index, action) = moved?;
        let service = self.service.clone();
        Some((PartitionId { service, index }, action))
    }

    /// Passes a record from another node to the replica.
    fn learn(&mut self, now: MonoTime, partition: &PartitionId, record: &PartitionRecord) {
        if let Some(replica) = self.replicas.get_mut(usize::from(partition.index)) {
            replica.learn(now, &self.limits, record);
        }
    }
}
