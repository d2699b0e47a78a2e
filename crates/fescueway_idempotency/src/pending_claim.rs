//! A claim of one key that waits for replies.

use std::{collections::BTreeMap, net::SocketAddr};

use fescueway_core::{KeyDigest, MonoTime, NodeId};

use crate::{
    ClaimAttemptId, ClaimReply, ClaimRequest, Holder, PartitionId, PartitionRecord, RunState,
};

/// Whether a claim is recorded or only checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimPurpose {
    /// Claim the key, to run the request.
    Run,
    /// Only check whether the key is free, so that a refusal states correctly whether it ran.
    Peek,
}

/// A message to send. Its reply is given to [`crate::ClaimNode::reply`].
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimCall {
    /// The claim that waits for the reply: the serial number of its first attempt.
    pub claim_serial: u64,
    /// The attempt that waits for the reply.
    pub attempt_id: ClaimAttemptId,
    /// The receiver.
    pub node: NodeId,
    /// Where it accepts control messages.
    pub address: SocketAddr,
    /// The message.
    pub request: ClaimRequest,
}

/// The result of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// Run the request now, and report its end under this attempt.
    Run(ClaimAttemptId),
    /// The key was not claimed by an earlier request when it was checked.
    Free,
    /// An earlier request with this key has run or may have run. Never [`RunState::NotRun`].
    Duplicate(RunState),
    /// It is not known now whether an earlier request ran. This one did not and will not run.
    Unavailable,
}

/// The next step of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStep {
    /// Wait for another reply.
    Wait,
    /// Send these calls and give their replies to [`crate::ClaimNode::reply`].
    Send(Vec<ClaimCall>),
    /// The claim has ended; send these calls without waiting for their replies.
    Done(ClaimVerdict, Vec<ClaimCall>),
}

/// A claim of one key that waits for replies. It makes at most two attempts.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    /// The current attempt.
    pub(crate) attempt_id: ClaimAttemptId,
    /// The key.
    pub(crate) key: KeyDigest,
    /// Its partition.
    pub(crate) partition: PartitionId,
    /// The record that the attempt uses.
    pub(crate) record: PartitionRecord,
    /// Whether the claim is recorded or only checked.
    pub(crate) purpose: ClaimPurpose,
    /// When the first attempt began.
    pub(crate) started_at: MonoTime,
    /// Attempts that are known never to run.
    pub(crate) cleared: Vec<ClaimAttemptId>,
    /// Whether no further attempt may follow the current one.
    pub(crate) is_last_attempt: bool,
    /// Whose replies the attempt waits for.
    pub(crate) phase: ClaimPhase,
}

/// Whose replies an attempt waits for.
#[derive(Debug)]
pub(crate) enum ClaimPhase {
    /// Replies of the replicas to the claim.
    AwaitingReplicas(ReplicaReplies),
    /// States of the attempts that hold the key, `None` until the reply arrives.
    AwaitingHolders(BTreeMap<ClaimAttemptId, Option<RunState>>),
}

/// The replies of the replicas so far.
#[derive(Debug, Default)]
pub(crate) struct ReplicaReplies {
    /// Nodes that granted the claim.
    granted: Vec<NodeId>,
    /// Nodes that can't grant the claim now.
    refused: Vec<NodeId>,
    /// Nodes that did not reply.
    silent: Vec<NodeId>,
}

/// What follows from a reply.
#[derive(Debug, PartialEq)]
pub(crate) enum ReplyOutcome {
    /// More replies are expected.
    Pending,
    /// All replicas granted the claim.
    Granted,
    /// These attempts hold the key at the primary: query their hosts.
    Held(Vec<Holder>),
    /// Retry with this newer record.
    Stale(Box<PartitionRecord>),
    /// No holder of the key ever ran: retry.
    Cleared,
    /// The claim has ended.
    Verdict(ClaimVerdict),
}

