//! Who owns an account, and whether this node may grant tokens.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use fescueway_core::{AccountName, MonoTime, NodeId, fnv1a_64};

/// Time after which a node that joined may own accounts. By then its search for the fleet has ended, and
/// most nodes know it, so that entries can be sent on to it.
const OWNER_AGE: Duration = Duration::from_secs(2);

/// Time from the end of its search after which a node may own accounts by its own view, and the addition
/// for each doubling of the number of nodes, since news spread by gossip. After a start of the whole fleet,
/// no tokens are granted before. A search ends about 1 s after others learn of the node. So in a fleet of
/// 32 nodes or more this isn't over before [`OWNER_AGE`], when the previous owner releases the accounts; in a
/// smaller one the node's own callers may get tokens from its nearly empty buckets up to 0.5 s earlier.
const OWN_OWNER_AGE: Duration = Duration::from_millis(500);
const OWN_OWNER_AGE_STEP: Duration = Duration::from_millis(100);

/// Time after which a node that was gone and is back may own accounts again.
const RETURN_AGE: Duration = Duration::from_millis(1_500);

/// Time for which a node has to see a majority again before it grants tokens of accounts that were not
/// released to it. Longer than [`RETURN_AGE`], so that the owner in the other part of a
/// partitioned fleet has learned by then that it is no longer the owner.
const REGAIN_TIME: Duration = Duration::from_millis(2_500);

/// Time after which a node that found no other one may own accounts.
const LONE_OWNER_AGE: Duration = Duration::from_secs(1);

/// Time for which the largest number of known nodes is remembered.
const COUNT_MEMORY: Duration = Duration::from_secs(30);

/// Time for which a node that sees no majority remembers it. Such a node can't tell a partition from a
/// loss of most nodes.
const MINORITY_MEMORY: Duration = Duration::from_mins(5);

/// Time after which the rest of a partitioned fleet may have forgotten this node's part and use the full
/// rate. Less than [`COUNT_MEMORY`], since that part may have noticed the partition earlier.
const MINORITY_SHARE_TIME: Duration = Duration::from_secs(25);

/// Factor of the fixed shares from then on. All shares of a minority together are below half the rate, so
/// a tenth of that stays below the permitted overshoot of a tenth.
const MINORITY_FACTOR: f64 = 0.1;

/// Factor of the fixed shares while a node sees a majority: an owner that doesn't answer may still grant the
/// full rate to others. If half of the fleet is cut off and that goes unnoticed for 5 s, the shares use a
/// tenth of the rate, which is the permitted overshoot.
const UNDETECTED_FACTOR: f64 = 0.2;

/// Time for which a node has seen no majority after which it uses its full share. By then the owners of the
/// majority, if there is one, have noticed the partition too and grant less.
const DETECTION_TIME: Duration = Duration::from_millis(2_500);

/// Longest time between two updates; after a longer one this node was paused, and others may own its
/// accounts meanwhile.
const MAX_UPDATE_GAP: Duration = Duration::from_millis(1_200);

/// Time for which a node tells that it was an account's owner before another one.
const TAKEOVER_TIME: Duration = Duration::from_secs(10);

/// Time for which departed nodes are remembered, to tell how long a node has owned an account.
const DEPARTED_MEMORY: Duration = Duration::from_mins(1);

/// Number of nodes that a node assumes at least which doesn't know the fleet.
const UNKNOWN_FLEET_NODES: usize = 1_000;

/// Number of nodes that a node assumes at least until it may own accounts, when many nodes may be
/// starting.
const YOUNG_FLEET_NODES: usize = 100;

/// Who owns an account, and whether this node may grant tokens, from the nodes that it sees.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// This node.
    own: NodeId,
    /// Live nodes, with the time from which each may own accounts.
    nodes: BTreeMap<NodeId, MonoTime>,
    /// Nodes that are gone, with the time at which that was noticed.
    departed: VecDeque<(MonoTime, NodeId)>,
    /// The nodes that may own accounts, sorted.
    eligible: Vec<NodeId>,
    /// Changes with `eligible`.
    generation: u32,
    /// Number of live nodes that are not suspected, this one included.
    seen: usize,
    /// Numbers of live nodes in the last 30 s, decreasing, with the last time of each.
    counts: VecDeque<(MonoTime, usize)>,
    /// When the search for the fleet ended.
    settled_at: Option<MonoTime>,
    /// When this node went on after its last pause.
    resumed_at: Option<MonoTime>,
    /// The last update.
    updated_at: Option<MonoTime>,
    /// Since when this node has seen more than half of the nodes; `None` while it doesn't.
    majority_since: Option<MonoTime>,
    /// Since when this node has not seen more than half of the nodes.
    lost_since: Option<MonoTime>,
    /// Since when this node has seen less than half of the nodes.
    minority_since: Option<MonoTime>,
}

