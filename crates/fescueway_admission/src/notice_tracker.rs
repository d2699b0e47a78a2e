//! Tracks what a backend server states about itself in its answers.

use fescueway_core::{RateLimit, ServerNotice, ServerStart, StatementSource};

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
}

impl NoticeTracker {
    /// Sets the backend server. Its statements are kept if it is the same start of it.
    pub(crate) fn set_server(&mut self, server: ServerStart) {
        let is_same = self.server.is_same(server);
        self.server = server;
        match &mut self.stated {
            Some(notice) if is_same => notice.server = server,
            _ => self.stated = None,
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
    pub(crate) fn learn_limit(&mut self, source: StatementSource, rate_limit: Option<RateLimit>) {
        let is_query = source == StatementSource::Query;
        self.is_stated_to_queries |= is_query && rate_limit.is_some();
        if is_query && rate_limit.is_none() && !self.is_stated_to_queries {
            return;
        }
        self.notice_mut().rate_limit = rate_limit;
    }

    /// Records that the backend server is leaving.
    pub(crate) fn learn_leaving(&mut self) {
        self.notice_mut().is_leaving = true;
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
