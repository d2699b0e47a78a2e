//! Tracks what a backend server states about itself in its answers.

use std::time::Duration;

use fescueway_core::{MonoTime, RateLimit, ServerNotice, ServerStart, StatementSource};

/// Interval between queries of a backend server whose statement restricts the requests that it gets,
/// while no other answer arrives.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Tracks what a backend server states about itself in its answers.
///
/// A limit holds until an answer without one. Answers to queries may lack what answers to requests
/// state, so they end a limit only if a query's answer has stated one before.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoticeTracker {
    /// The backend server.
    server: ServerStart,
    /// What it last stated; `None` before the first statement.
    stated: Option<ServerNotice>,
    /// Whether its answers to queries state limits.
    is_stated_to_queries: bool,
    /// When it last stated something, or was last queried.
    checked_at: MonoTime,
}

impl NoticeTracker {
    /// Sets the backend server. Its statements are kept if it is the same start of it.
    pub(crate) fn set_server(&mut self, server: ServerStart) {
        if !self.server.is_same(server) {
            *self = Self {
                server,
                ..Self::default()
            };
            return;
        }
        self.server.born_ms = self.server.born_ms.max(server.born_ms);
        if let Some(notice) = &mut self.stated {
            notice.server = self.server;
        }
    }

    /// The backend server.
    pub(crate) fn server(&self) -> ServerStart {
        self.server
    }

    /// What the backend server last stated; `None` before its first statement.
    pub(crate) fn notice(&self) -> Option<ServerNotice> {
        self.stated
    }

    /// Records the limit that an answer states, `None` for an answer without a limit.
    pub(crate) fn learn_limit(
        &mut self,
        now: MonoTime,
        source: StatementSource,
        rate_limit: Option<RateLimit>,
    ) {
        self.checked_at = now;
        let is_query = source == StatementSource::Query;
        self.is_stated_to_queries |= is_query && rate_limit.is_some();
        if is_query && rate_limit.is_none() && !self.is_stated_to_queries {
            return;
        }
        self.notice_mut().rate_limit = rate_limit;
    }

    /// The limit in force, `None` without one.
    pub(crate) fn rate_limit(&self) -> Option<RateLimit> {
        self.stated.and_then(|notice| notice.rate_limit)
    }

    /// Whether answers to queries tell when a limit ends.
    pub(crate) fn is_stated_to_queries(&self) -> bool {
        self.is_stated_to_queries
    }

    /// Records that a query begins.
    pub(crate) fn begin_query(&mut self, now: MonoTime) {
        self.checked_at = now;
    }

    /// When to query the backend server for the end of its limit, `None` without a limit.
    pub(crate) fn next_query(&self) -> Option<MonoTime> {
        self.rate_limit()?;
        Some(self.checked_at + CHECK_INTERVAL)
    }

    /// Records that the backend server is leaving.
    pub(crate) fn learn_leaving(&mut self) {
        self.notice_mut().is_leaving = true;
    }

    /// Forgets that the backend server is leaving.
    pub(crate) fn forget_leaving(&mut self) {
        if let Some(notice) = &mut self.stated {
            notice.is_leaving = false;
        }
    }

    /// Whether the backend server stated that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stated.is_some_and(|notice| notice.is_leaving)
    }

    /// What the backend server stated, created without a limit at the first statement.
    fn notice_mut(&mut self) -> &mut ServerNotice {
        let server = self.server;
        self.stated.get_or_insert(ServerNotice {
            server,
            ..ServerNotice::default()
        })
    }
}
