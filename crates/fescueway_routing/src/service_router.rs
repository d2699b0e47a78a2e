//! One service's targets as one entry sees them.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{
    DomainName, MonoTime, NodeId, Refusal, RefusalReason, RequestTerms, TargetRecord, TargetState,
};
use rand_core::Rng;

use crate::{OfferPermit, RouteEvent, RoutingPlan};

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
    /// Targets by host node.
    targets: BTreeMap<NodeId, TargetRecord>,
}

impl ServiceRouter {
    /// A router without targets for an entry in `domain`.
    #[must_use]
    pub fn new(plan: RoutingPlan, domain: DomainName) -> Self {
        Self {
            plan,
            domain,
            targets: BTreeMap::new(),
        }
    }

    /// Replaces the settings; what is known of the targets is kept.
    pub fn set_plan(&mut self, plan: RoutingPlan) {
        self.plan = plan;
    }

    /// Adds or replaces a target.
    pub fn set_target(&mut self, _now: MonoTime, record: &TargetRecord) {
        self.targets.insert(record.node, record.clone());
    }

    /// Forgets a target. Offers to it that are still open may end later.
    pub fn remove_target(&mut self, node: NodeId) {
        self.targets.remove(&node);
    }

    /// Picks the target for the next offer, never one of `tried`.
    ///
    /// `time_left` in the terms is as of `now`.
    pub fn pick(
        &mut self,
        _now: MonoTime,
        mut terms: RequestTerms,
        tried: &[NodeId],
        random: &mut impl Rng,
    ) -> PickResult {
        if terms.offers_left == 0 {
            return PickResult::Refuse(Self::refusal(RefusalReason::BudgetSpent));
        }
        let is_open = |record: &&TargetRecord| {
            record.state != TargetState::Draining && !tried.contains(&record.node)
        };
        let count = self.targets.values().filter(is_open).count();
        if count == 0 {
            return PickResult::Refuse(Self::refusal(RefusalReason::NoTarget));
        }
        let index = random.next_u32() as usize % count;
        match self.targets.values().filter(is_open).nth(index) {
            Some(record) => {
                terms.offers_left -= 1;
                PickResult::Offer(OfferPermit::new(record.node, terms))
            }
            None => PickResult::Refuse(Self::refusal(RefusalReason::NoTarget)),
        }
    }

    /// When an idempotent request that was offered to `node` should be hedged by a second offer,
    /// counted from the first; `None` for never.
    #[must_use]
    pub fn hedge_after(
        &self,
        _now: MonoTime,
        _terms: &RequestTerms,
        _node: NodeId,
    ) -> Option<Duration> {
        None
    }

    /// Takes in what happened.
    pub fn handle(&mut self, _now: MonoTime, _event: RouteEvent) {
        let _ = &self.domain;
    }

    /// A refusal by this entry.
    fn refusal(reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            retry_after: Duration::from_secs(1),
        }
    }
}
