//! Holding a lease of the store.

use std::time::Duration;

use fescueway_core::MonoTime;
use fescueway_platform::{Compare, KeyRange, LeaseGrant, LeaseId, StoreOp, StoreTxn, TxnReply};
use statig::prelude::*;

/// How long a lease lives without being kept alive.
const LEASE_TIME: Duration = Duration::from_secs(15);

/// Time between two tries to get the lease, or to keep it.
const LEASE_PERIOD: Duration = Duration::from_secs(5);

/// What a holder is told.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// This process should hold the lease, or no longer.
    Wanted(bool),
    /// A lease was granted or kept alive, by a call made at this time.
    Granted {
        /// When the call was made.
        asked_at: MonoTime,
        /// The lease.
        grant: LeaseGrant,
    },
    /// The transaction of [`LeaseAction::Claim`] was answered.
    Claimed(TxnReply),
    /// A call failed, or the lease has lapsed.
    Failed {
        /// Whether the store said that the lease is no more.
        is_lapsed: bool,
    },
    /// Time has passed.
    Tick,
}

/// What a holder asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Nothing now.
    Wait,
    /// Ask for a lease that lives so long without being kept alive.
    Grant(Duration),
    /// Run this transaction, which binds the key to the lease.
    Claim(StoreTxn),
    /// Keep the lease alive.
    KeepAlive(LeaseId),
    /// End the lease.
    Revoke(LeaseId),
}

/// Holds a lease on one key of the store.
///
/// Whether the lease still stands is decided where an effect lands, not by this process's clock:
/// [`LeaseHolder::fence`] adds the key's epoch to a transaction, which then fails once the lease
/// has lapsed, however long this process was paused between its check and its act.
pub struct LeaseHolder {
    key: String,
    machine: StateMachine<LeaseCycle>,
}

impl LeaseHolder {
    /// A holder that wants the key with this value, once told so.
    #[must_use]
    pub fn new(key: impl Into<String>, value: Vec<u8>) -> Self {
        let key = key.into();
        let cycle = LeaseCycle {
            key: key.clone(),
            value,
            next_at: MonoTime::ZERO,
        };
        Self {
            key,
            machine: cycle.state_machine(),
        }
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: MonoTime, event: &LeaseEvent) {
        let mut now = now;
        self.machine.handle_with_context(event, &mut now);
    }

    /// What to do now. Each action is to be answered by an event before the next is asked for.
    #[must_use]
    pub fn action(&self, now: MonoTime) -> LeaseAction {
        let cycle = self.machine.inner();
        let is_due = cycle.next_at <= now;
        match self.machine.state() {
            State::Campaigning {} if is_due => LeaseAction::Grant(LEASE_TIME),
            State::Claiming { lease, .. } if is_due => LeaseAction::Claim(cycle.claim(*lease)),
            State::Holding { lease, .. } if is_due => LeaseAction::KeepAlive(*lease),
            State::Releasing { lease } if is_due => LeaseAction::Revoke(*lease),
            _ => LeaseAction::Wait,
        }
    }

    /// When the next action is due at the earliest.
    #[must_use]
    pub fn next_wake(&self) -> MonoTime {
        match self.machine.state() {
            State::Idle {} => MonoTime::NEVER,
            _ => self.machine.inner().next_at,
        }
    }

    /// Whether the lease stands by this process's own clock. Good for deciding what to try; what
    /// must not happen without the lease goes through [`Self::fence`] as well.
    #[must_use]
    pub fn is_held(&self, now: MonoTime) -> bool {
        matches!(self.machine.state(), State::Holding { until, .. } if now < *until)
    }

    /// The transaction, made to fail unless the lease still stands when it lands. `None` when the
    /// lease isn't held.
    #[must_use]
    pub fn fence(&self, mut txn: StoreTxn) -> Option<StoreTxn> {
        let State::Holding { epoch, .. } = self.machine.state() else {
            return None;
        };
        let fence = Compare::ModRevision(self.key.clone(), *epoch);
        txn.compares.push(fence);
        Some(txn)
    }
}

impl std::fmt::Debug for LeaseHolder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.machine.state().fmt(f)
    }
}

