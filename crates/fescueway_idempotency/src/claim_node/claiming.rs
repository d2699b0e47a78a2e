//! Claims of keys for a node's own runs.

use fescueway_core::{KeyDigest, MonoTime};

use super::ClaimNode;
use crate::{
    ClaimAttemptId, ClaimCall, ClaimPurpose, ClaimReplica, ClaimReply, ClaimRequest, ClaimStep,
    ClaimVerdict, Holder, KeyClaim, PartitionId, PartitionRecord, Replica, RunState,
    pending_claim::{ClaimPhase, PendingClaim, ReplicaReplies, ReplyOutcome},
};

impl ClaimNode {
    /// Begins a claim of `key`.
    pub fn begin(&mut self, now: MonoTime, key: KeyDigest, purpose: ClaimPurpose) -> ClaimStep {
        let partition = PartitionId::of_key(&self.service, key, self.partition_count());
        let Some(record) = self.record_of(&partition) else {
            return ClaimStep::Done(ClaimVerdict::Unavailable, Vec::new());
        };
        let attempt_id = self.next_attempt_id();
        let claim = PendingClaim {
            attempt_id,
            key,
            partition,
            record,
            purpose,
            started_at: now,
            cleared: Vec::new(),
            is_last_attempt: false,
            phase: ClaimPhase::AwaitingReplicas(ReplicaReplies::default()),
        };
        self.pending_claims.insert(attempt_id.serial, claim);
        self.send_claims(now, attempt_id.serial)
    }

    /// Processes the reply to a call, `None` when there was none in time.
    pub fn reply(
        &mut self,
        now: MonoTime,
        call: &ClaimCall,
        reply: Option<ClaimReply>,
    ) -> ClaimStep {
        let Some(claim) = self.pending_claims.get_mut(&call.claim_serial) else {
            // The attempt was cancelled when another host queried its state.
            return ClaimStep::Done(ClaimVerdict::Unavailable, Vec::new());
        };
        if claim.attempt_id != call.attempt_id {
            return ClaimStep::Wait;
        }
        match claim.reply(call, reply) {
            ReplyOutcome::Pending => ClaimStep::Wait,
            ReplyOutcome::Granted => self.handle_grant(now, call.claim_serial),
            ReplyOutcome::Held(holders) => self.send_queries(now, call.claim_serial, &holders),
            ReplyOutcome::Cleared => self.retry(now, call.claim_serial),
            ReplyOutcome::Stale(record) => {
                self.learn(now, &call.request.partition().clone(), &record);
                self.retry(now, call.claim_serial)
            }
            ReplyOutcome::Verdict(verdict) => self.end_claim(now, call.claim_serial, verdict),
        }
    }

    /// Records the end of a granted run, with its HTTP status. `None` when the result is not known.
    pub fn finish(&mut self, attempt_id: ClaimAttemptId, status: Option<u16>) {
        let state = status.map_or(RunState::Unknown, RunState::Ended);
        self.runs.end(attempt_id.serial, state);
    }

    /// Cancels a granted run before its hand-over to the backend server. Returns calls to send
    /// without waiting for their replies.
    pub fn cancel_run(
        &mut self,
        now: MonoTime,
        key: KeyDigest,
        attempt_id: ClaimAttemptId,
    ) -> Vec<ClaimCall> {
        self.runs.end(attempt_id.serial, RunState::NotRun);
        let partition = PartitionId::of_key(&self.service, key, self.partition_count());
        match self.record_of(&partition) {
            Some(record) => self.release(now, attempt_id, &record, &partition, key),
            None => Vec::new(),
        }
    }

    /// Number of partitions.
    fn partition_count(&self) -> u16 {
        u16::try_from(self.replicas.len()).unwrap_or(u16::MAX)
    }

    /// The newest record of a partition.
    fn record_of(&self, partition: &PartitionId) -> Option<PartitionRecord> {
        let replica = self.replicas.get(usize::from(partition.index))?;
        replica.record().cloned()
    }

    /// A new attempt ID.
    fn next_attempt_id(&mut self) -> ClaimAttemptId {
        let serial = self.next_serial;
        self.next_serial += 1;
        ClaimAttemptId {
            host: self.own.node,
            serial,
        }
    }

    /// Sends the claim to both replicas.
    fn send_claims(&mut self, now: MonoTime, claim_serial: u64) -> ClaimStep {
        let Some(claim) = self.pending_claims.get(&claim_serial) else {
            return ClaimStep::Wait;
        };
        let claim_for = |replica: &Replica| KeyClaim {
            replica: replica.node,
            partition: claim.partition.clone(),
            epoch: claim.record.epoch,
            key: claim.key,
            ask: claim.attempt_id,
            address: self.own.address,
            cleared: claim.cleared.clone(),
            is_peek: claim.purpose == ClaimPurpose::Peek,
        };
        let call = |replica: &Replica| ClaimCall {
            claim_serial,
            attempt_id: claim.attempt_id,
            node: replica.node,
            address: replica.address,
            request: ClaimRequest::Claim(claim_for(replica)),
        };
        let calls = claim.record.replicas().map(call).collect();
        self.dispatch(now, calls)
    }