impl PendingClaim {
    /// Processes the reply to `call`, `None` when there was none.
    pub(crate) fn reply(&mut self, call: &ClaimCall, reply: Option<ClaimReply>) -> ReplyOutcome {
        match (&mut self.phase, &call.request) {
            (ClaimPhase::AwaitingReplicas(replies), ClaimRequest::Claim(_)) => {
                match reply {
                    Some(ClaimReply::Held(holders)) => return ReplyOutcome::Held(holders),
                    Some(ClaimReply::Stale(record)) => return ReplyOutcome::Stale(record),
                    Some(ClaimReply::Granted { epoch }) if epoch == self.record.epoch => {
                        replies.granted.push(call.node);
                    }
                    Some(_) => replies.refused.push(call.node),
                    None => replies.silent.push(call.node),
                }
                replies.outcome(&self.record)
            }
            (ClaimPhase::AwaitingHolders(states), ClaimRequest::Query { ask, .. }) => {
                let state = match reply {
                    Some(ClaimReply::Run(state)) => state,
                    _ => RunState::Unknown,
                };
                states.insert(*ask, Some(state));
                combine_states(states)
            }
            // The reply belongs to an earlier phase.
            _ => ReplyOutcome::Pending,
        }
    }

    /// Begins to wait for the states of `holders`.
    pub(crate) fn query(&mut self, holders: &[Holder]) {
        let states = holders.iter().map(|held| (held.ask, None)).collect();
        self.phase = ClaimPhase::AwaitingHolders(states);
    }

    /// The replica that did not reply while the other one did.
    pub(crate) fn silent_replica(&self) -> Option<NodeId> {
        let ClaimPhase::AwaitingReplicas(replies) = &self.phase else {
            return None;
        };
        let has_other_replied = !replies.granted.is_empty() || !replies.refused.is_empty();
        replies
            .silent
            .first()
            .copied()
            .filter(|_| has_other_replied)
    }

    /// Whether no replica granted, so that the record of the attempt may be out of date.
    pub(crate) fn is_record_suspect(&self) -> bool {
        match &self.phase {
            ClaimPhase::AwaitingReplicas(replies) => replies.granted.is_empty(),
            ClaimPhase::AwaitingHolders(_) => false,
        }
    }

    /// Whether `attempt_id` is the current attempt and may still be granted a run.
    pub(crate) fn may_run(&self, attempt_id: ClaimAttemptId) -> bool {
        let is_awaiting_replicas = matches!(self.phase, ClaimPhase::AwaitingReplicas(_));
        self.attempt_id == attempt_id && self.purpose == ClaimPurpose::Run && is_awaiting_replicas
    }
}

impl ReplicaReplies {
    /// The outcome of the replies so far. After a refusal the other reply is still awaited, as it
    /// may contain a newer record.
    fn outcome(&self, record: &PartitionRecord) -> ReplyOutcome {
        let is_missing = |node| {
            let mut replied = self.granted.iter().chain(&self.refused).chain(&self.silent);
            replied.all(|known| *known != node)
        };
        if record.replicas().any(|replica| is_missing(replica.node)) {
            return ReplyOutcome::Pending;
        }
        if self.refused.is_empty() && self.silent.is_empty() {
            ReplyOutcome::Granted
        } else {
            ReplyOutcome::Verdict(ClaimVerdict::Unavailable)
        }
    }
}

/// Combines the states of all holders. The most definite state of those that may have run decides.
fn combine_states(states: &BTreeMap<ClaimAttemptId, Option<RunState>>) -> ReplyOutcome {
    let Some(known) = states.values().copied().collect::<Option<Vec<_>>>() else {
        return ReplyOutcome::Pending;
    };
    let ran = known.into_iter().filter(|state| *state != RunState::NotRun);
    let decisive = ran.max_by_key(|state| match state {
        RunState::NotRun => 0,
        RunState::Unknown => 1,
        RunState::Running => 2,
        RunState::Ended(_) => 3,
    });
    decisive.map_or(ReplyOutcome::Cleared, |state| {
        ReplyOutcome::Verdict(ClaimVerdict::Duplicate(state))
    })
}
