//! What the local backend servers state about themselves in their answers.

use std::fmt::Display;

use fescueway_core::{
    MonoTime, RateLimit, ServerNotice, ServiceName, StatementSource, TargetState,
};
use fescueway_telemetry::{emit, events::path};
use http::{HeaderMap, StatusCode};

use super::ProxyState;
use crate::{
    host::{HostTarget, NoticeChange},
    server_statement::ServerStatement,
};

/// Logged in place of a limit that doesn't exist.
const NO_LIMIT: &str = "none";

impl ProxyState {
    /// Applies and logs what an answer of a local backend server, with `status` and `fields`, states
    /// about the server itself. The answer was asked for at `asked_at`.
    pub fn learn_statement(
        &self,
        service: &ServiceName,
        target: &HostTarget,
        asked_at: MonoTime,
        source: StatementSource,
        status: StatusCode,
        fields: &HeaderMap,
    ) {
        let identity = self.profile().identity.as_ref();
        let identity = identity.and_then(|name| fields.get(name));
        if identity.is_some_and(|identity| target.identity() != Some(identity)) {
            // Another backend server is at this address now.
            return;
        }
        if let Some(mut statement) = ServerStatement::read(self.profile(), status, fields) {
            // Where starts aren't paced the field is not in use, so an invalid value is not logged.
            if statement.warmup_left.is_err() && !target.is_warmup_paced() {
                statement.warmup_left = Ok(None);
            }
            let change = target.learn_statement(asked_at, source, &statement);
            self.apply_notice_change(service, target, &change);
        }
    }

    /// Applies what an entry knows of a local backend server.
    pub(crate) fn learn_notice(
        &self,
        service: &ServiceName,
        target: &HostTarget,
        notice: &ServerNotice,
    ) {
        let change = target.learn_notice(notice);
        self.apply_notice_change(service, target, &change);
    }

    /// Logs what changed, and announces that a backend server is leaving.
    pub(super) fn apply_notice_change(
        &self,
        service: &ServiceName,
        target: &HostTarget,
        change: &NoticeChange,
    ) {
        let (now, address) = (self.now(), target.pool().address());
        if let Some((previous, current)) = change.limit {
            let (previous, current) = (limit_text(previous), limit_text(current));
            let values: [&dyn Display; 4] = [service, &address, &current, &previous];
            self.0.limit_changes.emit(now, service.clone(), &values);
        }
        if let Some(invalid_field) = &change.invalid_field {
            let log_limit = &self.0.invalid_statements;
            log_limit.emit(now, service.clone(), &[service, &address, invalid_field]);
        }
        if let Some(left) = change.became_cold {
            let left_ms = left.as_millis();
            let values: [&dyn Display; 4] = [&self.node(), service, &address, &left_ms];
            self.0.cold_targets.emit(now, service.clone(), &values);
        }
        if change.is_leaving_new {
            emit(&path::SERVER_LEAVING, &[service, &address]);
            let current = self.host_target(service);
            if current.is_some_and(|current| std::ptr::eq(&raw const *current, target)) {
                self.set_state(service, TargetState::Draining);
                if let Some(observer) = self.0.leaving_observer.get() {
                    observer(service);
                }
            }
        }
    }
}

/// A limit as it is logged, in requests per second.
fn limit_text(limit: Option<RateLimit>) -> String {
    limit.map_or_else(|| NO_LIMIT.to_owned(), |limit| limit.to_string())
}
