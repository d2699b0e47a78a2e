//! Counts of open requests and connections of a node.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use crate::open_guard::OpenGuard;

/// A count of open requests or connections. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct OpenCount(Arc<AtomicUsize>);

/// Counts of open requests and connections of a node.
#[derive(Debug, Default)]
pub struct OpenCounts {
    /// Requests of callers whose answer has not ended.
    pub requests: OpenCount,
    /// Connections of callers.
    pub caller_connections: OpenCount,
    /// Connections that peers opened.
    pub peer_connections: OpenCount,
}

impl OpenCount {
    /// How many are open.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts one more until the guard is dropped.
    #[must_use]
    pub fn open(&self) -> OpenGuard {
        OpenGuard::new(&self.0)
    }
}
