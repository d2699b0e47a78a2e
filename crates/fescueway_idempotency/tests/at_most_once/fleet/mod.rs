//! A few claim nodes, a store and a network that loses, delays, repeats and reorders, all in
//! virtual time.

mod steps;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use fescueway_core::{KeyDigest, MonoTime, NodeId, ServiceName};
use fescueway_idempotency::{
    ClaimAttemptId, ClaimCall, ClaimLimits, ClaimNode, ClaimPurpose, ClaimReply, ClaimRequest,
    ClaimStep, ClaimVerdict, PartitionId, PartitionRecord, Replica, ReplicaAction, RunState,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A tick of each node, in microseconds.
const TICK_US: u64 = 200_000;

/// A call without a reply has failed after this, in microseconds.
const CALL_TIMEOUT_US: u64 = 1_000_000;

/// Store calls that a node may save up.
const STORE_BURST: usize = 5;

/// A node's budget of store calls grows by one in this time, in microseconds.
const STORE_REFILL_US: u64 = 5_000_000;

/// What became of one send.
#[derive(Clone, Debug, PartialEq)]
pub struct SendEnd {
    pub key: KeyDigest,
    pub began_at: u64,
    pub verdict: ClaimVerdict,
}

/// One run at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct KeyRun {
    pub granted_at: u64,
}

/// What waits for a reply.
#[derive(Clone, Debug)]
enum Waiter {
    Claim(ClaimCall),
    Replica(PartitionId, ReplicaAction),
    Nothing,
}

#[derive(Clone, Debug)]
enum Event {
    Send {
        host: NodeId,
        key: KeyDigest,
        purpose: ClaimPurpose,
    },
    Request {
        id: u64,
        from: NodeId,
        to: SocketAddr,
        request: ClaimRequest,
    },
    Reply {
        id: u64,
        to: NodeId,
        reply: Option<ClaimReply>,
    },
    Store {
        node: NodeId,
        partition: PartitionId,
        sent_at: u64,
        action: ReplicaAction,
    },
    Found {
        node: NodeId,
        partition: PartitionId,
        sent_at: u64,
        found: Option<PartitionRecord>,
    },
    Act {
        host: NodeId,
        key: KeyDigest,
        ask: ClaimAttemptId,
        granted_at: u64,
    },
    Tick(NodeId),
    /// A look at the partitions between two ticks, after a record was learned.
    Look(NodeId),
    /// A node within its budget calls the store, for all that it wants.
    StoreTurn(NodeId),
    View {
        node: NodeId,
        other: NodeId,
        is_up: bool,
    },
}

/// One process.
struct Process {
    node: ClaimNode,
    own: Replica,
    view: BTreeMap<NodeId, Replica>,
    paused_until: u64,
    cut_until: u64,
    is_leaving: bool,
    began: BTreeMap<u64, (KeyDigest, u64)>,
    /// When each store call that is left of the budget may be made.
    store_turns: Vec<u64>,
    /// What waits for the next call of the store, by partition.
    wanted: BTreeMap<PartitionId, ReplicaAction>,
}

/// The whole of it.
pub struct Fleet {
    pub now: u64,
    pub rng: Pcg64Mcg,
    pub limits: ClaimLimits,
    pub partitions: u16,
    /// Chance that a message is lost, in 1/1000.
    pub loss: u64,
    /// Chance that a granted run is given up before its hand-over, in 1/1000.
    pub give_up: u64,
    pub store_down_until: u64,
    /// Whether the store's answers are lost after their effect.
    pub is_answer_lost: bool,
    /// How long a crash stays unknown to membership: at least, and how much longer at most.
    pub detection_us: (u64, u64),
    /// Whether the nodes keep to an ordinary node's budget of store calls.
    pub is_paced: bool,
    /// Calls of the store.
    pub store_calls: u64,
    pub ends: Vec<SendEnd>,
    pub runs: BTreeMap<KeyDigest, Vec<KeyRun>>,
    /// Control messages sent between nodes.
    pub messages: u64,
    store: BTreeMap<PartitionId, PartitionRecord>,
    processes: BTreeMap<NodeId, Process>,
    events: BTreeMap<(u64, u64), Event>,
    waiters: BTreeMap<u64, Waiter>,
    next_id: u64,
}

pub fn service() -> ServiceName {
    ServiceName::from("bookings")
}

pub fn key(number: u64) -> KeyDigest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_be_bytes());
    KeyDigest(bytes)
}

