//! Whether a target is trusted with work, by how its backend server answers.

use std::{
    fmt::{Debug, Formatter, Result},
    time::Duration,
};

use fescueway_core::MonoTime;
use statig::prelude::*;

/// Share of failures at which a target is ejected.
const EJECT_SHARE: f64 = 0.5;

/// How long the first ejection lasts; each further one lasts twice as long.
const EJECT_TIME: Duration = Duration::from_secs(1);

/// How often the ejection time is doubled at most.
const MAX_DOUBLINGS: u32 = 5;

/// What a target's phase depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PhaseEvent {
    /// The target answered, and this is its recent share of failures now.
    Answered {
        /// When.
        now: MonoTime,
        /// Whether this answer was a failure.
        is_failure: bool,
        /// Recent share of failures, from 0 to 1.
        failed_share: f64,
    },
    /// The host reported that most of what it runs fails, as of this time.
    Failing(MonoTime),
    /// Its backend server or its host can't be reached, as of this time.
    Unreachable(MonoTime),
    /// Time passed.
    Tick(MonoTime),
}

/// Whether a target is trusted with work.
pub(crate) struct TargetPhase {
    /// The lifecycle as it runs.
    machine: StateMachine<TrustCycle>,
}

/// The lifecycle of a target's trust: `trusted`, `ejected` for a while, then `on_probation`, where
/// one answer decides.
#[derive(Debug, Default)]
struct TrustCycle {
    /// Ejections since the target was last trusted.
    ejections: u32,
}

impl Debug for TargetPhase {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        self.machine.state().fmt(f)
    }
}

impl Default for TargetPhase {
    /// A target that is trusted.
    fn default() -> Self {
        Self {
            machine: TrustCycle::default().state_machine(),
        }
    }
}

impl TargetPhase {
    /// Takes in what happened.
    pub(crate) fn handle(&mut self, event: &PhaseEvent) {
        self.machine.handle(event);
    }

    /// Whether the target is ejected, or on probation after that.
    pub(crate) fn is_ejected(&self) -> bool {
        !matches!(self.machine.state(), State::Trusted {})
    }

    /// Whether the target may get work while better ones are there, with `open` offers at it now.
    pub(crate) fn is_trusted(&self, open: u32) -> bool {
        match self.machine.state() {
            State::Trusted {} => true,
            State::Ejected { .. } => false,
            State::OnProbation {} => open == 0,
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the state machine passes state-local storage by reference"
)]
#[state_machine(initial = "State::trusted()", state(derive(Debug)))]
impl TrustCycle {
    /// The target gets its share of work.
    #[state]
    fn trusted(&mut self, event: &PhaseEvent) -> Outcome<State> {
        match *event {
            PhaseEvent::Answered {
                now,
                is_failure: true,
                failed_share,
            } if failed_share >= EJECT_SHARE => Transition(self.eject(now)),
            PhaseEvent::Answered {
                is_failure: false, ..
            } => {
                self.ejections = 0;
                Handled
            }
            // One try is proof enough: unlike a failed answer, it says nothing of the request.
            PhaseEvent::Unreachable(now) | PhaseEvent::Failing(now) => Transition(self.eject(now)),
            _ => Handled,
        }
    }

    /// The target gets no work while others are open.
    #[state]
    fn ejected(until: &MonoTime, event: &PhaseEvent) -> Outcome<State> {
        match *event {
            PhaseEvent::Tick(now) if now >= *until => Transition(State::on_probation()),
            _ => Handled,
        }
    }

    /// The target gets one offer at a time; its answer decides.
    #[state]
    fn on_probation(&mut self, event: &PhaseEvent) -> Outcome<State> {
        match *event {
            PhaseEvent::Answered {
                now,
                is_failure: true,
                ..
            }
            | PhaseEvent::Unreachable(now)
            | PhaseEvent::Failing(now) => Transition(self.eject(now)),
            PhaseEvent::Answered { .. } => Transition(State::trusted()),
            PhaseEvent::Tick(_) => Handled,
        }
    }

    /// The state of a target that is ejected at `now`.
    fn eject(&mut self, now: MonoTime) -> State {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        State::ejected(now + EJECT_TIME * 2_u32.pow(doublings))
    }
}
