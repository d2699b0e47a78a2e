//! Adaptive concurrency limit: at most the announced slots, fewer while neighbouring VMs take
//! processor time.

/// Slowdown up to which a change is treated as measurement noise.
const TOLERATED_SLOWDOWN: f64 = 1.25;

/// Share of the slots below which the limit never falls.
const MIN_SHARE: f64 = 0.3;

/// Largest change of the limit per finished request, as a share of the slots. Applied when the
/// slowdown is 1 or more away from the tolerated slowdown.
const STEP_SHARE: f64 = 1.0 / 64.0;

/// Adaptive limit on the number of requests that run at once.
///
/// When requests take longer than the baseline, neighbouring VMs use the processor. Running fewer
/// requests at once then gives the same throughput at a lower latency, so the limit falls while the
/// slowdown exceeds the tolerated one and rises again otherwise.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    /// Upper bound of the limit.
    slots: f64,
    /// The limit before rounding, from [`MIN_SHARE`] of the slots to all of them.
    limit: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its upper bound, `slots`.
    pub(crate) fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            limit: slots,
        }
    }

    /// Changes the upper bound and scales the current limit with it.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        let share = self.limit / self.slots;
        self.slots = f64::from(slots.max(1));
        self.limit = share * self.slots;
    }

    /// Adjusts the limit to the slowdown of requests, a multiple of the baseline service time.
    pub(crate) fn learn(&mut self, slowdown: f64) {
        let headroom = (TOLERATED_SLOWDOWN - slowdown).clamp(-1.0, 1.0);
        let limit = self.limit + headroom * STEP_SHARE * self.slots;
        self.limit = limit.clamp(MIN_SHARE * self.slots, self.slots);
    }

    /// Current limit while slow start allows `share` of the slots. At least one and at most the
    /// upper bound.
    pub(crate) fn limit(&self, share: f64) -> u32 {
        let limit = self.limit.min(self.slots * share);
        (limit.round() as u32).max(1)
    }
}
