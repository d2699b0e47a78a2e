//! Generated requests of one run, the same for every policy.

use std::f64::consts::TAU;

use fescueway_core::Idempotency;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::scenario::{SimDeployment, SimScenario};

/// Share of the requests that are non-idempotent.
const NON_IDEMPOTENT_SHARE: f64 = 0.1;

/// Caller timeout as a multiple of the mean service time.
const TIMEOUT_SERVICE_TIMES: f64 = 15.0;

/// One request of a run.
#[derive(Clone, Copy, Debug)]
pub struct SimRequest {
    /// Time at which its caller sends it, in microseconds.
    pub sent_us: u64,
    /// Timeout of its caller, in microseconds.
    pub timeout_us: u64,
    /// Index of its entry.
    pub entry: usize,
    /// Service time at full speed, in microseconds.
    pub work_us: f64,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
}

/// Returns a uniform random number in `[0, 1)`.
pub(super) fn uniform(random: &mut impl Rng) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Generates the requests of one run: Poisson arrivals with log-normal service times.
#[must_use]
pub fn generate_trace(
    deployment: &SimDeployment,
    scenario: &SimScenario,
    seed: u64,
) -> Vec<SimRequest> {
    let mut random = Pcg64::seed_from_u64(seed);
    let slots = (deployment.slots * deployment.target_domains.len()) as f64;
    let mut requests = Vec::new();
    let mut time_us = 0.0;
    loop {
        let load = scenario.load_at(time_us as u64);
        let gap_us = deployment.mean_service_us / (slots * load);
        time_us -= gap_us * (1.0 - uniform(&mut random)).ln();
        if time_us as u64 >= scenario.length_us {
            return requests;
        }
        requests.push(SimRequest {
            sent_us: time_us as u64,
            timeout_us: (deployment.mean_service_us * TIMEOUT_SERVICE_TIMES) as u64,
            entry: random.next_u64() as usize % deployment.entries,
            work_us: log_normal(deployment, &mut random),
            idempotency: if uniform(&mut random) < NON_IDEMPOTENT_SHARE {
                Idempotency::NonIdempotent
            } else {
                Idempotency::Idempotent
            },
        });
    }
}

/// Draws a log-normal service time with the deployment's mean, in microseconds (Box and Muller,
/// 1958).
fn log_normal(deployment: &SimDeployment, random: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - uniform(random)).ln()).sqrt();
    let normal = radius * (TAU * uniform(random)).cos();
    let location = deployment.mean_service_us.ln() - deployment.sigma * deployment.sigma / 2.0;
    (location + deployment.sigma * normal).exp()
}
