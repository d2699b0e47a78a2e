//! One host's try to claim one key.

use std::{collections::BTreeMap, net::SocketAddr};

use fescueway_core::{KeyDigest, MonoTime, NodeId};

use crate::{
    ClaimAttemptId, ClaimReply, ClaimRequest, Holder, PartitionId, PartitionRecord, RunState,
};

/// Whether a claim is to be recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimPurpose {
    /// Claim the key, to run the request.
    Run,
    /// Only find out whether the key is free, to refuse the request truthfully.
    Peek,
}

/// A message to send and whose reply to give back.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimCall {
    /// The claim that waits for the reply: the serial number of its first try.
    pub claim: u64,
    /// The attempt that waits for the reply.
    pub attempt_id: ClaimAttemptId,
    /// The node that is meant.
    pub node: NodeId,
    /// Where it takes control messages.
    pub address: SocketAddr,
    /// The message.
    pub request: ClaimRequest,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// Run the request now, and report its end under this try.
    Run(ClaimAttemptId),
    /// No earlier request with this key had been claimed when this one asked.
    Free,
    /// An earlier request with this key has run or may have run. Never [`RunState::NotRun`].
    Duplicate(RunState),
    /// It can't be told now whether an earlier request ran. This one did not and will not.
    Unavailable,
}

/// What a try needs next.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStep {
    /// Nothing until another reply comes.
    Wait,
    /// Send these and give back their replies.
    Send(Vec<ClaimCall>),
    /// The end; send these without waiting for their replies.
    Done(ClaimVerdict, Vec<ClaimCall>),
}

/// One host's try to claim one key.
#[derive(Debug)]
pub(crate) struct ClaimAttempt {
    /// The try.
    pub(crate) ask: ClaimAttemptId,
    /// The key.
    pub(crate) key: KeyDigest,
    /// Its partition.
    pub(crate) partition: PartitionId,
    /// The record that the try goes by.
    pub(crate) record: PartitionRecord,
    /// Whether to record the claim.
    pub(crate) purpose: ClaimPurpose,
    /// When the first try for this request began.
    pub(crate) started_at: MonoTime,
    /// Tries that are known never to run.
    pub(crate) cleared: Vec<ClaimAttemptId>,
    /// Whether a further try may follow this one.
    pub(crate) is_last: bool,
    /// What is waited for.
    pub(crate) phase: AttemptPhase,
}

/// What a try waits for.
#[derive(Debug)]
pub(crate) enum AttemptPhase {
    /// The replies of the replicas.
    Asking(ReplicaReplies),
    /// What became of the tries that hold the key. `None` until the reply comes.
    Querying(BTreeMap<ClaimAttemptId, Option<RunState>>),
}

/// What the replicas replied so far.
#[derive(Debug, Default)]
pub(crate) struct ReplicaReplies {
    /// The nodes that granted.
    granted: Vec<NodeId>,
    /// The nodes that can't grant now.
    refused: Vec<NodeId>,
    /// The nodes from which no reply came.
    silent: Vec<NodeId>,
}

/// What a reply means to a try.
#[derive(Debug, PartialEq)]
pub(crate) enum AttemptEnd {
    /// More replies are waited for.
    Open,
    /// Both replicas granted.
    Granted,
    /// The primary says that these hold the key: ask them.
    Held(Vec<Holder>),
    /// Try again under a newer record.
    Stale(Box<PartitionRecord>),
    /// Every holder said that it never ran: try again.
    Cleared,
    /// The end.
    Verdict(ClaimVerdict),
}

impl ClaimAttempt {
    /// Takes the reply to `call`, `None` when none came.
    pub(crate) fn reply(&mut self, call: &ClaimCall, reply: Option<ClaimReply>) -> AttemptEnd {
        match (&mut self.phase, &call.request) {
            (AttemptPhase::Asking(replies), ClaimRequest::Claim(_)) => {
                match reply {
                    Some(ClaimReply::Held(holders)) => return AttemptEnd::Held(holders),
                    Some(ClaimReply::Stale(record)) => return AttemptEnd::Stale(record),
                    Some(ClaimReply::Granted { epoch }) if epoch == self.record.epoch => {
                        replies.granted.push(call.node);
                    }
                    Some(_) => replies.refused.push(call.node),
                    None => replies.silent.push(call.node),
                }
                replies.end(&self.record)
            }
            (AttemptPhase::Querying(states), ClaimRequest::Query { ask, .. }) => {
                let state = match reply {
                    Some(ClaimReply::Run(state)) => state,
                    _ => RunState::Unknown,
                };
                states.insert(*ask, Some(state));
                settle(states)
            }
            // The reply belongs to a phase that has passed.
            _ => AttemptEnd::Open,
        }
    }

    /// Waits from now on for what became of `holders`.
    pub(crate) fn query(&mut self, holders: &[Holder]) {
        let states = holders.iter().map(|held| (held.ask, None)).collect();
        self.phase = AttemptPhase::Querying(states);
    }

    /// The replica that left the try without a reply while the other one gave one.
    pub(crate) fn silent_peer(&self) -> Option<NodeId> {
        let AttemptPhase::Asking(replies) = &self.phase else {
            return None;
        };
        let is_other_there = !replies.granted.is_empty() || !replies.refused.is_empty();
        replies.silent.first().copied().filter(|_| is_other_there)
    }

    /// Whether no replica knows the record by which the try went.
    pub(crate) fn is_record_doubtful(&self) -> bool {
        match &self.phase {
            AttemptPhase::Asking(replies) => replies.granted.is_empty(),
            AttemptPhase::Querying(_) => false,
        }
    }

    /// Whether a grant may still let this try run.
    pub(crate) fn may_run(&self, ask: ClaimAttemptId) -> bool {
        let is_asking = matches!(self.phase, AttemptPhase::Asking(_));
        self.ask == ask && self.purpose == ClaimPurpose::Run && is_asking
    }
}

impl ReplicaReplies {
    /// What the replies mean together. A refusal waits for the other reply, which may tell of a
    /// newer record.
    fn end(&self, record: &PartitionRecord) -> AttemptEnd {
        let is_open = |node| {
            let mut replied = self.granted.iter().chain(&self.refused).chain(&self.silent);
            replied.all(|known| *known != node)
        };
        if record.replicas().any(|replica| is_open(replica.node)) {
            return AttemptEnd::Open;
        }
        if self.refused.is_empty() && self.silent.is_empty() {
            AttemptEnd::Granted
        } else {
            AttemptEnd::Verdict(ClaimVerdict::Unavailable)
        }
    }
}

/// What the answers of all holders mean together: the first that ran decides.
fn settle(states: &BTreeMap<ClaimAttemptId, Option<RunState>>) -> AttemptEnd {
    let Some(known) = states.values().copied().collect::<Option<Vec<_>>>() else {
        return AttemptEnd::Open;
    };
    let ran = known.into_iter().filter(|state| *state != RunState::NotRun);
    let worst = ran.max_by_key(|state| match state {
        RunState::NotRun => 0,
        RunState::Unknown => 1,
        RunState::Running => 2,
        RunState::Ended(_) => 3,
    });
    worst.map_or(AttemptEnd::Cleared, |state| {
        AttemptEnd::Verdict(ClaimVerdict::Duplicate(state))
    })
}
