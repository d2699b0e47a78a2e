//! The table at the end, and whether every invariant held.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
};

use fescueway_testkit::BackendTally;
use serde::Serialize;

use crate::{
    call_client::run_key,
    load_tally::{LoadTally, ServiceTally},
    site_shape::{CallKind, ServiceShape, SiteShape},
    site_stage::SiteStage,
};

/// What happened at one service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceReport {
    /// The service.
    pub service: &'static str,
    /// Calls of its callers.
    pub calls: u64,
    /// Calls that got their whole answer.
    pub answered: u64,
    /// Calls that were told that they did not run.
    pub refused: u64,
    /// The reasons they were given.
    pub reasons: BTreeMap<String, u64>,
    /// Calls that were told that they may have run.
    pub unknown: u64,
    /// Answers that were cut short.
    pub cut: u64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// Latency that 99 % stay below, in milliseconds.
    pub p99_ms: f64,
    /// Latency that 99.9 % stay below, in milliseconds.
    pub p999_ms: f64,
    /// Time that probes took of each target, in milliseconds per second.
    pub probe_ms_per_s: f64,
    /// What the configuration allows for that.
    pub probe_budget_ms_per_s: f64,
    /// Bookings that ran more than once.
    pub doubled: u64,
    /// Bookings that ran although their caller was told that they did not.
    pub refused_but_run: u64,
    /// Answers that went to another caller.
    pub mixed_up: u64,
    /// Calls that a drain cost.
    pub lost_in_drain: u64,
}

/// What happened at the site.
#[derive(Clone, Debug, Serialize)]
pub struct SiteReport {
    /// The site.
    pub title: &'static str,
    /// Length of the run in seconds.
    pub seconds: u64,
    /// Its services.
    pub services: Vec<ServiceReport>,
    /// Whether every invariant held.
    pub is_sound: bool,
}

impl SiteReport {
    /// Sums up a run.
    pub fn new(shape: &SiteShape, stage: &SiteStage, tally: &LoadTally, seconds: u64) -> Self {
        let reports = shape.services.iter().filter_map(|service| {
            let seen = tally.services.get(service.name)?;
            let counted = stage.tallies(service.name);
            let budget = stage.probe_budget(service.name);
            Some(ServiceReport::new(service, seen, &counted, budget, seconds))
        });
        let services: Vec<_> = reports.collect();
        let is_sound =
            services.len() == shape.services.len() && services.iter().all(ServiceReport::is_sound);
        Self {
            title: shape.title,
            seconds,
            services,
            is_sound,
        }
    }

    /// Whether every invariant held.
    pub fn is_sound(&self) -> bool {
        self.is_sound
    }

    /// The report as a table.
    pub fn table(&self) -> String {
        let mut table = format!("\n{}, {} s under load\n\n", self.title, self.seconds);
        let _ = writeln!(
            table,
            "{:<18} {:>7} {:>8} {:>7} {:>7} {:>4} {:>8} {:>8} {:>8} {:>15}",
            "service",
            "calls",
            "answered",
            "refused",
            "unknown",
            "cut",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "probe ms/s (of)",
        );
        for report in &self.services {
            let _ = writeln!(
                table,
                "{:<18} {:>7} {:>8} {:>7} {:>7} {:>4} {:>8.1} {:>8.1} {:>8.1} {:>8.2} ({:>4.1})",
                report.service,
                report.calls,
                report.answered,
                report.refused,
                report.unknown,
                report.cut,
                report.p50_ms,
                report.p99_ms,
                report.p999_ms,
                report.probe_ms_per_s,
                report.probe_budget_ms_per_s,
            );
        }
        table.push('\n');
        for report in self.services.iter().filter(|report| report.refused > 0) {
            let _ = writeln!(
                table,
                "refusals of {}: {:?}",
                report.service, report.reasons
            );
        }
        table.push('\n');
        for (title, count) in self.invariants() {
            let _ = writeln!(table, "{title:<44} {count}");
        }
        let verdict = if self.is_sound {
            "every invariant held"
        } else {
            "AN INVARIANT IS BROKEN"
        };
        let _ = writeln!(table, "\n{verdict}");
        table
    }

    /// The invariants with the number of times each was broken.
    fn invariants(&self) -> [(&'static str, u64); 5] {
        let sum = |field: fn(&ServiceReport) -> u64| self.services.iter().map(field).sum();
        [
            ("bookings run more than once", sum(|report| report.doubled)),
            (
                "bookings refused as not run that ran",
                sum(|report| report.refused_but_run),
            ),
            (
                "answers that went to another caller",
                sum(|report| report.mixed_up),
            ),
            (
                "requests cut by the drain",
                sum(|report| report.lost_in_drain),
            ),
            (
                "services over their probe budget",
                sum(|report| u64::from(report.is_over_budget())),
            ),
        ]
    }
}

impl ServiceReport {
    /// Sums up one service.
    fn new(
        service: &ServiceShape,
        seen: &ServiceTally,
        counted: &[BackendTally],
        probe_budget_ms_per_s: f64,
        seconds: u64,
    ) -> Self {
        let millis = |share| seen.quantile(share).as_secs_f64() * 1e3;
        let probe_ms: f64 = counted
            .iter()
            .map(|tally| tally.probe_time.as_secs_f64() * 1e3)
            .sum();
        let run_keys = run_keys(counted);
        let is_booking = service.kind == CallKind::Booking;
        let refused = seen.refused_ids.iter().map(|&id| run_key(service, id));
        let refused_but_run = refused
            .filter(|key| run_keys.all.contains(key.as_str()))
            .count();
        Self {
            service: service.name,
            calls: seen.calls,
            answered: seen.answered,
            refused: seen.refused,
            reasons: seen.reasons.clone(),
            unknown: seen.unknown,
            cut: seen.cut,
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            p999_ms: millis(0.999),
            probe_ms_per_s: probe_ms / service.targets as f64 / seconds as f64,
            probe_budget_ms_per_s,
            doubled: if is_booking { run_keys.doubled } else { 0 },
            refused_but_run: if is_booking {
                refused_but_run as u64
            } else {
                0
            },
            mixed_up: seen.mixed_up,
            lost_in_drain: seen.lost_in_drain,
        }
    }

    /// Whether probes took more than the configuration allows.
    fn is_over_budget(&self) -> bool {
        self.probe_ms_per_s > self.probe_budget_ms_per_s
    }

    /// Whether every invariant held.
    fn is_sound(&self) -> bool {
        let broken = [
            self.doubled,
            self.refused_but_run,
            self.mixed_up,
            self.lost_in_drain,
        ];
        broken.iter().all(|&count| count == 0) && !self.is_over_budget()
    }
}

/// What ran, by the backend servers' own count.
struct RunKeys<'a> {
    /// Every key that ran.
    all: BTreeSet<&'a str>,
    /// Keys that ran more than once, over all backend servers.
    doubled: u64,
}

/// What ran, by the backend servers' own count.
fn run_keys(counted: &[BackendTally]) -> RunKeys<'_> {
    let mut all = BTreeSet::new();
    let mut doubled = BTreeSet::new();
    for (key, &runs) in counted.iter().flat_map(|tally| &tally.runs_by_key) {
        let is_again = !all.insert(key.as_str());
        if is_again || runs > 1 {
            doubled.insert(key.as_str());
        }
    }
    RunKeys {
        all,
        doubled: doubled.len() as u64,
    }
}