impl Fleet {
    /// Nodes that remember keys for 40 s, and call the store as often as they want.
    pub fn new(seed: u64, nodes: u64, partitions: u16) -> Self {
        let limits = ClaimLimits {
            retention: Duration::from_secs(40),
            recovery_timeout: Duration::from_secs(6),
            ..ClaimLimits::default()
        };
        let mut fleet = Self::without_nodes(seed, partitions, limits);
        (0..nodes).for_each(|place| {
            fleet.start(place);
        });
        fleet
    }

    /// Nodes with the default limits and an ordinary node's budget of store calls. Membership
    /// knows of a crash after 7 to 11 s.
    pub fn paced(seed: u64, nodes: u64, partitions: u16) -> Self {
        let mut fleet = Self::without_nodes(seed, partitions, ClaimLimits::default());
        fleet.is_paced = true;
        fleet.detection_us = (7_000_000, 4_000_000);
        (0..nodes).for_each(|place| {
            fleet.start(place);
        });
        fleet
    }

    fn without_nodes(seed: u64, partitions: u16, limits: ClaimLimits) -> Self {
        Self {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            limits,
            partitions,
            loss: 0,
            give_up: 0,
            store_down_until: 0,
            is_answer_lost: false,
            detection_us: (100_000, 2_000_000),
            is_paced: false,
            store_calls: 0,
            ends: Vec::new(),
            runs: BTreeMap::new(),
            messages: 0,
            store: BTreeMap::new(),
            processes: BTreeMap::new(),
            events: BTreeMap::new(),
            waiters: BTreeMap::new(),
            next_id: 1,
        }
    }

    // --- Faults ---

