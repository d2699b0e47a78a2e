//! Whether a backend server is healthy, from its traffic and from its health endpoint.

use std::time::Duration;

use fescueway_core::MonoTime;

/// Traffic older than this counts for nothing.
const TRAFFIC_FRESH: Duration = Duration::from_secs(5);

/// Weight of results at which traffic outweighs the health endpoint: that of five in a row.
const RESULT_FLOOR: f64 = 4.0;

/// The weight that a result of traffic keeps when another one comes.
const RESULT_DECAY: f64 = 0.9;

/// Above this share of failures, traffic says that the backend server is failing.
const FAILING_SHARE: f64 = 0.5;

/// How much one contradiction or agreement with traffic moves the trust in the endpoint.
const TRUST_STEP: f64 = 0.25;

/// Below this trust the endpoint counts for nothing.
const TRUST_FLOOR: f64 = 0.5;

/// Whether a backend server is healthy.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HealthStatus {
    /// It answers.
    Healthy,
    /// It fails most of what it is given.
    Failing,
    /// Nothing that can be trusted speaks for either.
    Unsure,
}

impl HealthStatus {
    /// The verdict as it stands in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::Failing => "failing",
            Self::Unsure => "unsure",
        }
    }
}

/// Whether a backend server is healthy, from its traffic and from its health endpoint.
///
/// Fresh traffic decides. Without it the endpoint decides, unless traffic has contradicted it
/// before, in either direction.
#[derive(Clone, Debug)]
pub struct HealthTracker {
    /// Weight of the results of traffic.
    results: f64,
    /// Weight of those that failed.
    failures: f64,
    /// The last result of traffic.
    result_at: Option<MonoTime>,
    /// What the endpoint said last.
    probe: Option<bool>,
    /// Trust in the endpoint, from 0 to 1.
    trust: f64,
}

impl Default for HealthTracker {
    fn default() -> Self {
        Self {
            results: 0.0,
            failures: 0.0,
            result_at: None,
            probe: None,
            trust: 1.0,
        }
    }
}

impl HealthTracker {
    /// A request ended: whether the backend server answered it without failing.
    pub fn record_traffic(&mut self, now: MonoTime, is_success: bool) {
        if !self.is_traffic_fresh(now) {
            self.results = 0.0;
            self.failures = 0.0;
        }
        let failed = if is_success { 0.0 } else { 1.0 };
        self.results = self.results * RESULT_DECAY + 1.0;
        self.failures = self.failures * RESULT_DECAY + failed;
        self.result_at = Some(now);
    }

    /// The health endpoint said whether the backend server is healthy. Returns whether traffic
    /// contradicts it.
    pub fn record_probe(&mut self, now: MonoTime, is_healthy: bool) -> bool {
        self.probe = Some(is_healthy);
        let Some(traffic) = self.traffic_status(now) else {
            return false;
        };
        let is_contradicted = traffic != status_of(is_healthy);
        let step = if is_contradicted {
            -TRUST_STEP
        } else {
            TRUST_STEP
        };
        self.trust = (self.trust + step).clamp(0.0, 1.0);
        is_contradicted
    }

    /// The health endpoint is gone, and what it said last counts no more.
    pub fn forget_probe(&mut self) {
        self.probe = None;
    }

    /// Whether the backend server is healthy.
    #[must_use]
    pub fn status(&self, now: MonoTime) -> HealthStatus {
        if let Some(verdict) = self.traffic_status(now) {
            return verdict;
        }
        match self.probe {
            Some(is_healthy) if self.is_probe_trusted() => status_of(is_healthy),
            _ => HealthStatus::Unsure,
        }
    }

    /// Whether the health endpoint counts for anything.
    #[must_use]
    pub fn is_probe_trusted(&self) -> bool {
        self.trust > TRUST_FLOOR
    }

    /// Whether there was traffic lately.
    #[must_use]
    pub fn is_traffic_fresh(&self, now: MonoTime) -> bool {
        self.result_at
            .is_some_and(|at| now.since(at) < TRAFFIC_FRESH)
    }

    /// What traffic says, when there is enough of it.
    fn traffic_status(&self, now: MonoTime) -> Option<HealthStatus> {
        let is_enough = self.results >= RESULT_FLOOR && self.is_traffic_fresh(now);
        is_enough.then(|| status_of(self.failures <= self.results * FAILING_SHARE))
    }
}

/// What one statement means.
fn status_of(is_healthy: bool) -> HealthStatus {
    if is_healthy {
        HealthStatus::Healthy
    } else {
        HealthStatus::Failing
    }
}
