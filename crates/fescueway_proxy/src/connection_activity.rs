//! Tracks requests and blocked writes on a connection that a caller or a peer opened.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep};

use crate::{open_counts::OpenCount, open_guard::OpenGuard};

/// Time without activity after which a connection that is shutting down is closed. A running caller
/// or peer reacts to the shutdown notice within it; until then it may have sent another request.
pub const CLOSE_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Interval at which a closing connection is checked for activity.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Tracks requests and blocked writes on a connection that a caller or a peer opened.
#[derive(Debug)]
pub struct ConnectionActivity {
    /// Requests whose answer has not ended.
    requests: OpenCount,
    /// Whether a write waits until the other side reads.
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

    /// Waits until nothing has been in flight for `time`.
    pub async fn idle_for(&self, time: Duration) {
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < time {
            sleep(POLL_INTERVAL).await;
            if self.is_busy() {
                idle_since = Instant::now();
            }
        }
    }

    /// Whether the answer to any request has not ended.
    #[must_use]
    pub fn has_requests(&self) -> bool {
        self.requests.get() > 0
    }

    /// Whether a request is open or a write is blocked.
    fn is_busy(&self) -> bool {
        self.requests.get() > 0 || self.is_blocked.load(Ordering::Relaxed)
    }
}
