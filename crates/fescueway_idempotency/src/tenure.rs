//! Where a node stands with one partition.
#![expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "statig hands events over by reference"
)]

use statig::prelude::*;

/// What happens to a node's standing with a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TenureEvent {
    /// A new record names the node, which knows every key that may have run.
    NamedComplete,
    /// A new record names the node, which may not know every key that may have run.
    NamedIncomplete,
    /// A new record doesn't name the node.
    Dropped,
    /// The node learned of every key that may have run, or waited them out.
    Completed,
}

/// Where a node stands with one partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaState {
    /// It has no part in the partition.
    Closed,
    /// It is named, but doesn't know every key that may have run. It grants nothing.
    Recovering,
    /// It is named and knows every key that may have run.
    Serving,
    /// It is no longer named and hands its memory on. It grants nothing.
    Retired,
}

/// The state machine behind [`ReplicaState`].
#[derive(Debug, Default)]
pub(crate) struct TenureMachine;

#[state_machine(initial = "State::closed()", state(derive(Clone, Copy, Debug)))]
impl TenureMachine {
    /// No part in the partition.
    #[state]
    fn closed(event: &TenureEvent) -> Outcome<State> {
        match event {
            TenureEvent::NamedComplete => Transition(State::serving()),
            TenureEvent::NamedIncomplete => Transition(State::recovering()),
            TenureEvent::Dropped | TenureEvent::Completed => Handled,
        }
    }

    /// Named without the whole memory.
    #[state]
    fn recovering(event: &TenureEvent) -> Outcome<State> {
        match event {
            TenureEvent::Completed | TenureEvent::NamedComplete => Transition(State::serving()),
            TenureEvent::Dropped => Transition(State::closed()),
            TenureEvent::NamedIncomplete => Handled,
        }
    }

    /// Named with the whole memory.
    #[state]
    fn serving(event: &TenureEvent) -> Outcome<State> {
        match event {
            TenureEvent::Dropped => Transition(State::retired()),
            TenureEvent::NamedIncomplete => Transition(State::recovering()),
            TenureEvent::Completed | TenureEvent::NamedComplete => Handled,
        }
    }

    /// No longer named, with the whole memory of an earlier epoch.
    #[state]
    fn retired(event: &TenureEvent) -> Outcome<State> {
        match event {
            TenureEvent::NamedComplete => Transition(State::serving()),
            TenureEvent::NamedIncomplete => Transition(State::recovering()),
            TenureEvent::Dropped | TenureEvent::Completed => Handled,
        }
    }
}

impl From<&State> for ReplicaState {
    fn from(state: &State) -> Self {
        match state {
            State::Closed {} => Self::Closed,
            State::Recovering {} => Self::Recovering,
            State::Serving {} => Self::Serving,
            State::Retired {} => Self::Retired,
        }
    }
}
