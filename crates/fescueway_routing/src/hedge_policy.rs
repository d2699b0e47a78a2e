//! Decides when requests under a hedge limit are hedged.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{MonoTime, RequestTerms};

use crate::{
    FleetShare, RoutingPlan, hedge_limiter::HedgeLimiter, latency_histogram::LatencyHistogram,
};

/// Maximum number of work kinds with a histogram of their own; the others share that of kind zero.
const MAX_WORK_KINDS: usize = 64;

/// Range of the quantile of the latency after which a request is hedged. It is what the share leaves,
/// so that in a steady state the limit is used up by those that take longest.
const MIN_QUANTILE: f64 = 0.9;

/// Upper end of that range: of a few hundred samples, higher quantiles are not known.
const MAX_QUANTILE: f64 = 0.99;

/// The quantile under a limit without a share.
const DEFAULT_QUANTILE: f64 = 0.95;

/// Share of the time left until the objective that passes before a hedge in any case: an answer so
/// much earlier than the objective is not worth a run.
const MIN_OBJECTIVE_SHARE: f64 = 0.25;

/// Decides when requests under a hedge limit are hedged. Requests without a limit of their service or
/// route are none of its concern.
#[derive(Debug, Default)]
pub(crate) struct HedgePolicy {
    /// The service's limit.
    service: Option<HedgeLimiter>,
    /// Limits of routes by work kind, in addition to that of the service.
    routes: BTreeMap<u64, HedgeLimiter>,
    /// Latencies of first offers, by work kind.
    latencies: BTreeMap<u64, LatencyHistogram>,
    /// This entry's share of caps of the fleet.
    fleet: FleetShare,
}

impl HedgePolicy {
    /// Replaces the limits and keeps the counts of limits that stay.
    pub(crate) fn set_plan(&mut self, plan: &RoutingPlan) {
        self.fleet = plan.fleet;
        self.service = plan.hedge_limit.map(|limit| {
            let known = self.service.take();
            let mut limiter = known.unwrap_or_else(|| HedgeLimiter::new(limit, 0));
            limiter.set_limit(limit);
            limiter
        });
        self.routes
            .retain(|kind, _| plan.route_hedge_limits.contains_key(kind));
        for (kind, limit) in &plan.route_hedge_limits {
            let route = self.routes.entry(*kind);
            let limiter = route.or_insert_with(|| HedgeLimiter::new(*limit, *kind));
            limiter.set_limit(*limit);
        }
        if self.service.is_none() && self.routes.is_empty() {
            self.latencies.clear();
        }
    }

    /// Whether hedges of this work kind are limited by an operator.
    pub(crate) fn is_limited(&self, work_kind: u64) -> bool {
        self.service.is_some() || self.routes.contains_key(&work_kind)
    }

    /// Counts a first offer.
    pub(crate) fn record_first(&mut self, now: MonoTime, work_kind: u64) {
        for limiter in self.limiters(work_kind) {
            limiter.record_first(now);
        }
    }

    /// Counts a hedge.
    pub(crate) fn record_hedge(&mut self, now: MonoTime, work_kind: u64) {
        for limiter in self.limiters(work_kind) {
            limiter.record_hedge(now);
        }
    }

    /// Whether all limits of this work kind have room for a hedge.
    pub(crate) fn has_room(&mut self, now: MonoTime, work_kind: u64) -> bool {
        let fleet = self.fleet;
        self.limiters(work_kind)
            .all(|limiter| limiter.has_room(now, fleet))
    }

    /// Records the latency of a request's offer, or how long it had taken when a hedge was answered.
    pub(crate) fn observe_latency(&mut self, work_kind: u64, latency: Duration) {
        if !self.is_limited(work_kind) {
            return;
        }
        let is_known = self.latencies.contains_key(&work_kind);
        let is_full = self.latencies.len() >= MAX_WORK_KINDS;
        let kind = if is_full && !is_known { 0 } else { work_kind };
        self.latencies.entry(kind).or_default().observe(latency);
    }

    /// How long after its offer a request is hedged; `None` while too little is known, when no hedge
    /// is allowed at all, or when the caller stops waiting before.
    pub(crate) fn delay(&self, terms: &RequestTerms) -> Option<Duration> {
        let route = self.routes.get(&terms.work_kind);
        let limits = || self.service.iter().chain(route).map(HedgeLimiter::limit);
        let is_zero = |value: Option<f64>| value.is_some_and(|value| value <= 0.0);
        if limits().any(|limit| is_zero(limit.share) || is_zero(limit.per_s)) {
            return None;
        }
        let shares = limits().filter_map(|limit| limit.share);
        let share = shares.reduce(f64::min).unwrap_or(1.0 - DEFAULT_QUANTILE);
        let quantile = (1.0 - share).clamp(MIN_QUANTILE, MAX_QUANTILE);
        let latencies = self.latencies.get(&terms.work_kind);
        let latencies = latencies.or_else(|| self.latencies.get(&0))?;
        let late = latencies.quantile(quantile)?;
        let earliest = terms
            .objective
            .unwrap_or_default()
            .mul_f64(MIN_OBJECTIVE_SHARE);
        let delay = late.max(earliest);
        (delay < terms.time_left).then_some(delay)
    }

    /// The limiters of a work kind.
    fn limiters(&mut self, work_kind: u64) -> impl Iterator<Item = &mut HedgeLimiter> {
        let route = self.routes.get_mut(&work_kind);
        self.service.iter_mut().chain(route)
    }
}
