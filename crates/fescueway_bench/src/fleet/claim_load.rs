//! Calls of the store for the partitions of idempotency keys.

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use super::FleetTarget;

/// Partitions of each service, by default. Every service is taken to have keys.
const PARTITIONS: f64 = 16.0;

/// Replicas of a partition, in two failure domains.
const REPLICAS: f64 = 2.0;

/// Calls of the fleet that carry a key, per second: one in a hundred.
const KEYED_PER_S: f64 = 6_400.0;

/// A takeover is put off by up to this long, in seconds.
const SPREAD_S: f64 = 1.0;

/// Takeovers that are drawn.
const DRAWS: usize = 20_000;

/// Calls of the store for the partitions of idempotency keys, at the target's size.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLoad {
    /// Partitions that lose a replica with a failure domain: each takes one write.
    pub lost_partitions: f64,
    /// Writes in the busiest second after a failure domain was lost.
    pub peak_writes_per_s: f64,
    /// Writes each second on an ordinary day: one for each replica that fails or is replaced.
    pub steady_writes_per_s: f64,
}

impl ClaimLoad {
    /// Works out what the partitions ask of the store.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let partitions = PARTITIONS * FleetTarget::SERVICES as f64;
        let replicas = partitions * REPLICAS;
        let lost_partitions = replicas / FleetTarget::DOMAINS;
        let by_node = replicas / FleetTarget::NODES;
        Self {
            lost_partitions,
            peak_writes_per_s: lost_partitions * busiest_share(seed, KEYED_PER_S / partitions),
            steady_writes_per_s: by_node * FleetTarget::joins_per_s(),
        }
    }
}

/// The largest share of the takeovers within one second. Each begins when the first key of its
/// partition is claimed, `keys_per_s` of them a second, and is put off by its share of the spread.
fn busiest_share(seed: u64, keys_per_s: f64) -> f64 {
    let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let mut share = || (f64::from(random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0);
    let mut times: Vec<_> = (0..DRAWS)
        .map(|_| -share().ln() / keys_per_s + share() * SPREAD_S)
        .collect();
    times.sort_by(f64::total_cmp);
    let within =
        |(index, from): (usize, &f64)| times.partition_point(|time| *time < from + 1.0) - index;
    let most = times.iter().enumerate().map(within).max();
    most.unwrap_or(0) as f64 / DRAWS as f64
}
