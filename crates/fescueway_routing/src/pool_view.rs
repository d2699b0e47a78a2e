//! Aggregate load of a service's targets, as one entry sees it.

use std::time::Duration;

use fescueway_core::LoadReport;

/// Weight of one report in the moving average of the load.
const LOAD_WEIGHT: f64 = 0.2;

/// Weight of one report in the moving averages of service time, pace and wait.
const REPORT_WEIGHT: f64 = 0.05;

/// Service time assumed before the first report, in microseconds.
const INITIAL_SERVICE_US: f64 = 10_000.0;

/// Load share assumed before the first report.
const INITIAL_LOAD_SHARE: f64 = 0.5;

/// Aggregate load of a service's targets, as one entry sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolView {
    /// Mean load as a share of the concurrency limit.
    load_share: f64,
    /// Typical time that a request holds a slot, in microseconds.
    service_us: f64,
    /// Recent duration of work, as a multiple of its usual duration.
    pace: f64,
    /// Recent mean of the reported expected wait, in microseconds.
    wait_us: f64,
    /// Whether a report has set the service time.
    is_known: bool,
}

impl Default for PoolView {
    fn default() -> Self {
        Self {
            load_share: INITIAL_LOAD_SHARE,
            service_us: INITIAL_SERVICE_US,
            pace: 1.0,
            wait_us: 0.0,
            is_known: false,
        }
    }
}

impl PoolView {
    /// Mean load as a share of the concurrency limit; above 1 when requests are queued.
    pub(crate) fn load_share(&self) -> f64 {
        self.load_share
    }

    /// Typical time that a request holds a slot, in microseconds.
    pub(crate) fn service_us(&self) -> f64 {
        self.service_us
    }

    /// Recent duration of work, as a multiple of its usual duration.
    pub(crate) fn pace(&self) -> f64 {
        self.pace
    }

    /// Recent mean of the reported expected wait for a slot.
    pub(crate) fn wait(&self) -> Duration {
        Duration::from_micros(self.wait_us as u64)
    }

    /// Records one target's load report.
    pub(crate) fn observe(&mut self, report: &LoadReport) {
        let load = f64::from(report.in_flight + report.queued);
        let share = load / f64::from(report.limit.max(1));
        self.load_share += (share - self.load_share) * LOAD_WEIGHT;
        self.wait_us += (f64::from(report.wait_us) - self.wait_us) * REPORT_WEIGHT;
        self.pace += (report_pace(report) - self.pace) * REPORT_WEIGHT;
        self.observe_service_time(f64::from(report.service_time_us));
    }

    /// Updates the typical service time. Each report moves it by a bounded step, as for a running
    /// median, so that one slow target doesn't make the others look fast.
    fn observe_service_time(&mut self, service_us: f64) {
        if service_us <= 0.0 {
            return;
        }
        if !self.is_known {
            self.is_known = true;
            self.service_us = service_us;
            return;
        }
        let step = self.service_us * REPORT_WEIGHT;
        self.service_us += (service_us - self.service_us).clamp(-step, step);
    }
}

/// The reported duration of work, as a multiple of its usual duration; 1 when unknown.
pub(crate) fn report_pace(report: &LoadReport) -> f64 {
    match report.work_permille {
        0 => 1.0,
        permille => f64::from(permille) / 1_000.0,
    }
}
