//! The tasks of one node, which are cancelled together.

use hyper::rt::Executor;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// The tasks of one node, which are cancelled together. Cheap to clone.
///
/// Several nodes can run in one runtime, so a node must be able to stop without shutting that down.
#[derive(Clone, Debug, Default)]
pub struct TaskGroup {
    /// Cancels every task.
    token: CancellationToken,
    /// Tracks the running tasks.
    tracker: TaskTracker,
}

impl<F: Future<Output = ()> + Send + 'static> Executor<F> for TaskGroup {
    fn execute(&self, fut: F) {
        self.spawn(fut);
    }
}

impl TaskGroup {
    /// Runs `task` until it ends or the group is cancelled.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.token.clone();
        // Boxed, since each wrapper that holds the future inline would move it and add its size
        // once more.
        let task = Box::pin(task);
        self.tracker.spawn(async move {
            token.run_until_cancelled(task).await;
        });
    }

    /// Ends every task at its next await without cleanup, like a crash.
    pub fn cancel(&self) {
        self.token.cancel();
    }

    /// Whether the group was cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Number of running tasks.
    #[must_use]
    pub fn count(&self) -> usize {
        self.tracker.len()
    }

    /// Waits until every task has ended.
    pub async fn finished(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}
