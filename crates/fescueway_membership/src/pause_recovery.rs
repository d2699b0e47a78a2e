//! Recovery after this process was paused.

use std::time::Duration;

use rand_core::Rng;

use crate::{
    DownCause, MemberAction, MemberList, member_list::EventContext, member_table::MemberTable,
    probe_order::ProbeOrder, rumor_handling::targets_of, rumor_queue::RumorQueue,
};

/// Time between two events above which this node must have been paused. It is below the suspicion
/// timeout, or a suspicion could expire during an undetected pause.
const PAUSE_GAP: Duration = Duration::from_secs(1);

/// Length of a pause after which this node's view is too old to be useful to others.
const STALE_GAP: Duration = Duration::from_mins(10);

/// Time that is enough to drain the socket's buffer after a pause.
const DISCARD_TIME: Duration = Duration::from_millis(200);

impl MemberList {
    /// Detects a pause since the last event. Timeouts that expired during a pause say nothing about
    /// other members, so pending pings are dropped and suspicions extended.
    pub(crate) fn detect_pause(&mut self, context: &mut EventContext<'_, impl Rng>) {
        let gap = context.now.since(self.last_event);
        self.last_event = context.now;
        if gap < PAUSE_GAP {
            return;
        }
        self.probe.clear();
        self.table.extend_suspicions(gap);
        if gap >= STALE_GAP {
            self.discard_view(context);
        }
    }

    /// Discards the view after a long pause, since it would bring back members that left meanwhile.
    /// The node rejoins through the addresses in the old view.
    fn discard_view(&mut self, context: &mut EventContext<'_, impl Rng>) {
        let own = self.settings.node;
        let others: Vec<_> = self.table.iter().filter(|(node, _)| *node != own).collect();
        let reachable = others.iter().filter(|(_, state)| state.is_reachable());
        let mut seeds = Vec::new();
        for (node, state) in reachable {
            for target in targets_of(*node, state) {
                let service = target.service;
                let node = *node;
                context
                    .actions
                    .push(MemberAction::RemoveTarget { node, service });
            }
            let cause = DownCause::Silent;
            context
                .actions
                .push(MemberAction::NodeDown { node: *node, cause });
            seeds.extend(state.record.as_ref().map(|record| record.gossip_address));
        }
        let own_rumor = self.table.get(own).map(|state| state.rumor(own, true));
        self.table = MemberTable::new();
        if let Some(rumor) = own_rumor {
            self.table.apply(context.now, &rumor);
        }
        self.probe_order = ProbeOrder::default();
        self.queue = RumorQueue::default();
        self.queue.push(context.now, own, true);
        self.add_seeds(context.now, seeds);
        self.discard_until = context.now + DISCARD_TIME;
        self.join.restart(self.discard_until);
    }
}
