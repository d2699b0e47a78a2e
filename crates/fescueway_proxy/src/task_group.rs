//! The tasks of one node, ended together.

use hyper::rt::Executor;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// The tasks of one node, ended together. Cheap to clone.
///
/// A node that is embedded beside others must be able to end without its runtime.
#[derive(Clone, Debug, Default)]
pub struct TaskGroup {
    /// Ends every task when cancelled.
    token: CancellationToken,
    /// Knows which tasks still run.
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
        // Each layer around a future that it holds itself moves and sizes it once more.
        let task = Box::pin(task);
        self.tracker.spawn(async move {
            token.run_until_cancelled(task).await;
        });
    }

    /// Ends every task at its next await, as a crash would.
    pub fn cancel(&self) {
        self.token.cancel();
    }

    /// Whether the group was cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Waits until every task ended.
    pub async fn finished(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}
