//! Taking in rumors: what they change here, and what is passed on.

use fescueway_core::{MonoTime, NodeId, TargetRecord};
use rand_core::Rng;

use crate::{
    DownCause, MemberAction, MemberList, MemberState, MemberStatus, NodeRecord, Rumor,
    ServedService, member_list::Step,
};

impl MemberList {
    /// Takes in rumors, and returns the members whose records are missing.
    pub(crate) fn take_rumors(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        rumors: &[Rumor],
        is_spread: bool,
    ) -> Vec<NodeId> {
        let mut wanted = Vec::new();
        for rumor in rumors {
            if rumor.node == self.settings.node {
                self.refute(step.now, rumor);
            } else if self.take_rumor(step, rumor, DownCause::Silent, is_spread) {
                wanted.push(rumor.node);
            }
        }
        wanted
    }

    /// Takes in a rumor of another member. Returns whether its record is missing.
    pub(crate) fn take_rumor(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        rumor: &Rumor,
        cause: DownCause,
        is_spread: bool,
    ) -> bool {
        let change = self.table.apply(step.now, rumor);
        if !change.is_news {
            return change.lacks_record && rumor.status.is_live();
        }
        self.counts.applied_rumors += 1;
        if is_spread {
            self.queue.push(step.now, rumor.node, change.has_record);
            self.push.schedule(step.now);
        }
        let cause = if rumor.status == MemberStatus::Left {
            DownCause::Left
        } else {
            cause
        };
        self.tell_change(step, rumor.node, change.before.as_ref(), cause);
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
        let truth = Rumor {
            incarnation: rumor.incarnation.saturating_add(1),
            status: MemberStatus::Alive,
            ..state.rumor(own, false)
        };
        self.table.apply(now, &truth);
        self.queue.push(now, own, false);
        self.push.schedule(now);
        self.counts.refutations += 1;
    }

    /// Puts this node's record, with these services, in force and spreads it.
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

    fn tell_change(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        node: NodeId,
        before: Option<&MemberState>,
        cause: DownCause,
    ) {
        let Some(after) = self.table.get(node) else {
            return;
        };
        let was_up = before.is_some_and(MemberState::is_reachable);
        if after.is_reachable() && !was_up {
            self.ring.insert(node, step.random);
            step.actions.push(MemberAction::NodeUp(node));
        }
        let old = before.map_or_else(Vec::new, |state| targets_of(node, state));
        let new = targets_of(node, after);
        for gone in old.iter().filter(|target| !has_service(&new, target)) {
            step.actions.push(MemberAction::RemoveTarget {
                node,
                service: gone.service.clone(),
            });
        }
        let site = after.record.as_ref().map(|record| &record.site);
        let changed = new.into_iter().filter(|target| !old.contains(target));
        let sited = changed.zip(site.into_iter().cycle());
        let actions = sited.map(|(target, site)| MemberAction::SetTarget {
            site: site.clone(),
            target,
        });
        step.actions.extend(actions);
        if was_up && !after.is_reachable() {
            step.actions.push(MemberAction::NodeDown { node, cause });
        }
    }

    /// Spreads this node's own finding on a member.
    pub(crate) fn declare(
        &mut self,
        step: &mut Step<'_, impl Rng>,
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
            self.take_rumor(step, &rumor, cause, true);
        }
    }
}

/// The targets that a member stands for while it is reachable.
pub fn targets_of(node: NodeId, state: &MemberState) -> Vec<TargetRecord> {
    let record = state.record.as_ref().filter(|_record| state.is_reachable());
    record.map_or_else(Vec::new, |record| record.targets(node).collect())
}

fn has_service(targets: &[TargetRecord], wanted: &TargetRecord) -> bool {
    targets
        .iter()
        .any(|target| target.service == wanted.service)
}
