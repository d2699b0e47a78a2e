//! Time spent on probes of one target, in virtual time.

use std::time::Duration;

use fescueway_admission::{ProbeBudget, ProbeEnd, ProbeScheduler};
use fescueway_core::MonoTime;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::bounded;

/// Duration of a run, in seconds.
const RUN_S: u64 = 3_600;

/// Largest share of a target's slots that probes may take: a quarter of a percent, for a
/// requirement of "well under 1%".
const MAX_SLOT_SHARE: f64 = 0.0025;

/// Seed of the times at which requests end.
const SEED: u64 = 31;

/// Mean request rates, per second.
const RATES: [f64; 4] = [0.1, 0.5, 2.0, 20.0];

/// Request rate, per second, from which load reports are frequent enough that no probe is due.
const REPORTING_RATE: f64 = 2.0;

/// Parameters of a probed target.
struct ProbedTarget {
    /// Name in the output.
    name: &'static str,
    /// Number of slots.
    slots: f64,
    /// Configured probe budget, in milliseconds per second.
    budget_ms_per_s: f64,
    /// Configured probe timeout, in milliseconds.
    timeout_ms: u64,
    /// Duration of a probe, in microseconds.
    duration_us: u64,
}

/// Targets of both deployments, and one whose probes are never answered.
const TARGETS: [ProbedTarget; 4] = [
    ProbedTarget {
        name: "caprock 20 ms/s, 1 ms a probe",
        slots: 10.0,
        budget_ms_per_s: 20.0,
        timeout_ms: 100,
        duration_us: 1_000,
    },
    ProbedTarget {
        name: "pwll 20 ms/s, 5 ms a probe",
        slots: 12.0,
        budget_ms_per_s: 20.0,
        timeout_ms: 50,
        duration_us: 5_000,
    },
    ProbedTarget {
        name: "pwll 10 ms/s, 5 ms a probe",
        slots: 12.0,
        budget_ms_per_s: 10.0,
        timeout_ms: 50,
        duration_us: 5_000,
    },
    ProbedTarget {
        name: "pwll 20 ms/s, no answer",
        slots: 12.0,
        budget_ms_per_s: 20.0,
        timeout_ms: 50,
        duration_us: u64::MAX,
    },
];

/// Prints the probe time of every target, idle and under traffic. Returns the number of broken
/// bounds.
pub fn report() -> u32 {
    let mut broken = 0;
    for target in &TARGETS {
        for is_busy in [false, true] {
            let load = if is_busy { "20 requests/s" } else { "idle" };
            let spent = probe_ms_per_s(target, is_busy);
            let name = format!("{}, {load}: ms/s", target.name);
            broken += bounded(&name, spent, target.budget_ms_per_s);
            let share = spent / (target.slots * 1e3);
            let name = format!("{}, {load}: share of slots", target.name);
            broken += bounded(&name, share, MAX_SLOT_SHARE);
        }
    }
    broken + report_probe_counts()
}

/// Prints the number of probes of one target with and without load reports in its responses.
/// Returns the number of broken bounds.
fn report_probe_counts() -> u32 {
    let mut broken = 0;
    for rate in RATES {
        let without = probe_count(rate, false);
        let with = probe_count(rate, true);
        let name = format!("pwll 20 ms/s, {rate} requests/s, no reports: probes");
        println!("{name:<56} {without:>12}");
        let name = format!("pwll 20 ms/s, {rate} requests/s, reports: probes");
        let bound = if rate < REPORTING_RATE { without } else { 0 };
        broken += bounded(&name, with as f64, bound as f64);
    }
    broken
}

/// Returns the number of probes in [`RUN_S`] of a target whose requests end at random times, `rate`
/// per second.
fn probe_count(rate: f64, is_reporting: bool) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut gap = || {
        let uniform = (f64::from(random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    };
    let budget = ProbeBudget::new(MonoTime::ZERO, 20.0, Duration::from_millis(50));
    let mut scheduler = ProbeScheduler::new(MonoTime::ZERO, budget);
    let mut next = MonoTime::ZERO + gap();
    for step in 1..=RUN_S * 20 {
        let now = MonoTime::from_micros(step * 50_000);
        while next <= now {
            scheduler.record_traffic(next, true);
            if is_reporting {
                scheduler.record_load_report(next);
            }
            next = next + gap();
        }
        if scheduler.begin(now).is_some() {
            scheduler.end(now + Duration::from_millis(5), ProbeEnd::Healthy);
        }
    }
    scheduler.probes()
}

/// Returns the backend time spent on probes, in milliseconds per second.
fn probe_ms_per_s(target: &ProbedTarget, is_busy: bool) -> f64 {
    let timeout = Duration::from_millis(target.timeout_ms);
    let budget = ProbeBudget::new(MonoTime::ZERO, target.budget_ms_per_s, timeout);
    let mut scheduler = ProbeScheduler::new(MonoTime::ZERO, budget);
    for step in 1..=RUN_S * 20 {
        let now = MonoTime::from_micros(step * 50_000);
        if is_busy {
            scheduler.record_traffic(now, true);
        }
        if let Some(limit) = scheduler.begin(now) {
            let taken = limit.min(Duration::from_micros(target.duration_us));
            scheduler.end(now + taken, ProbeEnd::Healthy);
        }
    }
    scheduler.charged().as_secs_f64() * 1e3 / RUN_S as f64
}
