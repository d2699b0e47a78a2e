//! Every member that a node knows, with the digests by which two views are compared.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    net::SocketAddr,
    time::Duration,
};

use fescueway_core::{ConfigMark, MonoTime, NodeId};

use crate::{MemberState, MemberStatus, Rumor, rumor::LifeStamp};

/// Buckets into which members are sorted by the first bits of their identity.
pub const BUCKETS: usize = 128;

/// How long a suspected member has to refute it.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The last part of that time, in which each holder of the suspicion asks about it.
const DOUBT_TIME: Duration = Duration::from_secs(2);

/// How long a member that is gone is remembered, so that late rumors don't bring it back.
pub const TOMBSTONE_AGE: Duration = Duration::from_hours(1);

/// Members that are gone and remembered; beyond it the oldest are forgotten.
const MAX_TOMBSTONES: usize = 4_096;

/// Members in all; rumors of further ones are ignored.
const MAX_MEMBERS: usize = 32_768;

/// Every member that a node knows, itself included.
#[derive(Clone, Debug)]
pub struct MemberTable {
    members: BTreeMap<NodeId, MemberState>,
    /// For each bucket the exclusive or of its members' digests.
    digests: Vec<u32>,
    /// The live member that was last learned to be at an address.
    addresses: BTreeMap<SocketAddr, NodeId>,
    /// When each suspected member is held to be down.
    suspects: BTreeMap<NodeId, MonoTime>,
    /// Members that are gone, by the time that was learned.
    tombstones: BTreeSet<(MonoTime, NodeId)>,
    live_count: usize,
}

/// What a rumor changed.
#[derive(Clone, Debug, Default)]
pub struct TableChange {
    /// Whether anything was news.
    pub is_news: bool,
    /// Whether the record was news.
    pub has_record: bool,
    /// Whether the rumor names a record that is not held.
    pub lacks_record: bool,
    /// The member before, when it was known.
    pub before: Option<MemberState>,
}

impl MemberTable {
    pub fn new() -> Self {
        Self {
            members: BTreeMap::new(),
            digests: vec![0; BUCKETS],
            addresses: BTreeMap::new(),
            suspects: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            live_count: 0,
        }
    }

