//! Settings of one service's router.

use std::time::Duration;

/// Settings of one service's router.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingPlan {
    /// Offers for one request in all. At least one.
    pub max_offers: u8,
    /// Retries and hedges as a share of the successes, from 0 to 1.
    pub budget_share: f64,
    /// Further offers after refusals, as a share of the first offers.
    pub refusal_share: f64,
    /// Retries and hedges that this entry can save up.
    pub max_retry_tokens: f64,
    /// One-way trip to a target of another failure domain beyond that to one of the own.
    pub domain_trip: Duration,
    /// How much later an answer from the own failure domain may be than one from another, for each KiB
    /// of the bodies that would cross.
    pub far_cost_per_kib: Duration,
    /// Targets in this entry's view at most.
    pub subset_size: usize,
    /// Whether idempotent requests are hedged.
    pub is_hedging: bool,
}

impl Default for RoutingPlan {
    fn default() -> Self {
        Self {
            max_offers: 3,
            budget_share: 0.1,
            refusal_share: 0.13,
            max_retry_tokens: 10.0,
            domain_trip: Duration::from_micros(1_500),
            far_cost_per_kib: Duration::ZERO,
            subset_size: 32,
            is_hedging: true,
        }
    }
}
