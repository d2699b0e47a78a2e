//! Watches that the configuration in force never goes back at any node.

use std::{sync::Arc, time::Duration};

use fescuewayd::StatusBoard;
use tokio::{sync::Notify, task::JoinHandle, time::timeout};

/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(5);

/// Watches that the configuration in force never goes back at any node.
#[derive(Debug)]
pub struct RevisionWatch {
    /// Ends the watch.
    ending: Arc<Notify>,
    /// Gives each step back: the node, the revision before and after.
    task: JoinHandle<Vec<(usize, u64, u64)>>,
}

impl RevisionWatch {
    /// Watches these nodes.
    pub fn start(boards: Vec<StatusBoard>) -> Self {
        let ending = Arc::new(Notify::new());
        let ended = Arc::clone(&ending);
        let task = tokio::spawn(async move {
            let mut seen = vec![0; boards.len()];
            let mut falls = Vec::new();
            while timeout(PERIOD, ended.notified()).await.is_err() {
                look(&boards, &mut seen, &mut falls);
            }
            falls
        });
        Self { ending, task }
    }

    /// Ends the watch: no node went back.
    pub async fn check(self) {
        self.ending.notify_one();
        let falls = self.task.await.expect("no panic");
        assert!(falls.is_empty(), "revisions fell: {falls:?}");
    }
}

/// Compares each node with what was seen of it before.
fn look(boards: &[StatusBoard], seen: &mut [u64], falls: &mut Vec<(usize, u64, u64)>) {
    for (index, (board, before)) in boards.iter().zip(seen).enumerate() {
        let now = board.facts().in_force;
        if now < *before {
            falls.push((index, *before, now));
        }
        *before = now;
    }
}
