//! Routes the requests of one service from one entry.

mod evacuation;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fescueway_core::{
    DomainName, Idempotency, MonoTime, NodeId, OfferCause, Refusal, RefusalReason, RequestTerms,
    TargetRecord,
};
use rand_core::Rng;

use crate::{
    EjectionChange, OfferEnd, OfferPermit, RouteEvent, RoutingPlan,
    body_sizes::BodySizes,
    disturbed_domain::disturbed_domain,
    hedge_policy::HedgePolicy,
    latency_quantile::LatencyQuantile,
    offer_budget::OfferBudget,
    pool_view::PoolView,
    target_choice::choose_target,
    target_subset::subset_rank,
    target_view::{PickContext, SILENCE_LIMIT, TargetView},
};

/// Maximum number of accumulated tokens for further offers after refusals.
const MAX_REFUSAL_TOKENS: f64 = 10.0;

/// How far the budget for further offers after refusals may be overdrawn: hosts got wait limits
/// while there was budget left, and several may refuse at once.
const MAX_REFUSAL_DEBT: f64 = 10.0;

/// Mean load, as a share of the concurrency limits, at which hedging stops: more load would make
/// more requests late.
const MAX_HEDGED_LOAD: f64 = 0.8;

/// Lower bound of the wait limit, in mean service times: another offer costs a round trip, and its
/// host may refuse too.
const MIN_WAIT_SHARE: f64 = 0.2;

/// Upper bound of the wait limit, in mean service times, however loaded the other targets look:
/// this entry's views of them are stale, while a host knows its own queue.
const MAX_WAIT_SHARE: f64 = 0.4;

/// How much the wait limit grows as the refusal budget runs out, so that the remaining tokens go to
/// the requests with the longest waits.
const SCARCITY_FACTOR: f64 = 3.0;

/// Minimum time that a refusal by the entry asks the caller to wait before it retries.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The result of a pick.
#[derive(Debug)]
pub enum PickResult {
    /// Offer the request to this target.
    Offer(OfferPermit),
    /// Refuse the request; it did not run.
    Refuse(Refusal),
}

/// Routes the requests of one service from one entry.
#[derive(Debug)]
pub struct ServiceRouter {
    /// Settings.
    plan: RoutingPlan,
    /// The entry's failure domain.
    domain: DomainName,
    /// Seed of the rendezvous hash, so that entries use different subsets.
    seed: u64,
    /// All targets by host node, including those outside the subset.
    targets: BTreeMap<NodeId, TargetRecord>,
    /// The evacuated failure domains. Their targets get no offers.
    evacuated: BTreeSet<DomainName>,
    /// State of the subset's targets. At most `plan.subset_size` entries.
    views: Vec<TargetView>,
    /// Aggregate load of the targets.
    pool: PoolView,
    /// Budget for further offers after refusals.
    refusal_budget: OfferBudget,
    /// Budget for retries and hedges.
    retry_budget: OfferBudget,
    /// Latency after which a request without an answer is hedged.
    latency: LatencyQuantile,
    /// Hedges of services and routes with a hedge limit.
    hedges: HedgePolicy,
    /// Body sizes, which determine the cost of sending a request to another failure domain.
    body_sizes: BodySizes,
}

impl ServiceRouter {
    /// Creates a router without targets for an entry in `domain`.
    #[must_use]
    pub fn new(plan: RoutingPlan, domain: DomainName) -> Self {
        let capacity = plan.subset_size;
        let mut hedges = HedgePolicy::default();
        hedges.set_plan(&plan);
        Self {
            domain,
            seed: 0,
            targets: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            views: Vec::with_capacity(capacity),
            pool: PoolView::default(),
            refusal_budget: OfferBudget::new(MAX_REFUSAL_TOKENS).with_max_debt(MAX_REFUSAL_DEBT),
            retry_budget: OfferBudget::new(plan.max_retry_tokens),
            latency: LatencyQuantile::default(),
            hedges,
            body_sizes: BodySizes::default(),
            plan,
        }
    }

    /// Seeds the subset selection with the entry's identity, so that entries use different subsets.
    /// Call it before setting targets.
    #[must_use]
    pub fn with_seed(mut self, entry: NodeId) -> Self {
        self.seed = entry.0;
        self
    }

