//! Tracks the pace of work at a backend server whose VM shares its hardware with other VMs.

use std::time::Duration;

use fescueway_core::MonoTime;

/// How long a reported pace is valid: load from neighbouring VMs changes within some hundred
/// milliseconds.
pub(crate) const PACE_VALIDITY: Duration = Duration::from_millis(300);

/// Age from which a reported pace is too old to start a request by: a new report is awaited first.
const REFRESH_AGE: Duration = Duration::from_millis(15);

/// Longest wait for a new report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(20);

/// Interval between load queries while requests wait for the end of a disturbance.
const LOAD_QUERY_INTERVAL: Duration = Duration::from_millis(25);

/// Pace above which the backend server is considered disturbed, as a multiple of its baseline pace.
const DISTURBED_FACTOR: f64 = 1.25;

/// The baseline pace is the lowest one reported during the last two spans of this length. A
/// disturbance lasts for several changes of the neighbours' load now and then, which must not pass
/// for the baseline.
const BASELINE_SPAN: Duration = Duration::from_secs(2);

/// Initial value of the mean length of a disturbance.
const INITIAL_LENGTH: Duration = Duration::from_millis(200);

/// Weight of one finished disturbance in the mean length.
const LENGTH_WEIGHT: f64 = 0.1;

/// Expected remaining time of a disturbance, as a share of the mean length, whenever it is
/// observed. Short disturbances often end between two reports.
const REMAINING_SHARE: f64 = 0.75;

/// Pace of work at a backend server, from its load reports: the duration of work as a multiple of
/// its normal duration.
///
/// Neighbouring VMs raise the pace for parts of a second, a cold start or a fault raises it for
/// longer. A request that starts during a disturbance is slow until it ends, so it may end sooner
/// if it starts after the disturbance.
#[derive(Debug)]
pub(crate) struct WorkPace {
    /// Last reported pace and the time of the report.
    last_report: Option<(f64, MonoTime)>,
    /// Since when requests wait for a new report.
    awaited_since: Option<MonoTime>,
    /// Lowest pace since `span_start` and in the span before it; infinite without a report.
    lowest: [f64; 2],
    /// When the current span of `lowest` began.
    span_start: MonoTime,
    /// When the current disturbance was detected.
    disturbed_since: Option<MonoTime>,
    /// Mean length of a disturbance, in microseconds.
    mean_length_us: f64,
}

/// Effect of neighbouring VMs on one request that could start now.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Disturbance {
    /// By how much the request ends later, in microseconds, if it starts at the better time: now or
    /// after the disturbance.
    pub(crate) cost_us: f64,
    /// Whether the request ends sooner if it starts after the disturbance.
    pub(crate) is_delayed: bool,
}

impl WorkPace {
    /// Creates a pace without any report.
    pub(crate) fn new() -> Self {
        Self {
            last_report: None,
            awaited_since: None,
            lowest: [f64::INFINITY; 2],
            span_start: MonoTime::ZERO,
            disturbed_since: None,
            mean_length_us: INITIAL_LENGTH.as_micros() as f64,
        }
    }

    /// Records a pace that the backend server reports.
    pub(crate) fn learn(&mut self, now: MonoTime, pace: f64) {
        self.last_report = Some((pace, now));
        self.awaited_since = None;
        if now.since(self.span_start) >= BASELINE_SPAN {
            self.lowest = [pace, self.lowest[0]];
            self.span_start = now;
        }
        self.lowest[0] = self.lowest[0].min(pace);
        let is_disturbed = pace > DISTURBED_FACTOR * self.baseline();
        match self.disturbed_since {
            None if is_disturbed => self.disturbed_since = Some(now),
            Some(since) if !is_disturbed => {
                let length_us = now.since(since).as_micros() as f64;
                self.mean_length_us += (length_us - self.mean_length_us) * LENGTH_WEIGHT;
                self.disturbed_since = None;
            }
            _ => {}
        }
    }

    /// Starts to wait for a new report if the last one is too old. Returns whether requests should
    /// wait for it.
    pub(crate) fn await_report_if_stale(&mut self, now: MonoTime) -> bool {
        let is_stale = self
            .last_report
            .is_some_and(|(_, since)| now.since(since) >= REFRESH_AGE);
        if is_stale && self.awaited_since.is_none() {
            self.awaited_since = Some(now);
        }
        self.is_awaiting_report(now)
    }

    /// Whether requests should wait for a new report.
    pub(crate) fn is_awaiting_report(&self, now: MonoTime) -> bool {
        let awaited_since = self.awaited_since;
        awaited_since.is_some_and(|since| now.since(since) < REPORT_TIMEOUT)
    }

    /// When to query the backend server next, while requests wait although a slot is free.
    pub(crate) fn next_load_query(&self) -> Option<MonoTime> {
        let (_, reported) = self.last_report?;
        let next_query = reported + LOAD_QUERY_INTERVAL;
        Some(
            self.awaited_since
                .map_or(next_query, |since| since.min(next_query)),
        )
    }

    /// When waiting for a new report ends without one.
    pub(crate) fn report_deadline(&self) -> Option<MonoTime> {
        self.awaited_since.map(|since| since + REPORT_TIMEOUT)
    }

    /// Last reported pace and the time of the report.
    pub(crate) fn last_report(&self) -> Option<(f64, MonoTime)> {
        self.last_report
    }

    /// Current pace, `None` when the last report is no longer valid.
    pub(crate) fn current(&self, now: MonoTime) -> Option<f64> {
        let (pace, since) = self.last_report?;
        (now.since(since) < PACE_VALIDITY).then_some(pace)
    }

    /// Effect of the current disturbance on work that takes `normal_us` at normal pace.
    ///
    /// Once a disturbance exceeds the mean length, it is expected to last for at least as long
    /// again as it has exceeded it.
    pub(crate) fn disturbance(&self, now: MonoTime, normal_us: f64) -> Disturbance {
        let Some((pace, since)) = self.current(now).zip(self.disturbed_since) else {
            return Disturbance::default();
        };
        let elapsed_us = now.since(since).as_micros() as f64;
        let overrun_us = elapsed_us - self.mean_length_us;
        let remaining_us = (REMAINING_SHARE * self.mean_length_us).max(overrun_us);
        let slowdown_us = normal_us * (pace - self.baseline());
        Disturbance {
            cost_us: slowdown_us.min(remaining_us),
            is_delayed: remaining_us < slowdown_us,
        }
    }

    /// Expected duration, in microseconds, of work that takes `normal_us` at normal pace, if it
    /// starts now or, where that ends sooner, after the disturbance.
    pub(crate) fn expected_run_us(&self, now: MonoTime, normal_us: f64) -> f64 {
        let pace = if self.disturbance(now, normal_us).is_delayed {
            self.baseline()
        } else {
            self.current(now).unwrap_or(1.0)
        };
        normal_us * pace
    }

    /// Baseline pace, without the effect of short disturbances.
    fn baseline(&self) -> f64 {
        self.lowest[0].min(self.lowest[1])
    }
}
