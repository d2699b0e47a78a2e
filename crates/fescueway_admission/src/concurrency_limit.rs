//! How many requests run at once: at most the announced slots, fewer when a neighbour takes
//! processor time.

/// Slowdown that is taken for noise of the measurement.
const TOLERATED_SLOWDOWN: f64 = 1.25;

/// Share of the slots below which the limit never falls.
const LEAST_SHARE: f64 = 0.3;

/// Change of the limit for one finished request and a slowdown of 1 out of tolerance, as a share
/// of the slots.
const STEP_SHARE: f64 = 1.0 / 64.0;

/// How many requests run at once.
///
/// When requests take longer than on an undisturbed day, a neighbour has the processor: fewer at
/// once then finish as much in total, but each of them sooner. So the limit falls while the
/// slowdown is out of tolerance, and rises again when it isn't.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    /// The announced slots.
    slots: f64,
    /// The limit before rounding, from [`LEAST_SHARE`] of the slots to all of them.
    limit: f64,
}

impl ConcurrencyLimit {
    /// A limit that starts at `slots`, which is never exceeded.
    pub(crate) fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            limit: slots,
        }
    }

    /// Changes the most that runs at once.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        let share = self.limit / self.slots;
        self.slots = f64::from(slots.max(1));
        self.limit = share * self.slots;
    }

    /// Takes in how much slower requests became.
    pub(crate) fn learn(&mut self, slowdown: f64) {
        let room = (TOLERATED_SLOWDOWN - slowdown).clamp(-1.0, 1.0);
        let limit = self.limit + room * STEP_SHARE * self.slots;
        self.limit = limit.clamp(LEAST_SHARE * self.slots, self.slots);
    }

    /// Requests that may run at once while the target has ramped up to `share`. At least one and
    /// at most the announced slots.
    pub(crate) fn limit(&self, share: f64) -> u32 {
        let limit = self.limit.min(self.slots * share);
        (limit.round() as u32).max(1)
    }
}