    /// Replaces the settings and keeps the state of the targets.
    pub fn set_plan(&mut self, plan: RoutingPlan) {
        self.retry_budget.set_max_tokens(plan.max_retry_tokens);
        self.hedges.set_plan(&plan);
        self.plan = plan;
        self.views.truncate(self.plan.subset_size);
        self.fill_subset(MonoTime::ZERO);
    }

    /// Adds or replaces a target.
    pub fn set_target(&mut self, now: MonoTime, record: &TargetRecord) {
        self.targets.insert(record.node, record.clone());
        let is_same_domain = record.domain == self.domain;
        let is_evacuated = self.evacuated.contains(&record.domain);
        let mut views = self.views.iter_mut();
        if let Some(view) = views.find(|view| view.node == record.node) {
            view.set_record(record, is_same_domain);
            if is_evacuated {
                view.begin_evacuation();
            } else if view.is_evacuated() {
                view.end_evacuation(now, record.slots, &self.pool);
            }
            return;
        }
        if self.views.len() >= self.plan.subset_size && !self.evict_for(record) {
            return;
        }
        self.add_view(now, record);
    }

    /// Removes a target. Offers to it that are in flight may end later.
    pub fn remove_target(&mut self, node: NodeId) {
        self.targets.remove(&node);
        let Some(index) = self.views.iter().position(|view| view.node == node) else {
            return;
        };
        let removed = self.views.swap_remove(index);
        self.fill_subset(removed.reported_at());
    }

    /// Picks the target of the next offer, never one of `tried`.
    ///
    /// `time_left` in the given terms is as of `now`. In the permit's terms it is reduced by the
    /// round trip to another failure domain, so that the host's queue serves requests with a long
    /// way back first.
    ///
    /// A hedge without a hedge limit is refused unless the target that has the request, the last of
    /// `tried`, is slow. One with a limit is refused when the limit has no room or the service no
    /// spare capacity.
    pub fn pick(
        &mut self,
        now: MonoTime,
        mut terms: RequestTerms,
        tried: &[NodeId],
        random: &mut impl Rng,
    ) -> PickResult {
        if terms.cause == OfferCause::Hedged && !self.may_hedge(now, terms.work_kind, tried) {
            return PickResult::Refuse(self.refusal(RefusalReason::BudgetSpent));
        }
        if terms.offers_left == 0 || !self.may_charge(terms.cause) {
            return PickResult::Refuse(self.refusal(RefusalReason::BudgetSpent));
        }
        if terms.cause == OfferCause::First {
            self.refusal_budget.deposit(self.plan.refusal_share);
            self.retry_budget.deposit(self.plan.budget_share);
            self.hedges.record_first(now, terms.work_kind);
        }
        let transfer_us = self.transfer_us(&terms);
        let is_limited_hedge = is_limited_hedge(&self.hedges, &terms);
        let avoided = match tried.last().and_then(|node| self.targets.get(node)) {
            Some(late) if is_limited_hedge => {
                disturbed_domain(&self.views, &self.targets, &self.pool, now, late)
            }
            _ => Vec::new(),
        };
        let context = PickContext {
            now,
            pool: &self.pool,
            cross_domain_us: 2.0 * self.plan.domain_trip.as_micros() as f64 + transfer_us,
        };
        let choice = if avoided.is_empty() {
            None
        } else {
            choose_target(
                &mut self.views,
                &context,
                &[tried, &avoided].concat(),
                random,
            )
        };
        let choice = choice.or_else(|| choose_target(&mut self.views, &context, tried, random));
        let Some(choice) = choice else {
            let reason = self.no_target_reason(now);
            return PickResult::Refuse(self.refusal(reason));
        };
        self.charge(terms.cause);
        if terms.cause == OfferCause::Hedged {
            self.hedges.record_hedge(now, terms.work_kind);
        }
        terms.offers_left -= 1;
        let is_same_domain = self.views[choice.best].is_same_domain;
        let saved_us = if is_same_domain { transfer_us } else { 0.0 };
        terms.wait_limit = if is_limited_hedge {
            // It runs where it hardly waits or not at all.
            Duration::from_micros((MIN_WAIT_SHARE * self.pool.service_us()) as u64)
        } else {
            self.wait_limit(&terms, choice.runner_up_score_us, saved_us)
        };
        let view = &mut self.views[choice.best];
        if !view.is_same_domain {
            let trips = self.plan.domain_trip * 2;
            terms.time_left = terms.time_left.saturating_sub(trips);
            terms.objective = terms.objective.map(|left| left.saturating_sub(trips));
        }
        view.begin_offer(now);
        PickResult::Offer(OfferPermit::new(view.node, terms))
    }

