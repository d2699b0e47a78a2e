//! Handling of rumors: their effect on the view, and whether they are forwarded.

use fescueway_core::{MonoTime, NodeId, TargetRecord};
use rand_core::Rng;

use crate::{
    DownCause, MemberAction, MemberList, MemberState, MemberStatus, NodeRecord, Rumor,
    ServedService, member_list::EventContext,
};

impl MemberList {
    /// Applies rumors and returns the members whose records are missing.
    pub(crate) fn apply_rumors(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        rumors: &[Rumor],
        is_forwarded: bool,
    ) -> Vec<NodeId> {
        let mut missing = Vec::new();
        for rumor in rumors {
            if rumor.node == self.settings.node {
                self.refute(context.now, rumor);
            } else if self.apply_rumor(context, rumor, DownCause::Silent, is_forwarded) {
                missing.push(rumor.node);
            }
        }
        missing
    }

    /// Applies a rumor about another member. Returns whether its record is missing.
    pub(crate) fn apply_rumor(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        rumor: &Rumor,
        cause: DownCause,
        is_forwarded: bool,
    ) -> bool {
        let change = self.table.apply(context.now, rumor);
        if !change.is_changed {
            return change.lacks_record && rumor.status.is_live();
        }
        self.counts.applied_rumors += 1;
        if is_forwarded {
            self.queue.push(context.now, rumor.node, change.has_record);
            self.push.schedule(context.now);
        }
        let cause = if rumor.status == MemberStatus::Left {
            DownCause::Left
        } else {
            cause
        };
        self.report_change(context, rumor.node, change.before.as_ref(), cause);
        change.lacks_record && rumor.status.is_live()
    }

    fn refute(&mut self, now: MonoTime, rumor: &Rumor) {
        let own = self.settings.node;
        let Some(state) = self.table.get(own) else {
            return;
        };
        let is_false = rumor.status != MemberStatus::Alive;
        if self.is_leaving || !is_false || rumor.incarnation < state.incarnation {
            return;
        }
        let refutation = Rumor {
            incarnation: rumor.incarnation.saturating_add(1),
            status: MemberStatus::Alive,
            ..state.rumor(own, false)
        };
        self.table.apply(now, &refutation);
        self.queue.push(now, own, false);
        self.push.schedule(now);
        self.counts.refutations += 1;
    }

    /// Publishes this node's record with these services.
    pub(crate) fn announce(&mut self, now: MonoTime, services: Vec<ServedService>) {
        let own = self.settings.node;
        let version = self.table.get(own).map_or(0, MemberState::version);
        let record = NodeRecord {
            version: version.saturating_add(1),
            gossip_address: self.settings.gossip_address,
            peer_address: self.settings.peer_address,
            domain: self.settings.domain.clone(),
            site: self.settings.site.clone(),
            services,
        };
        let incarnation = self.table.get(own).map_or(1, |state| state.incarnation);
        let rumor = Rumor {
            node: own,
            incarnation,
            status: MemberStatus::Alive,
            version: record.version,
            record: Some(record),
        };
        self.table.apply(now, &rumor);
        self.queue.push(now, own, true);
        self.push.schedule(now);
    }

    fn report_change(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        node: NodeId,
        before: Option<&MemberState>,
        cause: DownCause,
    ) {
        let Some(after) = self.table.get(node) else {
            return;
        };
        let was_up = before.is_some_and(MemberState::is_reachable);
        if after.is_reachable() && !was_up {
            self.probe_order.insert(node, context.random);
            context.actions.push(MemberAction::NodeUp(node));
        }
        let old = before.map_or_else(Vec::new, |state| targets_of(node, state));
        let new = targets_of(node, after);
        for removed in old.iter().filter(|target| !has_service(&new, target)) {
            context.actions.push(MemberAction::RemoveTarget {
                node,
                service: removed.service.clone(),
            });
        }
        let site = after.record.as_ref().map(|record| &record.site);
        let changed = new.into_iter().filter(|target| !old.contains(target));
        let changed_with_site = changed.zip(site.into_iter().cycle());
        let actions = changed_with_site.map(|(target, site)| MemberAction::SetTarget {
            site: site.clone(),
            target,
        });
        context.actions.extend(actions);
        if was_up && !after.is_reachable() {
            context.actions.push(MemberAction::NodeDown { node, cause });
        }
    }

    /// Applies and spreads a status that this node has determined for another member.
    pub(crate) fn declare(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        node: NodeId,
        status: MemberStatus,
        cause: DownCause,
    ) {
        if node == self.settings.node {
            return;
        }
        if let Some(state) = self.table.get(node) {
            let rumor = Rumor {
                status,
                ..state.rumor(node, false)
            };
            self.apply_rumor(context, &rumor, cause, true);
        }
    }
}

/// The targets of a member, none while it is unreachable.
pub fn targets_of(node: NodeId, state: &MemberState) -> Vec<TargetRecord> {
    let record = state.record.as_ref().filter(|_record| state.is_reachable());
    record.map_or_else(Vec::new, |record| record.targets(node).collect())
}

fn has_service(targets: &[TargetRecord], missing: &TargetRecord) -> bool {
    targets
        .iter()
        .any(|target| target.service == missing.service)
}
