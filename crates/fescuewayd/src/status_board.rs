//! What the tasks of a node tell operators about themselves.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescueway_core::MonoTime;
use fescueway_membership::TrafficCounts;
use fescueway_telemetry::StoreState;

/// What the tasks of a node tell operators. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct StatusBoard(Arc<Mutex<BoardFacts>>);

/// What stands on a [`StatusBoard`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BoardFacts {
    /// The highest revision of the configuration that was heard of.
    pub revision: u64,
    /// The revision in force.
    pub in_force: u64,
    /// When it came in force.
    pub in_force_at: MonoTime,
    /// Why the highest revision can't be applied.
    pub config_error: Option<String>,
    /// Whether the store is reached.
    pub store: StoreState,
    /// Other nodes that are known to be up.
    pub peers: u32,
    /// What the membership sent and received.
    pub traffic: TrafficCounts,
    /// Whether operators drain the targets beside this node.
    pub is_draining: bool,
    /// Whether the node was told to stop.
    pub is_stopping: bool,
}

impl StatusBoard {
    /// What stands there now.
    #[must_use]
    pub fn facts(&self) -> BoardFacts {
        self.lock().clone()
    }

    /// Changes what stands there.
    pub fn change(&self, change: impl FnOnce(&mut BoardFacts)) {
        change(&mut self.lock());
    }

    /// The facts, locked.
    fn lock(&self) -> MutexGuard<'_, BoardFacts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
