//! Ends a task when its owner goes away.

use tokio::task::AbortHandle;

/// Ends the task that sends a request's body when the request is given up.
#[derive(Debug)]
pub struct PumpGuard(AbortHandle);

impl PumpGuard {
    /// Guards a task.
    #[must_use]
    pub fn new(handle: AbortHandle) -> Self {
        Self(handle)
    }
}

impl Drop for PumpGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
