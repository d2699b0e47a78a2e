//! The requests of one run, the same for every policy.

use std::f64::consts::TAU;

use fescueway_core::Idempotency;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::scenario::{RigScenario, RigShape};

/// Share of the requests that are bookings, which may not repeat.
const BOOKING_SHARE: f64 = 0.1;

/// A caller waits this many mean service times.
const DEADLINE_SERVICES: f64 = 15.0;

/// One request of a run.
#[derive(Clone, Copy, Debug)]
pub struct RigRequest {
    /// When its caller sends it, in microseconds.
    pub sent_us: u64,
    /// How long its caller waits, in microseconds.
    pub patience_us: u64,
    /// Index of its entry.
    pub entry: usize,
    /// Its own service time at full speed, in microseconds.
    pub work_us: f64,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
}

/// A random number from 0 to 1.
pub(super) fn unit(random: &mut impl Rng) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Draws the requests of one run: Poisson arrivals with log-normal service times.
#[must_use]
pub fn generate_trace(shape: &RigShape, scenario: &RigScenario, seed: u64) -> Vec<RigRequest> {
    let mut random = Pcg64::seed_from_u64(seed);
    let slots = (shape.slots * shape.target_domains.len()) as f64;
    let mut requests = Vec::new();
    let mut time_us = 0.0;
    loop {
        let load = scenario.load_at(time_us as u64);
        let gap_us = shape.mean_us / (slots * load);
        time_us -= gap_us * (1.0 - unit(&mut random)).ln();
        if time_us as u64 >= scenario.length_us {
            return requests;
        }
        requests.push(RigRequest {
            sent_us: time_us as u64,
            patience_us: (shape.mean_us * DEADLINE_SERVICES) as u64,
            entry: random.next_u64() as usize % shape.entries,
            work_us: log_normal(shape, &mut random),
            idempotency: if unit(&mut random) < BOOKING_SHARE {
                Idempotency::NonIdempotent
            } else {
                Idempotency::Idempotent
            },
        });
    }
}

/// A log-normal service time with the shape's mean, in microseconds (Box and Muller, 1958).
fn log_normal(shape: &RigShape, random: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - unit(random)).ln()).sqrt();
    let normal = radius * (TAU * unit(random)).cos();
    let location = shape.mean_us.ln() - shape.sigma * shape.sigma / 2.0;
    (location + shape.sigma * normal).exp()
}
