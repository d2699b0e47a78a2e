//! Health of a backend server, derived from its traffic and its health endpoint.

use std::time::Duration;

use fescueway_core::MonoTime;

/// Traffic results older than this are ignored.
const MAX_TRAFFIC_AGE: Duration = Duration::from_secs(5);

/// Total weight of results from which traffic overrules the health endpoint: that of five in a row.
const MIN_RESULT_WEIGHT: f64 = 4.0;

/// Factor by which the weight of earlier results decays with each new one.
const RESULT_DECAY: f64 = 0.9;

/// Share of failed requests above which the backend server is considered failing.
const FAILING_SHARE: f64 = 0.5;

/// Change of the trust in the endpoint when its answer agrees with traffic or contradicts it.
const TRUST_STEP: f64 = 0.25;

/// The endpoint is ignored unless its trust is above this.
const MIN_TRUST: f64 = 0.5;

/// Health of a backend server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HealthStatus {
    /// Most of its requests succeed, or its trusted endpoint reports healthy.
    Healthy,
    /// Most of its requests fail, or its trusted endpoint reports unhealthy.
    Failing,
    /// There is neither fresh traffic nor a trusted answer of the endpoint.
    Unsure,
}

impl HealthStatus {
    /// The name of the status as written in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::Failing => "failing",
            Self::Unsure => "unsure",
        }
    }
}

/// Derives the health of a backend server from its traffic and its health endpoint.
///
/// Fresh traffic takes precedence. Without it the endpoint decides, unless traffic has
/// contradicted it before, in either direction.
#[derive(Clone, Debug)]
pub struct HealthTracker {
    /// Decayed weight of all request results.
    result_weight: f64,
    /// Decayed weight of failed requests.
    failure_weight: f64,
    /// Time of the last request result.
    last_result_at: Option<MonoTime>,
    /// Last answer of the endpoint: whether the backend server is healthy.
    last_probe: Option<bool>,
    /// Trust in the endpoint, from 0 to 1.
    trust: f64,
}

impl Default for HealthTracker {
    fn default() -> Self {
        Self {
            result_weight: 0.0,
            failure_weight: 0.0,
            last_result_at: None,
            last_probe: None,
            trust: 1.0,
        }
    }
}

impl HealthTracker {
    /// Records the result of a request: whether the backend server answered it without failing.
    pub fn record_traffic(&mut self, now: MonoTime, is_success: bool) {
        if !self.is_traffic_fresh(now) {
            self.result_weight = 0.0;
            self.failure_weight = 0.0;
        }
        let failed = if is_success { 0.0 } else { 1.0 };
        self.result_weight = self.result_weight * RESULT_DECAY + 1.0;
        self.failure_weight = self.failure_weight * RESULT_DECAY + failed;
        self.last_result_at = Some(now);
    }

    /// Records an answer of the health endpoint. Returns whether traffic contradicts it.
    pub fn record_probe(&mut self, now: MonoTime, is_healthy: bool) -> bool {
        self.last_probe = Some(is_healthy);
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

    /// Discards the last answer of the health endpoint, because the endpoint no longer exists.
    pub fn clear_probe(&mut self) {
        self.last_probe = None;
    }

    /// Current health of the backend server.
    #[must_use]
    pub fn status(&self, now: MonoTime) -> HealthStatus {
        if let Some(status) = self.traffic_status(now) {
            return status;
        }
        match self.last_probe {
            Some(is_healthy) if self.is_probe_trusted() => status_of(is_healthy),
            _ => HealthStatus::Unsure,
        }
    }

    /// Whether answers of the health endpoint are taken into account.
    #[must_use]
    pub fn is_probe_trusted(&self) -> bool {
        self.trust > MIN_TRUST
    }

    /// Whether a request ended recently enough for traffic to be taken into account.
    #[must_use]
    pub fn is_traffic_fresh(&self, now: MonoTime) -> bool {
        self.last_result_at
            .is_some_and(|at| now.since(at) < MAX_TRAFFIC_AGE)
    }

    /// Health according to traffic, `None` when there is too little of it.
    fn traffic_status(&self, now: MonoTime) -> Option<HealthStatus> {
        let is_enough = self.result_weight >= MIN_RESULT_WEIGHT && self.is_traffic_fresh(now);
        is_enough.then(|| status_of(self.failure_weight <= self.result_weight * FAILING_SHARE))
    }
}

/// Converts an answer of the endpoint, or the result of traffic, to a status.
fn status_of(is_healthy: bool) -> HealthStatus {
    if is_healthy {
        HealthStatus::Healthy
    } else {
        HealthStatus::Failing
    }
}