    /// How long after the offer to `node` an idempotent request should be hedged, `None` for never.
    /// By then an unresponsive target can be detected.
    #[must_use]
    pub fn hedge_after(
        &self,
        _now: MonoTime,
        terms: &RequestTerms,
        _node: NodeId,
    ) -> Option<Duration> {
        let may_hedge = self.plan.is_hedging
            && terms.idempotency == Idempotency::Idempotent
            && terms.offers_left > 0
            && self.pool.load_share() < MAX_HEDGED_LOAD
            && self.retry_budget.has_token();
        if !may_hedge {
            return None;
        }
        if self.hedges.is_limited(terms.work_kind) {
            return self.hedges.delay(terms);
        }
        let silence_us = SILENCE_LIMIT * self.pool.service_us();
        let silence = Duration::from_micros(silence_us as u64);
        self.latency.get().map(|quantile| quantile.max(silence))
    }

    /// Tokens available for retries and hedges, and for further offers after refusals. The latter
    /// is negative when overdrawn.
    #[must_use]
    pub fn tokens(&self) -> (f64, f64) {
        (self.retry_budget.tokens(), self.refusal_budget.tokens())
    }

    /// Applies an event. Returns whether it ejected or restored the target.
    pub fn handle(&mut self, now: MonoTime, event: RouteEvent) -> Option<EjectionChange> {
        match event {
            RouteEvent::OfferEnded { node, end } => self.end_offer(now, node, end),
            RouteEvent::AnswerSized { work_kind, bytes } => {
                self.body_sizes.observe(work_kind, bytes);
                None
            }
            RouteEvent::LatencyObserved { work_kind, latency } => {
                self.hedges.observe_latency(work_kind, latency);
                None
            }
            RouteEvent::LoadReported { node, report } => {
                self.pool.observe(&report);
                let view = self.view_mut(node)?;
                view.track_ejection(|view| view.observe_report(now, &report))
            }
        }
    }

    /// Records the end of an offer.
    fn end_offer(&mut self, now: MonoTime, node: NodeId, end: OfferEnd) -> Option<EjectionChange> {
        if let OfferEnd::Refused(refusal) = end
            && refusal.reason == RefusalReason::DomainEvacuated
        {
            self.avoid_domain(now, node);
        }
        if let OfferEnd::Answered {
            latency,
            is_failure: false,
        } = end
        {
            self.latency.observe(latency);
        }
        let view = self.view_mut(node)?;
        view.end_offer();
        view.track_ejection(|view| match end {
            OfferEnd::Answered { is_failure, .. } => view.observe_answer(now, is_failure),
            OfferEnd::Lost => view.observe_answer(now, true),
            OfferEnd::Refused(refusal) => view.observe_refusal(now, refusal.reason),
            OfferEnd::Cancelled => {}
        })
    }

    /// Whether the budget allows an offer.
    fn may_charge(&self, cause: OfferCause) -> bool {
        match cause {
            OfferCause::First => true,
            OfferCause::Refused => self.refusal_budget.may_withdraw(),
            OfferCause::Retried | OfferCause::Hedged => self.retry_budget.may_withdraw(),
        }
    }

    /// Charges an offer to its budget.
    fn charge(&mut self, cause: OfferCause) {
        match cause {
            OfferCause::First => {}
            OfferCause::Refused => self.refusal_budget.withdraw(),
            OfferCause::Retried | OfferCause::Hedged => self.retry_budget.withdraw(),
        }
    }

    /// Cost of sending the bodies of a request to another failure domain, expressed as latency in
    /// microseconds. Counts the usual bytes of its kind, or its own body if that is larger: an entry
    /// that gets few requests of a kind learns their size late.
    fn transfer_us(&self, terms: &RequestTerms) -> f64 {
        let cost_us = self.plan.far_cost_per_kib.as_micros() as f64;
        let bytes = self.body_sizes.mean(terms.work_kind);
        cost_us * bytes.max(terms.body_bytes as f64) / 1_024.0
    }

