//! The behavior of a backend server stub.

use std::time::Duration;

/// A fault that a backend server stub injects.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BackendFault {
    /// Answers every request with status 500 at once.
    FailFast,
    /// Closes the connection after the first half of a response.
    TruncateResponses,
    /// Runs requests, then closes the connection without a response.
    DropResponses,
    /// Serves one request on each connection; a second one doesn't run, and closes the connection.
    CloseReusedConnections,
}

/// How a backend server stub reports its load in responses.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReportForm {
    /// In the JSON format of ORCA.
    Json,
    /// In a malformed header.
    Garbage,
    /// No report.
    Silent,
}

/// The behavior of a backend server stub. It can be changed while the stub runs.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendPlan {
    /// Number of requests that run concurrently; further ones queue inside the backend server.
    pub slots: u32,
    /// Median time that a request takes without slowdown.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time; zero for a constant time.
    pub spread: f64,
    /// Factor on service times. Ten makes a straggler.
    pub slowdown: f64,
    /// The injected fault, if any.
    pub fault: Option<BackendFault>,
    /// Time that a probe of the load path takes.
    pub probe_time: Duration,
    /// How long the port stays open after a crash; new connections are closed at once.
    pub exit_time: Duration,
    /// HTTP status of the response to a probe.
    pub probe_status: u16,
    /// Format of the load report.
    pub report: ReportForm,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for BackendPlan {
    fn default() -> Self {
        Self {
            slots: 10,
            service_time: Duration::from_millis(5),
            spread: 0.0,
            slowdown: 1.0,
            fault: None,
            probe_time: Duration::from_millis(1),
            exit_time: Duration::ZERO,
            probe_status: 200,
            report: ReportForm::Json,
            seed: 1,
        }
    }
}
