//! The state of a node's replica of one partition.
#![expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "statig hands events over by reference"
)]

use statig::prelude::*;

/// An event that changes a [`ReplicaState`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReplicaEvent {
    /// A new record names the node, which knows every key that may have run.
    NamedComplete,
    /// A new record names the node, which may not know every key that may have run.
    NamedIncomplete,
    /// A new record doesn't name the node.
    Unnamed,
    /// The node fetched every key that may have run, or waited until these expired.
    Completed,
}

/// The state of a node's replica of one partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaState {
    /// The partition is not assigned to the node.
    Closed,
    /// The record names the node, which may lack keys that may have run. It grants nothing.
    Recovering,
    /// The record names the node, which knows every key that may have run.
    Serving,
    /// The record no longer names the node, which hands its claimed keys over. It grants nothing.
    Retired,
}

/// The state machine behind [`ReplicaState`].
#[derive(Debug, Default)]
pub(crate) struct ReplicaStateMachine;

#[state_machine(initial = "State::closed()", state(derive(Clone, Copy, Debug)))]
impl ReplicaStateMachine {
    /// Not a replica of the partition.
    #[state]
    fn closed(event: &ReplicaEvent) -> Outcome<State> {
        match event {
            ReplicaEvent::NamedComplete => Transition(State::serving()),
            ReplicaEvent::NamedIncomplete => Transition(State::recovering()),
            ReplicaEvent::Unnamed | ReplicaEvent::Completed => Handled,
        }
    }

    /// A replica that may lack claimed keys.
    #[state]
    fn recovering(event: &ReplicaEvent) -> Outcome<State> {
        match event {
            ReplicaEvent::Completed | ReplicaEvent::NamedComplete => Transition(State::serving()),
            ReplicaEvent::Unnamed => Transition(State::closed()),
            ReplicaEvent::NamedIncomplete => Handled,
        }
    }

    /// A replica with all claimed keys.
    #[state]
    fn serving(event: &ReplicaEvent) -> Outcome<State> {
        match event {
            ReplicaEvent::Unnamed => Transition(State::retired()),
            ReplicaEvent::NamedIncomplete => Transition(State::recovering()),
            ReplicaEvent::Completed | ReplicaEvent::NamedComplete => Handled,
        }
    }

    /// No longer a replica, with all claimed keys of an earlier epoch.
    #[state]
    fn retired(event: &ReplicaEvent) -> Outcome<State> {
        match event {
            ReplicaEvent::NamedComplete => Transition(State::serving()),
            ReplicaEvent::NamedIncomplete => Transition(State::recovering()),
            ReplicaEvent::Unnamed | ReplicaEvent::Completed => Handled,
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
