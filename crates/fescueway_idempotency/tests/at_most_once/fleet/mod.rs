//! Simulates claim nodes, a store and a network that loses, delays, duplicates and reorders
//! messages, all in virtual time.

mod events;

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

/// Interval between two ticks of a node, in microseconds.
const TICK_US: u64 = 200_000;

/// Time after which a call without a reply fails, in microseconds.
const CALL_TIMEOUT_US: u64 = 1_000_000;

/// Maximum number of store calls that a node may accumulate.
const MAX_STORE_CALLS: usize = 5;

/// Time in which a node's budget of store calls grows by one, in microseconds.
const STORE_CALL_INTERVAL_US: u64 = 5_000_000;

/// The result of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct SendResult {
    pub key: KeyDigest,
    pub started_at: u64,
    pub verdict: ClaimVerdict,
}

/// One run at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct KeyRun {
    pub granted_at: u64,
}

/// The receiver of a reply.
#[derive(Clone, Debug)]
enum ReplyWaiter {
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
    StoreRequest {
        node: NodeId,
        partition: PartitionId,
        sent_at: u64,
        action: ReplicaAction,
    },
    StoreReply {
        node: NodeId,
        partition: PartitionId,
        sent_at: u64,
        found: Option<PartitionRecord>,
    },
    RunEnd {
        host: NodeId,
        key: KeyDigest,
        attempt_id: ClaimAttemptId,
        granted_at: u64,
    },
    Tick(NodeId),
    /// An extra tick, after a record was learned.
    TickNow(NodeId),
    /// A node with a budget makes a store call for all its queued actions.
    StoreCall(NodeId),
    ViewChange {
        node: NodeId,
        other: NodeId,
        is_up: bool,
    },
}

/// One node process.
struct Process {
    node: ClaimNode,
    own: Replica,
    view: BTreeMap<NodeId, Replica>,
    paused_until: u64,
    isolated_until: u64,
    is_leaving: bool,
    open_claims: BTreeMap<u64, (KeyDigest, u64)>,
    /// Earliest times of the next store calls within the budget.
    store_call_times: Vec<u64>,
    /// Actions that wait for the next store call, by partition.
    queued_actions: BTreeMap<PartitionId, ReplicaAction>,
}

