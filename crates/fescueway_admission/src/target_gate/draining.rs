//! Draining of a gate's target.

use std::time::Duration;

use fescueway_core::{MonoTime, Refusal, RefusalReason};

use super::{GateAction, TargetGate};

/// Retry delay given by a draining target.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl TargetGate {
    /// Starts draining: refuses waiting and new offers and lets the running requests finish.
    pub fn drain(&mut self, _now: MonoTime) -> Vec<GateAction> {
        self.is_draining = true;
        self.refuse_waiting(Self::draining_refusal())
    }

    /// Refuses all waiting offers.
    pub(super) fn refuse_waiting(&mut self, refusal: Refusal) -> Vec<GateAction> {
        let mut actions = Vec::with_capacity(self.queue.len());
        while let Some(offer) = self.queue.pop() {
            actions.push(GateAction::Refuse(offer.ticket, refusal));
        }
        actions
    }

    /// Ends draining, so that offers are accepted again. A named backend server can't revoke that it
    /// is leaving; one without a name can't be told from its successor, so the call speaks for the
    /// current one.
    pub fn undrain(&mut self, _now: MonoTime) {
        self.is_draining = false;
        if !self.notices.server().is_named() {
            self.notices.forget_leaving();
        }
    }

    /// Whether the target is draining or its backend server stated that it is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining || self.notices.is_leaving()
    }

    /// Refusal given while the target drains.
    pub(super) fn draining_refusal() -> Refusal {
        Refusal {
            reason: RefusalReason::Draining,
            retry_after: DRAIN_RETRY_AFTER,
        }
    }
}
