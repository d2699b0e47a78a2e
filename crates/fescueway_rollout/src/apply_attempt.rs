//! One operator's attempt to put a configuration in force.

use std::{collections::BTreeMap, sync::Arc};

use fescueway_config::ServiceValue;
use fescueway_core::{ServiceName, SiteName};
use fescueway_platform::{StoreTxn, TxnReply};
use statig::prelude::*;

use crate::{
    ConfigHead, HistoryEntry,
    apply_txn::{self, ReadBase, WriteTxns},
};

/// What an operator wants in force.
#[derive(Clone, Debug)]
pub struct ApplyPlan {
    /// The value of every service of every site.
    pub values: BTreeMap<(SiteName, ServiceName), ServiceValue>,
    /// Who applies it.
    pub operator: Arc<str>,
    /// Unique to this attempt.
    pub operation: Arc<str>,
    /// The operator's clock, in seconds since 1970.
    pub unix_time_s: u64,
    /// What the operator notes.
    pub note: Arc<str>,
    /// The revision that the plan was made from; another one in force is a conflict. `None` takes
    /// whichever is in force when the attempt starts.
    pub base: Option<u64>,
}

/// What came of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The configuration is accepted as this revision.
    Accepted(u64),
    /// It was in force already, as this revision; nothing was written.
    Unchanged(u64),
    /// Another one was accepted meanwhile; nothing of this one is in force or will be.
    Conflict(ConfigHead),
    /// The plan names a revision that it was made from, and the store holds none: it was set up
    /// anew. Nothing of the plan is in force or will be.
    BaseLost(u64),
    /// The attempt ended before the swap was sent; nothing of it is in force or will be.
    NotApplied,
    /// The swap was sent, and what came of it could not be found out in time. It may be in force.
    Unknown,
    /// The store holds a value that makes no sense.
    Corrupt(String),
}

/// What came of the last [`ApplyAction`].
#[derive(Clone, Debug)]
pub enum ApplyEvent {
    /// The transaction was answered.
    Reply(TxnReply),
    /// The transaction failed.
    Failed {
        /// Whether it may have taken effect.
        is_effect_unknown: bool,
    },
    /// Time is up.
    TimedOut,
}

/// What an attempt asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyAction {
    /// Run this transaction, and after a failure wait a little first.
    Commit(StoreTxn),
    /// Nothing more.
    Done(ApplyOutcome),
}

/// One operator's attempt to put a configuration in force.
pub struct ApplyAttempt {
    machine: StateMachine<ApplyCycle>,
}

impl ApplyAttempt {
    /// An attempt that has done nothing yet.
    #[must_use]
    pub fn new(plan: ApplyPlan) -> Self {
        let cycle = ApplyCycle {
            plan,
            base: ReadBase::default(),
            writes: WriteTxns::default(),
            is_swap_sent: false,
        };
        Self {
            machine: cycle.state_machine(),
        }
    }

    /// What to do now.
    #[must_use]
    pub fn action(&self) -> ApplyAction {
        let cycle = self.machine.inner();
        match self.machine.state() {
            State::ReadingHead {} => ApplyAction::Commit(apply_txn::read_head()),
            State::ReadingIndexes {} => ApplyAction::Commit(apply_txn::read_indexes(&cycle.base)),
            State::Writing {} => cycle.writes.batches.last().map_or_else(
                || ApplyAction::Commit(cycle.writes.swap.clone()),
                |batch| ApplyAction::Commit(batch.clone()),
            ),
            State::Swapping {} => ApplyAction::Commit(cycle.writes.swap.clone()),
            State::Settling {} => {
                let revision = cycle.base.next_revision();
                ApplyAction::Commit(apply_txn::read_history_and_head(revision))
            }
            State::Done { outcome } => ApplyAction::Done(outcome.clone()),
        }
    }

    /// Takes in what came of the last action.
    pub fn handle(&mut self, event: &ApplyEvent) {
        self.machine.handle(event);
    }
}

impl std::fmt::Debug for ApplyAttempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.machine.state().fmt(f)
    }
}

/// The attempt's course: `reading_head`, `reading_indexes`, `writing` what doesn't fit into the
/// swap, `swapping`, `settling` what came of a swap whose answer was lost, `done`.
struct ApplyCycle {
    plan: ApplyPlan,
    /// The head at the start of the attempt, with all of the store that it names.
    base: ReadBase,
    writes: WriteTxns,
    /// Whether a swap may be on its way.
    is_swap_sent: bool,
}

