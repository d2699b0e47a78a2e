//! Anti-entropy: periodically compares views with a random member to repair what gossip missed.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{MonoTime, NodeId};
use rand_core::Rng;

use crate::{
    MAX_DATAGRAM_BYTES, MemberList, MessageBody, Rumor,
    datagram::MemberStamp,
    datagram_codec::encoded_len,
    member_list::{EventContext, jittered},
    member_table::BUCKETS,
    probe_order::random_below,
};

/// Longest time between two exchanges started by one node.
const SYNC_PERIOD: Duration = Duration::from_secs(20);

/// Longest time to the next exchange after one that found a difference.
const SYNC_REPEAT_DELAY: Duration = Duration::from_secs(2);

/// Longest time to the next exchange after one that found many differences.
const CATCH_UP_DELAY: Duration = Duration::from_millis(300);

/// Differing buckets repaired in one exchange, unless there are many.
const BUCKETS_PER_SYNC: usize = 4;

/// Number of differing buckets from which one of the two views is taken for incomplete, as while a
/// whole fleet starts. News that is still on its way makes fewer buckets differ.
const MANY_BUCKETS: usize = BUCKETS / 8;

/// Differing members from which one of the two views is taken for incomplete.
const MANY_MEMBERS: usize = MANY_BUCKETS;

/// Datagrams of stamps sent in one exchange with an incomplete view.
const MAX_STAMP_DATAGRAMS: usize = 8;

/// Stamps in one datagram.
const STAMPS_PER_DATAGRAM: usize = 70;

/// Members requested or answered in one message.
const MAX_WANTED: usize = 100;

/// Suspected members pinged directly in one period.
const SUSPECTS_PER_PERIOD: usize = 8;

/// Overhead of a datagram that carries only rumors, in bytes.
const RUMOR_FRAME_BYTES: usize = 64;

/// Schedule of the anti-entropy exchanges.
#[derive(Clone, Debug)]
pub struct FleetSync {
    next_at: MonoTime,
    /// Longest time between the next two exchanges. Doubles with each, up to [`SYNC_PERIOD`].
    period: Duration,
}

impl FleetSync {
    pub fn new(now: MonoTime, random: &mut impl Rng) -> Self {
        Self {
            next_at: now + jittered(SYNC_PERIOD, random),
            period: SYNC_PERIOD,
        }
    }

    pub const fn next_wake(&self) -> MonoTime {
        self.next_at
    }

    /// Schedules the next exchange soon, after one that found few differences.
    pub fn schedule_soon(&mut self, now: MonoTime) {
        self.next_at = self.next_at.min(now + SYNC_REPEAT_DELAY);
    }

    /// Schedules the next exchange at once, after one that found many differences or after the join:
    /// nodes that start together join with incomplete views.
    pub fn schedule_catch_up(&mut self, now: MonoTime, random: &mut impl Rng) {
        self.period = CATCH_UP_DELAY;
        self.next_at = self.next_at.min(now + jittered(CATCH_UP_DELAY, random));
    }

    /// Schedules the exchange after one that starts at `now`.
    fn schedule_next(&mut self, now: MonoTime, random: &mut impl Rng) {
        self.period = SYNC_PERIOD.min(self.period * 2);
        self.next_at = now + jittered(self.period, random);
    }
}

impl MemberList {
    pub(crate) fn continue_sync(&mut self, context: &mut EventContext<'_, impl Rng>) {
        if self.sync.next_at > context.now {
            return;
        }
        self.sync.schedule_next(context.now, context.random);
        if let Some(node) = self.pick_live(context) {
            let digests = self.table.digests().to_vec();
            self.send_to_node(context, node, MessageBody::Digests(digests));
        }
    }

    pub(crate) fn on_digests(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
        digests: &[u32],
    ) {
        let start = random_below(context.random, BUCKETS);
        let own = self.table.digests();
        let buckets = (0..BUCKETS).map(|offset| (start + offset) % BUCKETS);
        let differing: Vec<_> = buckets
            .filter(|bucket| {
                digests
                    .get(*bucket)
                    .is_some_and(|other| *other != own[*bucket])
            })
            .collect();
        if differing.is_empty() {
            return;
        }
        let repaired = if differing.len() >= MANY_BUCKETS {
            self.sync.schedule_catch_up(context.now, context.random);
            differing.len()
        } else {
            self.sync.schedule_soon(context.now);
            differing.len().min(BUCKETS_PER_SYNC)
        };
        self.send_stamps(context, address, sender, &differing[..repaired]);
    }

