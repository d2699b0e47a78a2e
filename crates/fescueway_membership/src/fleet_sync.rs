//! Comparing views with a random member now and then, to repair what rumors missed.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::{MonoTime, NodeId};
use rand_core::Rng;

use crate::{
    MAX_DATAGRAM_BYTES, MemberList, MessageBody, Rumor,
    datagram::MemberStamp,
    datagram_codec::encoded_len,
    live_ring::pick_below,
    member_list::{Step, jittered},
    member_table::BUCKETS,
};

/// Longest time between two comparisons that one node opens.
const SYNC_PERIOD: Duration = Duration::from_secs(20);

/// Time to the next comparison after one that found a difference.
const SYNC_AGAIN: Duration = Duration::from_secs(2);

/// Buckets that one comparison repairs.
const BUCKETS_AT_ONCE: usize = 4;

/// Stamps in one datagram.
const STAMPS_AT_ONCE: usize = 70;

/// Members that are asked for, or answered, at once.
const WANTED_AT_ONCE: usize = 100;

/// Suspected members that are asked themselves in one period.
const SUSPECTS_ASKED: usize = 8;

/// Bytes of a datagram that carries rumors, besides the rumors.
const RUMOR_FRAME_BYTES: usize = 64;

/// When views are compared next.
#[derive(Clone, Debug)]
pub struct FleetSync {
    next_at: MonoTime,
}

impl FleetSync {
    pub fn new(now: MonoTime, random: &mut impl Rng) -> Self {
        Self {
            next_at: now + jittered(SYNC_PERIOD, random),
        }
    }

    pub const fn next_wake(&self) -> MonoTime {
        self.next_at
    }

    /// Compares again soon.
    pub fn hasten(&mut self, now: MonoTime) {
        self.next_at = self.next_at.min(now + SYNC_AGAIN);
    }
}

impl MemberList {
    pub(crate) fn continue_sync(&mut self, step: &mut Step<'_, impl Rng>) {
        if self.sync.next_at > step.now {
            return;
        }
        self.sync.next_at = step.now + jittered(SYNC_PERIOD, step.random);
        if let Some(node) = self.pick_live(step) {
            let digests = self.table.digests().to_vec();
            self.send_to_node(step, node, MessageBody::Digests(digests));
        }
    }

    pub(crate) fn on_digests(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
        digests: &[u32],
    ) {
        let start = pick_below(step.random, BUCKETS);
        let own = self.table.digests();
        let buckets = (0..BUCKETS).map(|offset| (start + offset) % BUCKETS);
        let differing: Vec<_> = buckets
            .filter(|bucket| {
                digests
                    .get(*bucket)
                    .is_some_and(|other| *other != own[*bucket])
            })
            .take(BUCKETS_AT_ONCE)
            .collect();
        for bucket in &differing {
            self.send_stamps(step, address, sender, *bucket as u8);
        }
        if !differing.is_empty() {
            self.sync.hasten(step.now);
        }
    }

    pub(crate) fn on_stamps(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        stamps: &[MemberStamp],
    ) -> Vec<NodeId> {
        self.sync.hasten(step.now);
        let newer = self.newer_than(stamps);
        let rumors: Vec<_> = stamps.iter().map(|stamp| bare_rumor(*stamp)).collect();
        let wanted = self.take_rumors(step, &rumors, true);
        self.send_rumors(step, address, newer);
        wanted
    }

    pub(crate) fn on_want(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        nodes: &[NodeId],
    ) {
        let nodes = nodes.iter().take(WANTED_AT_ONCE);
        let known = nodes.filter_map(|node| Some((*node, self.table.get(*node)?)));
        let rumors = known.map(|(node, state)| state.rumor(node, true)).collect();
        self.send_rumors(step, address, rumors);
    }

    /// Asks another member whether a suspicion was refuted, in case that was missed here, and the
    /// suspected members themselves.
    pub(crate) fn ask_about_suspects(&mut self, step: &mut Step<'_, impl Rng>) {
        let mut suspects = self.table.doubtful_suspects(step.now);
        suspects.truncate(WANTED_AT_ONCE);
        if suspects.is_empty() {
            return;
        }
        if let Some(node) = self.pick_live(step) {
            self.send_to_node(step, node, MessageBody::Want(suspects.clone()));
        }
        for node in suspects.into_iter().take(SUSPECTS_ASKED) {
            self.ask_suspect(step, node);
        }
    }

    pub(crate) fn send_want(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
        mut wanted: Vec<NodeId>,
    ) {
        wanted.truncate(WANTED_AT_ONCE);
        if !wanted.is_empty() && self.repair_budget.available(step.now) > 0 {
            self.send(step, address, Some(sender), MessageBody::Want(wanted));
        }
    }

    /// What this node knows better than `stamps` tell.
    fn newer_than(&self, stamps: &[MemberStamp]) -> Vec<Rumor> {
        let newer = stamps.iter().filter_map(|stamp| {
            let state = self.table.get(stamp.node)?;
            let has_record = state.version() > stamp.version;
            let told = bare_rumor(*stamp);
            let told = crate::rumor::LifeStamp {
                incarnation: told.incarnation,
                status: told.status,
            };
            let is_newer = has_record || state.life().overrides(told);
            is_newer.then(|| state.rumor(stamp.node, has_record))
        });
        newer.collect()
    }

    fn send_stamps(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
        bucket: u8,
    ) {
        let members = self.table.in_buckets(bucket, 1);
        let all: Vec<_> = members.map(|(node, state)| state.stamp(node)).collect();
        for stamps in all.chunks(STAMPS_AT_ONCE) {
            if self.repair_budget.available(step.now) == 0 {
                return;
            }
            let stamps = stamps.to_vec();
            self.send(
                step,
                address,
                Some(sender),
                MessageBody::Stamps { bucket, stamps },
            );
        }
    }

    fn send_rumors(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        rumors: Vec<Rumor>,
    ) {
        for page in split_pages(rumors) {
            if self.repair_budget.available(step.now) == 0 {
                return;
            }
            let mut datagram = self.datagram(MessageBody::Gossip);
            datagram.rumors = page;
            self.send_datagram(step, address, &datagram);
        }
    }
}

/// Splits rumors so that each part fits into a datagram.
pub fn split_pages(rumors: Vec<Rumor>) -> Vec<Vec<Rumor>> {
    let room = MAX_DATAGRAM_BYTES - RUMOR_FRAME_BYTES;
    let mut pages = Vec::new();
    let mut page = Vec::new();
    let mut taken = 0;
    for rumor in rumors {
        let length = encoded_len(&rumor);
        if taken + length > room && !page.is_empty() {
            pages.push(std::mem::take(&mut page));
            taken = 0;
        }
        taken += length;
        page.push(rumor);
    }
    if !page.is_empty() {
        pages.push(page);
    }
    pages
}

const fn bare_rumor(stamp: MemberStamp) -> Rumor {
    Rumor {
        node: stamp.node,
        incarnation: stamp.incarnation,
        status: stamp.status,
        version: stamp.version,
        record: None,
    }
}