impl FleetView {
    /// Creates a view without nodes.
    #[must_use]
    pub const fn new(own: NodeId) -> Self {
        Self {
            own,
            nodes: BTreeMap::new(),
            departed: VecDeque::new(),
            eligible: Vec::new(),
            generation: 0,
            seen: 0,
            counts: VecDeque::new(),
            settled_at: None,
            resumed_at: None,
            updated_at: None,
            majority_since: Some(MonoTime::ZERO),
            lost_since: None,
            minority_since: None,
        }
    }

    /// Takes over the live nodes of the site, this one included, each with whether it is suspected to
    /// be down. `has_searched` tells whether the search for the fleet after the start has ended: the node
    /// knows the fleet, or that there is none.
    /// To be called several times a second.
    pub fn update(
        &mut self,
        now: MonoTime,
        has_searched: bool,
        live: impl IntoIterator<Item = (NodeId, bool)>,
    ) {
        let was_paused = !self.is_fresh(now) && self.updated_at.is_some();
        let is_settling = has_searched && self.settled_at.is_none();
        if is_settling {
            self.settled_at = Some(now);
        }
        if was_paused {
            self.resumed_at = Some(now);
        }
        self.updated_at = Some(now);
        let mut nodes = BTreeMap::new();
        self.seen = 0;
        for (node, is_suspect) in live {
            self.seen += usize::from(!is_suspect);
            // The others of the first view have been there before this node.
            let new_since = if self.settled_at.is_none() || is_settling {
                MonoTime::ZERO
            } else if self.departed.iter().any(|(_, gone)| *gone == node) {
                now + RETURN_AGE
            } else {
                now + OWNER_AGE
            };
            let since = self.nodes.get(&node).copied().unwrap_or(new_since);
            nodes.insert(node, since);
        }
        let own_age = OWN_OWNER_AGE + OWN_OWNER_AGE_STEP * nodes.len().max(1).ilog2();
        if let Some(since) = nodes.get_mut(&self.own) {
            let resumed_since = self.resumed_at.map(|resumed| resumed + REGAIN_TIME);
            let settled_since = match self.settled_at {
                None => MonoTime::NEVER,
                Some(settled) if self.seen <= 1 => settled + LONE_OWNER_AGE,
                Some(settled) => settled + own_age,
            };
            *since = settled_since.max(resumed_since.unwrap_or_default());
        }
        let gone = self.nodes.keys().filter(|node| !nodes.contains_key(node));
        self.departed.extend(gone.map(|node| (now, *node)));
        let is_old = |(at, _): &(MonoTime, NodeId)| now.since(*at) > DEPARTED_MEMORY;
        while self.departed.front().is_some_and(is_old) {
            self.departed.pop_front();
        }
        self.nodes = nodes;
        self.update_counts(now);
        let eligible = self.nodes.iter().filter(|(_, since)| **since <= now);
        let eligible: Vec<_> = eligible.map(|(node, _)| *node).collect();
        if eligible != self.eligible {
            self.eligible = eligible;
            self.generation = self.generation.wrapping_add(1);
        }
    }

    /// Changes whenever an account may have another owner.
    #[must_use]
    pub const fn generation(&self) -> u32 {
        self.generation
    }

    /// This node.
    #[must_use]
    pub const fn own(&self) -> NodeId {
        self.own
    }

    /// The owner of an account, `None` while no node may own one.
    #[must_use]
    pub fn owner(&self, account: &AccountName) -> Option<NodeId> {
        let weigh = weight_of(account);
        let nodes = self.eligible.iter().copied();
        nodes.max_by_key(|node| (weigh(*node), *node))
    }

    /// Since when this node has owned an account, as far as is known; `None` if it doesn't own it.
    #[must_use]
    pub fn owned_since(&self, account: &AccountName) -> Option<MonoTime> {
        if self.owner(account) != Some(self.own) {
            return None;
        }
        Some(self.held_since(account))
    }

    /// When this node may own accounts by its own view.
    #[must_use]
    pub fn own_since(&self) -> MonoTime {
        let since = self.nodes.get(&self.own);
        since.copied().unwrap_or(MonoTime::NEVER)
    }

    /// The owner of an account if `without` were not there, and this node may own accounts.
    #[must_use]
    pub fn owner_without(&self, account: &AccountName, without: NodeId) -> Option<NodeId> {
        let weigh = weight_of(account);
        let own = self.nodes.contains_key(&self.own).then_some(self.own);
        let nodes = self.eligible.iter().copied().chain(own);
        let nodes = nodes.filter(|node| *node != without);
        nodes.max_by_key(|node| (weigh(*node), *node))
    }

    /// Whether this node may own accounts.
    #[must_use]
    pub fn may_own(&self) -> bool {
        self.eligible.binary_search(&self.own).is_ok()
    }

