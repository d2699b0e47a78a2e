//! Joining: the view of the fleet is pulled in parts from several members.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use fescueway_core::MonoTime;
use rand_core::Rng;

use crate::{
    MemberList, MessageBody, fleet_sync::split_pages, member_list::Step, member_table::BUCKETS,
};

/// Time between two tries to reach a seed.
const SEED_PAUSE: Duration = Duration::from_millis(500);

/// Time between the first tries: seeds that start together with this node are up within moments.
const FIRST_SEED_PAUSE: Duration = Duration::from_millis(100);

/// Tries with the short pause.
const FIRST_TRIES: u8 = 10;

/// Seeds that are tried at once.
const SEEDS_AT_ONCE: usize = 3;

/// Time after which a part that did not come is asked of another member.
const PULL_TIMEOUT: Duration = Duration::from_millis(300);

/// Parts that are asked for at once.
const PULLS_AT_ONCE: usize = 8;

/// Members that one part holds, about.
const MEMBERS_IN_PART: usize = 40;

/// Joining, from the first ping of a seed to the last part of the view.
#[derive(Clone, Debug)]
pub struct FleetJoin {
    /// `NEVER` when joined.
    next_at: MonoTime,
    /// Tries to reach a seed so far.
    tries: u8,
    /// Parts to ask for, by first bucket, with the number of buckets. `None` before the first answer.
    parts: Option<BTreeMap<u8, PartState>>,
    /// When the seeds that are no members yet are tried next; `NEVER` before it joined, and once enough.
    seek_at: MonoTime,
    /// Such tries so far.
    seeks: u8,
}

#[derive(Clone, Debug)]
struct PartState {
    count: u8,
    /// When it is asked for again; zero when it was not yet.
    retry_at: MonoTime,
    /// A bit for each page that came.
    pages: u128,
}

impl FleetJoin {
    pub const fn new(now: MonoTime) -> Self {
        Self {
            next_at: now,
            tries: 0,
            parts: None,
            seek_at: MonoTime::NEVER,
            seeks: 0,
        }
    }

    /// Seeds became known: they are tried at once.
    pub fn hasten(&mut self, now: MonoTime) {
        if self.is_done() {
            self.seek_at = now;
        } else {
            self.next_at = self.next_at.min(now);
        }
    }

    pub fn restart(&mut self, now: MonoTime) {
        *self = Self::new(now);
    }

    pub fn next_wake(&self) -> MonoTime {
        self.next_at.min(self.seek_at)
    }

    pub const fn is_done(&self) -> bool {
        self.next_at.as_micros() == MonoTime::NEVER.as_micros()
    }
}

impl MemberList {
    /// Goes on to try seeds that are no members for a while after it joined: those that start together
    /// may have found only each other, while the rest of the fleet did the same.
    pub(crate) fn continue_seeking(&mut self, step: &mut Step<'_, impl Rng>) {
        if self.join.seek_at > step.now {
            return;
        }
        self.join.seeks = self.join.seeks.saturating_add(1);
        let is_enough = self.join.seeks >= FIRST_TRIES || !self.has_unknown_seed();
        self.join.seek_at = if is_enough {
            MonoTime::NEVER
        } else {
            step.now + FIRST_SEED_PAUSE
        };
        self.ping_seeds(step);
    }

    /// Pings some seeds that are no live members.
    fn ping_seeds(&mut self, step: &mut Step<'_, impl Rng>) {
        for _seed in 0..SEEDS_AT_ONCE {
            self.ping_seed(step);
        }
    }

    pub(crate) fn continue_join(&mut self, step: &mut Step<'_, impl Rng>) {
        if self.join.next_at > step.now {
            return;
        }
        if self.pick_live(step).is_none() {
            self.join.tries = self.join.tries.saturating_add(1);
            let is_first = self.join.tries <= FIRST_TRIES;
            let pause = if is_first {
                FIRST_SEED_PAUSE
            } else {
                SEED_PAUSE
            };
            self.join.next_at = step.now + pause;
            self.ping_seeds(step);
            return;
        }
        let parts = parts_of(self.fleet_size.max(self.table.live_count()));
        self.join.parts.get_or_insert(parts);
        self.join.next_at = step.now + PULL_TIMEOUT;
        self.pull_parts(step);
        self.finish_join(step.now);
    }

    fn pull_parts(&mut self, step: &mut Step<'_, impl Rng>) {
        let now = step.now;
        let Some(parts) = &mut self.join.parts else {
            return;
        };
        let mut due = Vec::new();
        for (first, part) in parts.iter_mut().take(PULLS_AT_ONCE) {
            if part.retry_at <= now {
                part.retry_at = now + PULL_TIMEOUT;
                part.pages = 0;
                due.push((*first, part.count));
            }
        }
        for (first, count) in due {
            if let Some(node) = self.pick_live(step) {
                self.send_to_node(step, node, MessageBody::Pull { first, count });
            }
        }
    }

    fn finish_join(&mut self, now: MonoTime) {
        if self.join.parts.as_ref().is_some_and(BTreeMap::is_empty) {
            self.join.next_at = MonoTime::NEVER;
            if self.has_unknown_seed() {
                self.join.seek_at = now + FIRST_SEED_PAUSE;
            }
            self.sync.hasten(now);
        }
    }

    pub(crate) fn on_pull(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        first: u8,
        count: u8,
    ) {
        if usize::from(first) >= BUCKETS
            || count == 0
            || self.repair_budget.available(step.now) == 0
        {
            return;
        }
        let members = self.table.in_buckets(first, count);
        let live = members.filter(|(_, state)| state.is_reachable());
        let rumors = live.map(|(node, state)| state.rumor(node, true)).collect();
        let mut pages = split_pages(rumors);
        if pages.is_empty() {
            pages.push(Vec::new());
        }
        pages.truncate(u128::BITS as usize);
        let total = pages.len() as u8;
        for (page, rumors) in (0_u8..).zip(pages) {
            let mut datagram = self.datagram(MessageBody::Page {
                first,
                page,
                pages: total,
            });
            datagram.rumors = rumors;
            self.send_datagram(step, address, &datagram);
        }
    }

    pub(crate) fn on_page(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        first: u8,
        page: u8,
        pages: u8,
    ) {
        let Some(parts) = &mut self.join.parts else {
            return;
        };
        let Some(part) = parts.get_mut(&first) else {
            return;
        };
        part.pages |= 1_u128.checked_shl(u32::from(page)).unwrap_or(0);
        if part.pages.count_ones() >= u32::from(pages) {
            parts.remove(&first);
            self.pull_parts(step);
            self.finish_join(step.now);
        }
    }
}

/// The parts in which a view of `members` members is pulled.
fn parts_of(members: usize) -> BTreeMap<u8, PartState> {
    let count = (BUCKETS * MEMBERS_IN_PART / members.max(1)).clamp(1, BUCKETS);
    let firsts = (0..BUCKETS).step_by(count);
    let parts = firsts.map(|first| {
        let part = PartState {
            count: count as u8,
            retry_at: MonoTime::ZERO,
            pages: 0,
        };
        (first as u8, part)
    });
    parts.collect()
}
