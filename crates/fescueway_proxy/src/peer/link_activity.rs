//! Whether anything is in flight on a connection that a peer opened.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep};

use crate::{open_counts::OpenCount, open_guard::OpenGuard};

/// How often a closing connection is looked at.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Whether anything is in flight on a connection that a peer opened.
#[derive(Debug)]
pub struct LinkActivity {
    /// Streams that are served.
    streams: OpenCount,
    /// Whether bytes wait until the peer takes some.
    is_blocked: Arc<AtomicBool>,
}

impl LinkActivity {
    /// The activity of a connection whose socket sets `is_blocked`.
    #[must_use]
    pub fn new(is_blocked: Arc<AtomicBool>) -> Self {
        Self {
            streams: OpenCount::default(),
            is_blocked,
        }
    }

    /// Counts a stream until the guard is dropped.
    #[must_use]
    pub fn open_stream(&self) -> OpenGuard {
        self.streams.open()
    }

    /// Waits until nothing was in flight for `time`.
    pub async fn quiet_for(&self, time: Duration) {
        let mut since = Instant::now();
        while since.elapsed() < time {
            sleep(LOOK_PAUSE).await;
            if self.is_busy() {
                since = Instant::now();
            }
        }
    }

    /// Whether anything is in flight.
    fn is_busy(&self) -> bool {
        self.streams.get() > 0 || self.is_blocked.load(Ordering::Relaxed)
    }
}