    /// Since when this node has owned an account until `owner` recently took it over; `None` if it has
    /// not owned it.
    #[must_use]
    pub fn owned_before(
        &self,
        now: MonoTime,
        account: &AccountName,
        owner: NodeId,
    ) -> Option<MonoTime> {
        let since = self.nodes.get(&owner).copied().unwrap_or_default();
        let is_new = since != MonoTime::ZERO && now.since(since) < TAKEOVER_TIME;
        let was_owner = self.owner_without(account, owner) == Some(self.own);
        (self.may_own() && is_new && was_owner).then(|| self.held_since(account))
    }

    /// Whether this node may grant tokens of an account that it owns: it has seen more than half of the
    /// nodes for a while.
    #[must_use]
    pub fn may_grant(&self, now: MonoTime) -> bool {
        let regained = self.majority_since.map(|since| (since, now.since(since)));
        let is_settled = |(since, age)| since == MonoTime::ZERO || age >= REGAIN_TIME;
        self.has_majority(now) && regained.is_some_and(is_settled)
    }

    /// Whether this node sees more than half of the nodes, and its view is up to date.
    #[must_use]
    pub fn has_majority(&self, now: MonoTime) -> bool {
        self.is_fresh(now) && self.majority_since.is_some() && self.settled_at.is_some()
    }

    /// The part of an account's rate that an owner may grant. The rest is what nodes that it doesn't
    /// see may use as fixed shares.
    #[must_use]
    pub fn grant_factor(&self) -> f64 {
        (self.seen as f64 / self.max_count().max(1) as f64).min(1.0)
    }

    /// The part of an account's rate that an entry may use by itself while no owner answers.
    #[must_use]
    pub fn share(&self, now: MonoTime) -> f64 {
        let known = self.max_count().max(1);
        let is_young = self.own_since() > now;
        let nodes = match self.settled_at {
            None => known.max(UNKNOWN_FLEET_NODES),
            Some(_) if is_young => known.max(YOUNG_FLEET_NODES),
            Some(_) => known,
        };
        let lasts = |since: Option<MonoTime>, time| since.is_some_and(|at| now.since(at) >= time);
        let factor = if lasts(self.minority_since, MINORITY_SHARE_TIME) {
            MINORITY_FACTOR
        } else if is_young || lasts(self.lost_since, DETECTION_TIME) {
            1.0
        } else {
            UNDETECTED_FACTOR
        };
        factor / nodes as f64
    }

    /// The largest number of nodes that were known in the last 30 s.
    #[must_use]
    pub fn max_count(&self) -> usize {
        self.counts.front().map_or(0, |(_, count)| *count)
    }

    /// Since when no other node has owned an account that this node owns or has just lost.
    fn held_since(&self, account: &AccountName) -> MonoTime {
        let weigh = weight_of(account);
        let own = (weigh(self.own), self.own);
        let above = |node: &NodeId| (weigh(*node), *node) > own;
        let departed = self.departed.iter().filter(|(_, node)| above(node));
        let freed_at = departed.map(|(at, _)| *at).max().unwrap_or_default();
        let majority_since = self.majority_since.unwrap_or_default();
        self.own_since().max(freed_at).max(majority_since)
    }

    /// Records the number of live nodes.
    fn update_counts(&mut self, now: MonoTime) {
        let live = self.nodes.len();
        while self.counts.back().is_some_and(|(_, count)| *count <= live) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, live));
        let is_minority = self.seen * 2 < self.max_count();
        self.minority_since = match self.minority_since {
            Some(since) if is_minority => Some(since),
            _ => is_minority.then_some(now),
        };
        let has_majority = self.seen * 2 > self.max_count();
        self.majority_since = match self.majority_since {
            Some(since) if has_majority => Some(since),
            _ => has_majority.then_some(now),
        };
        self.lost_since = match self.lost_since {
            Some(since) if !has_majority => Some(since),
            _ => (!has_majority).then_some(now),
        };
        let memory = if has_majority {
            COUNT_MEMORY
        } else {
            MINORITY_MEMORY
        };
        let is_old = |(at, _): &(MonoTime, usize)| now.since(*at) > memory;
        while self.counts.len() > 1 && self.counts.front().is_some_and(is_old) {
            self.counts.pop_front();
        }
    }

    /// Whether the last update is recent.
    fn is_fresh(&self, now: MonoTime) -> bool {
        let updated = self.updated_at;
        updated.is_some_and(|updated| now.since(updated) <= MAX_UPDATE_GAP)
    }
}

/// The weight of each node for an account in rendezvous hashing.
fn weight_of(account: &AccountName) -> impl Fn(NodeId) -> u64 {
    let hash = fnv1a_64(account.as_str().as_bytes());
    move |node| mix(hash ^ mix(node.0))
}

/// The finalizer of `SplitMix64`.
pub const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
