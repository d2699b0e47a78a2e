//! Ejects a target while its backend server fails or can't be reached.

use std::{
    fmt::{Debug, Formatter, Result},
    time::Duration,
};

use fescueway_core::MonoTime;
use statig::prelude::*;

/// Share of failures, from 0 to 1, at which a target is ejected.
const EJECT_SHARE: f64 = 0.5;

/// Duration of the first ejection; each consecutive one lasts twice as long.
const EJECT_TIME: Duration = Duration::from_secs(1);

/// Maximum number of times that the ejection time is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// An input of the ejection state machine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StateEvent {
    /// The target answered a request.
    Answered {
        /// When it answered.
        now: MonoTime,
        /// Whether this answer was a failure.
        is_failure: bool,
        /// Recent share of failures, from 0 to 1.
        failed_share: f64,
    },
    /// The host reported at this time that most of the target's requests fail.
    Failing(MonoTime),
    /// The backend server or its host could not be reached at this time.
    Unreachable(MonoTime),
    /// The clock advanced to this time.
    Tick(MonoTime),
}

/// Whether a target is ejected because of failures.
pub(crate) struct EjectionState {
    /// The state machine.
    machine: StateMachine<EjectionMachine>,
}

/// The ejection state machine: `trusted`, then `ejected` for a while, then `on_probation`, where
/// the next answer decides.
#[derive(Debug, Default)]
struct EjectionMachine {
    /// Consecutive ejections without a success while trusted.
    ejections: u32,
}

impl Debug for EjectionState {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        self.machine.state().fmt(f)
    }
}

impl Default for EjectionState {
    /// A target that is trusted.
    fn default() -> Self {
        Self {
            machine: EjectionMachine::default().state_machine(),
        }
    }
}

impl EjectionState {
    /// Applies an event.
    pub(crate) fn handle(&mut self, event: &StateEvent) {
        self.machine.handle(event);
    }

    /// Whether the target is ejected, or on probation after that.
    pub(crate) fn is_ejected(&self) -> bool {
        !matches!(self.machine.state(), State::Trusted {})
    }

    /// Whether the target may get requests while others are available, given its offers in flight.
    pub(crate) fn is_eligible(&self, open_offers: u32) -> bool {
        match self.machine.state() {
            State::Trusted {} => true,
            State::Ejected { .. } => false,
            State::OnProbation {} => open_offers == 0,
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the state machine passes state-local storage by reference"
)]
#[state_machine(initial = "State::trusted()", state(derive(Debug)))]
impl EjectionMachine {
    /// The target gets its share of requests.
    #[state]
    fn trusted(&mut self, event: &StateEvent) -> Outcome<State> {
        match *event {
            StateEvent::Answered {
                now,
                is_failure: true,
                failed_share,
            } if failed_share >= EJECT_SHARE => Transition(self.eject(now)),
            StateEvent::Answered {
                is_failure: false, ..
            } => {
                self.ejections = 0;
                Handled
            }
            // One failure to connect is enough to eject: unlike a failed answer, the request can't
            // be its cause.
            StateEvent::Unreachable(now) | StateEvent::Failing(now) => Transition(self.eject(now)),
            _ => Handled,
        }
    }

    /// The target gets no requests while others are available.
    #[state]
    fn ejected(until: &MonoTime, event: &StateEvent) -> Outcome<State> {
        match *event {
            StateEvent::Tick(now) if now >= *until => Transition(State::on_probation()),
            _ => Handled,
        }
    }

    /// The target gets one offer at a time; the answer decides.
    #[state]
    fn on_probation(&mut self, event: &StateEvent) -> Outcome<State> {
        match *event {
            StateEvent::Answered {
                now,
                is_failure: true,
                ..
            }
            | StateEvent::Unreachable(now)
            | StateEvent::Failing(now) => Transition(self.eject(now)),
            StateEvent::Answered { .. } => Transition(State::trusted()),
            StateEvent::Tick(_) => Handled,
        }
    }

    /// The state of a target that is ejected at `now`, with exponential backoff.
    fn eject(&mut self, now: MonoTime) -> State {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        State::ejected(now + EJECT_TIME * 2_u32.pow(doublings))
    }
}
