//! Holds a lease of the store.

use std::time::Duration;

use fescueway_core::MonoTime;
use fescueway_platform::{
    Compare, KeyRange, LeaseGrant, LeaseId, StoreOp, StoreRevision, StoreTxn, TxnReply,
};
use statig::prelude::*;

/// Time to live of a lease without keep-alive.
const LEASE_TTL: Duration = Duration::from_secs(15);

/// Time between two keep-alives, and between two attempts to acquire the lease.
const LEASE_CALL_INTERVAL: Duration = Duration::from_secs(5);

/// An event that a holder handles.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// Whether this process should hold the lease.
    Wanted(bool),
    /// A lease was granted or kept alive.
    Granted {
        /// When the call was started.
        asked_at: MonoTime,
        /// The lease.
        grant: LeaseGrant,
    },
    /// The store replied to the transaction of [`LeaseAction::Claim`].
    Claimed(TxnReply),
    /// A call failed, or the lease has expired.
    Failed {
        /// Whether the store reported that the lease does not exist any more.
        is_lapsed: bool,
    },
    /// Time has passed.
    Tick,
}

/// What the caller has to do next for a holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Nothing is due.
    Wait,
    /// Request a lease with this time to live.
    Grant(Duration),
    /// Run this transaction, which writes the key with the lease attached.
    Claim(StoreTxn),
    /// Send a keep-alive for the lease.
    KeepAlive(LeaseId),
    /// Revoke the lease.
    Revoke(LeaseId),
}

/// Holds a lease on one key of the store.
///
/// Whether the lease is still held is checked by the store, not by this process's clock:
/// [`LeaseHolder::fence`] adds a compare of the key's epoch to a transaction. The transaction fails
/// once the lease has expired, however long this process was paused before it sent it.
pub struct LeaseHolder {
    key: String,
    machine: StateMachine<LeaseMachine>,
}

impl LeaseHolder {
    /// Creates an idle holder of `key`, which writes `value` to it while the lease is held.
    #[must_use]
    pub fn new(key: impl Into<String>, value: Vec<u8>) -> Self {
        let key = key.into();
        let machine = LeaseMachine {
            key: key.clone(),
            value,
            next_call_at: MonoTime::ZERO,
        };
        Self {
            key,
            machine: machine.state_machine(),
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: MonoTime, event: &LeaseEvent) {
        let mut now = now;
        self.machine.handle_with_context(event, &mut now);
    }

    /// Returns the action that is due. Report its result by an event before calling this again.
    #[must_use]
    pub fn action(&self, now: MonoTime) -> LeaseAction {
        let machine = self.machine.inner();
        let is_due = machine.next_call_at <= now;
        match self.machine.state() {
            State::Campaigning {} if is_due => LeaseAction::Grant(LEASE_TTL),
            State::Claiming { lease, .. } if is_due => {
                LeaseAction::Claim(machine.claim_txn(*lease))
            }
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
            _ => self.machine.inner().next_call_at,
        }
    }

    /// Whether the lease is held by this process's own clock. This is only a hint: a write that
    /// must not happen without the lease also needs [`Self::fence`].
    #[must_use]
    pub fn is_held(&self, now: MonoTime) -> bool {
        matches!(self.machine.state(), State::Holding { expires_at, .. } if now < *expires_at)
    }

    /// Returns the transaction with a compare that fails it unless the lease is still held when the
    /// store runs it. `None` when the lease isn't held.
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

/// The states of a holder: `idle`, `campaigning` (requests a lease), `claiming` (writes the key
/// with the lease attached), `holding` and `releasing`.
struct LeaseMachine {
    key: String,
    value: Vec<u8>,
    /// When the next call is due.
    next_call_at: MonoTime,
}

impl LeaseMachine {
    fn claim_txn(&self, lease: LeaseId) -> StoreTxn {
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

    fn schedule_next_call(&mut self, now: MonoTime) {
        self.next_call_at = now + LEASE_CALL_INTERVAL;
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the state machine passes state-local storage by reference"
)]
#[state_machine(initial = "State::idle()", state(derive(Debug)))]
impl LeaseMachine {
    #[state]
    fn idle(&mut self, event: &LeaseEvent, context: &mut MonoTime) -> Outcome<State> {
        match event {
            LeaseEvent::Wanted(true) => {
                self.next_call_at = *context;
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
                let expires_at = *asked_at + grant.time_to_live;
                Transition(State::claiming(grant.lease, expires_at))
            }
            LeaseEvent::Failed { .. } => {
                self.schedule_next_call(*context);
                Handled
            }
            _ => Handled,
        }
    }

    /// The reply to a claim may be lost; the next claim then finds the key attached to this lease.
    #[state]
    fn claiming(
        &mut self,
        lease: &LeaseId,
        expires_at: &MonoTime,
        event: &LeaseEvent,
        context: &mut MonoTime,
    ) -> Outcome<State> {
        match event {
            LeaseEvent::Wanted(false) => Transition(State::releasing(*lease)),
            LeaseEvent::Claimed(reply) => {
                self.schedule_next_call(*context);
                let epoch = parse_epoch(reply, *lease);
                let holding = epoch.map(|epoch| State::holding(*lease, epoch, *expires_at));
                Transition(holding.unwrap_or_else(State::campaigning))
            }
            LeaseEvent::Failed { is_lapsed: false } if *context < *expires_at => {
                self.schedule_next_call(*context);
                Handled
            }
            LeaseEvent::Failed { .. } => {
                self.schedule_next_call(*context);
                Transition(State::campaigning())
            }
            _ => Handled,
        }
    }

    #[state]
    fn holding(
        &mut self,
        lease: &LeaseId,
        epoch: &StoreRevision,
        expires_at: &MonoTime,
        event: &LeaseEvent,
        context: &mut MonoTime,
    ) -> Outcome<State> {
        match event {
            LeaseEvent::Wanted(false) => {
                self.next_call_at = *context;
                Transition(State::releasing(*lease))
            }
            LeaseEvent::Granted { asked_at, grant } => {
                self.schedule_next_call(*context);
                let expires_at = *asked_at + grant.time_to_live;
                Transition(State::holding(*lease, *epoch, expires_at))
            }
            LeaseEvent::Failed { is_lapsed: true } => {
                self.schedule_next_call(*context);
                Transition(State::campaigning())
            }
            LeaseEvent::Failed { .. } | LeaseEvent::Tick if *context >= *expires_at => {
                self.next_call_at = *context;
                Transition(State::campaigning())
            }
            LeaseEvent::Failed { .. } => {
                self.schedule_next_call(*context);
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

/// The key's epoch, which is its mod revision. `None` when the key isn't attached to `lease`.
fn parse_epoch(reply: &TxnReply, lease: LeaseId) -> Option<StoreRevision> {
    if reply.is_success {
        return Some(reply.revision);
    }
    let held = reply.reads.first()?.first()?;
    (held.lease == Some(lease)).then_some(held.mod_revision)
}
