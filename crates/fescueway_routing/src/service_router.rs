//! One service's targets as one entry sees them.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{
    DomainName, Idempotency, MonoTime, NodeId, OfferCause, Refusal, RefusalReason, RequestTerms,
    TargetRecord,
};
use rand_core::Rng;

use crate::{
    EjectionChange, OfferEnd, OfferPermit, RouteEvent, RoutingPlan,
    body_sizes::BodySizes,
    latency_quantile::LatencyQuantile,
    offer_budget::OfferBudget,
    place_choice::choose_place,
    pool_view::PoolView,
    target_subset::subset_rank,
    target_view::{PickScene, SILENCE_LIMIT, TargetView},
};

/// Further offers after refusals that can be saved up.
const REFUSAL_RESERVE: f64 = 10.0;

/// Further offers after refusals that can be owed: hosts were told to refuse while there was
/// budget, and several may do so at once.
const REFUSAL_DEBT: f64 = 10.0;

/// Mean load, as a share of the limits, above which nothing is hedged: a hedge would only add to
/// what makes requests late.
const MOST_HEDGED_LOAD: f64 = 0.8;

/// Shortest wait at which a host refuses because another place is likely better, in mean service
/// times: a second offer costs a trip, and its host may refuse as well.
const LEAST_WAIT_SHARE: f64 = 0.2;

/// Wait at which a host refuses however bad the other places look, in mean service times: views
/// of them are stale, while the host knows its own queue.
const MOST_WAIT_SHARE: f64 = 0.4;

/// How much longer a wait is accepted as the budget of offers after refusals runs out, so that
/// what is left of it goes to the longest waits.
const SCARCITY_PRICE: f64 = 3.0;

/// When to come back after a refusal by the entry, at the soonest.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Where a request goes next.
#[derive(Debug)]
pub enum PickResult {
    /// Offer it to this target.
    Offer(OfferPermit),
    /// Give it up: it did not run.
    Refuse(Refusal),
}

/// One service's targets as one entry sees them.
#[derive(Debug)]
pub struct ServiceRouter {
    /// Settings.
    plan: RoutingPlan,
    /// The entry's failure domain.
    domain: DomainName,
    /// By which this entry's subset differs from others'.
    seed: u64,
    /// Targets by host node, those outside the subset included.
    targets: BTreeMap<NodeId, TargetRecord>,
    /// What is known of the subset's targets. Never more than the plan's subset size.
    views: Vec<TargetView>,
    /// What is known of them taken together.
    pool: PoolView,
    /// Budget of offers after refusals.
    refusals: OfferBudget,
    /// Budget of retries and hedges.
    retries: OfferBudget,
    /// When an unanswered request is hedged.
    latency: LatencyQuantile,
    /// What crosses when a request goes to another failure domain.
    sizes: BodySizes,
}

impl ServiceRouter {
    /// A router without targets for an entry in `domain`.
    #[must_use]
    pub fn new(plan: RoutingPlan, domain: DomainName) -> Self {
        let capacity = plan.subset_size;
        Self {
            domain,
            seed: 0,
            targets: BTreeMap::new(),
            views: Vec::with_capacity(capacity),
            pool: PoolView::default(),
            refusals: OfferBudget::new(REFUSAL_RESERVE).with_debt(REFUSAL_DEBT),
            retries: OfferBudget::new(plan.max_retry_tokens),
            latency: LatencyQuantile::default(),
            sizes: BodySizes::default(),
            plan,
        }
    }

    /// Gives this entry a subset of its own: call it with the entry's identity before targets
    /// are set.
    #[must_use]
    pub fn with_seed(mut self, entry: NodeId) -> Self {
        self.seed = entry.0;
        self
    }

    /// Replaces the settings; what is known of the targets is kept.
    pub fn set_plan(&mut self, plan: RoutingPlan) {
        self.retries.set_reserve(plan.max_retry_tokens);
        self.plan = plan;
        self.views.truncate(self.plan.subset_size);
        self.fill_subset(MonoTime::ZERO);
    }