/// The course of a lease: `idle`, `campaigning` for a lease, `claiming` the key with it,
/// `holding`, `releasing`.
struct LeaseCycle {
    key: String,
    value: Vec<u8>,
    /// When the next call is due.
    next_at: MonoTime,
}

impl LeaseCycle {
    fn claim(&self, lease: LeaseId) -> StoreTxn {
        StoreTxn {
            compares: vec![Compare::Absent(self.key.clone())],
            then: vec![StoreOp::Put {
                key: self.key.clone(),
                value: self.value.clone(),
                lease: Some(lease),
            }],
            otherwise: vec![StoreOp::Range(KeyRange::Key(self.key.clone()))],
        }
    }

    fn pause(&mut self, now: MonoTime) {
        self.next_at = now + LEASE_PERIOD;
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the state machine passes state-local storage by reference"
)]
#[state_machine(initial = "State::idle()", state(derive(Debug)))]
impl LeaseCycle {
    #[state]
    fn idle(&mut self, event: &LeaseEvent, context: &mut MonoTime) -> Outcome<State> {
        match event {
            LeaseEvent::Wanted(true) => {
                self.next_at = *context;
                Transition(State::campaigning())
            }
            _ => Handled,
        }
    }

    #[state]
    fn campaigning(&mut self, event: &LeaseEvent, context: &mut MonoTime) -> Outcome<State> {
        match event {
            LeaseEvent::Wanted(false) => Transition(State::idle()),
            LeaseEvent::Granted { asked_at, grant } => {
                let until = *asked_at + grant.time_to_live;
                Transition(State::claiming(grant.lease, until))
            }
            LeaseEvent::Failed { .. } => {
                self.pause(*context);
                Handled
            }
            _ => Handled,
        }
    }

    /// The answer to a claim may be lost; the next claim then finds the key bound to this lease.
    #[state]
    fn claiming(
        &mut self,
        lease: &LeaseId,
        until: &MonoTime,
        event: &LeaseEvent,
        context: &mut MonoTime,
    ) -> Outcome<State> {
        match event {
            LeaseEvent::Wanted(false) => Transition(State::releasing(*lease)),
            LeaseEvent::Claimed(reply) => {
                self.pause(*context);
                let epoch = epoch_of(reply, *lease);
                let holding = epoch.map(|epoch| State::holding(*lease, epoch, *until));
                Transition(holding.unwrap_or_else(State::campaigning))
            }
            LeaseEvent::Failed { .. } if *context < *until => {
                self.pause(*context);
                Handled
            }
            LeaseEvent::Failed { .. } => {
                self.pause(*context);
                Transition(State::campaigning())
            }
            _ => Handled,
        }
    }

    #[state]
    fn holding(
        &mut self,
        lease: &LeaseId,
        epoch: &i64,
        until: &MonoTime,
        event: &LeaseEvent,
        context: &mut MonoTime,
    ) -> Outcome<State> {
        match event {
            LeaseEvent::Wanted(false) => {
                self.next_at = *context;
                Transition(State::releasing(*lease))
            }
            LeaseEvent::Granted { asked_at, grant } => {
                self.pause(*context);
                let until = *asked_at + grant.time_to_live;
                Transition(State::holding(*lease, *epoch, until))
            }
            LeaseEvent::Failed { is_lapsed: true } => {
                self.pause(*context);
                Transition(State::campaigning())
            }
            LeaseEvent::Failed { .. } | LeaseEvent::Tick if *context >= *until => {
                self.next_at = *context;
                Transition(State::campaigning())
            }
            LeaseEvent::Failed { .. } => {
                self.pause(*context);
                Handled
            }
            _ => Handled,
        }
    }

    #[state]
    fn releasing(lease: &LeaseId, event: &LeaseEvent) -> Outcome<State> {
        let _ = lease;
        match event {
            LeaseEvent::Granted { .. } | LeaseEvent::Failed { .. } => Transition(State::idle()),
            _ => Handled,
        }
    }
}

/// The epoch of the key when it is bound to `lease`.
fn epoch_of(reply: &TxnReply, lease: LeaseId) -> Option<i64> {
    if reply.is_success {
        return Some(reply.revision);
    }
    let held = reply.reads.first()?.first()?;
    (held.lease == Some(lease)).then_some(held.mod_revision)
}
