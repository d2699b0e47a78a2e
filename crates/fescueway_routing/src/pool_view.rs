//! What one entry knows of a service's targets taken together.

use std::time::Duration;

use fescueway_core::LoadReport;

/// Weight of one report in the pool's load.
const LOAD_WEIGHT: f64 = 0.2;

/// Weight of one report in the pool's service time and wait.
const REPORT_WEIGHT: f64 = 0.05;

/// Service time that is assumed before the first report, in microseconds.
const FIRST_SERVICE_US: f64 = 10_000.0;

/// Load share that is assumed before the first report.
const FIRST_LOAD_SHARE: f64 = 0.5;

/// What one entry knows of a service's targets taken together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolView {
    /// Mean load as a share of the limit.
    load_share: f64,
    /// Usual time that a request holds a slot, in microseconds.
    service_us: f64,
    /// Recent pace of work: how long it takes as a multiple of the usual time.
    pace: f64,
    /// Recent expected wait, in microseconds.
    wait_us: f64,
    /// Whether a report came in.
    is_known: bool,
}

impl Default for PoolView {
    fn default() -> Self {
        Self {
            load_share: FIRST_LOAD_SHARE,
            service_us: FIRST_SERVICE_US,
            pace: 1.0,
            wait_us: 0.0,
            is_known: false,
        }
    }
}

impl PoolView {
    /// Mean load as a share of the limit; above 1 when requests wait.
    pub(crate) fn load_share(&self) -> f64 {
        self.load_share
    }

    /// Usual time that a request holds a slot, in microseconds.
    pub(crate) fn service_us(&self) -> f64 {
        self.service_us
    }

    /// Recent pace of work: how long it takes as a multiple of the usual time.
    pub(crate) fn pace(&self) -> f64 {
        self.pace
    }

    /// Recent expected wait for a slot.
    pub(crate) fn wait(&self) -> Duration {
        Duration::from_micros(self.wait_us as u64)
    }

    /// Takes in one target's report.
    pub(crate) fn learn(&mut self, report: &LoadReport) {
        let load = f64::from(report.in_flight + report.queued);
        let share = load / f64::from(report.limit.max(1));
        self.load_share += (share - self.load_share) * LOAD_WEIGHT;
        self.wait_us += (f64::from(report.wait_us) - self.wait_us) * REPORT_WEIGHT;
        self.pace += (report_pace(report) - self.pace) * REPORT_WEIGHT;
        self.learn_service(f64::from(report.service_time_us));
    }

    /// Follows the usual service time: a report moves it by a bounded step, as for a median, so
    /// that one slow target doesn't make the others look fast.
    fn learn_service(&mut self, service_us: f64) {
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

/// The pace of work that a report tells: how long it takes as a multiple of the usual time.
pub(crate) fn report_pace(report: &LoadReport) -> f64 {
    match report.work_permille {
        0 => 1.0,
        permille => f64::from(permille) / 1_000.0,
    }
}
