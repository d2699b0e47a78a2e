//! The guard of an open request or connection.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Counts a request or connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    /// Increments `count` until the guard is dropped.
    pub(crate) fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
