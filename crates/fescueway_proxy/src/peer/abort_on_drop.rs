//! Guard that aborts a task.

use tokio::task::AbortHandle;

/// Aborts a task on drop. Used for the task that sends the body of a request, which ends when the
/// request is cancelled.
#[derive(Debug)]
pub struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    /// Creates a guard of the task of `handle`.
    #[must_use]
    pub fn new(handle: AbortHandle) -> Self {
        Self(handle)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
