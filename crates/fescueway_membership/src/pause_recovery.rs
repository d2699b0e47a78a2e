//! What this node makes of its own pauses.

use std::time::Duration;

use rand_core::Rng;

use crate::{
    DownCause, MemberAction, MemberList, live_ring::LiveRing, member_list::Step,
    member_table::MemberTable, rumor_intake::targets_of, rumor_queue::RumorQueue,
};

/// A gap between two wake-ups beyond which this node must have been paused. Below the time of a
/// suspicion, or one could run out during a pause.
const PAUSE_GAP: Duration = Duration::from_secs(1);

/// A pause after which this node's view is too old to be of use to others.
const STALE_GAP: Duration = Duration::from_mins(10);

/// Time in which a socket's buffer is surely emptied after a pause.
const DEAF_TIME: Duration = Duration::from_millis(200);

impl MemberList {
    /// After a pause this node's own timers say nothing of the others.
    pub(crate) fn note_pause(&mut self, step: &mut Step<'_, impl Rng>) {
        let gap = step.now.since(self.last_event);
        self.last_event = step.now;
        if gap < PAUSE_GAP {
            return;
        }
        self.probe.forget();
        self.table.postpone_lapses(gap);
        if gap >= STALE_GAP {
            self.forget_view(step);
        }
    }

    /// A view from before a long pause would bring back what left meanwhile. It is dropped, and
    /// the fleet joined again through addresses that were in it.
    fn forget_view(&mut self, step: &mut Step<'_, impl Rng>) {
        let own = self.settings.node;
        let others: Vec<_> = self.table.iter().filter(|(node, _)| *node != own).collect();
        let reachable = others.iter().filter(|(_, state)| state.is_reachable());
        let mut seeds = Vec::new();
        for (node, state) in reachable {
            for target in targets_of(*node, state) {
                let service = target.service;
                let node = *node;
                step.actions
                    .push(MemberAction::RemoveTarget { node, service });
            }
            let cause = DownCause::Silent;
            step.actions
                .push(MemberAction::NodeDown { node: *node, cause });
            seeds.extend(state.record.as_ref().map(|record| record.gossip_address));
        }
        let own_rumor = self.table.get(own).map(|state| state.rumor(own, true));
        self.table = MemberTable::new();
        if let Some(rumor) = own_rumor {
            self.table.apply(step.now, &rumor);
        }
        self.ring = LiveRing::default();
        self.queue = RumorQueue::default();
        self.queue.push(step.now, own, true);
        self.add_seeds(step.now, seeds);
        self.deaf_until = step.now + DEAF_TIME;
        self.join.restart(self.deaf_until);
    }
}