    /// Adds or replaces a target.
    pub fn set_target(&mut self, now: MonoTime, record: &TargetRecord) {
        self.targets.insert(record.node, record.clone());
        let is_near = record.domain == self.domain;
        if let Some(view) = self.view_mut(record.node) {
            view.set_record(record, is_near);
            return;
        }
        if self.views.len() >= self.plan.subset_size && !self.evict_for(record.node, is_near) {
            return;
        }
        let view = TargetView::new(now, record, is_near, &self.pool);
        self.views.push(view);
    }

    /// Forgets a target. Offers to it that are still open may end later.
    pub fn remove_target(&mut self, node: NodeId) {
        self.targets.remove(&node);
        let Some(index) = self.views.iter().position(|view| view.node == node) else {
            return;
        };
        let gone = self.views.swap_remove(index);
        self.fill_subset(gone.known_since());
    }

    /// Picks the target for the next offer, never one of `tried`.
    ///
    /// `time_left` in the terms is as of `now`. The permit's is what the host may use of it: less by
    /// the trips to another failure domain, so that its queue serves what has a long way back first.
    /// A hedge is refused unless the target that has the request, the last of `tried`, is slow.
    pub fn pick(
        &mut self,
        now: MonoTime,
        mut terms: RequestTerms,
        tried: &[NodeId],
        random: &mut impl Rng,
    ) -> PickResult {
        if terms.cause == OfferCause::Hedged && !self.is_slow(now, tried.last()) {
            return PickResult::Refuse(self.refusal(RefusalReason::BudgetSpent));
        }
        if terms.offers_left == 0 || !self.charge(terms.cause) {
            return PickResult::Refuse(self.refusal(RefusalReason::BudgetSpent));
        }
        let crossing_us = self.crossing_us(terms.work_kind);
        let scene = PickScene {
            now,
            pool: &self.pool,
            far_us: 2.0 * self.plan.domain_trip.as_micros() as f64 + crossing_us,
        };
        let choice = choose_place(&mut self.views, &scene, tried, random);
        let Some(choice) = choice else {
            return PickResult::Refuse(self.refusal(RefusalReason::NoTarget));
        };
        terms.offers_left -= 1;
        let is_near = self.views[choice.best].is_near;
        let spared_us = if is_near { crossing_us } else { 0.0 };
        terms.wait_limit = self.wait_limit(&terms, choice.next_score_us, spared_us);
        let view = &mut self.views[choice.best];
        if !view.is_near {
            let trips = self.plan.domain_trip * 2;
            terms.time_left = terms.time_left.saturating_sub(trips);
            terms.objective = terms.objective.map(|left| left.saturating_sub(trips));
        }
        view.offer(now);
        PickResult::Offer(OfferPermit::new(view.node, terms))
    }

