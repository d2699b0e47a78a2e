//! Counts what is open.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Counts something that is open, until it is dropped.
#[derive(Debug)]
pub struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    /// Counts one more.
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
