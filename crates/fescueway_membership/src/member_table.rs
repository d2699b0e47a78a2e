//! All members known to a node, with the digests for comparing two views.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    net::SocketAddr,
    time::Duration,
};

use fescueway_core::{ConfigMark, MonoTime, NodeId};

use crate::{MemberState, MemberStatus, Rumor, rumor::StatusStamp};

/// Number of buckets; a member's bucket is given by the highest bits of its identity.
pub const BUCKETS: usize = 128;

/// Time that a suspected member has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The last part of that time, in which each node that holds the suspicion queries it.
const SUSPECT_QUERY_WINDOW: Duration = Duration::from_secs(2);

/// Time that a member that is gone is remembered, so that late rumors don't bring it back.
pub const TOMBSTONE_AGE: Duration = Duration::from_hours(1);

/// Most tombstones kept; above this number the oldest are removed.
const MAX_TOMBSTONES: usize = 4_096;

/// Most members kept; rumors about further ones are ignored.
const MAX_MEMBERS: usize = 32_768;

/// All members known to a node, itself included.
#[derive(Clone, Debug)]
pub struct MemberTable {
    members: BTreeMap<NodeId, MemberState>,
    /// For each bucket the exclusive or of its members' digests.
    digests: Vec<u32>,
    /// The live member last seen at each address.
    addresses: BTreeMap<SocketAddr, NodeId>,
    /// When each suspected member is declared down.
    suspects: BTreeMap<NodeId, MonoTime>,
    /// Members that are down or have left, by the time this was learned.
    tombstones: BTreeSet<(MonoTime, NodeId)>,
    live_count: usize,
}

/// What a rumor changed.
#[derive(Clone, Debug, Default)]
pub struct TableChange {
    /// Whether the rumor changed the table.
    pub is_changed: bool,
    /// Whether the rumor brought a newer record.
    pub has_record: bool,
    /// Whether the rumor refers to a newer record that this node doesn't have.
    pub lacks_record: bool,
    /// The member's previous state, if it was known.
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

    /// Number of live members, this node included.
    pub const fn live_count(&self) -> usize {
        self.live_count
    }

    pub fn digests(&self) -> &[u32] {
        &self.digests
    }

    /// The members of `count` buckets, starting at bucket `first`.
    pub fn in_buckets(&self, first: u8, count: u8) -> impl Iterator<Item = (NodeId, &MemberState)> {
        let shift = u64::BITS - BUCKETS.ilog2();
        let start = u64::from(first) << shift;
        let last = (usize::from(first) + usize::from(count)).min(BUCKETS) as u64 - 1;
        let end = (last << shift) | ((1 << shift) - 1);
        let range = self.members.range(NodeId(start)..=NodeId(end.max(start)));
        range.map(|(node, state)| (*node, state))
    }

    /// The live member last seen at `address`.
    pub fn at_address(&self, address: SocketAddr) -> Option<NodeId> {
        self.addresses.get(&address).copied()
    }

    /// The member that went at about a pseudorandom time derived from `position`; `None` if it left
    /// rather than went down.
    pub fn down_near(&self, position: u64) -> Option<NodeId> {
        let oldest = self.tombstones.first()?.0.as_micros();
        let newest = self.tombstones.last()?.0.as_micros();
        let from = MonoTime::from_micros(oldest + position % (newest - oldest + 1));
        let start = (from, NodeId(position.rotate_left(32)));
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

    /// Applies a rumor.
    pub fn apply(&mut self, now: MonoTime, rumor: &Rumor) -> TableChange {
        let is_full = self.members.len() >= MAX_MEMBERS;
        let entry = match self.members.entry(rumor.node) {
            Entry::Vacant(_) if is_full => return TableChange::default(),
            Entry::Vacant(entry) => {
                entry.insert(new_state(now, rumor));
                self.index(rumor.node);
                return TableChange {
                    is_changed: true,
                    has_record: rumor.record.is_some(),
                    lacks_record: rumor.record.is_none() && rumor.version > 0,
                    before: None,
                };
            }
            Entry::Occupied(entry) => entry.into_mut(),
        };
        let stamp = StatusStamp {
            incarnation: rumor.incarnation,
            status: rumor.status,
        };
        let is_status_newer = stamp.overrides(entry.status_stamp());
        let is_newer = rumor.version > entry.version();
        let has_record = is_newer && rumor.record.is_some();
        let lacks_record = is_newer && !has_record;
        if !is_status_newer && !has_record {
            return TableChange {
                lacks_record,
                ..TableChange::default()
            };
        }
        let before = entry.clone();
        self.unindex(rumor.node);
        self.update_member(now, rumor, is_status_newer, has_record);
        self.index(rumor.node);
        TableChange {
            is_changed: true,
            has_record,
            lacks_record,
            before: Some(before),
        }
    }

    /// Suspected members whose time to refute has expired.
    pub fn expired_suspects(&self, now: MonoTime) -> Vec<NodeId> {
        let expired = self
            .suspects
            .iter()
            .filter(|(_, deadline)| **deadline <= now);
        expired.map(|(node, _)| *node).collect()
    }

    /// Suspected members whose time to refute expires soon.
    pub fn expiring_suspects(&self, now: MonoTime) -> Vec<NodeId> {
        let soon = now + SUSPECT_QUERY_WINDOW;
        let expiring = self
            .suspects
            .iter()
            .filter(|(_, deadline)| **deadline <= soon);
        expiring.map(|(node, _)| *node).collect()
    }

    pub fn next_suspicion_expiry(&self) -> MonoTime {
        let next = self.suspects.values().min();
        next.copied().unwrap_or(MonoTime::NEVER)
    }

    /// Gives suspected members more time, after this node itself was paused.
    pub fn extend_suspicions(&mut self, extension: Duration) {
        for deadline in self.suspects.values_mut() {
            *deadline = *deadline + extension;
        }
    }

    /// Removes tombstones that have expired or exceed the maximum number.
    pub fn remove_expired(&mut self, now: MonoTime) {
        while let Some((at, node)) = self.tombstones.first().copied() {
            let is_expired = now.since(at) >= TOMBSTONE_AGE;
            if !is_expired && self.tombstones.len() <= MAX_TOMBSTONES {
                return;
            }
            self.tombstones.remove(&(at, node));
            self.members.remove(&node);
        }
    }

    fn update_member(
        &mut self,
        now: MonoTime,
        rumor: &Rumor,
        is_status_newer: bool,
        has_record: bool,
    ) {
        let Some(state) = self.members.get_mut(&rumor.node) else {
            return;
        };
        if is_status_newer {
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
            let deadline = state.changed_at + SUSPICION_TIMEOUT;
            self.suspects.insert(node, deadline);
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
