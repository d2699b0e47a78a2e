//! The report of a run, with its invariants.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
};

use fescueway_testkit::BackendTally;
use serde::Serialize;

use crate::{
    call_client::run_key,
    load_tally::{LoadTally, ServiceTally},
    local_site::LocalSite,
    site_spec::{CallKind, ServiceSpec, SiteSpec},
};

/// The results of one service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: &'static str,
    /// Total number of calls.
    pub calls: u64,
    /// Calls that got their complete response.
    pub answered: u64,
    /// Calls whose response states that they did not run.
    pub refused: u64,
    /// Refused calls by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Calls with a complete response that is neither a success nor a refusal: they may have run.
    pub unknown: u64,
    /// Calls whose response was truncated or missing.
    pub cut: u64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99 % quantile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9 % quantile of the latency, in milliseconds.
    pub p999_ms: f64,
    /// Time that probes took on each target, in milliseconds per second.
    pub probe_ms_per_s: f64,
    /// The configured limit on that time, in milliseconds per second.
    pub probe_budget_ms_per_s: f64,
    /// Bookings that ran more than once.
    pub doubled: u64,
    /// Bookings that ran although their response states that they did not.
    pub refused_but_run: u64,
    /// Responses that went to another caller.
    pub mixed_up: u64,
    /// Calls that were neither answered nor refused while a drain was the only active fault.
    pub lost_in_drain: u64,
}

/// The results of the site.
#[derive(Clone, Debug, Serialize)]
pub struct SiteReport {
    /// Display name of the site.
    pub title: &'static str,
    /// Duration of the run, in seconds.
    pub seconds: u64,
    /// The results of its services.
    pub services: Vec<ServiceReport>,
    /// Whether every invariant held.
    pub is_sound: bool,
}

impl SiteReport {
    /// Creates the report of a run.
    pub fn new(spec: &SiteSpec, site: &LocalSite, tally: &LoadTally, seconds: u64) -> Self {
        let reports = spec.services.iter().filter_map(|service| {
            let service_tally = tally.services.get(service.name)?;
            let backend_tallies = site.tallies(service.name);
            let budget = site.probe_budget(service.name);
            Some(ServiceReport::new(
                service,
                service_tally,
                &backend_tallies,
                budget,
                seconds,
            ))
        });
        let services: Vec<_> = reports.collect();
        let is_sound =
            services.len() == spec.services.len() && services.iter().all(ServiceReport::is_sound);
        Self {
            title: spec.title,
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

    /// The invariants with the number of violations of each.
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
    /// Creates the report of one service.
    fn new(
        service: &ServiceSpec,
        service_tally: &ServiceTally,
        backend_tallies: &[BackendTally],
        probe_budget_ms_per_s: f64,
        seconds: u64,
    ) -> Self {
        let quantile_ms = |fraction| service_tally.quantile(fraction).as_secs_f64() * 1e3;
        let probe_ms: f64 = backend_tallies
            .iter()
            .map(|tally| tally.probe_time.as_secs_f64() * 1e3)
            .sum();
        let run_keys = run_keys(backend_tallies);
        let is_booking = service.kind == CallKind::Booking;
        let refused = service_tally
            .refused_ids
            .iter()
            .map(|&id| run_key(service, id));
        let refused_but_run = refused
            .filter(|key| run_keys.all.contains(key.as_str()))
            .count();
        Self {
            service: service.name,
            calls: service_tally.calls,
            answered: service_tally.answered,
            refused: service_tally.refused,
            reasons: service_tally.reasons.clone(),
            unknown: service_tally.unknown,
            cut: service_tally.incomplete,
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            probe_ms_per_s: probe_ms / service.targets as f64 / seconds as f64,
            probe_budget_ms_per_s,
            doubled: if is_booking { run_keys.repeated } else { 0 },
            refused_but_run: if is_booking {
                refused_but_run as u64
            } else {
                0
            },
            mixed_up: service_tally.mismatched,
            lost_in_drain: service_tally.failed_in_drain,
        }
    }

    /// Whether probes took more time than configured.
    fn is_over_budget(&self) -> bool {
        self.probe_ms_per_s > self.probe_budget_ms_per_s
    }

    /// Whether every invariant held.
    fn is_sound(&self) -> bool {
        let violations = [
            self.doubled,
            self.refused_but_run,
            self.mixed_up,
            self.lost_in_drain,
        ];
        violations.iter().all(|&count| count == 0) && !self.is_over_budget()
    }
}

/// The run keys in the tallies of backend servers.
struct RunKeys<'a> {
    /// All keys that ran.
    all: BTreeSet<&'a str>,
    /// Number of keys that ran more than once, over all backend servers.
    repeated: u64,
}

/// Merges the run keys of the backend servers.
fn run_keys(backend_tallies: &[BackendTally]) -> RunKeys<'_> {
    let mut all = BTreeSet::new();
    let mut repeated = BTreeSet::new();
    for (key, &runs) in backend_tallies.iter().flat_map(|tally| &tally.runs_by_key) {
        let is_repeated = !all.insert(key.as_str());
        if is_repeated || runs > 1 {
            repeated.insert(key.as_str());
        }
    }
    RunKeys {
        all,
        repeated: repeated.len() as u64,
    }
}
