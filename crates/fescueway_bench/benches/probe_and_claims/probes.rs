//! Probe time of one target in virtual time.

use std::time::Duration;

use fescueway_admission::{ProbeBudget, ProbeEnd, ProbeScheduler};
use fescueway_core::MonoTime;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::bounded;

/// Length of a run in seconds.
const RUN_S: u64 = 3_600;

/// The largest share of a target's slots that probes may take: a quarter of a percent, as "well
/// under 1%".
const MAX_SLOT_SHARE: f64 = 0.0025;

/// Seed of the times at which requests end.
const SEED: u64 = 31;

/// Requests per second, on average.
const RATES: [f64; 4] = [0.1, 0.5, 2.0, 20.0];

/// Requests per second from which on a target tells of its load so often that no probe is due.
const STEADY_RATE: f64 = 2.0;

/// One kind of target.
struct ProbedShape {
    /// Its name.
    name: &'static str,
    /// Slots of the target.
    slots: f64,
    /// The configured budget in milliseconds per second.
    budget_ms_per_s: f64,
    /// The configured timeout in milliseconds.
    timeout_ms: u64,
    /// How long a probe takes, in microseconds.
    probe_us: u64,
}

/// The deployments' shapes, each also with probes that never answer.
const SHAPES: [ProbedShape; 4] = [
    ProbedShape {
        name: "caprock 20 ms/s, 1 ms a probe",
        slots: 10.0,
        budget_ms_per_s: 20.0,
        timeout_ms: 100,
        probe_us: 1_000,
    },
    ProbedShape {
        name: "pwll 20 ms/s, 5 ms a probe",
        slots: 12.0,
        budget_ms_per_s: 20.0,
        timeout_ms: 50,
        probe_us: 5_000,
    },
    ProbedShape {
        name: "pwll 10 ms/s, 5 ms a probe",
        slots: 12.0,
        budget_ms_per_s: 10.0,
        timeout_ms: 50,
        probe_us: 5_000,
    },
    ProbedShape {
        name: "pwll 20 ms/s, no answer",
        slots: 12.0,
        budget_ms_per_s: 20.0,
        timeout_ms: 50,
        probe_us: u64::MAX,
    },
];

/// Prints the probe time of every shape, idle and under traffic. Returns the broken bounds.
pub fn report() -> u32 {
    let mut broken = 0;
    for shape in &SHAPES {
        for is_busy in [false, true] {
            let load = if is_busy { "20 requests/s" } else { "idle" };
            let spent = probe_ms_per_s(shape, is_busy);
            let name = format!("{}, {load}: ms/s", shape.name);
            broken += bounded(&name, spent, shape.budget_ms_per_s);
            let share = spent / (shape.slots * 1e3);
            let name = format!("{}, {load}: share of slots", shape.name);
            broken += bounded(&name, share, MAX_SLOT_SHARE);
        }
    }
    broken + report_spared()
}

/// Prints the probes of one target with and without load reports on its answers. Returns the
/// broken bounds.
fn report_spared() -> u32 {
    let mut broken = 0;
    for rate in RATES {
        let without = probe_count(rate, false);
        let with = probe_count(rate, true);
        let name = format!("pwll 20 ms/s, {rate} requests/s, no reports: probes");
        println!("{name:<56} {without:>12}");
        let name = format!("pwll 20 ms/s, {rate} requests/s, reports: probes");
        let most = if rate < STEADY_RATE { without } else { 0 };
        broken += bounded(&name, with as f64, most as f64);
    }
    broken
}

/// Probes of one target in [`RUN_S`] whose requests end at random, `rate` a second.
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

/// Backend time of probes in milliseconds per second.
fn probe_ms_per_s(shape: &ProbedShape, is_busy: bool) -> f64 {
    let timeout = Duration::from_millis(shape.timeout_ms);
    let budget = ProbeBudget::new(MonoTime::ZERO, shape.budget_ms_per_s, timeout);
    let mut scheduler = ProbeScheduler::new(MonoTime::ZERO, budget);
    for step in 1..=RUN_S * 20 {
        let now = MonoTime::from_micros(step * 50_000);
        if is_busy {
            scheduler.record_traffic(now, true);
        }
        if let Some(limit) = scheduler.begin(now) {
            let taken = limit.min(Duration::from_micros(shape.probe_us));
            scheduler.end(now + taken, ProbeEnd::Healthy);
        }
    }
    scheduler.charged().as_secs_f64() * 1e3 / RUN_S as f64
}