    /// The longest wait at the host that is preferable to a refusal and another offer. `saved_us`
    /// is the transfer cost that staying in the failure domain saves, whatever the load elsewhere.
    fn wait_limit(
        &self,
        terms: &RequestTerms,
        runner_up_score_us: Option<f64>,
        saved_us: f64,
    ) -> Duration {
        let may_offer_again = terms.offers_left > 0 && self.refusal_budget.has_token();
        match runner_up_score_us {
            Some(score_us) if may_offer_again => {
                let scarcity = self.refusal_budget.spent_share();
                let price = 1.0 + SCARCITY_FACTOR * scarcity * scarcity;
                let max_us = MAX_WAIT_SHARE * self.pool.service_us() + saved_us;
                let min_us = MIN_WAIT_SHARE * self.pool.service_us();
                let limit_us = (score_us * price).min(max_us).max(min_us);
                Duration::from_micros(limit_us as u64)
            }
            _ => terms.time_left,
        }
    }

    /// Whether a request that the last of `tried` has may be hedged.
    fn may_hedge(&mut self, now: MonoTime, work_kind: u64, tried: &[NodeId]) -> bool {
        if !self.hedges.is_limited(work_kind) {
            return self.is_slow(now, tried.last());
        }
        self.pool.load_share() < MAX_HEDGED_LOAD && self.hedges.has_room(now, work_kind)
    }

    /// Whether a target of the subset is slow or unresponsive.
    fn is_slow(&self, now: MonoTime, node: Option<&NodeId>) -> bool {
        let view = self.views.iter().find(|view| Some(&view.node) == node);
        view.is_some_and(|view| view.is_slow(now, &self.pool))
    }

    /// The view of a target of the subset.
    fn view_mut(&mut self, node: NodeId) -> Option<&mut TargetView> {
        self.views.iter_mut().find(|view| view.node == node)
    }

    /// Evicts the target of highest rank from a full subset if that of `record` ranks lower. Returns
    /// whether it did.
    fn evict_for(&mut self, record: &TargetRecord) -> bool {
        let rank = self.rank(record);
        let rank_of = |view: &TargetView| {
            let rank = subset_rank(self.seed, view.node, view.is_same_domain);
            (view.is_evacuated(), rank)
        };
        let worst = self
            .views
            .iter()
            .enumerate()
            .map(|(index, view)| (rank_of(view), index))
            .max();
        match worst {
            Some((worst_rank, index)) if rank < worst_rank => {
                self.views.swap_remove(index);
                true
            }
            _ => false,
        }
    }

    /// Adds the targets of lowest rank until the subset is full or contains all targets.
    fn fill_subset(&mut self, now: MonoTime) {
        while self.views.len() < self.plan.subset_size {
            let views = &self.views;
            let outside = self
                .targets
                .values()
                .filter(|record| !views.iter().any(|view| view.node == record.node));
            let Some(record) = outside.min_by_key(|record| self.rank(record)).cloned() else {
                return;
            };
            self.add_view(now, &record);
        }
    }

    /// Rank of a target for the subset: the lowest ones are in it. Those of evacuated failure domains
    /// come last.
    fn rank(&self, record: &TargetRecord) -> (bool, u64) {
        let is_same_domain = record.domain == self.domain;
        let rank = subset_rank(self.seed, record.node, is_same_domain);
        (self.evacuated.contains(&record.domain), rank)
    }

    /// Adds the view of a target to the subset.
    fn add_view(&mut self, now: MonoTime, record: &TargetRecord) {
        let is_same_domain = record.domain == self.domain;
        let mut view = TargetView::new(now, record, is_same_domain, &self.pool);
        if self.evacuated.contains(&record.domain) {
            view.begin_evacuation();
        }
        self.views.push(view);
    }

    /// A refusal by this entry.
    fn refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            retry_after: RETRY_AFTER.max(self.pool.wait()),
        }
    }
}

/// Whether an offer is a hedge under a hedge limit.
fn is_limited_hedge(hedges: &HedgePolicy, terms: &RequestTerms) -> bool {
    terms.cause == OfferCause::Hedged && hedges.is_limited(terms.work_kind)
}
