//! Faults of the store stub, which can be switched on and off while it runs.

use std::{collections::BTreeMap, time::Duration};

/// Faults of the store stub. The default has none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// Every call's connection is closed before the call takes effect.
    pub is_down: bool,
    /// Every response is delayed by this long.
    pub delay: Duration,
    /// Number of transactions that take effect and then close the connection without a response.
    pub lost_answers: u32,
    /// Reads return the state at the time when this was switched on.
    pub is_stale: bool,
    /// Calls that are served in each second, `None` for all. The rest get status 429.
    pub calls_per_second: Option<u32>,
}

/// The counters of the store stub.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreTally {
    /// Calls by path, including those that got an error or no response.
    pub calls: BTreeMap<String, u64>,
    /// Calls in the busiest second so far.
    pub peak_per_second: u64,
    /// Calls in the current second.
    pub(crate) current_second: u64,
}

impl StoreTally {
    /// Total number of calls.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.calls.values().sum()
    }
}
