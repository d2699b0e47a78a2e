//! Store writes for the partitions of idempotency keys.

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use super::FleetRequirements;

/// Default number of partitions per service. Every service is assumed to use keys.
const PARTITIONS: f64 = 16.0;

/// Replicas per partition, in two failure domains.
const REPLICAS: f64 = 2.0;

/// Requests with an idempotency key in the whole fleet, per second: one in a hundred requests.
const KEYED_REQUESTS_PER_S: f64 = 6_400.0;

/// Longest random delay of a takeover, in seconds.
const MAX_TAKEOVER_DELAY_S: f64 = 1.0;

/// Number of simulated takeovers.
const SAMPLES: usize = 20_000;

/// Store writes for the partitions of idempotency keys, at the required fleet size.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLoad {
    /// Partitions that lose a replica when a failure domain is lost: each needs one write.
    pub lost_partitions: f64,
    /// Writes in the busiest second after the loss of a failure domain.
    pub peak_writes_per_s: f64,
    /// Writes per second in steady state: one for each replica that fails or is replaced.
    pub steady_writes_per_s: f64,
}

impl ClaimLoad {
    /// Computes the writes of the partitions.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let partitions = PARTITIONS * FleetRequirements::SERVICES as f64;
        let replicas = partitions * REPLICAS;
        let lost_partitions = replicas / FleetRequirements::DOMAINS;
        let replicas_per_node = replicas / FleetRequirements::NODES;
        Self {
            lost_partitions,
            peak_writes_per_s: lost_partitions
                * busiest_share(seed, KEYED_REQUESTS_PER_S / partitions),
            steady_writes_per_s: replicas_per_node * FleetRequirements::joins_per_s(),
        }
    }
}

/// Returns the largest share of the takeovers that falls within one second. Each begins at the
/// first claim in its partition, at a rate of `keys_per_s`, plus a uniform random delay.
fn busiest_share(seed: u64, keys_per_s: f64) -> f64 {
    let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let mut uniform = || (f64::from(random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0);
    let mut times: Vec<_> = (0..SAMPLES)
        .map(|_| -uniform().ln() / keys_per_s + uniform() * MAX_TAKEOVER_DELAY_S)
        .collect();
    times.sort_by(f64::total_cmp);
    let count_within_second =
        |(index, from): (usize, &f64)| times.partition_point(|time| *time < from + 1.0) - index;
    let most = times.iter().enumerate().map(count_within_second).max();
    most.unwrap_or(0) as f64 / SAMPLES as f64
}
