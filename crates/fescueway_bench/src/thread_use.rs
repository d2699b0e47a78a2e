//! What a thread used so far, as the operating system counts it.

use std::{fs, time::Duration};

/// What a thread used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThreadUse {
    /// Processor time.
    pub processor: Duration,
    /// Times that it slept and was woken.
    pub wakeups: u64,
}

impl ThreadUse {
    /// What the current thread used so far; zero where the operating system doesn't tell.
    #[must_use]
    pub fn now() -> Self {
        let statistics = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
        let nanos = statistics.split_whitespace().next();
        let nanos = nanos.and_then(|text| text.parse().ok());
        Self {
            processor: Duration::from_nanos(nanos.unwrap_or_default()),
            wakeups: status_field("/proc/thread-self/status", "voluntary_ctxt_switches:"),
        }
    }

    /// What was used since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            processor: self.processor.saturating_sub(earlier.processor),
            wakeups: self.wakeups.saturating_sub(earlier.wakeups),
        }
    }
}

/// Resident memory of the process in bytes; zero where the operating system doesn't tell.
#[must_use]
pub fn resident_bytes() -> u64 {
    const BYTES_PER_KB: u64 = 1_024;
    status_field("/proc/self/status", "VmRSS:") * BYTES_PER_KB
}

/// The number that follows `name` in a status file of the operating system.
fn status_field(path: &str, name: &str) -> u64 {
    let status = fs::read_to_string(path).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    number
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}
