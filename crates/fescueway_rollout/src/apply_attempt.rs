//! The state machine that writes a new configuration to the store.

use std::{collections::BTreeMap, sync::Arc};

use fescueway_config::ServiceValue;
use fescueway_core::{ServiceName, SiteName};
use fescueway_platform::{StoreTxn, TxnReply};
use statig::prelude::*;

use crate::{
    ConfigHead, HistoryEntry,
    apply_txn::{self, StoreSnapshot, WriteTxns},
};

/// The configuration that an operator applies.
#[derive(Clone, Debug)]
pub struct ApplyPlan {
    /// The canonical form of every service of every site.
    pub values: BTreeMap<(SiteName, ServiceName), ServiceValue>,
    /// The operator who applies it.
    pub operator: Arc<str>,
    /// Unique identifier of this attempt.
    pub operation: Arc<str>,
    /// Wall-clock time of the operator's machine, in seconds since 1970.
    pub unix_time_s: u64,
    /// The operator's comment on the change.
    pub note: Arc<str>,
    /// The revision that the plan is based on. The attempt ends in a conflict when the head has
    /// another revision. `None` accepts whichever revision the head has when the attempt starts.
    pub base: Option<u64>,
}

/// The outcome of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The configuration is accepted as this revision.
    Accepted(u64),
    /// The head already holds the same configuration, as this revision; nothing was written.
    Unchanged(u64),
    /// Another configuration was accepted in the meantime. The plan is not and will not be in
    /// force.
    Conflict(ConfigHead),
    /// The plan names a base revision, but the store holds no head because its data was lost. The
    /// plan is not and will not be in force.
    BaseLost(u64),
    /// The attempt timed out and no swap took effect. The plan is not and will not be in force.
    NotApplied,
    /// The swap may have been sent, but its result could not be read in time. The plan may be in
    /// force.
    Unknown,
    /// A value in the store could not be parsed.
    Corrupt(String),
}

/// The result of the last [`ApplyAction`].
#[derive(Clone, Debug)]
pub enum ApplyEvent {
    /// The store replied to the transaction.
    Reply(TxnReply),
    /// The transaction failed.
    Failed {
        /// Whether it may have taken effect.
        is_effect_unknown: bool,
    },
    /// The deadline of the attempt has passed.
    TimedOut,
}

/// What the caller has to do next for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyAction {
    /// Run this transaction, after a short delay when the last one failed.
    Commit(StoreTxn),
    /// The attempt has ended.
    Done(ApplyOutcome),
}

/// The state machine that writes a new configuration to the store.
pub struct ApplyAttempt {
    machine: StateMachine<ApplyMachine>,
}

impl ApplyAttempt {
    /// Creates an attempt that has not sent any transaction.
    #[must_use]
    pub fn new(plan: ApplyPlan) -> Self {
        let machine = ApplyMachine {
            plan,
            snapshot: StoreSnapshot::default(),
            writes: WriteTxns::default(),
            is_swap_effect_unknown: false,
        };
        Self {
            machine: machine.state_machine(),
        }
    }

    /// Returns the next action.
    #[must_use]
    pub fn action(&self) -> ApplyAction {
        let machine = self.machine.inner();
        match self.machine.state() {
            State::ReadingHead {} => ApplyAction::Commit(apply_txn::read_head()),
            State::ReadingIndexes {} => {
                ApplyAction::Commit(apply_txn::read_indexes(&machine.snapshot))
            }
            State::Writing {} => machine.writes.batches.last().map_or_else(
                || ApplyAction::Commit(machine.writes.swap.clone()),
                |batch| ApplyAction::Commit(batch.clone()),
            ),
            State::Swapping {} => ApplyAction::Commit(machine.writes.swap.clone()),
            State::ResolvingSwap {} => {
                let revision = machine.snapshot.next_revision();
                ApplyAction::Commit(apply_txn::read_history_and_head(revision))
            }
            State::Done { outcome } => ApplyAction::Done(outcome.clone()),
        }
    }

    /// Processes the result of the last action.
    pub fn handle(&mut self, event: &ApplyEvent) {
        self.machine.handle(event);
    }
}