/// The simulated fleet.
pub struct Fleet {
    pub now: u64,
    pub rng: Pcg64Mcg,
    pub limits: ClaimLimits,
    pub partitions: u16,
    /// Chance that a message is lost, in 1/1000.
    pub loss_per_mille: u64,
    /// Chance that a granted run is cancelled before its hand-over, in 1/1000.
    pub cancel_per_mille: u64,
    pub store_down_until: u64,
    /// Whether replies of the store are lost after the call took effect.
    pub is_store_reply_lost: bool,
    /// Time until membership detects a crash, in microseconds: the minimum, and the maximum random
    /// addition to it.
    pub detection_us: (u64, u64),
    /// Whether the nodes have an ordinary node's budget of store calls.
    pub has_store_budget: bool,
    /// Number of store calls.
    pub store_calls: u64,
    pub results: Vec<SendResult>,
    pub runs: BTreeMap<KeyDigest, Vec<KeyRun>>,
    /// Number of control messages sent between nodes.
    pub messages: u64,
    store: BTreeMap<PartitionId, PartitionRecord>,
    processes: BTreeMap<NodeId, Process>,
    events: BTreeMap<(u64, u64), Event>,
    waiters: BTreeMap<u64, ReplyWaiter>,
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
    /// Nodes with a retention of 40 s and unlimited store calls.
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
    /// detects a crash after 7 to 11 s.
    pub fn with_store_budget(seed: u64, nodes: u64, partitions: u16) -> Self {
        let mut fleet = Self::without_nodes(seed, partitions, ClaimLimits::default());
        fleet.has_store_budget = true;
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
            loss_per_mille: 0,
            cancel_per_mille: 0,
            store_down_until: 0,
            is_store_reply_lost: false,
            detection_us: (100_000, 2_000_000),
            has_store_budget: false,
            store_calls: 0,
            results: Vec::new(),
            runs: BTreeMap::new(),
            messages: 0,
            store: BTreeMap::new(),
            processes: BTreeMap::new(),
            events: BTreeMap::new(),
            waiters: BTreeMap::new(),
            next_id: 1,
        }
    }

    /// Starts a process at a place. A place has a fixed address and failure domain.
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
            isolated_until: 0,
            is_leaving: false,
            open_claims: BTreeMap::new(),
            store_call_times: vec![self.now; MAX_STORE_CALLS],
            queued_actions: BTreeMap::new(),
        };
        for other in self.nodes() {
            self.schedule_view_change(id, other, true);
            self.schedule_view_change(other, id, true);
        }
        self.processes.insert(id, process);
        self.schedule(TICK_US, Event::Tick(id));
        id
    }

    pub fn crash(&mut self, id: NodeId) {
        self.processes.remove(&id);
        let (least, span) = self.detection_us;
        for node in self.nodes() {
            let delay = least + self.random_below(span);
            let is_up = false;
            self.schedule(
                delay,
                Event::ViewChange {
                    node,
                    other: id,
                    is_up,
                },
            );
        }
    }

    /// Crashes `id` and starts a new process at its address.
    pub fn replace(&mut self, id: NodeId) -> NodeId {
        self.crash(id);
        self.start(id.0 % 1_000)
    }

    pub fn pause(&mut self, id: NodeId, span_us: u64) {
        let until = self.now + span_us;
        self.processes.get_mut(&id).unwrap().paused_until = until;
    }

    /// Isolates a node from all others. Each side considers the other down.
    pub fn isolate(&mut self, id: NodeId, span_us: u64) {
        let until = self.now + span_us;
        self.processes.get_mut(&id).unwrap().isolated_until = until;
        for other in self.nodes().into_iter().filter(|other| *other != id) {
            self.mark_down(id, other, span_us);
            self.mark_down(other, id, span_us);
        }
    }

    /// Makes `node` consider `other` down for a while, whether it is or not.
    pub fn mark_down(&mut self, node: NodeId, other: NodeId, span_us: u64) {
        self.schedule_view_change(node, other, false);
        self.schedule(
            span_us + 2_000_000,
            Event::ViewChange {
                node,
                other,
                is_up: true,
            },
        );
    }

    /// Makes a node leave: it hands its partitions over, and the others consider it down.
    pub fn leave(&mut self, id: NodeId) {
        let others = self.nodes().into_iter().filter(|other| *other != id);
        others.for_each(|other| self.schedule_view_change(other, id, false));
        let process = self.processes.get_mut(&id).unwrap();
        process.is_leaving = true;
        process.node.leave();
    }

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

    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    pub fn random_node(&mut self) -> NodeId {
        let nodes = self.nodes();
        nodes[self.random_below(nodes.len() as u64) as usize]
    }

    /// Checks that no key ran twice within its retention and that every verdict was true.
    pub fn check(&self) -> Result<(), String> {
        let retention = self.limits.retention.as_micros() as u64;
        for (key, runs) in &self.runs {
            let is_again = |pair: &[KeyRun]| pair[1].granted_at - pair[0].granted_at < retention;
            if runs.windows(2).any(is_again) {
                return Err(format!("{key:?} ran again: {runs:?}"));
            }
        }
        let none = Vec::new();
        for end in &self.results {
            let runs = self.runs.get(&end.key).unwrap_or(&none);
            let is_before = |run: &KeyRun| {
                run.granted_at < end.started_at && end.started_at - run.granted_at < retention
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

    /// Takes a store call from a node's budget and returns when it may be made.
    fn next_store_call(&mut self, id: NodeId) -> u64 {
        let now = self.now;
        let times = &mut self.processes.get_mut(&id).unwrap().store_call_times;
        let time = now.max(times.remove(0));
        let last = times.last().copied().unwrap_or(time).max(time);
        times.push(last.max(now) + STORE_CALL_INTERVAL_US);
        time
    }

    /// Sends a request through `host` now.
    pub fn send(&mut self, host: NodeId, key: KeyDigest, purpose: ClaimPurpose) {
        self.schedule(0, Event::Send { host, key, purpose });
    }

    /// Sends a request and runs the simulation until it has a verdict.
    pub fn send_and_wait(
        &mut self,
        host: NodeId,
        key: KeyDigest,
        purpose: ClaimPurpose,
    ) -> ClaimVerdict {
        let known = self.results.len();
        self.send(host, key, purpose);
        for _ in 0..400 {
            self.run_for(10_000);
            if let Some(end) = self.results[known..].iter().find(|end| end.key == key) {
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
            self.process_event(event);
        }
        self.now = until;
    }

    /// Injects random faults and sends requests for `seconds`.
    pub fn run_random_faults(&mut self, seconds: u64) {
        let mut recent_keys: Vec<(u64, u64)> = Vec::new();
        let mut crashed_places = BTreeSet::new();
        for step in 0..seconds * 10 {
            self.run_for(100_000);
            let host = self.random_node();
            recent_keys.push((step, self.now));
            let until = self.now.saturating_sub(30_000_000);
            recent_keys.retain(|(_, since)| *since >= until);
            let pick = self.random_below(recent_keys.len() as u64) as usize;
            let purpose = if self.random_below(8) == 0 {
                ClaimPurpose::Peek
            } else {
                ClaimPurpose::Run
            };
            self.send(host, key(recent_keys[pick].0), purpose);
            self.send(host, key(step), ClaimPurpose::Run);
            self.inject_fault(&mut crashed_places);
        }
    }

    fn inject_fault(&mut self, crashed_places: &mut BTreeSet<u64>) {
        let id = self.random_node();
        let other = self.random_node();
        let span = self.random_below(12_000_000);
        match self.random_below(150) {
            0 => self.pause(id, span),
            1 => {
                self.replace(id);
            }
            2 => self.isolate(id, span),
            3 if id != other => self.mark_down(id, other, span),
            4 => self.store_down_until = self.now + span,
            5 => self.is_store_reply_lost = !self.is_store_reply_lost,
            6 => self.leave(id),
            7 if self.nodes().len() > 2 => {
                crashed_places.insert(id.0 % 1_000);
                self.crash(id);
            }
            8 => {
                let place = crashed_places.pop_first();
                if let Some(place) = place {
                    self.start(place);
                }
            }
            _ => {}
        }
    }
}
