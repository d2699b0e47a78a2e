//! How a backend server stand-in behaves.

use std::time::Duration;

/// What goes wrong at a backend server stand-in.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BackendFault {
    /// Every request is answered 500 at once.
    FailFast,
    /// Answers are cut after their first half.
    TruncateResponses,
    /// Requests run, and the connection is cut in place of an answer.
    DropResponses,
    /// A connection takes one request; it is cut, and nothing runs, when a second one arrives.
    CloseReusedConnections,
}

/// How a backend server stand-in tells of its load with its answers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReportForm {
    /// In the JSON form of ORCA.
    Json,
    /// In a form that nobody reads.
    Garbage,
    /// Not at all.
    Silent,
}

/// How a backend server stand-in behaves. It can be changed while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendPlan {
    /// Requests that run at once; more wait inside the backend server.
    pub slots: u32,
    /// Median time that a request takes at full speed.
    pub service_time: Duration,
    /// Spread of the service time: the sigma of its logarithm, zero for none.
    pub spread: f64,
    /// Service times are multiplied by this. Ten makes a straggler.
    pub slowdown: f64,
    /// What goes wrong, if anything.
    pub fault: Option<BackendFault>,
    /// Time that a probe takes at the load path.
    pub probe_time: Duration,
    /// For how long its port stays open after a crash; connections are cut as soon as they open.
    pub exit_time: Duration,
    /// HTTP status of the answer to a probe.
    pub probe_status: u16,
    /// How it tells of its load.
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
