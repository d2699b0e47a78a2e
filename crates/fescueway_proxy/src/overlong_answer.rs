//! Answers of backend servers that are cut since they don't end.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use fescueway_core::MonoTime;
use fescueway_telemetry::{SourceRateLimit, events::path};

/// Which answer of a backend server was cut, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OverlongAnswer {
    /// The answer to a query of this node has too long a body.
    Query,
    /// The rest of an answer whose caller has left is too long.
    Rest,
    /// The rest of an answer whose caller has left didn't end before the deadline of its request.
    Late,
}

impl OverlongAnswer {
    /// Name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Query => "query-too-long",
            Self::Rest => "rest-too-long",
            Self::Late => "rest-too-late",
        }
    }
}

/// Counts and logs cut answers.
#[derive(Debug)]
pub(crate) struct OverlongAnswers {
    /// Number since the start.
    count: AtomicU64,
    /// Limits the log lines.
    log: SourceRateLimit<SocketAddr>,
}

impl Default for OverlongAnswers {
    fn default() -> Self {
        Self {
            count: AtomicU64::new(0),
            log: SourceRateLimit::new(&path::BACKEND_ANSWER_CUT),
        }
    }
}

impl OverlongAnswers {
    /// Records one of the backend server at `address`.
    pub(crate) fn record(&self, now: MonoTime, address: SocketAddr, answer: OverlongAnswer) {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.log.emit(now, address, &[&address, &answer.as_str()]);
    }

    /// Number since the start.
    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}
