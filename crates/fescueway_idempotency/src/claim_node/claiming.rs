//! How a node claims keys for its own runs.

use fescueway_core::{KeyDigest, MonoTime};

use super::ClaimNode;
use crate::{
    ClaimAttemptId, ClaimCall, ClaimPurpose, ClaimReplica, ClaimReply, ClaimRequest, ClaimStep,
    ClaimVerdict, Holder, KeyClaim, PartitionId, PartitionRecord, Replica, RunState,
    claim_attempt::{AttemptEnd, AttemptPhase, ClaimAttempt, ReplicaReplies},
};

impl ClaimNode {
    /// Begins to claim `key`.
    pub fn begin(&mut self, now: MonoTime, key: KeyDigest, purpose: ClaimPurpose) -> ClaimStep {
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
        if attempt.ask != call.attempt_id {
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
    pub fn finish(&mut self, ask: ClaimAttemptId, status: Option<u16>) {
        let state = status.map_or(RunState::Unknown, RunState::Ended);
        self.runs.end(ask.serial, state);
    }

    /// A run that was granted was given up before its hand-over. Send the calls without waiting.
    pub fn cancel_run(
        &mut self,
        now: MonoTime,
        key: KeyDigest,
        ask: ClaimAttemptId,
    ) -> Vec<ClaimCall> {
        self.runs.end(ask.serial, RunState::NotRun);
        let partition = PartitionId::of_key(&self.service, key, self.partitions());
        match self.record_of(&partition) {
            Some(record) => self.releases(now, ask, &record, &partition, key),
            None => Vec::new(),
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
    fn next_ask(&mut self) -> ClaimAttemptId {
        let serial = self.next_serial;
        self.next_serial += 1;
        ClaimAttemptId {
            host: self.own.node,
            serial,
        }
    }

    /// Asks both replicas.
    fn send_asks(&mut self, now: MonoTime, claim: u64) -> ClaimStep {
        let Some(attempt) = self.attempts.get(&claim) else {
            return ClaimStep::Wait;
        };
        let ask_of = |replica: &Replica| KeyClaim {
            replica: replica.node,
            partition: attempt.partition.clone(),
            epoch: attempt.record.epoch,
            key: attempt.key,
            ask: attempt.ask,
            address: self.own.address,
            cleared: attempt.cleared.clone(),
            is_peek: attempt.purpose == ClaimPurpose::Peek,
        };
        let call = |replica: &Replica| ClaimCall {
            claim,
            attempt_id: attempt.ask,
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
                attempt_id: ask,
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
        let is_late = now.since(attempt.started_at) > self.limits.claim_timeout;
        if is_late {
            return self.end(now, claim, ClaimVerdict::Unavailable);
        }
        match purpose {
            ClaimPurpose::Peek => self.end(now, claim, ClaimVerdict::Free),
            ClaimPurpose::Run => {
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
        let mut calls = Vec::new();
        if verdict == ClaimVerdict::Unavailable {
            if attempt.is_record_doubtful() {
                let replica = self.replicas.get_mut(usize::from(attempt.partition.index));
                replica.map(ClaimReplica::request_read);
            }
            calls.extend(self.tell_doubt(now, &attempt));
        }
        if attempt.purpose == ClaimPurpose::Run {
            calls.extend(self.releases(
                now,
                attempt.ask,
                &attempt.record,
                &attempt.partition,
                attempt.key,
            ));
        }
        ClaimStep::Done(verdict, calls)
    }

    /// Tells the replica that replied of the one that did not.
    fn tell_doubt(&mut self, now: MonoTime, attempt: &ClaimAttempt) -> Option<ClaimCall> {
        let silent = attempt.silent_peer()?;
        let peer = attempt.record.peer_of(silent)?;
        let request = ClaimRequest::Doubt {
            partition: attempt.partition.clone(),
            epoch: attempt.record.epoch,
            silent,
        };
        if peer.node == self.own.node {
            self.handle(now, &request);
            return None;
        }
        Some(ClaimCall {
            claim: attempt.ask.serial,
            attempt_id: attempt.ask,
            node: peer.node,
            address: peer.address,
            request,
        })
    }

    /// Takes a try back at both replicas.
    fn releases(
        &mut self,
        now: MonoTime,
        ask: ClaimAttemptId,
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
                attempt_id: ask,
                node: replica.node,
                address: replica.address,
                request,
            });
        }
        calls
    }
}