impl std::fmt::Debug for ApplyAttempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.machine.state().fmt(f)
    }
}

/// The states of an attempt, in order: `reading_head`, `reading_indexes`, `writing` the values that
/// don't fit into the swap, `swapping`, `resolving_swap` when the swap failed or its reply was
/// lost, and `done`.
struct ApplyMachine {
    plan: ApplyPlan,
    /// What was read from the store at the start of the attempt.
    snapshot: StoreSnapshot,
    writes: WriteTxns,
    /// Whether a swap may have taken effect, since it failed without a reply.
    is_swap_effect_unknown: bool,
}

#[state_machine(initial = "State::reading_head()", state(derive(Debug)))]
impl ApplyMachine {
    #[state(superstate = "under_way")]
    fn reading_head(&mut self, event: &ApplyEvent) -> Outcome<State> {
        let ApplyEvent::Reply(reply) = event else {
            return Super;
        };
        match StoreSnapshot::from_reply(reply) {
            Ok(snapshot) => self.snapshot = snapshot,
            Err(fault) => return corrupt(fault),
        }
        let expected = self.plan.base;
        let found = self.snapshot.revision();
        match &self.snapshot.head {
            Some(head) if expected.is_some_and(|expected| expected != found) => {
                done(ApplyOutcome::Conflict(head.clone()))
            }
            None if found != expected.unwrap_or(found) => {
                done(ApplyOutcome::BaseLost(expected.unwrap_or(found)))
            }
            // Nodes ignore a head below the revision that they have in force, so such a head is
            // replaced even when the configuration is the same.
            Some(head)
                if !self.snapshot.is_behind_nodes()
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
        if let Err(fault) = self.snapshot.add_indexes(reply) {
            return corrupt(fault);
        }
        self.writes = apply_txn::plan_writes(&self.plan, &self.snapshot);
        if self.writes.batches.is_empty() {
            Transition(State::swapping())
        } else {
            Transition(State::writing())
        }
    }

    /// Keys of values contain their digests, so repeating a write is harmless.
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
                done(ApplyOutcome::Accepted(self.snapshot.next_revision()))
            }
            ApplyEvent::Reply(_) => Transition(State::resolving_swap()),
            ApplyEvent::Failed {
                is_effect_unknown: true,
            } => {
                self.is_swap_effect_unknown = true;
                Transition(State::resolving_swap())
            }
            _ => Super,
        }
    }

    /// Determines whether the swap took effect. The history entry shows whose swap created the next
    /// revision; the head shows whether another one replaced it. If neither changed, the swap is
    /// sent again. It takes effect at most once, since it compares the mod revision of the head.
    #[state(superstate = "under_way")]
    fn resolving_swap(&mut self, event: &ApplyEvent) -> Outcome<State> {
        let ApplyEvent::Reply(reply) = event else {
            return Super;
        };
        let (entry, head) = match parse_history_and_head(reply) {
            Ok(parsed) => parsed,
            Err(fault) => return corrupt(fault),
        };
        match (entry, head) {
            (Some(entry), _) if entry.head.operation == self.plan.operation => {
                done(ApplyOutcome::Accepted(entry.head.revision))
            }
            (Some(entry), _) => done(ApplyOutcome::Conflict(entry.head)),
            (None, Some(head)) if Some(&head) != self.snapshot.head.as_ref() => {
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

    /// Failed actions are retried until the deadline.
    #[superstate]
    fn under_way(&mut self, event: &ApplyEvent) -> Outcome<State> {
        match event {
            ApplyEvent::TimedOut if self.is_swap_effect_unknown => done(ApplyOutcome::Unknown),
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

/// Parses the reply to [`apply_txn::read_history_and_head`].
fn parse_history_and_head(
    reply: &TxnReply,
) -> Result<(Option<HistoryEntry>, Option<ConfigHead>), String> {
    let entry = apply_txn::values(reply, 0).next();
    let head = apply_txn::values(reply, 1).next();
    let entry = entry.map(apply_txn::parse).transpose()?;
    Ok((entry, head.map(apply_txn::parse).transpose()?))
}
