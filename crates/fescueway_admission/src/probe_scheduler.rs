//! When a host probes its backend server.

use std::time::Duration;

use fescueway_core::MonoTime;

use crate::{HealthStatus, HealthTracker, ProbeBudget};

/// Shortest time between the starts of two probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Longest time between two probes while traffic flows. They show whether the health endpoint
/// tells the truth, for when traffic stops. Also how often one that was not there is looked for.
const CHECK_PAUSE: Duration = Duration::from_secs(30);

/// How a probe ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeEnd {
    /// The endpoint said that the backend server is healthy.
    Healthy,
    /// The endpoint said that it is not, or didn't answer in time.
    Unhealthy,
    /// The backend server has no such endpoint, which says nothing of its health.
    Absent,
}

/// Decides when a host probes its backend server: within the budget, and only for what traffic
/// doesn't tell.
#[derive(Clone, Debug)]
pub struct ProbeScheduler {
    /// Backend time that is left for probes.
    budget: ProbeBudget,
    /// What is believed of the backend server.
    belief: HealthTracker,
    /// When the last probe began, or the backend server told of its load with an answer.
    told_at: MonoTime,
    /// Whether the last probe found no endpoint.
    is_absent: bool,
    /// Backend time that probes took in all.
    charged: Duration,
    /// Probes begun in all.
    probes: u64,
}

impl ProbeScheduler {
    /// A scheduler that has probed nothing, at `now`.
    #[must_use]
    pub fn new(now: MonoTime, budget: ProbeBudget) -> Self {
        Self {
            budget,
            belief: HealthTracker::default(),
            told_at: now,
            is_absent: false,
            charged: Duration::ZERO,
            probes: 0,
        }
    }

    /// Begins a probe if one is due and within the budget. Returns after how long to cut it off.
    pub fn begin(&mut self, now: MonoTime) -> Option<Duration> {
        if now < self.due_at(now) {
            return None;
        }
        let timeout = self.budget.begin(now)?;
        self.told_at = now;
        self.probes += 1;
        Some(timeout)
    }

    /// The probe ended. Returns whether traffic contradicts what it said.
    pub fn end(&mut self, now: MonoTime, end: ProbeEnd) -> bool {
        self.charged += self.budget.end(now);
        self.is_absent = end == ProbeEnd::Absent;
        if self.is_absent {
            self.belief.forget_probe();
            return false;
        }
        self.belief.record_probe(now, end == ProbeEnd::Healthy)
    }

    /// The backend server told of its load with an answer, so that a probe now would tell no more.
    pub fn record_load_report(&mut self, now: MonoTime) {
        self.told_at = self.told_at.max(now);
    }

    /// A request ended: whether the backend server answered it without failing.
    pub fn record_traffic(&mut self, now: MonoTime, is_success: bool) {
        self.belief.record_traffic(now, is_success);
    }

    /// When to call [`ProbeScheduler::begin`] next. `None` when the budget allows no probe.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        let allowed_at = self.budget.next_begin()?;
        Some(allowed_at.max(self.due_at(now)))
    }

    /// Whether the backend server is healthy.
    #[must_use]
    pub fn status(&self, now: MonoTime) -> HealthStatus {
        self.belief.status(now)
    }

    /// Whether the health endpoint counts for anything.
    #[must_use]
    pub fn is_probe_trusted(&self) -> bool {
        self.belief.is_probe_trusted()
    }

    /// Backend time that probes took in all.
    #[must_use]
    pub fn charged(&self) -> Duration {
        self.charged
    }

    /// Probes begun in all.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.probes
    }

    /// When a probe would tell something that traffic doesn't.
    fn due_at(&self, now: MonoTime) -> MonoTime {
        let pause = if self.is_absent || self.belief.is_traffic_fresh(now) {
            CHECK_PAUSE
        } else {
            PROBE_PAUSE
        };
        self.told_at + pause
    }
}