    /// When an idempotent request that was offered to `node` should be hedged by a second offer,
    /// counted from the first; `None` for never. By then the target can be told to be silent.
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
            && self.pool.load_share() < MOST_HEDGED_LOAD
            && self.retries.has_token();
        if !may_hedge {
            return None;
        }
        let silence_us = SILENCE_LIMIT * self.pool.service_us();
        let silence = Duration::from_micros(silence_us as u64);
        self.latency.get().map(|late| late.max(silence))
    }

    /// Retries and hedges, and further offers after refusals, that may be made now. The latter are below
    /// zero when some are owed.
    #[must_use]
    pub fn tokens(&self) -> (f64, f64) {
        (self.retries.tokens(), self.refusals.tokens())
    }

    /// Takes in what happened, and tells whether the target is trusted otherwise since.
    pub fn handle(&mut self, now: MonoTime, event: RouteEvent) -> Option<EjectionChange> {
        match event {
            RouteEvent::OfferEnded { node, end } => self.end_offer(now, node, end),
            RouteEvent::AnswerSized { work_kind, bytes } => {
                self.sizes.learn(work_kind, bytes);
                None
            }
            RouteEvent::LoadReported { node, report } => {
                self.pool.learn(&report);
                let view = self.view_mut(node)?;
                view.note_trust(|view| view.learn_report(now, &report))
            }
        }
    }

    /// Takes in how an offer ended.
    fn end_offer(&mut self, now: MonoTime, node: NodeId, end: OfferEnd) -> Option<EjectionChange> {
        if let OfferEnd::Answered {
            latency,
            is_failure: false,
        } = end
        {
            self.retries.earn(self.plan.budget_share);
            self.latency.learn(latency);
        }
        let view = self.view_mut(node)?;
        view.end_offer();
        view.note_trust(|view| match end {
            OfferEnd::Answered { is_failure, .. } => view.learn_answer(now, is_failure),
            OfferEnd::Lost => view.learn_answer(now, true),
            OfferEnd::Refused(refusal) => view.learn_refusal(now, refusal.reason),
            OfferEnd::Cancelled => {}
        })
    }

    /// Earns or spends budget for an offer. Whether the offer may be made.
    fn charge(&mut self, cause: OfferCause) -> bool {
        match cause {
            OfferCause::First => {
                self.refusals.earn(self.plan.refusal_share);
                true
            }
            OfferCause::Refused => self.refusals.spend(),
            OfferCause::Retried | OfferCause::Hedged => self.retries.spend(),
        }
    }

    /// What it costs that the bodies of a request of this kind go to another failure domain, in
    /// microseconds of its latency.
    fn crossing_us(&self, work_kind: u64) -> f64 {
        let cost_us = self.plan.far_cost_per_kib.as_micros() as f64;
        cost_us * self.sizes.mean(work_kind) / 1_024.0
    }

    /// The longest wait at the host that is better than a refusal and another offer. `spared_us` is what
    /// it costs to go elsewhere, whatever the load there.
    fn wait_limit(
        &self,
        terms: &RequestTerms,
        next_score_us: Option<f64>,
        spared_us: f64,
    ) -> Duration {
        let may_offer_again = terms.offers_left > 0 && self.refusals.has_token();
        match next_score_us {
            Some(score_us) if may_offer_again => {
                let scarcity = self.refusals.spent_share();
                let price = 1.0 + SCARCITY_PRICE * scarcity * scarcity;
                let most_us = MOST_WAIT_SHARE * self.pool.service_us() + spared_us;
                let least_us = LEAST_WAIT_SHARE * self.pool.service_us();
                let limit_us = (score_us * price).min(most_us).max(least_us);
                Duration::from_micros(limit_us as u64)
            }
            _ => terms.time_left,
        }
    }

    /// Whether a target of the subset is slow or silent.
    fn is_slow(&self, now: MonoTime, node: Option<&NodeId>) -> bool {
        let view = self.views.iter().find(|view| Some(&view.node) == node);
        view.is_some_and(|view| view.is_slow(now, &self.pool))
    }

    /// The view of a target of the subset.
    fn view_mut(&mut self, node: NodeId) -> Option<&mut TargetView> {
        self.views.iter_mut().find(|view| view.node == node)
    }

    /// Makes room in a full subset for a target of lower rank. Whether there is room.
    fn evict_for(&mut self, node: NodeId, is_near: bool) -> bool {
        let rank = subset_rank(self.seed, node, is_near);
        let rank_of = |view: &TargetView| subset_rank(self.seed, view.node, view.is_near);
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

    /// Adds the targets of lowest rank until the subset is full or holds all.
    fn fill_subset(&mut self, now: MonoTime) {
        while self.views.len() < self.plan.subset_size {
            let views = &self.views;
            let outside = self
                .targets
                .values()
                .filter(|record| !views.iter().any(|view| view.node == record.node));
            let rank_of = |record: &&TargetRecord| {
                subset_rank(self.seed, record.node, record.domain == self.domain)
            };
            let Some(record) = outside.min_by_key(rank_of) else {
                return;
            };
            let is_near = record.domain == self.domain;
            let view = TargetView::new(now, record, is_near, &self.pool);
            self.views.push(view);
        }
    }

    /// A refusal by this entry.
    fn refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            retry_after: RETRY_AFTER.max(self.pool.wait()),
        }
    }
}
