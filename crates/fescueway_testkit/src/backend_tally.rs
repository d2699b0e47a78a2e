//! The counters of a backend server stub.

use std::{collections::BTreeMap, time::Duration};

/// The counters of a backend server stub.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BackendTally {
    /// Requests that began to run, without probes.
    pub runs: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests whose connection closed while they ran.
    pub cancelled: u64,
    /// Requests that are running.
    pub in_flight: u32,
    /// Highest number of requests that ran concurrently.
    pub peak_in_flight: u32,
    /// Runs by the request's `x-run-key` header.
    pub runs_by_key: BTreeMap<String, u32>,
    /// Bytes of request bodies.
    pub body_bytes: u64,
    /// Connections that were accepted.
    pub connections: u64,
    /// Probes that were answered.
    pub probes: u64,
    /// Total time that probes took.
    pub probe_time: Duration,
}