    pub(crate) fn on_stamps(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        stamps: &[MemberStamp],
    ) -> Vec<NodeId> {
        let newer = self.newer_than(stamps);
        let rumors: Vec<_> = stamps
            .iter()
            .map(|stamp| rumor_without_record(*stamp))
            .collect();
        let wanted = self.apply_rumors(context, &rumors, true);
        if newer.len() + wanted.len() >= MANY_MEMBERS {
            self.sync.schedule_catch_up(context.now, context.random);
        } else {
            self.sync.schedule_soon(context.now);
        }
        self.send_rumors(context, address, newer);
        wanted
    }

    pub(crate) fn on_want(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        nodes: &[NodeId],
    ) {
        let nodes = nodes.iter().take(MAX_WANTED);
        let known = nodes.filter_map(|node| Some((*node, self.table.get(*node)?)));
        let rumors = known.map(|(node, state)| state.rumor(node, true)).collect();
        self.send_rumors(context, address, rumors);
    }

    /// Asks another member for the suspects' state, in case this node missed a refutation, and
    /// pings some of the suspects themselves.
    pub(crate) fn query_suspects(&mut self, context: &mut EventContext<'_, impl Rng>) {
        let mut suspects = self.table.expiring_suspects(context.now);
        suspects.truncate(MAX_WANTED);
        if suspects.is_empty() {
            return;
        }
        if let Some(node) = self.pick_live(context) {
            self.send_to_node(context, node, MessageBody::Want(suspects.clone()));
        }
        for node in suspects.into_iter().take(SUSPECTS_PER_PERIOD) {
            self.ping_suspect(context, node);
        }
    }

    pub(crate) fn send_want(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
        mut wanted: Vec<NodeId>,
    ) {
        wanted.truncate(MAX_WANTED);
        if !wanted.is_empty() && self.repair_budget.available(context.now) > 0 {
            self.send(context, address, Some(sender), MessageBody::Want(wanted));
        }
    }

    /// Rumors for the members of `stamps` whose state is newer here.
    fn newer_than(&self, stamps: &[MemberStamp]) -> Vec<Rumor> {
        let newer = stamps.iter().filter_map(|stamp| {
            let state = self.table.get(stamp.node)?;
            let has_record = state.version() > stamp.version;
            let peer_stamp = rumor_without_record(*stamp);
            let peer_stamp = crate::rumor::StatusStamp {
                incarnation: peer_stamp.incarnation,
                status: peer_stamp.status,
            };
            let is_newer = has_record || state.status_stamp().overrides(peer_stamp);
            is_newer.then(|| state.rumor(stamp.node, has_record))
        });
        newer.collect()
    }

    /// Sends the stamps of all members in `buckets`, as far as the datagrams of one exchange reach.
    fn send_stamps(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
        buckets: &[usize],
    ) {
        let members = buckets
            .iter()
            .flat_map(|bucket| self.table.in_buckets(*bucket as u8, 1));
        let all: Vec<_> = members
            .map(|(node, state)| state.stamp(node))
            .take(STAMPS_PER_DATAGRAM * MAX_STAMP_DATAGRAMS)
            .collect();
        let bucket = buckets.first().map_or(0, |bucket| *bucket as u8);
        for stamps in all.chunks(STAMPS_PER_DATAGRAM) {
            if self.repair_budget.available(context.now) == 0 {
                return;
            }
            let stamps = stamps.to_vec();
            self.send(
                context,
                address,
                Some(sender),
                MessageBody::Stamps { bucket, stamps },
            );
        }
    }

    fn send_rumors(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        rumors: Vec<Rumor>,
    ) {
        for page in split_pages(rumors) {
            if self.repair_budget.available(context.now) == 0 {
                return;
            }
            let mut datagram = self.datagram(MessageBody::Gossip);
            datagram.rumors = page;
            self.send_datagram(context, address, &datagram);
        }
    }
}

/// Splits rumors into pages that each fit into a datagram.
pub fn split_pages(rumors: Vec<Rumor>) -> Vec<Vec<Rumor>> {
    let room = MAX_DATAGRAM_BYTES - RUMOR_FRAME_BYTES;
    let mut pages = Vec::new();
    let mut page = Vec::new();
    let mut used = 0;
    for rumor in rumors {
        let length = encoded_len(&rumor);
        if used + length > room && !page.is_empty() {
            pages.push(std::mem::take(&mut page));
            used = 0;
        }
        used += length;
        page.push(rumor);
    }
    if !page.is_empty() {
        pages.push(page);
    }
    pages
}

const fn rumor_without_record(stamp: MemberStamp) -> Rumor {
    Rumor {
        node: stamp.node,
        incarnation: stamp.incarnation,
        status: stamp.status,
        version: stamp.version,
        record: None,
    }
}
