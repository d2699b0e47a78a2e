//! The cold time of the backend server, and the evacuation of its failure domain.

use std::{sync::atomic::Ordering, time::Duration};

use fescueway_admission::WarmupPace;

use super::{HostTarget, NoticeChange};

impl HostTarget {
    /// Changes what the target takes while it is cold; `None` when its starts are not paced then.
    pub(crate) fn set_warmup(&self, warmup: Option<WarmupPace>) {
        self.with_gate(|gate, now| gate.set_warmup(now, warmup));
        self.wake.notify_one();
    }

    /// Whether the starts are paced while the backend server is cold.
    pub(crate) fn is_warmup_paced(&self) -> bool {
        self.state().gate.is_warmup_paced()
    }

    /// Records the cold time that a report of the backend server states. Returns what changed by that.
    pub(crate) fn learn_cold_report(&self, left: Duration) -> NoticeChange {
        self.change_notice(|gate, now| {
            gate.learn_cold_report(now, left);
            Vec::new()
        })
    }

    /// Time until the backend server is warm, as far as is known; zero when its starts are not paced.
    #[must_use]
    pub fn cold_left(&self) -> Duration {
        self.state().gate.cold_left(self.clock.now())
    }

    /// Begins or ends the evacuation of the failure domain: refuses waiting and new offers and lets the
    /// running requests finish.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool) {
        self.with_gate(|gate, now| {
            self.is_evacuated.store(is_evacuated, Ordering::SeqCst);
            gate.set_evacuated(now, is_evacuated)
        });
    }

    /// Whether the failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated.load(Ordering::SeqCst)
    }
}
