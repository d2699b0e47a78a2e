//! Settings of one service's router.

use std::{collections::BTreeMap, time::Duration};

use crate::{FleetShare, HedgeLimit};

/// Settings of one service's router.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingPlan {
    /// Maximum number of offers per request, at least one.
    pub max_offers: u8,
    /// Retries and hedges allowed, as a share of the first offers, from 0 to 1.
    pub budget_share: f64,
    /// Further offers allowed after refusals, as a share of the first offers.
    pub refusal_share: f64,
    /// Maximum number of tokens for retries and hedges that this entry accumulates.
    pub max_retry_tokens: f64,
    /// Extra one-way latency to a target of another failure domain, compared to one in the entry's
    /// own.
    pub domain_trip: Duration,
    /// How much later an answer from the entry's own failure domain may arrive than one from
    /// another, per KiB of the bodies that would cross.
    pub far_cost_per_kib: Duration,
    /// Maximum number of targets that this entry uses.
    pub subset_size: usize,
    /// Whether idempotent requests may be hedged.
    pub is_hedging: bool,
    /// The operator's limit on hedges, within the retry budget. `None`: only requests at slow targets
    /// are hedged.
    pub hedge_limit: Option<HedgeLimit>,
    /// Limits on the hedges of single work kinds, in addition.
    pub route_hedge_limits: BTreeMap<u64, HedgeLimit>,
    /// This entry's share of limits of the fleet.
    pub fleet: FleetShare,
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
            hedge_limit: None,
            route_hedge_limits: BTreeMap::new(),
            fleet: FleetShare::default(),
        }
    }
}
