//! How many requests run at once: at most the announced slots, fewer when a neighbour takes
//! processor time.

/// Slowdown that is taken for noise of the measurement.
const TOLERATED_SLOWDOWN: f64 = 100.0;

/// Share of the slots below which the limit never falls.
const LEAST_SHARE: f64 = 0.3;

/// Weight of one finished request in the limit.
const STEP_WEIGHT: f64 = 1.0 / 16.0;

/// How many requests run at once.
///
/// The limit follows the gradient between the undisturbed and the recent service time: when
/// requests take longer with no more of them running, a neighbour has the processor, and fewer at
/// once finish as much in total but each of them sooner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    /// The announced slots.
    slots: f64,
    /// The limit before rounding, from [`LEAST_SHARE`] of the slots to all of them.
    limit: f64,
}

impl ConcurrencyLimit {
    /// A limit that starts at `slots`.
    pub(crate) fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            limit: slots,
        }
    }

    /// Takes in how much slower requests became.
    pub(crate) fn learn(&mut self, slowdown: f64) {
        let share = (TOLERATED_SLOWDOWN / slowdown).clamp(LEAST_SHARE, 1.0);
        self.limit += (self.slots * share - self.limit) * STEP_WEIGHT;
    }

    /// Requests that may run at once while the target has ramped up to `share`. At least one and
    /// at most the announced slots.
    pub(crate) fn limit(&self, share: f64) -> u32 {
        let limit = self.limit.min(self.slots * share);
        (limit.round() as u32).max(1)
    }
}
