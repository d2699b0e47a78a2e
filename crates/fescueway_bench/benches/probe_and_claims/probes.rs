//! Probe time of one target in virtual time.

use std::time::Duration;

use fescueway_admission::{ProbeBudget, ProbeEnd, ProbeScheduler};
use fescueway_core::MonoTime;

use crate::bounded;

/// Length of a run in seconds.
const RUN_S: u64 = 3_600;

/// The largest share of a target's slots that probes may take: a quarter of a percent, as "well
/// under 1%".
const MAX_SLOT_SHARE: f64 = 0.0025;

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
    broken
}

/// Backend time of probes in milliseconds per second.
fn probe_ms_per_s(shape: &ProbedShape, is_busy: bool) -> f64 {
    let timeout = Duration::from_millis(shape.timeout_ms);
    let budget = ProbeBudget::new(MonoTime::ZERO, shape.budget_ms_per_s, timeout);
    let mut scheduler = ProbeScheduler::new(MonoTime::ZERO, budget);
    for step in 1..=RUN_S * 20 {
        let now = MonoTime::from_micros(step * 50_000);
        if is_busy {
            scheduler.traffic(now, true);
        }
        if let Some(limit) = scheduler.begin(now) {
            let taken = limit.min(Duration::from_micros(shape.probe_us));
            scheduler.end(now + taken, ProbeEnd::Healthy);
        }
    }
    scheduler.charged().as_secs_f64() * 1e3 / RUN_S as f64
}
