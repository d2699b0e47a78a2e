//! Bounds the wait for the next frame of a body.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::time::{Sleep, sleep};

use super::BodyError;

/// Bounds the wait for the next frame of a body.
#[derive(Debug)]
pub struct IdleTimer {
    /// The longest wait.
    limit: Duration,
    /// Ends a wait, made when one begins.
    sleep: Option<Pin<Box<Sleep>>>,
}

impl IdleTimer {
    /// A timer for waits of at most `limit`.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self { limit, sleep: None }
    }

    /// The longest wait.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// What polling the body gave, or [`BodyError::Idle`] when it has been pending for too long.
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
