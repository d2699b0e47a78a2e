//! Whether anything is in flight on a connection that a caller or a peer opened.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep};

use crate::{open_counts::OpenCount, open_guard::OpenGuard};

/// Time in which a caller or a peer that runs answers a goodbye. Until then it may have sent a
/// request that crossed it.
pub const CLOSE_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// How often a closing connection is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Whether anything is in flight on a connection that a caller or a peer opened.
#[derive(Debug)]
pub struct ConnectionActivity {
    /// Requests that are not answered whole.
    requests: OpenCount,
    /// Whether bytes wait until the other side takes some.
    is_blocked: Arc<AtomicBool>,
}

impl ConnectionActivity {
    /// The activity of a connection whose socket sets `is_blocked`.
    #[must_use]
    pub fn new(is_blocked: Arc<AtomicBool>) -> Self {
        Self {
            requests: OpenCount::default(),
            is_blocked,
        }
    }

    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn open_request(&self) -> OpenGuard {
        self.requests.open()
    }

    /// Waits until nothing was in flight for `time`.
    pub async fn idle_for(&self, time: Duration) {
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < time {
            sleep(POLL_INTERVAL).await;
            if self.is_busy() {
                idle_since = Instant::now();
            }
        }
    }

    /// Whether a request is not answered whole.
    #[must_use]
    pub fn has_requests(&self) -> bool {
        self.requests.get() > 0
    }

    /// Whether anything is in flight.
    fn is_busy(&self) -> bool {
        self.requests.get() > 0 || self.is_blocked.load(Ordering::Relaxed)
    }
}