    pub fn get(&self, node: NodeId) -> Option<&MemberState> {
        self.members.get(&node)
    }

    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &MemberState)> {
        self.members.iter().map(|(node, state)| (*node, state))
    }

    /// Members that live.
    pub const fn live_count(&self) -> usize {
        self.live_count
    }

    pub fn digests(&self) -> &[u32] {
        &self.digests
    }

    /// The members of `count` buckets from `first` on.
    pub fn in_buckets(&self, first: u8, count: u8) -> impl Iterator<Item = (NodeId, &MemberState)> {
        let shift = u64::BITS - BUCKETS.ilog2();
        let start = u64::from(first) << shift;
        let last = (usize::from(first) + usize::from(count)).min(BUCKETS) as u64 - 1;
        let end = (last << shift) | ((1 << shift) - 1);
        let range = self.members.range(NodeId(start)..=NodeId(end.max(start)));
        range.map(|(node, state)| (*node, state))
    }

    /// The live member that was last learned to be at `address`.
    pub fn at_address(&self, address: SocketAddr) -> Option<NodeId> {
        self.addresses.get(&address).copied()
    }

    /// A member held to be down, near a random place; one that left is not among them.
    pub fn down_near(&self, place: u64) -> Option<NodeId> {
        let oldest = self.tombstones.first()?.0.as_micros();
        let newest = self.tombstones.last()?.0.as_micros();
        let from = MonoTime::from_micros(oldest + place % (newest - oldest + 1));
        let start = (from, NodeId(place.rotate_left(32)));
        let mut after = self.tombstones.range(start..).chain(&self.tombstones);
        let (_, node) = *after.next()?;
        let state = self.members.get(&node)?;
        (state.status == MemberStatus::Down).then_some(node)
    }

    pub fn set_mark(&mut self, node: NodeId, mark: ConfigMark) {
        if let Some(state) = self.members.get_mut(&node) {
            state.mark = mark;
        }
    }

    /// Takes in a rumor.
    pub fn apply(&mut self, now: MonoTime, rumor: &Rumor) -> TableChange {
        let is_full = self.members.len() >= MAX_MEMBERS;
        let entry = match self.members.entry(rumor.node) {
            Entry::Vacant(_) if is_full => return TableChange::default(),
            Entry::Vacant(entry) => {
                entry.insert(new_state(now, rumor));
                self.index(rumor.node);
                return TableChange {
                    is_news: true,
                    has_record: rumor.record.is_some(),
                    lacks_record: rumor.record.is_none() && rumor.version > 0,
                    before: None,
                };
            }
            Entry::Occupied(entry) => entry.into_mut(),
        };
        let stamp = LifeStamp {
            incarnation: rumor.incarnation,
            status: rumor.status,
        };
        let is_life = stamp.overrides(entry.life());
        let is_newer = rumor.version > entry.version();
        let has_record = is_newer && rumor.record.is_some();
        let lacks_record = is_newer && !has_record;
        if !is_life && !has_record {
            return TableChange {
                lacks_record,
                ..TableChange::default()
            };
        }
        let before = entry.clone();
        self.unindex(rumor.node);
        self.change(now, rumor, is_life, has_record);
        self.index(rumor.node);
        TableChange {
            is_news: true,
            has_record,
            lacks_record,
            before: Some(before),
        }
    }

    /// Members whose time to refute a suspicion is over.
    pub fn lapsed_suspects(&self, now: MonoTime) -> Vec<NodeId> {
        let lapsed = self.suspects.iter().filter(|(_, until)| **until <= now);
        lapsed.map(|(node, _)| *node).collect()
    }

    /// Members who had some time to refute a suspicion, and have little left.
    pub fn doubtful_suspects(&self, now: MonoTime) -> Vec<NodeId> {
        let soon = now + DOUBT_TIME;
        let doubtful = self.suspects.iter().filter(|(_, until)| **until <= soon);
        doubtful.map(|(node, _)| *node).collect()
    }

    pub fn next_lapse(&self) -> MonoTime {
        let next = self.suspects.values().min();
        next.copied().unwrap_or(MonoTime::NEVER)
    }

    /// Gives suspected members `more` time, after this node itself was paused.
    pub fn postpone_lapses(&mut self, more: Duration) {
        for until in self.suspects.values_mut() {
            *until = *until + more;
        }
    }

    /// Forgets members that went long ago.
    pub fn forget_old(&mut self, now: MonoTime) {
        while let Some((at, node)) = self.tombstones.first().copied() {
            let is_old = now.since(at) >= TOMBSTONE_AGE;
            if !is_old && self.tombstones.len() <= MAX_TOMBSTONES {
                return;
            }
            self.tombstones.remove(&(at, node));
            self.members.remove(&node);
        }
    }

    fn change(&mut self, now: MonoTime, rumor: &Rumor, is_life: bool, has_record: bool) {
        let Some(state) = self.members.get_mut(&rumor.node) else {
            return;
        };
        if is_life {
            if state.status != rumor.status || rumor.status == MemberStatus::Suspect {
                state.changed_at = now;
            }
            state.incarnation = rumor.incarnation;
            state.status = rumor.status;
        }
        if has_record {
            state.record.clone_from(&rumor.record);
        }
    }

    fn index(&mut self, node: NodeId) {
        let Some(state) = self.members.get(&node) else {
            return;
        };
        self.digests[bucket_of(node)] ^= state.digest(node);
        if !state.status.is_live() {
            self.tombstones.insert((state.changed_at, node));
            return;
        }
        self.live_count += 1;
        if state.status == MemberStatus::Suspect {
            let until = state.changed_at + SUSPICION_TIMEOUT;
            self.suspects.insert(node, until);
        }
        if let Some(record) = &state.record {
            self.addresses.insert(record.gossip_address, node);
        }
    }

    fn unindex(&mut self, node: NodeId) {
        let Some(state) = self.members.get(&node) else {
            return;
        };
        self.digests[bucket_of(node)] ^= state.digest(node);
        if !state.status.is_live() {
            self.tombstones.remove(&(state.changed_at, node));
            return;
        }
        self.live_count -= 1;
        self.suspects.remove(&node);
        if let Some(record) = &state.record
            && self.addresses.get(&record.gossip_address) == Some(&node)
        {
            self.addresses.remove(&record.gossip_address);
        }
    }
}

/// The bucket of a member.
pub const fn bucket_of(node: NodeId) -> usize {
    (node.0 >> (u64::BITS - BUCKETS.ilog2())) as usize
}

fn new_state(now: MonoTime, rumor: &Rumor) -> MemberState {
    MemberState {
        incarnation: rumor.incarnation,
        status: rumor.status,
        changed_at: now,
        record: rumor.record.clone(),
        mark: ConfigMark::default(),
    }
}
