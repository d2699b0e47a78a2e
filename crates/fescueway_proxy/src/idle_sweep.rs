//! A task that closes idle connections of a pool.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;

use crate::task_group::TaskGroup;

/// A task that closes idle connections of a pool. It runs only while the pool has connections.
#[derive(Debug, Default)]
pub struct IdleSweep {
    /// Whether the task is running.
    is_running: Arc<AtomicBool>,
}

impl IdleSweep {
    /// Starts a task that calls `close_idle` every `interval` until it returns `true`, when no
    /// connection is left. No effect while the task is running.
    pub fn start(
        &self,
        tasks: &TaskGroup,
        interval: Duration,
        close_idle: impl Fn() -> bool + Send + 'static,
    ) {
        if self.is_running.swap(true, Ordering::Relaxed) {
            return;
        }
        let is_running = Arc::clone(&self.is_running);
        tasks.spawn(async move {
            loop {
                sleep(interval).await;
                // Cleared before the check, so that a connection added after it starts the task
                // again.
                is_running.store(false, Ordering::Relaxed);
                if close_idle() || is_running.swap(true, Ordering::Relaxed) {
                    break;
                }
            }
        });
    }
}
