//! What the backend server behind a gate states about itself.

use fescueway_core::{MonoTime, RateLimit, ServerNotice, ServerStart, StatementSource};

use super::{GateAction, TargetGate};
use crate::start_pacer::StartPacer;

impl TargetGate {
    /// Sets the backend server behind the gate. What it stated is kept if it is the same start of
    /// it.
    pub fn set_server(&mut self, server: ServerStart) {
        self.notices.set_server(server);
        if self.notices.notice().is_none() {
            self.pacer = StartPacer::default();
        }
    }

    /// The backend server behind the gate.
    #[must_use]
    pub fn server(&self) -> ServerStart {
        self.notices.server()
    }

    /// What the backend server last stated about itself; `None` before its first statement.
    #[must_use]
    pub fn notice(&self) -> Option<ServerNotice> {
        self.notices.notice()
    }

    /// Records the request rate limit that an answer of the backend server states, `None` for an
    /// answer without one.
    pub fn learn_limit(
        &mut self,
        now: MonoTime,
        source: StatementSource,
        rate_limit: Option<RateLimit>,
    ) -> Vec<GateAction> {
        self.notices.learn_limit(now, source, rate_limit);
        let limit = self.notices.rate_limit();
        if limit.is_none() && !self.pacer.is_limited() {
            return Vec::new();
        }
        let is_trial_needed = !self.notices.is_stated_to_queries();
        self.pacer.set_limit(now, limit, is_trial_needed);
        self.fill_slots(now)
    }

    /// Records that the backend server stated that it is leaving.
    pub fn learn_leaving(&mut self, _now: MonoTime) -> Vec<GateAction> {
        self.notices.learn_leaving();
        self.refuse_waiting(Self::draining_refusal())
    }

    /// Records what an entry knows of the backend server from this node's predecessor.
    ///
    /// A notice of an unknown start may be of an earlier one, so it counts only until this node
    /// knows the current start itself.
    pub fn learn_notice(&mut self, now: MonoTime, notice: &ServerNotice) -> Vec<GateAction> {
        let is_older = notice.server.born_ms == 0 && self.server().born_ms != 0;
        if is_older {
            return Vec::new();
        }
        self.adopt_notice(now, notice)
    }

    /// Adopts a notice of the same start of the backend server. Its own statements to this gate take
    /// precedence, except that it can't revoke that it is leaving.
    fn adopt_notice(&mut self, now: MonoTime, notice: &ServerNotice) -> Vec<GateAction> {
        if !self.server().is_same(notice.server) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if notice.rate_limit.is_some() && self.notices.notice().is_none() {
            let source = StatementSource::Request;
            actions.extend(self.learn_limit(now, source, notice.rate_limit));
        }
        if notice.is_leaving && !self.notices.is_leaving() {
            actions.extend(self.learn_leaving(now));
        }
        actions
    }

    /// Takes over what the backend server stated to a gate that this one replaces, if both are of
    /// the same start of it.
    pub fn inherit(&mut self, now: MonoTime, replaced: &Self) {
        if self.server().is_same(replaced.server()) {
            self.warmup.inherit(now, &replaced.warmup);
        }
        if let Some(notice) = replaced.notice() {
            // Nothing waits at a new gate.
            let _no_actions = self.adopt_notice(now, &notice);
        }
    }
}
