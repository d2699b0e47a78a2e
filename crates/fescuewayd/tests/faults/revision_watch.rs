//! Checks that the revision in force never decreases at any node.

use std::{sync::Arc, time::Duration};

use fescuewayd::StatusBoard;
use tokio::{sync::Notify, task::JoinHandle, time::timeout};

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Checks that the revision in force never decreases at any node.
#[derive(Debug)]
pub struct RevisionWatch {
    /// Notifies the task to stop.
    stop_notify: Arc<Notify>,
    /// Returns each decrease: the index of the node, the revision before and after.
    task: JoinHandle<Vec<(usize, u64, u64)>>,
}

impl RevisionWatch {
    /// Starts to poll the status boards of these nodes.
    pub fn start(boards: Vec<StatusBoard>) -> Self {
        let stop_notify = Arc::new(Notify::new());
        let task_notify = Arc::clone(&stop_notify);
        let task = tokio::spawn(async move {
            let mut last_revisions = vec![0; boards.len()];
            let mut decreases = Vec::new();
            while timeout(POLL_INTERVAL, task_notify.notified())
                .await
                .is_err()
            {
                poll_boards(&boards, &mut last_revisions, &mut decreases);
            }
            decreases
        });
        Self { stop_notify, task }
    }

    /// Stops the watch and checks that no revision decreased.
    pub async fn check(self) {
        self.stop_notify.notify_one();
        let decreases = self.task.await.expect("the task doesn't panic");
        assert!(decreases.is_empty(), "revisions decreased: {decreases:?}");
    }
}

/// Records the nodes whose revision is lower than at the last poll.
fn poll_boards(
    boards: &[StatusBoard],
    last_revisions: &mut [u64],
    decreases: &mut Vec<(usize, u64, u64)>,
) {
    for (index, (board, last)) in boards.iter().zip(last_revisions).enumerate() {
        let current = board.facts().in_force;
        if current < *last {
            decreases.push((index, *last, current));
        }
        *last = current;
    }
}
