//! One node's part in the claims of one service.

mod claiming;

use std::collections::BTreeMap;

use fescueway_core::{MonoTime, NodeId, ServiceName};

use crate::{
    ClaimAttemptId, ClaimLimits, ClaimReplica, ClaimReply, ClaimRequest, PartitionId,
    PartitionRecord, Replica, ReplicaAction, RunState, claim_attempt::ClaimAttempt,
    role_balance::RoleBalance, run_memory::RunMemory,
};

/// One node's part in the claims of one service: it asks for its own runs, and keeps the
/// partitions for which it is named.
#[derive(Debug)]
pub struct ClaimNode {
    /// This node, as a record names it.
    own: Replica,
    /// The service.
    service: ServiceName,
    /// Limits.
    limits: ClaimLimits,
    /// The node's standing with each partition, by index. Never empty.
    replicas: Vec<ClaimReplica>,
    /// Claims that wait for replies, by the serial number of their first try.
    attempts: BTreeMap<u64, ClaimAttempt>,
    /// The node's own runs.
    runs: RunMemory,
    /// The serial number of the next try.
    next_serial: u64,
}

impl ClaimNode {
    /// A node without a part in any partition of `service`.
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
            attempts: BTreeMap::new(),
            runs: RunMemory::default(),
            next_serial: 1,
        }
    }

    /// The node's standing with each partition, by index.
    #[must_use]
    pub fn replicas(&self) -> &[ClaimReplica] {
        &self.replicas
    }

    /// Count of partitions of which the node knows no record, or that it keeps without granting
    /// keys now.
    #[must_use]
    pub fn unsettled_partitions(&self, now: MonoTime) -> u16 {
        let is_closed = |held: &&ClaimReplica| !held.is_claimable(now, &self.limits);
        let closed = self.replicas.iter().filter(is_closed).count();
        u16::try_from(closed).unwrap_or(u16::MAX)
    }

    /// From now on hands its partitions over.
    pub fn leave(&mut self) {
        self.replicas.iter_mut().for_each(ClaimReplica::leave);
    }

    /// Whether the node may stop without taking memory with it that nobody else has.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.replicas.iter().all(ClaimReplica::has_left)
    }

    // --- Answering ---

    /// Answers another node, or this one.
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
            ClaimRequest::Claim(ask) => replica.claim(now, &self.limits, ask),
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

    /// Tells what became of a try. One that still asks is given up, so that the answer stays
    /// true.
    fn run_state(&mut self, ask: ClaimAttemptId) -> RunState {
        let is_own = ask.host == self.own.node && ask.serial < self.next_serial;
        if !is_own {
            return RunState::Unknown;
        }
        self.attempts.retain(|_, attempt| !attempt.may_run(ask));
        self.runs.state(ask.serial)
    }

    // --- Records and time ---

    /// Takes what the store holds of a partition, by a call that was sent at `sent_at`.
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

    /// Takes the reply to a [`ReplicaAction::Fetch`], [`ReplicaAction::Announce`] or
    /// [`ReplicaAction::Probe`]. Returns what is to be fetched next, at once.
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

    /// Time passed. `live` are the hosts of the service that are up, this node included.
    pub fn tick(
        &mut self,
        now: MonoTime,
        live: &BTreeMap<NodeId, Replica>,
    ) -> Vec<(PartitionId, ReplicaAction)> {
        self.runs.expire(now, self.limits.run_retention());
        // A claim whose caller left is not ended by anyone else.
        let limit = 2 * self.limits.claim_timeout;
        self.attempts
            .retain(|_, attempt| now.since(attempt.started_at) <= limit);
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

    /// What is wanted of the store now, when the turn for `asked` has come: that may be long after
    /// it was asked for, and other partitions may join the call.
    pub fn due_store_actions(
        &mut self,
        now: MonoTime,
        live: &BTreeMap<NodeId, Replica>,
        asked: Vec<(PartitionId, ReplicaAction)>,
    ) -> Vec<(PartitionId, ReplicaAction)> {
        let mut wanted = Vec::new();
        for (index, replica) in (0..).zip(&mut self.replicas) {
            if let Some(action) = replica.due_store_action(now, &self.limits, live) {
                let service = self.service.clone();
                wanted.push((PartitionId { service, index }, action));
            }
        }
        if wanted.is_empty() { asked } else { wanted }
    }

    /// Moves one partition at a time, when nothing else is to be done and no replica is doubted.
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

    /// Takes a record from another node.
    fn learn(&mut self, now: MonoTime, partition: &PartitionId, record: &PartitionRecord) {
        if let Some(replica) = self.replicas.get_mut(usize::from(partition.index)) {
            replica.learn(now, &self.limits, record);
        }
    }
}
