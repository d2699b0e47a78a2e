//! The cold time of the backend server behind a gate.

use std::time::Duration;

use fescueway_core::{MonoTime, StatementSource};

use super::{GateAction, TargetGate};
use crate::WarmupPace;

impl TargetGate {
    /// Changes what the target takes while it is cold; `None` when its starts are not paced then.
    pub fn set_warmup(&mut self, now: MonoTime, warmup: Option<WarmupPace>) -> Vec<GateAction> {
        if self.warmup.plan() == warmup {
            return Vec::new();
        }
        self.warmup.set_plan(now, warmup);
        self.fill_slots(now)
    }

    /// Sets the cold time that the announcement of a new start of the backend server states.
    pub fn set_cold_left(&mut self, now: MonoTime, left: Duration) {
        self.warmup.set_announced(now, left);
    }

    /// Records the cold time that a report of the backend server states. Reports may be old, so it
    /// never makes the backend server warm.
    pub fn learn_cold_report(&mut self, now: MonoTime, left: Duration) {
        self.warmup.learn_report(now, left);
    }

    /// Records the cold time that an answer of the backend server states, `None` for an answer without
    /// one. The answer was asked for at `asked_at`.
    pub fn learn_warmup(
        &mut self,
        now: MonoTime,
        asked_at: MonoTime,
        source: StatementSource,
        left: Option<Duration>,
    ) -> Vec<GateAction> {
        if self.warmup.plan().is_none() {
            return Vec::new();
        }
        self.warmup.learn(now, asked_at, source, left);
        self.fill_slots(now)
    }

    /// Whether starts are paced while the backend server is cold.
    #[must_use]
    pub fn is_warmup_paced(&self) -> bool {
        self.warmup.plan().is_some()
    }

    /// Time until the backend server is warm, as far as is known; zero when starts are not paced.
    #[must_use]
    pub fn cold_left(&self, now: MonoTime) -> Duration {
        self.warmup.cold_left(now)
    }

    /// How long an entry should pause between two offers.
    pub(super) fn offer_pause(&self, now: MonoTime) -> Duration {
        self.pacer.offer_pause().max(self.warmup.offer_pause(now))
    }

    /// Expected wait of a request with `offers_ahead` others before it until the rate limit and the
    /// cold time allow its start.
    pub(super) fn pace_wait(&self, now: MonoTime, offers_ahead: usize) -> Duration {
        let limit_wait = self.pacer.wait(now, offers_ahead);
        limit_wait.max(self.warmup.wait(now, offers_ahead))
    }
}