#[state_machine(initial = "State::reading_head()", state(derive(Debug)))]
impl ApplyCycle {
    #[state(superstate = "under_way")]
    fn reading_head(&mut self, event: &ApplyEvent) -> Outcome<State> {
        let ApplyEvent::Reply(reply) = event else {
            return Super;
        };
        match ReadBase::from_reply(reply) {
            Ok(base) => self.base = base,
            Err(fault) => return corrupt(fault),
        }
        let expected = self.plan.base;
        let found = self.base.revision();
        match &self.base.head {
            Some(head) if expected.is_some_and(|expected| expected != found) => {
                done(ApplyOutcome::Conflict(head.clone()))
            }
            None if found != expected.unwrap_or(found) => {
                done(ApplyOutcome::BaseLost(expected.unwrap_or(found)))
            }
            // Nodes ignore a head that is below what they have in force, so it is written anew.
            Some(head)
                if !self.base.is_behind_nodes()
                    && apply_txn::site_digests(&self.plan) == head.sites =>
            {
                done(ApplyOutcome::Unchanged(found))
            }
            _ => Transition(State::reading_indexes()),
        }
    }

    #[state(superstate = "under_way")]
    fn reading_indexes(&mut self, event: &ApplyEvent) -> Outcome<State> {
        let ApplyEvent::Reply(reply) = event else {
            return Super;
        };
        if let Err(fault) = self.base.take_indexes(reply) {
            return corrupt(fault);
        }
        self.writes = apply_txn::plan_writes(&self.plan, &self.base);
        if self.writes.batches.is_empty() {
            Transition(State::swapping())
        } else {
            Transition(State::writing())
        }
    }

    /// Values are named by their digests, so writing one again changes nothing.
    #[state(superstate = "under_way")]
    fn writing(&mut self, event: &ApplyEvent) -> Outcome<State> {
        let ApplyEvent::Reply(_) = event else {
            return Super;
        };
        self.writes.batches.pop();
        if self.writes.batches.is_empty() {
            Transition(State::swapping())
        } else {
            Handled
        }
    }

    #[state(superstate = "under_way")]
    fn swapping(&mut self, event: &ApplyEvent) -> Outcome<State> {
        match event {
            ApplyEvent::Reply(reply) if reply.is_success => {
                done(ApplyOutcome::Accepted(self.base.next_revision()))
            }
            ApplyEvent::Reply(_) => Transition(State::settling()),
            ApplyEvent::Failed {
                is_effect_unknown: true,
            } => {
                self.is_swap_sent = true;
                Transition(State::settling())
            }
            _ => Super,
        }
    }

    /// The history tells whose swap made the next revision, the head whether another one was put
    /// in its place. While neither did, the swap is sent again: it takes effect at most once, since
    /// it names the head that it replaces.
    #[state(superstate = "under_way")]
    fn settling(&mut self, event: &ApplyEvent) -> Outcome<State> {
        let ApplyEvent::Reply(reply) = event else {
            return Super;
        };
        let (entry, head) = match read_settled(reply) {
            Ok(settled) => settled,
            Err(fault) => return corrupt(fault),
        };
        match (entry, head) {
            (Some(entry), _) if entry.head.operation == self.plan.operation => {
                done(ApplyOutcome::Accepted(entry.head.revision))
            }
            (Some(entry), _) => done(ApplyOutcome::Conflict(entry.head)),
            (None, Some(head)) if Some(&head) != self.base.head.as_ref() => {
                done(ApplyOutcome::Conflict(head))
            }
            (None, _) => Transition(State::swapping()),
        }
    }

    #[state]
    fn done(outcome: &ApplyOutcome) -> Outcome<State> {
        let _ = outcome;
        Handled
    }

    /// A failure is followed by the same action again; only time ends an attempt.
    #[superstate]
    fn under_way(&mut self, event: &ApplyEvent) -> Outcome<State> {
        match event {
            ApplyEvent::TimedOut if self.is_swap_sent => done(ApplyOutcome::Unknown),
            ApplyEvent::TimedOut => done(ApplyOutcome::NotApplied),
            _ => Handled,
        }
    }
}

fn done(outcome: ApplyOutcome) -> Outcome<State> {
    Transition(State::done(outcome))
}

fn corrupt(fault: String) -> Outcome<State> {
    done(ApplyOutcome::Corrupt(fault))
}

/// What stands in the answer to [`apply_txn::read_history_and_head`].
fn read_settled(reply: &TxnReply) -> Result<(Option<HistoryEntry>, Option<ConfigHead>), String> {
    let entry = apply_txn::values(reply, 0).next();
    let head = apply_txn::values(reply, 1).next();
    let entry = entry.map(apply_txn::parse).transpose()?;
    Ok((entry, head.map(apply_txn::parse).transpose()?))
}
