//! One node's part in the claims of one service.

use std::collections::BTreeMap;

use fescueway_core::{KeyDigest, MonoTime, NodeId, ServiceName};

use crate::{
    AskId, ClaimAsk, ClaimCall, ClaimLimits, ClaimReplica, ClaimReply, ClaimRequest, ClaimStep,
    ClaimVerdict, Holder, PartitionId, PartitionRecord, Purpose, Replica, ReplicaAction, RunState,
    claim_attempt::{AttemptEnd, AttemptPhase, ClaimAttempt, ReplicaReplies},
    run_memory::RunMemory,
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

    /// From now on hands its partitions over.
    pub fn leave(&mut self) {
        self.replicas.iter_mut().for_each(ClaimReplica::leave);
    }

    /// Whether the node may stop without taking memory with it that nobody else has.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.replicas.iter().all(ClaimReplica::has_left)
    }

    // --- Claiming ---

    /// Begins to claim `key`.
    pub fn begin(&mut self, now: MonoTime, key: KeyDigest, purpose: Purpose) -> ClaimStep {
        let partition = PartitionId::of_key(&self.service, key, self.partitions());
        let Some(record) = self.record_of(&partition) else {
            return ClaimStep::Done(ClaimVerdict::Unavailable, Vec::new());
        };
        let ask = self.next_ask();
        let attempt = ClaimAttempt {
            ask,
            key,
            partition,
            record,
            purpose,
            started_at: now,
            cleared: Vec::new(),
            is_last: false,
            phase: AttemptPhase::Asking(ReplicaReplies::default()),
        };
        self.attempts.insert(ask.serial, attempt);
        self.send_asks(now, ask.serial)
    }

    /// Takes the reply to a call, `None` when none came in time.
    pub fn reply(
        &mut self,
        now: MonoTime,
        call: &ClaimCall,
        reply: Option<ClaimReply>,
    ) -> ClaimStep {
        let Some(attempt) = self.attempts.get_mut(&call.claim) else {
            // Another host was told that this try gave up.
            return ClaimStep::Done(ClaimVerdict::Unavailable, Vec::new());
        };
        if attempt.ask != call.ask {
            return ClaimStep::Wait;
        }
        match attempt.reply(call, reply) {
            AttemptEnd::Open => ClaimStep::Wait,
            AttemptEnd::Granted => self.granted(now, call.claim),
            AttemptEnd::Held(holders) => self.send_queries(now, call.claim, &holders),
            AttemptEnd::Cleared => self.try_again(now, call.claim),
            AttemptEnd::Stale(record) => {
                self.learn(now, &call.request.partition().clone(), &record);
                self.try_again(now, call.claim)
            }
            AttemptEnd::Verdict(verdict) => self.end(now, call.claim, verdict),
        }
    }

    /// A run that was granted ended; `None` when its end is not known.
    pub fn finish(&mut self, ask: AskId, status: Option<u16>) {
        let state = status.map_or(RunState::Unknown, RunState::Ended);
        self.runs.end(ask.serial, state);
    }

    /// A run that was granted was given up before its hand-over. Send the calls without waiting.
    pub fn give_up(&mut self, now: MonoTime, key: KeyDigest, ask: AskId) -> Vec<ClaimCall> {
        self.runs.end(ask.serial, RunState::NotRun);
        let partition = PartitionId::of_key(&self.service, key, self.partitions());
        match self.record_of(&partition) {
            Some(record) => self.releases(now, ask, &record, &partition, key),
            None => Vec::new(),
        }
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
            ClaimRequest::Query { .. } => ClaimReply::Unavailable,
        }
    }

    /// Tells what became of a try. One that still asks is given up, so that the answer stays
    /// true.
    fn run_state(&mut self, ask: AskId) -> RunState {
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

    /// Takes the reply to a [`ReplicaAction::Fetch`] or [`ReplicaAction::Tell`].
    pub fn answered(
        &mut self,
        now: MonoTime,
        partition: &PartitionId,
        action: &ReplicaAction,
        reply: &ClaimReply,
    ) {
        let Some(replica) = self.replicas.get_mut(usize::from(partition.index)) else {
            return;
        };
        match (action, reply) {
            (ReplicaAction::Fetch { from, record, .. }, ClaimReply::Chunk(chunk)) => {
                replica.receive(now, from.node, record, chunk);
            }
            (ReplicaAction::Tell { to, record }, ClaimReply::Done) => replica.told(to.node, record),
            _ => {}
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
        let limit = 2 * self.limits.answer_limit;
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
        actions
    }

    /// Takes a record from another node.
    fn learn(&mut self, now: MonoTime, partition: &PartitionId, record: &PartitionRecord) {
        if let Some(replica) = self.replicas.get_mut(usize::from(partition.index)) {
            replica.learn(now, &self.limits, record);
        }
    }

    // --- Parts of a claim ---

    /// Count of partitions.
    fn partitions(&self) -> u16 {
        u16::try_from(self.replicas.len()).unwrap_or(u16::MAX)
    }

    /// The newest record of a partition.
    fn record_of(&self, partition: &PartitionId) -> Option<PartitionRecord> {
        let replica = self.replicas.get(usize::from(partition.index))?;
        replica.record().cloned()
    }

    /// A try that was never used before.
    fn next_ask(&mut self) -> AskId {
        let serial = self.next_serial;
        self.next_serial += 1;
        AskId {
            host: self.own.node,
            serial,
        }
    }

    /// Asks both replicas.
    fn send_asks(&mut self, now: MonoTime, claim: u64) -> ClaimStep {
        let Some(attempt) = self.attempts.get(&claim) else {
            return ClaimStep::Wait;
        };
        let ask_of = |replica: &Replica| ClaimAsk {
            replica: replica.node,
            partition: attempt.partition.clone(),
            epoch: attempt.record.epoch,
            key: attempt.key,
            ask: attempt.ask,
            address: self.own.address,
            cleared: attempt.cleared.clone(),
            is_peek: attempt.purpose == Purpose::Peek,
        };
        let call = |replica: &Replica| ClaimCall {
            claim,
            ask: attempt.ask,
            node: replica.node,
            address: replica.address,
            request: ClaimRequest::Claim(ask_of(replica)),
        };
        let calls = attempt.record.replicas().map(call).collect();
        self.dispatch(now, calls)
    }

    /// Asks the hosts of the tries that hold the key what became of them.
    fn send_queries(&mut self, now: MonoTime, claim: u64, holders: &[Holder]) -> ClaimStep {
        let Some(attempt) = self.attempts.get_mut(&claim) else {
            return ClaimStep::Wait;
        };
        attempt.query(holders);
        let (ask, partition) = (attempt.ask, attempt.partition.clone());
        let call = |held: &Holder| {
            let request = ClaimRequest::Query {
                partition: partition.clone(),
                ask: held.ask,
            };
            let node = held.ask.host;
            let address = held.address?;
            Some(ClaimCall {
                claim,
                ask,
                node,
                address,
                request,
            })
        };
        match holders.iter().map(call).collect() {
            Some(calls) => self.dispatch(now, calls),
            None => self.end(now, claim, ClaimVerdict::Duplicate(RunState::Unknown)),
        }
    }

    /// Answers the calls that are meant for this node, and leaves the others to be sent.
    fn dispatch(&mut self, now: MonoTime, calls: Vec<ClaimCall>) -> ClaimStep {
        let (own, mut rest): (Vec<_>, Vec<_>) = calls
            .into_iter()
            .partition(|call| call.node == self.own.node);
        for call in own {
            let reply = self.handle(now, &call.request);
            match self.reply(now, &call, Some(reply)) {
                ClaimStep::Wait => {}
                // What was not sent yet belongs to a try that has ended.
                step @ (ClaimStep::Send(_) | ClaimStep::Done(..)) => return step,
            }
        }
        if rest.is_empty() {
            return ClaimStep::Wait;
        }
        ClaimStep::Send(std::mem::take(&mut rest))
    }

    /// Both replicas granted.
    fn granted(&mut self, now: MonoTime, claim: u64) -> ClaimStep {
        let Some(attempt) = self.attempts.get(&claim) else {
            return ClaimStep::Wait;
        };
        let (ask, purpose) = (attempt.ask, attempt.purpose);
        let is_late = now.since(attempt.started_at) > self.limits.answer_limit;
        if is_late {
            return self.end(now, claim, ClaimVerdict::Unavailable);
        }
        match purpose {
            Purpose::Peek => self.end(now, claim, ClaimVerdict::Free),
            Purpose::Run => {
                self.attempts.remove(&claim);
                self.runs.begin(now, ask.serial);
                ClaimStep::Done(ClaimVerdict::Run(ask), Vec::new())
            }
        }
    }

    /// Begins another try for the same request, once.
    fn try_again(&mut self, now: MonoTime, claim: u64) -> ClaimStep {
        let ask = self.next_ask();
        let Some(attempt) = self.attempts.get_mut(&claim) else {
            return ClaimStep::Wait;
        };
        if attempt.is_last {
            return self.end(now, claim, ClaimVerdict::Unavailable);
        }
        attempt.is_last = true;
        attempt.cleared.push(attempt.ask);
        if let AttemptPhase::Querying(states) = &attempt.phase {
            attempt.cleared.extend(states.keys());
        }
        attempt.ask = ask;
        attempt.phase = AttemptPhase::Asking(ReplicaReplies::default());
        let index = usize::from(attempt.partition.index);
        if let Some(record) = self.replicas.get(index).and_then(ClaimReplica::record) {
            attempt.record = record.clone();
        }
        self.send_asks(now, claim)
    }

    /// Ends a claim that doesn't run, and takes back what it may have recorded.
    fn end(&mut self, now: MonoTime, claim: u64, verdict: ClaimVerdict) -> ClaimStep {
        let Some(attempt) = self.attempts.remove(&claim) else {
            return ClaimStep::Done(verdict, Vec::new());
        };
        if verdict == ClaimVerdict::Unavailable {
            let replica = self.replicas.get_mut(usize::from(attempt.partition.index));
            replica.map(ClaimReplica::doubt);
        }
        let calls = match attempt.purpose {
            Purpose::Peek => Vec::new(),
            Purpose::Run => self.releases(
                now,
                attempt.ask,
                &attempt.record,
                &attempt.partition,
                attempt.key,
            ),
        };
        ClaimStep::Done(verdict, calls)
    }

    /// Takes a try back at both replicas.
    fn releases(
        &mut self,
        now: MonoTime,
        ask: AskId,
        record: &PartitionRecord,
        partition: &PartitionId,
        key: KeyDigest,
    ) -> Vec<ClaimCall> {
        let mut calls = Vec::new();
        for replica in record.replicas() {
            let request = ClaimRequest::Release {
                partition: partition.clone(),
                key,
                ask,
            };
            if replica.node == self.own.node {
                self.handle(now, &request);
                continue;
            }
            calls.push(ClaimCall {
                claim: ask.serial,
                ask,
                node: replica.node,
                address: replica.address,
                request,
            });
        }
        calls
    }
}
