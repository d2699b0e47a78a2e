//! The gate before one target.

use std::time::Duration;

use fescueway_core::{LoadReport, MonoTime, Refusal, RefusalReason, RequestTerms};

/// One offer at one gate.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId(pub u64);

/// What the gate says to an offer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateResult {
    /// Run it now. The caller of the gate ends it with [`TargetGate::finish`].
    Run,
    /// Hold it: a later [`GateAction`] runs or refuses it.
    Wait,
    /// It did not run and will not run here.
    Refuse(Refusal),
}

/// What the gate wants done with an offer that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateAction {
    /// Run it now.
    Run(TicketId),
    /// Refuse it.
    Refuse(TicketId, Refusal),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The backend server answered.
    Answered,
    /// The backend server answered that it failed.
    Failed,
    /// The backend server went away or could not be reached.
    Lost,
    /// The caller went away.
    Cancelled,
    /// It was given back before any byte was sent.
    Released,
}

/// The gate before one target.
///
/// Invariant: never more runs are open than the limit allowed when they began, and the limit is
/// never above the announced slots.
#[derive(Debug)]
pub struct TargetGate {
    /// Settings.
    plan: crate::GatePlan,
    /// Open runs.
    in_flight: u32,
    /// Whether the target is leaving.
    is_draining: bool,
}

impl TargetGate {
    /// A gate before a target that starts cold at `now`.
    #[must_use]
    pub fn new(plan: crate::GatePlan, _now: MonoTime) -> Self {
        Self {
            plan,
            in_flight: 0,
            is_draining: false,
        }
    }

    /// Decides on an offer.
    pub fn offer(
        &mut self,
        _now: MonoTime,
        _ticket: TicketId,
        _terms: &RequestTerms,
    ) -> GateResult {
        if self.is_draining {
            return GateResult::Refuse(Self::refusal(RefusalReason::Draining));
        }
        if self.in_flight >= self.plan.slots {
            return GateResult::Refuse(Self::refusal(RefusalReason::QueueFull));
        }
        self.in_flight += 1;
        GateResult::Run
    }

    /// A run ended. Exactly one for each run.
    pub fn finish(&mut self, _now: MonoTime, _ticket: TicketId, _end: RunEnd) -> Vec<GateAction> {
        self.in_flight = self.in_flight.saturating_sub(1);
        Vec::new()
    }

    /// A waiting offer was withdrawn. Unknown tickets are passed over.
    pub fn withdraw(&mut self, _now: MonoTime, _ticket: TicketId) -> Vec<GateAction> {
        Vec::new()
    }

    /// Time passed: refuses what waits and can no longer finish in time.
    pub fn tick(&mut self, _now: MonoTime) -> Vec<GateAction> {
        Vec::new()
    }

    /// When [`TargetGate::tick`] is due next, `None` while nothing waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// From now on takes nothing new, refuses what waits, and lets finish what runs.
    pub fn drain(&mut self, _now: MonoTime) -> Vec<GateAction> {
        self.is_draining = true;
        Vec::new()
    }

    /// Takes work again after a drain.
    pub fn undrain(&mut self, _now: MonoTime) {
        self.is_draining = false;
    }

    /// Whether nothing runs and nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// The load to report to entries.
    #[must_use]
    pub fn report(&self, _now: MonoTime) -> LoadReport {
        LoadReport {
            in_flight: self.in_flight,
            limit: self.plan.slots,
            is_draining: self.is_draining,
            ..LoadReport::default()
        }
    }

    /// A refusal by this gate.
    fn refusal(reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            retry_after: Duration::from_secs(1),
        }
    }
}
