//! Schedules the health probes that a host sends to its backend server.

use std::time::Duration;

use fescueway_core::MonoTime;

use crate::{HealthStatus, HealthTracker, ProbeBudget};

/// Shortest interval between the starts of two probes.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between probes while there is traffic. These probes verify the health endpoint against
/// traffic, so that it can be relied on when traffic stops. Also the interval at which a missing
/// endpoint is tried again.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// How a probe ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeEnd {
    /// The endpoint reported that the backend server is healthy.
    Healthy,
    /// The endpoint reported that the backend server is unhealthy, or didn't answer in time.
    Unhealthy,
    /// The backend server has no such endpoint, so its health remains unknown.
    Absent,
}

/// Decides when a host probes its backend server: within the budget, and rarely while traffic
/// shows its health.
#[derive(Clone, Debug)]
pub struct ProbeScheduler {
    /// Budget of backend time for probes.
    budget: ProbeBudget,
    /// Health of the backend server.
    health: HealthTracker,
    /// When the last probe began, or an answer last carried a load report, whichever is later.
    last_report_at: MonoTime,
    /// Whether the last probe found no health endpoint.
    is_endpoint_absent: bool,
    /// Total backend time taken by probes.
    charged: Duration,
    /// Total number of probes begun.
    probes: u64,
}

impl ProbeScheduler {
    /// Creates a scheduler that has sent no probe yet.
    #[must_use]
    pub fn new(now: MonoTime, budget: ProbeBudget) -> Self {
        Self {
            budget,
            health: HealthTracker::default(),
            last_report_at: now,
            is_endpoint_absent: false,
            charged: Duration::ZERO,
            probes: 0,
        }
    }

    /// Begins a probe if one is due and within the budget. Returns its timeout.
    pub fn begin(&mut self, now: MonoTime) -> Option<Duration> {
        if now < self.due_at(now) {
            return None;
        }
        let timeout = self.budget.begin(now)?;
        self.last_report_at = now;
        self.probes += 1;
        Some(timeout)
    }

    /// Records the end of the running probe. Returns whether traffic contradicts its result.
    pub fn end(&mut self, now: MonoTime, end: ProbeEnd) -> bool {
        self.charged += self.budget.end(now);
        self.is_endpoint_absent = end == ProbeEnd::Absent;
        if self.is_endpoint_absent {
            self.health.clear_probe();
            return false;
        }
        self.health.record_probe(now, end == ProbeEnd::Healthy)
    }

    /// Records that an answer carried a load report, which makes a probe unnecessary for now.
    pub fn record_load_report(&mut self, now: MonoTime) {
        self.last_report_at = self.last_report_at.max(now);
    }

    /// Records the result of a request: whether the backend server answered it without failing.
    pub fn record_traffic(&mut self, now: MonoTime, is_success: bool) {
        self.health.record_traffic(now, is_success);
    }

    /// When to call [`ProbeScheduler::begin`] next. `None` when the budget allows no probe.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        let allowed_at = self.budget.next_begin()?;
        Some(allowed_at.max(self.due_at(now)))
    }

    /// Current health of the backend server.
    #[must_use]
    pub fn status(&self, now: MonoTime) -> HealthStatus {
        self.health.status(now)
    }

    /// Whether answers of the health endpoint are taken into account.
    #[must_use]
    pub fn is_probe_trusted(&self) -> bool {
        self.health.is_probe_trusted()
    }

    /// Total backend time taken by probes.
    #[must_use]
    pub fn charged(&self) -> Duration {
        self.charged
    }

    /// Total number of probes begun.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.probes
    }

    /// When the next probe is due, regardless of the budget.
    fn due_at(&self, now: MonoTime) -> MonoTime {
        let interval = if self.is_endpoint_absent || self.health.is_traffic_fresh(now) {
            MAX_PROBE_INTERVAL
        } else {
            MIN_PROBE_INTERVAL
        };
        self.last_report_at + interval
    }
}
