//! Decides which requests a stopping entry still takes.

use std::time::Duration;

use fescueway_core::MonoTime;

/// When a stopping node ends its work.
///
/// Until the end of the linger time callers can't know yet that the node stops, so all their requests
/// are taken. A later one is taken only if it ends before the node aborts what is in flight: one that
/// was aborted may have run, while a refused one may be sent elsewhere.
///
/// ```
/// # use std::time::Duration;
/// # use fescueway_admission::StopSchedule;
/// # use fescueway_core::MonoTime;
/// let schedule = StopSchedule::new(MonoTime::ZERO, Duration::from_secs(2), Duration::from_secs(9));
/// let late = MonoTime::ZERO + Duration::from_secs(8);
/// assert!(schedule.is_taken(late, Duration::from_millis(500)));
/// assert!(!schedule.is_taken(late, Duration::from_secs(2)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct StopSchedule {
    /// When the stop began.
    start: MonoTime,
    /// When the linger time ends.
    linger_end: MonoTime,
    /// When requests in flight are aborted. Not before `linger_end`.
    deadline: MonoTime,
}

impl StopSchedule {
    /// The schedule of a stop that begins at `now`, serves on for `linger`, and aborts what is in flight
    /// after `timeout`. Both count from `now`.
    #[must_use]
    pub fn new(now: MonoTime, linger: Duration, timeout: Duration) -> Self {
        Self {
            start: now,
            linger_end: now + linger.min(timeout),
            deadline: now + timeout,
        }
    }

    /// Whether a request is taken that was received at `now` and ends within `time_left`.
    #[must_use]
    pub fn is_taken(&self, now: MonoTime, time_left: Duration) -> bool {
        now < self.linger_end || now + time_left <= self.deadline
    }

    /// Time since the stop began.
    #[must_use]
    pub fn elapsed(&self, now: MonoTime) -> Duration {
        now.since(self.start)
    }

    /// Whether requests in flight are aborted by now.
    #[must_use]
    pub fn is_over(&self, now: MonoTime) -> bool {
        now >= self.deadline
    }
}
