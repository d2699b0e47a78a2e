//! The status that the tasks of a node report to operators.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescueway_core::MonoTime;
use fescueway_membership::TrafficCounts;
use fescueway_telemetry::StoreState;

/// The status that the tasks of a node report to operators. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct StatusBoard(Arc<Mutex<BoardFacts>>);

/// The contents of a [`StatusBoard`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BoardFacts {
    /// The highest known revision of the configuration.
    pub revision: u64,
    /// The revision in force.
    pub in_force: u64,
    /// Time at which it came in force.
    pub in_force_at: MonoTime,
    /// Why the highest revision can't be applied.
    pub config_error: Option<String>,
    /// Whether the node waits, after its start, for the first proof that its configuration is the latest.
    pub is_awaiting_proof: bool,
    /// Number of times that the node came to be without such a proof.
    pub key_proof_losses: u64,
    /// Whether the store is reachable.
    pub store: StoreState,
    /// Number of other nodes known to be up.
    pub peers: u32,
    /// Traffic counts of the membership.
    pub traffic: TrafficCounts,
    /// Whether operators, or a stop, drain the local targets.
    pub is_draining: bool,
    /// Whether the node is stopping.
    pub is_stopping: bool,
}

impl StatusBoard {
    /// A copy of the current contents.
    #[must_use]
    pub fn facts(&self) -> BoardFacts {
        self.lock().clone()
    }

    /// Changes the contents.
    pub fn change(&self, change: impl FnOnce(&mut BoardFacts)) {
        change(&mut self.lock());
    }

    /// Locks the contents.
    fn lock(&self) -> MutexGuard<'_, BoardFacts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