    /// Queries the states of the attempts that hold the key from their hosts.
    fn send_queries(&mut self, now: MonoTime, claim_serial: u64, holders: &[Holder]) -> ClaimStep {
        let Some(claim) = self.pending_claims.get_mut(&claim_serial) else {
            return ClaimStep::Wait;
        };
        claim.query(holders);
        let (attempt_id, partition) = (claim.attempt_id, claim.partition.clone());
        let call = |held: &Holder| {
            let request = ClaimRequest::Query {
                partition: partition.clone(),
                ask: held.ask,
            };
            let node = held.ask.host;
            let address = held.address?;
            Some(ClaimCall {
                claim_serial,
                attempt_id,
                node,
                address,
                request,
            })
        };
        match holders.iter().map(call).collect() {
            Some(calls) => self.dispatch(now, calls),
            None => self.end_claim(
                now,
                claim_serial,
                ClaimVerdict::Duplicate(RunState::Unknown),
            ),
        }
    }

    /// Handles the calls that are addressed to this node, and returns the others to be sent.
    fn dispatch(&mut self, now: MonoTime, calls: Vec<ClaimCall>) -> ClaimStep {
        let (own, mut rest): (Vec<_>, Vec<_>) = calls
            .into_iter()
            .partition(|call| call.node == self.own.node);
        for call in own {
            let reply = self.handle(now, &call.request);
            match self.reply(now, &call, Some(reply)) {
                ClaimStep::Wait => {}
                // The calls not sent yet belong to an attempt that has ended.
                step @ (ClaimStep::Send(_) | ClaimStep::Done(..)) => return step,
            }
        }
        if rest.is_empty() {
            return ClaimStep::Wait;
        }
        ClaimStep::Send(std::mem::take(&mut rest))
    }

    /// Processes the grant of all replicas.
    fn handle_grant(&mut self, now: MonoTime, claim_serial: u64) -> ClaimStep {
        let Some(claim) = self.pending_claims.get(&claim_serial) else {
            return ClaimStep::Wait;
        };
        let (attempt_id, purpose) = (claim.attempt_id, claim.purpose);
        let is_late = now.since(claim.started_at) > self.limits.claim_timeout;
        if is_late {
            return self.end_claim(now, claim_serial, ClaimVerdict::Unavailable);
        }
        match purpose {
            ClaimPurpose::Peek => self.end_claim(now, claim_serial, ClaimVerdict::Free),
            ClaimPurpose::Run => {
                self.pending_claims.remove(&claim_serial);
                self.runs.begin(now, attempt_id.serial);
                ClaimStep::Done(ClaimVerdict::Run(attempt_id), Vec::new())
            }
        }
    }

    /// Begins the second attempt for the same request, or ends the claim if that was the second.
    fn retry(&mut self, now: MonoTime, claim_serial: u64) -> ClaimStep {
        let attempt_id = self.next_attempt_id();
        let Some(claim) = self.pending_claims.get_mut(&claim_serial) else {
            return ClaimStep::Wait;
        };
        if claim.is_last_attempt {
            return self.end_claim(now, claim_serial, ClaimVerdict::Unavailable);
        }
        claim.is_last_attempt = true;
        claim.cleared.push(claim.attempt_id);
        if let ClaimPhase::AwaitingHolders(states) = &claim.phase {
            claim.cleared.extend(states.keys());
        }
        claim.attempt_id = attempt_id;
        claim.phase = ClaimPhase::AwaitingReplicas(ReplicaReplies::default());
        let index = usize::from(claim.partition.index);
        if let Some(record) = self.replicas.get(index).and_then(ClaimReplica::record) {
            claim.record = record.clone();
        }
        self.send_claims(now, claim_serial)
    }

    /// Ends a claim that doesn't run, and releases what replicas may have recorded for it.
    fn end_claim(&mut self, now: MonoTime, claim_serial: u64, verdict: ClaimVerdict) -> ClaimStep {
        let Some(claim) = self.pending_claims.remove(&claim_serial) else {
            return ClaimStep::Done(verdict, Vec::new());
        };
        let mut calls = Vec::new();
        if verdict == ClaimVerdict::Unavailable {
            if claim.is_record_suspect() {
                let replica = self.replicas.get_mut(usize::from(claim.partition.index));
                replica.map(ClaimReplica::request_read);
            }
            calls.extend(self.report_silent_replica(now, &claim));
        }
        if claim.purpose == ClaimPurpose::Run {
            calls.extend(self.release(
                now,
                claim.attempt_id,
                &claim.record,
                &claim.partition,
                claim.key,
            ));
        }
        ClaimStep::Done(verdict, calls)
    }

    /// Reports the replica that did not reply to the one that did.
    fn report_silent_replica(&mut self, now: MonoTime, claim: &PendingClaim) -> Option<ClaimCall> {
        let silent = claim.silent_replica()?;
        let peer = claim.record.peer_of(silent)?;
        let request = ClaimRequest::Doubt {
            partition: claim.partition.clone(),
            epoch: claim.record.epoch,
            silent,
        };
        if peer.node == self.own.node {
            self.handle(now, &request);
            return None;
        }
        Some(ClaimCall {
            claim_serial: claim.attempt_id.serial,
            attempt_id: claim.attempt_id,
            node: peer.node,
            address: peer.address,
            request,
        })
    }

    /// Releases an attempt at both replicas.
    fn release(
        &mut self,
        now: MonoTime,
        attempt_id: ClaimAttemptId,
        record: &PartitionRecord,
        partition: &PartitionId,
        key: KeyDigest,
    ) -> Vec<ClaimCall> {
        let mut calls = Vec::new();
        for replica in record.replicas() {
            let request = ClaimRequest::Release {
                partition: partition.clone(),
                key,
                ask: attempt_id,
            };
            if replica.node == self.own.node {
                self.handle(now, &request);
                continue;
            }
            calls.push(ClaimCall {
                claim_serial: attempt_id.serial,
                attempt_id,
                node: replica.node,
                address: replica.address,
                request,
            });
        }
        calls
    }
}
