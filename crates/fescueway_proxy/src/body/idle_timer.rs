//! Idle timeout of a body.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::time::{Sleep, sleep};

use super::BodyError;

/// Idle timeout of a body: limits the wait for the next frame.
#[derive(Debug)]
pub struct IdleTimer {
    /// Longest wait for a frame.
    limit: Duration,
    /// Timer of the current wait, created when the wait begins.
    sleep: Option<Pin<Box<Sleep>>>,
}

impl IdleTimer {
    /// Creates a timer that limits each wait to `limit`.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self { limit, sleep: None }
    }

    /// Longest wait for a frame.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Returns `frame`, the result of polling the body, or [`BodyError::Idle`] if the body has been
    /// pending for longer than the limit.
    pub fn bound<T>(
        &mut self,
        context: &mut Context<'_>,
        frame: Poll<Option<Result<T, BodyError>>>,
    ) -> Poll<Option<Result<T, BodyError>>> {
        if frame.is_ready() {
            self.sleep = None;
            return frame;
        }
        let limit = self.limit;
        let timer = self.sleep.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Some(Err(BodyError::Idle)))
    }
}
