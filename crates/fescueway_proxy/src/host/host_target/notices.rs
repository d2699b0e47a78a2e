//! What is known of the backend server of a target from its own statements.

use std::time::Duration;

use fescueway_admission::{GateAction, TargetGate};
use fescueway_core::{MonoTime, RateLimit, ServerNotice, ServerStart, StatementSource};

use super::HostTarget;
use crate::server_statement::{InvalidField, ServerStatement};

/// How an answer or an entry's notice changed what is known of the backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct NoticeChange {
    /// The previous and the new request rate limit, if it changed.
    pub(crate) limit: Option<(Option<RateLimit>, Option<RateLimit>)>,
    /// Whether it is the first statement that the server is leaving.
    pub(crate) is_leaving_new: bool,
    /// An invalid field that was not the last one reported.
    pub(crate) invalid_field: Option<InvalidField>,
    /// Time until the backend server is warm, if it became cold.
    pub(crate) became_cold: Option<Duration>,
}

impl HostTarget {
    /// Records what an answer of the backend server, asked for at `asked_at`, states about it. Returns
    /// what changed by that.
    pub(crate) fn learn_statement(
        &self,
        asked_at: MonoTime,
        source: StatementSource,
        statement: &ServerStatement,
    ) -> NoticeChange {
        let invalid_field = self.new_invalid_field(statement);
        let change = self.change_notice(|gate, now| {
            let mut actions = Vec::new();
            if let Ok(rate_limit) = statement.rate_limit {
                actions.extend(gate.learn_limit(now, source, rate_limit));
            }
            if statement.is_leaving == Ok(true) {
                actions.extend(gate.learn_leaving(now));
            }
            if let Ok(warmup_left) = statement.warmup_left {
                actions.extend(gate.learn_warmup(now, asked_at, source, warmup_left));
            }
            actions
        });
        NoticeChange {
            invalid_field,
            ..change
        }
    }

    /// Records what an entry knows of the backend server. Returns what changed by that.
    pub(crate) fn learn_notice(&self, notice: &ServerNotice) -> NoticeChange {
        self.change_notice(|gate, now| gate.learn_notice(now, notice))
    }

    /// Takes over what the backend server stated to the target that this one replaces.
    pub(crate) fn inherit(&self, replaced: &Self) {
        let replaced = replaced.state();
        self.state().gate.inherit(self.clock.now(), &replaced.gate);
    }

    /// Updates the backend server's start, which a later announcement may tell more exactly.
    pub(crate) fn set_server(&self, server: ServerStart) {
        self.state().gate.set_server(server);
    }

    /// The backend server.
    #[must_use]
    pub fn server(&self) -> ServerStart {
        self.state().gate.server()
    }

    /// Whether the target is draining or its backend server is leaving.
    pub(crate) fn is_draining(&self) -> bool {
        self.state().gate.is_draining()
    }

    /// Applies `change` to the gate and returns how it changed what is known of the backend server.
    pub(super) fn change_notice(
        &self,
        change: impl FnOnce(&mut TargetGate, MonoTime) -> Vec<GateAction>,
    ) -> NoticeChange {
        let now = self.clock.now();
        let mut state = self.state();
        let before = state.gate.notice().unwrap_or_default();
        let was_cold = !state.gate.cold_left(now).is_zero();
        let actions = change(&mut state.gate, now);
        let after = state.gate.notice().unwrap_or_default();
        let cold_left = state.gate.cold_left(now);
        let is_cold = !cold_left.is_zero();
        state.apply(now, actions);
        drop(state);
        if before != after || was_cold != is_cold {
            self.wake.notify_one();
            self.load_query_change.notify_one();
        }
        NoticeChange {
            limit: (before.rate_limit != after.rate_limit)
                .then_some((before.rate_limit, after.rate_limit)),
            is_leaving_new: after.is_leaving && !before.is_leaving,
            invalid_field: None,
            became_cold: (is_cold && !was_cold).then_some(cold_left),
        }
    }

    /// The invalid field of a statement, unless it is the last one that was returned.
    fn new_invalid_field(&self, statement: &ServerStatement) -> Option<InvalidField> {
        let invalid_field = statement.invalid_field()?;
        let last_field = &mut self.state().invalid_field;
        if last_field.as_ref() == Some(invalid_field) {
            return None;
        }
        *last_field = Some(invalid_field.clone());
        Some(invalid_field.clone())
    }
}
