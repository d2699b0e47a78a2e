//! Joining the fleet: the view is pulled in parts from several members.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use fescueway_core::MonoTime;
use rand_core::Rng;

use crate::{
    MemberList, MessageBody, fleet_sync::split_pages, member_list::EventContext,
    member_table::BUCKETS,
};

/// Time between two attempts to reach a seed.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time between the first attempts. It is short because seeds that start together with this node
/// are up soon after it.
const INITIAL_SEED_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of attempts that use the short interval.
const INITIAL_ATTEMPTS: u8 = 10;

/// Seeds pinged in each attempt.
const SEEDS_PER_ATTEMPT: usize = 3;

/// Time after which an incomplete part is requested from another member.
const PULL_TIMEOUT: Duration = Duration::from_millis(300);

/// Parts requested at the same time.
const MAX_CONCURRENT_PULLS: usize = 8;

/// Approximate number of members in one part.
const MEMBERS_PER_PART: usize = 40;

/// State of the join, from the first ping of a seed to the last part of the view.
#[derive(Clone, Debug)]
pub struct FleetJoin {
    /// When to continue; `NEVER` once joined.
    next_at: MonoTime,
    /// Attempts to reach a seed so far.
    attempts: u8,
    /// Incomplete parts by first bucket. `None` until a member is known.
    parts: Option<BTreeMap<u8, PartState>>,
    /// When the seeds that are not live members are pinged next, after the join; `NEVER` before the
    /// join and once this phase is over.
    discovery_at: MonoTime,
    /// Attempts of that phase so far.
    discovery_attempts: u8,
}

#[derive(Clone, Debug)]
struct PartState {
    count: u8,
    /// When the part is requested again; zero before the first request.
    retry_at: MonoTime,
    /// Bit set of the pages received.
    pages: u128,
}

impl FleetJoin {
    pub const fn new(now: MonoTime) -> Self {
        Self {
            next_at: now,
            attempts: 0,
            parts: None,
            discovery_at: MonoTime::NEVER,
            discovery_attempts: 0,
        }
    }

    /// Contacts newly learned seeds at once.
    pub fn schedule_now(&mut self, now: MonoTime) {
        if self.is_done() {
            self.discovery_at = now;
        } else {
            self.next_at = self.next_at.min(now);
        }
    }

    pub fn restart(&mut self, now: MonoTime) {
        *self = Self::new(now);
    }

    pub fn next_wake(&self) -> MonoTime {
        self.next_at.min(self.discovery_at)
    }

    pub const fn is_done(&self) -> bool {
        self.next_at.as_micros() == MonoTime::NEVER.as_micros()
    }
}

impl MemberList {
    /// Keeps pinging seeds that are not live members for a while after the join. Nodes that start
    /// together may have found only each other while the rest of the fleet did the same, which
    /// would leave two separate fleets.
    pub(crate) fn continue_seed_discovery(&mut self, context: &mut EventContext<'_, impl Rng>) {
        if self.join.discovery_at > context.now {
            return;
        }
        self.join.discovery_attempts = self.join.discovery_attempts.saturating_add(1);
        let is_finished =
            self.join.discovery_attempts >= INITIAL_ATTEMPTS || !self.has_unknown_seed();
        self.join.discovery_at = if is_finished {
            MonoTime::NEVER
        } else {
            context.now + INITIAL_SEED_RETRY_INTERVAL
        };
        self.ping_seeds(context);
    }

    /// Pings some seeds that are not live members.
    fn ping_seeds(&mut self, context: &mut EventContext<'_, impl Rng>) {
        for _seed in 0..SEEDS_PER_ATTEMPT {
            self.ping_seed(context);
        }
    }

    pub(crate) fn continue_join(&mut self, context: &mut EventContext<'_, impl Rng>) {
        if self.join.next_at > context.now {
            return;
        }
        if self.pick_live(context).is_none() {
            self.join.attempts = self.join.attempts.saturating_add(1);
            let is_initial = self.join.attempts <= INITIAL_ATTEMPTS;
            let retry_interval = if is_initial {
                INITIAL_SEED_RETRY_INTERVAL
            } else {
                SEED_RETRY_INTERVAL
            };
            self.join.next_at = context.now + retry_interval;
            self.ping_seeds(context);
            return;
        }
        let parts = parts_of(self.fleet_size.max(self.table.live_count()));
        self.join.parts.get_or_insert(parts);
        self.join.next_at = context.now + PULL_TIMEOUT;
        self.pull_parts(context);
        self.finish_join(context);
    }

    fn pull_parts(&mut self, context: &mut EventContext<'_, impl Rng>) {
        let now = context.now;
        let Some(parts) = &mut self.join.parts else {
            return;
        };
        let mut due = Vec::new();
        for (first, part) in parts.iter_mut().take(MAX_CONCURRENT_PULLS) {
            if part.retry_at <= now {
                part.retry_at = now + PULL_TIMEOUT;
                part.pages = 0;
                due.push((*first, part.count));
            }
        }
        for (first, count) in due {
            if let Some(node) = self.pick_live(context) {
                self.send_to_node(context, node, MessageBody::Pull { first, count });
            }
        }
    }

    fn finish_join(&mut self, context: &mut EventContext<'_, impl Rng>) {
        if self.join.parts.as_ref().is_some_and(BTreeMap::is_empty) {
            self.join.next_at = MonoTime::NEVER;
            if self.has_unknown_seed() {
                self.join.discovery_at = context.now + INITIAL_SEED_RETRY_INTERVAL;
            }
            self.sync.schedule_catch_up(context.now, context.random);
        }
    }

    pub(crate) fn on_pull(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        first: u8,
        count: u8,
    ) {
        if usize::from(first) >= BUCKETS
            || count == 0
            || self.repair_budget.available(context.now) == 0
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
            self.send_datagram(context, address, &datagram);
        }
    }

    pub(crate) fn on_page(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
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
            self.pull_parts(context);
            self.finish_join(context);
        }
    }
}

/// Splits a view of `members` members into the parts to pull.
fn parts_of(members: usize) -> BTreeMap<u8, PartState> {
    let count = (BUCKETS * MEMBERS_PER_PART / members.max(1)).clamp(1, BUCKETS);
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
