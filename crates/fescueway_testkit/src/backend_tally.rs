//! What a backend server stand-in counted.

use std::{collections::BTreeMap, time::Duration};

/// What a backend server stand-in counted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BackendTally {
    /// Requests that began to run, probes left out.
    pub runs: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests whose connection went away while they ran.
    pub cancelled: u64,
    /// Requests running now.
    pub in_flight: u32,
    /// Requests that ran at once at most.
    pub peak_in_flight: u32,
    /// Runs by the `x-run-key` header of the request.
    pub runs_by_key: BTreeMap<String, u32>,
    /// Bytes of request bodies.
    pub body_bytes: u64,
    /// Connections that were opened.
    pub connections: u64,
    /// Probes that were answered.
    pub probes: u64,
    /// Time that probes took.
    pub probe_time: Duration,
}
