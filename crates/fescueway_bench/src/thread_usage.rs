//! Resource usage of a thread, as counted by the operating system.

use std::{fs, time::Duration};

/// Resource usage of a thread since it started.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThreadUsage {
    /// CPU time.
    pub processor: Duration,
    /// Number of voluntary context switches.
    pub wakeups: u64,
}

impl ThreadUsage {
    /// Returns the usage of the current thread; zero where `/proc` is not available.
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

    /// Returns the usage since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            processor: self.processor.saturating_sub(earlier.processor),
            wakeups: self.wakeups.saturating_sub(earlier.wakeups),
        }
    }
}

/// Returns the resident memory of the process in bytes; zero where `/proc` is not available.
#[must_use]
pub fn resident_bytes() -> u64 {
    const BYTES_PER_KB: u64 = 1_024;
    status_field("/proc/self/status", "VmRSS:") * BYTES_PER_KB
}

/// Returns the number after `name` in a status file under `/proc`, or zero.
fn status_field(path: &str, name: &str) -> u64 {
    let status = fs::read_to_string(path).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    number
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}