    /// Starts a process at a place. The same place always has the same address and domain.
    pub fn start(&mut self, place: u64) -> NodeId {
        self.next_id += 1;
        let id = NodeId(self.next_id * 1_000 + place);
        let own = Replica {
            node: id,
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + place as u16)),
            domain: format!("domain-{}", place % 3).as_str().into(),
        };
        let now = MonoTime::from_micros(self.now);
        let node = ClaimNode::new(
            own.clone(),
            service(),
            self.partitions,
            self.limits.clone(),
            now,
        );
        let process = Process {
            node,
            own: own.clone(),
            view: BTreeMap::from([(id, own)]),
            paused_until: 0,
            cut_until: 0,
            is_leaving: false,
            began: BTreeMap::new(),
            store_turns: vec![self.now; STORE_BURST],
            wanted: BTreeMap::new(),
        };
        for other in self.nodes() {
            self.tell_view(id, other, true);
            self.tell_view(other, id, true);
        }
        self.processes.insert(id, process);
        self.after(TICK_US, Event::Tick(id));
        id
    }

    pub fn crash(&mut self, id: NodeId) {
        self.processes.remove(&id);
        let (least, span) = self.detection_us;
        for node in self.nodes() {
            let delay = least + self.below(span);
            let is_up = false;
            self.after(
                delay,
                Event::View {
                    node,
                    other: id,
                    is_up,
                },
            );
        }
    }

    /// A new process on the address of `id`, which is gone.
    pub fn replace(&mut self, id: NodeId) -> NodeId {
        self.crash(id);
        self.start(id.0 % 1_000)
    }

    pub fn pause(&mut self, id: NodeId, span_us: u64) {
        let until = self.now + span_us;
        self.processes.get_mut(&id).unwrap().paused_until = until;
    }

    /// Cuts a node off from all others; they hold it dead and it holds them dead.
    pub fn cut(&mut self, id: NodeId, span_us: u64) {
        let until = self.now + span_us;
        self.processes.get_mut(&id).unwrap().cut_until = until;
        for other in self.nodes().into_iter().filter(|other| *other != id) {
            self.doubt(id, other, span_us);
            self.doubt(other, id, span_us);
        }
    }

    /// `node` holds `other` dead for a while, rightly or not.
    pub fn doubt(&mut self, node: NodeId, other: NodeId, span_us: u64) {
        self.tell_view(node, other, false);
        self.after(
            span_us + 2_000_000,
            Event::View {
                node,
                other,
                is_up: true,
            },
        );
    }

    /// The node leaves: it hands over, and the others no longer count on it.
    pub fn leave(&mut self, id: NodeId) {
        let others = self.nodes().into_iter().filter(|other| *other != id);
        others.for_each(|other| self.tell_view(other, id, false));
        let process = self.processes.get_mut(&id).unwrap();
        process.is_leaving = true;
        process.node.leave();
    }

    // --- Looking ---

    pub fn nodes(&self) -> Vec<NodeId> {
        self.processes.keys().copied().collect()
    }

    pub fn node(&self, id: NodeId) -> &ClaimNode {
        &self.processes[&id].node
    }

    pub fn record(&self, key: KeyDigest) -> &PartitionRecord {
        &self.store[&PartitionId::of_key(&service(), key, self.partitions)]
    }

    pub fn record_at(&self, index: u16) -> &PartitionRecord {
        let service = service();
        &self.store[&PartitionId { service, index }]
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    pub fn any_node(&mut self) -> NodeId {
        let nodes = self.nodes();
        nodes[self.below(nodes.len() as u64) as usize]
    }

    /// What must hold at the end, whatever happened.
    pub fn check(&self) -> Result<(), String> {
        let retention = self.limits.retention.as_micros() as u64;
        for (key, runs) in &self.runs {
            let is_again = |pair: &[KeyRun]| pair[1].granted_at - pair[0].granted_at < retention;
            if runs.windows(2).any(is_again) {
                return Err(format!("{key:?} ran again: {runs:?}"));
            }
        }
        let none = Vec::new();
        for end in &self.ends {
            let runs = self.runs.get(&end.key).unwrap_or(&none);
            let is_before = |run: &KeyRun| {
                run.granted_at < end.began_at && end.began_at - run.granted_at < retention
            };
            let ran_before = runs.iter().any(is_before);
            let is_false = match end.verdict {
                ClaimVerdict::Free => ran_before,
                ClaimVerdict::Duplicate(RunState::Ended(_)) => runs.is_empty(),
                ClaimVerdict::Duplicate(state) => state == RunState::NotRun,
                ClaimVerdict::Run(_) | ClaimVerdict::Unavailable => false,
            };
            if is_false {
                return Err(format!("{end:?} is not true: {runs:?}"));
            }
        }
        Ok(())
    }

    /// When a node's next call of the store may be made.
    fn store_turn(&mut self, id: NodeId) -> u64 {
        let now = self.now;
        let turns = &mut self.processes.get_mut(&id).unwrap().store_turns;
        let turn = now.max(turns.remove(0));
        let last = turns.last().copied().unwrap_or(turn).max(turn);
        turns.push(last.max(now) + STORE_REFILL_US);
        turn
    }

    // --- Running ---

    /// Sends a request through `host`, now.
    pub fn send(&mut self, host: NodeId, key: KeyDigest, purpose: ClaimPurpose) {
        self.after(0, Event::Send { host, key, purpose });
    }

    /// Sends a request and runs on until it has its verdict.
    pub fn ask(&mut self, host: NodeId, key: KeyDigest, purpose: ClaimPurpose) -> ClaimVerdict {
        let known = self.ends.len();
        self.send(host, key, purpose);
        for _ in 0..400 {
            self.run_for(10_000);
            if let Some(end) = self.ends[known..].iter().find(|end| end.key == key) {
                return end.verdict;
            }
        }
        panic!("no verdict for {key:?}");
    }

    pub fn run_for(&mut self, span_us: u64) {
        let until = self.now + span_us;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.step(event);
        }
        self.now = until;
    }

    /// Random faults and sends over `seconds`, then quiet until every process serves again.
    pub fn storm(&mut self, seconds: u64) {
        let mut open: Vec<(u64, u64)> = Vec::new();
        let mut dead = BTreeSet::new();
        for step in 0..seconds * 10 {
            self.run_for(100_000);
            let host = self.any_node();
            open.push((step, self.now));
            let until = self.now.saturating_sub(30_000_000);
            open.retain(|(_, since)| *since >= until);
            let pick = self.below(open.len() as u64) as usize;
            let purpose = if self.below(8) == 0 {
                ClaimPurpose::Peek
            } else {
                ClaimPurpose::Run
            };
            self.send(host, key(open[pick].0), purpose);
            self.send(host, key(step), ClaimPurpose::Run);
            self.fault(&mut dead);
        }
    }

    fn fault(&mut self, dead: &mut BTreeSet<u64>) {
        let id = self.any_node();
        let other = self.any_node();
        let span = self.below(12_000_000);
        match self.below(150) {
            0 => self.pause(id, span),
            1 => {
                self.replace(id);
            }
            2 => self.cut(id, span),
            3 if id != other => self.doubt(id, other, span),
            4 => self.store_down_until = self.now + span,
            5 => self.is_answer_lost = !self.is_answer_lost,
            6 => self.leave(id),
            7 if self.nodes().len() > 2 => {
                dead.insert(id.0 % 1_000);
                self.crash(id);
            }
            8 => {
                let place = dead.pop_first();
                if let Some(place) = place {
                    self.start(place);
                }
            }
            _ => {}
        }
    }
}
