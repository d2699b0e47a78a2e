//! Idle timeout of a body, and the time limit of its answer.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::time::{Instant, Sleep, sleep_until};

use super::BodyError;

/// Longest wait for a frame after the deadline, in which what is on its way still arrives.
const LATE_LIMIT: Duration = Duration::from_millis(100);

/// Idle timeout of a body: limits the wait for the next frame, and more so after the deadline, if one is
/// set. Frames that keep coming are delivered, however long the body is.
#[derive(Debug)]
pub struct IdleTimer {
    /// Longest wait for a frame.
    limit: Duration,
    /// When the caller stops waiting for an answer of which nothing comes.
    deadline: Option<Instant>,
    /// Timer of the current wait, created when the wait begins.
    sleep: Option<Pin<Box<Sleep>>>,
}

impl IdleTimer {
    /// Creates a timer that limits each wait to `limit`.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            deadline: None,
            sleep: None,
        }
    }

    /// Limits each wait to 100 ms after `deadline`.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
        self.sleep = None;
    }

    /// When the caller stops waiting for an answer; now if that is over or unknown.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        let now = Instant::now();
        self.deadline.map_or(now, |deadline| deadline.max(now))
    }

    /// A timer with the same limits.
    #[must_use]
    pub fn renewed(&self) -> Self {
        Self {
            limit: self.limit,
            deadline: self.deadline,
            sleep: None,
        }
    }

    /// Returns `frame`, the result of polling the body, or [`BodyError::Idle`] if the body has been
    /// pending for longer than the limits.
    pub fn bound<T>(
        &mut self,
        context: &mut Context<'_>,
        frame: Poll<Option<Result<T, BodyError>>>,
    ) -> Poll<Option<Result<T, BodyError>>> {
        if frame.is_ready() {
            self.sleep = None;
            return frame;
        }
        let (limit, deadline) = (self.limit, self.deadline);
        let begin_sleep = || Box::pin(sleep_until(wait_end(limit, deadline)));
        let timer = self.sleep.get_or_insert_with(begin_sleep);
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Some(Err(BodyError::Idle)))
    }
}

/// When a wait that begins now ends.
fn wait_end(limit: Duration, deadline: Option<Instant>) -> Instant {
    let now = Instant::now();
    let idle_end = now + limit;
    let late_end = deadline.map(|deadline| deadline.max(now + LATE_LIMIT));
    late_end.map_or(idle_end, |late_end| late_end.min(idle_end))
}
