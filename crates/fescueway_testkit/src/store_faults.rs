//! Faults of the store stand-in, to be switched on and off while it runs.

use std::{collections::BTreeMap, time::Duration};

/// Faults of the store stand-in. The default has none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// Every connection is cut as soon as a call arrives; nothing takes effect.
    pub is_down: bool,
    /// Every answer is held back for this long.
    pub delay: Duration,
    /// This many transactions take effect and then lose their answer.
    pub lost_answers: u32,
    /// Reads are answered from the state at the time this was switched on.
    pub is_stale: bool,
    /// Calls that are answered in each second, `None` for all. The rest get status 429.
    pub calls_per_second: Option<u32>,
}

/// How often each path was called.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreTally {
    /// Calls by path, those that were refused or cut included.
    pub calls: BTreeMap<String, u64>,
    /// Calls in the busiest second so far.
    pub peak_per_second: u64,
    /// Calls in the second that is running.
    pub(crate) this_second: u64,
}

impl StoreTally {
    /// Calls in all.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.calls.values().sum()
    }
}
