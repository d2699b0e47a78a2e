//! Closes idle connections of a pool, while it has any.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;

use crate::task_group::TaskGroup;

/// Closes idle connections of a pool, while it has any: an empty pool needs no task.
#[derive(Debug, Default)]
pub struct IdleSweep {
    /// Whether the task runs.
    is_running: Arc<AtomicBool>,
}

impl IdleSweep {
    /// Runs `close_idle` every `interval` until it tells that nothing is left. Nothing happens while
    /// it does so already.
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
                // Set before the look, so that what comes after it starts the task again.
                is_running.store(false, Ordering::Relaxed);
                if close_idle() || is_running.swap(true, Ordering::Relaxed) {
                    break;
                }
            }
        });
    }
}
