//! Targets in evacuated failure domains.

use std::{collections::BTreeSet, mem::replace, time::Duration};

use fescueway_core::{DomainName, MonoTime, NodeId, RefusalReason, TargetRecord};

use super::ServiceRouter;

/// How long the targets of a failure domain get no offers after one of its hosts refused an offer as
/// evacuated: about as long as this entry may learn of the evacuation later than that host. Without
/// this, each target of the domain would cost an offer.
const AVOID_TIME: Duration = Duration::from_secs(1);

impl ServiceRouter {
    /// Sets the evacuated failure domains. Their targets get no offers. When an evacuation ends, its
    /// targets return to the subset with a small assumed capacity.
    pub fn set_evacuated(&mut self, now: MonoTime, evacuated: &BTreeSet<DomainName>) {
        let before = replace(&mut self.evacuated, evacuated.clone());
        if before == *evacuated {
            return;
        }
        let (targets, pool) = (&self.targets, &self.pool);
        for view in &mut self.views {
            let Some(record) = targets.get(&view.node) else {
                continue;
            };
            if evacuated.contains(&record.domain) {
                view.begin_evacuation();
            } else if view.is_evacuated() {
                view.end_evacuation(now, record.slots, pool);
            }
        }
        self.rebuild_subset(now, &before);
    }

    /// The targets that are not in an evacuated failure domain, and those that are.
    #[must_use]
    pub fn split_evacuated(&self) -> (Vec<&TargetRecord>, Vec<&TargetRecord>) {
        let targets = self.targets.values();
        targets.partition(|record| !self.evacuated.contains(&record.domain))
    }

    /// Replaces targets of the subset by those outside that rank lower now.
    fn rebuild_subset(&mut self, now: MonoTime, before: &BTreeSet<DomainName>) {
        self.fill_subset(now);
        let views = &self.views;
        let outside = self.targets.values();
        let outside = outside.filter(|record| !views.iter().any(|view| view.node == record.node));
        for record in outside.cloned().collect::<Vec<_>>() {
            if !self.evict_for(&record) {
                continue;
            }
            self.add_view(now, &record);
            let pool = &self.pool;
            if before.contains(&record.domain)
                && let Some(view) = self.views.last_mut()
            {
                view.end_evacuation(now, record.slots, pool);
            }
        }
    }

    /// Makes no offers to the failure domain of `node` for a while.
    pub(super) fn avoid_domain(&mut self, now: MonoTime, node: NodeId) {
        let Some(domain) = self.targets.get(&node).map(|record| record.domain.clone()) else {
            return;
        };
        let targets = &self.targets;
        for view in &mut self.views {
            let record = targets.get(&view.node);
            if record.is_some_and(|record| record.domain == domain) {
                view.avoid_until(now + AVOID_TIME);
            }
        }
    }

    /// Why no target can be picked: an evacuation, if it excludes a target that takes requests
    /// otherwise and no other one does.
    pub(super) fn no_target_reason(&self, now: MonoTime) -> RefusalReason {
        let mut open = self.views.iter().filter(|view| !view.is_draining);
        let is_excluded = open.clone().next().is_some() && open.all(|view| view.is_excluded(now));
        if is_excluded {
            RefusalReason::DomainEvacuated
        } else {
            RefusalReason::NoTarget
        }
    }
}
