//! A few claim nodes, a store and a network that loses, delays, repeats and reorders, all in
//! virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use fescueway_core::{KeyDigest, MonoTime, NodeId, ServiceName};
use fescueway_idempotency::{
    AskId, ClaimCall, ClaimLimits, ClaimNode, ClaimReply, ClaimRequest, ClaimStep, ClaimVerdict,
    PartitionId, PartitionRecord, Purpose, Replica, ReplicaAction, RunState,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A tick of each node, in microseconds.
const TICK_US: u64 = 200_000;

/// A call without a reply has failed after this, in microseconds.
const CALL_TIMEOUT_US: u64 = 1_000_000;

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
        purpose: Purpose,
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
        ask: AskId,
        granted_at: u64,
    },
    Tick(NodeId),
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
    pub fn new(seed: u64, nodes: u64, partitions: u16) -> Self {
        let mut fleet = Self {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            limits: ClaimLimits {
                retention: Duration::from_secs(40),
                recovery_patience: Duration::from_secs(6),
                ..ClaimLimits::default()
            },
            partitions,
            loss: 0,
            give_up: 0,
            store_down_until: 0,
            is_answer_lost: false,
            ends: Vec::new(),
            runs: BTreeMap::new(),
            messages: 0,
            store: BTreeMap::new(),
            processes: BTreeMap::new(),
            events: BTreeMap::new(),
            waiters: BTreeMap::new(),
            next_id: 1,
        };
        (0..nodes).for_each(|place| {
            fleet.start(place);
        });
        fleet
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
        self.nodes()
            .into_iter()
            .for_each(|other| self.tell_view(other, id, false));
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

    // --- Running ---

    /// Sends a request through `host`, now.
    pub fn send(&mut self, host: NodeId, key: KeyDigest, purpose: Purpose) {
        self.after(0, Event::Send { host, key, purpose });
    }

    /// Sends a request and runs on until it has its verdict.
    pub fn ask(&mut self, host: NodeId, key: KeyDigest, purpose: Purpose) -> ClaimVerdict {
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

    fn after(&mut self, delay_us: u64, event: Event) {
        self.next_id += 1;
        self.events
            .insert((self.now + delay_us, self.next_id), event);
    }

    fn tell_view(&mut self, node: NodeId, other: NodeId, is_up: bool) {
        let delay = 100_000 + self.below(2_000_000);
        self.after(delay, Event::View { node, other, is_up });
    }

    /// One message's delay, `None` when it is lost.
    fn delay(&mut self) -> Option<u64> {
        let is_lost = self.below(1_000) < self.loss;
        let is_slow = self.below(1_000) < self.loss;
        let span = if is_slow { 8_000_000 } else { 2_000 };
        let delay = 500 + self.below(span);
        (!is_lost).then_some(delay)
    }

    fn is_cut(&self, id: NodeId) -> bool {
        self.processes
            .get(&id)
            .is_some_and(|process| process.cut_until > self.now)
    }

    fn step(&mut self, event: Event) {
        let now = MonoTime::from_micros(self.now);
        let owner = match &event {
            Event::Send { host, .. } | Event::Act { host, .. } => Some(*host),
            Event::Reply { to, .. } => Some(*to),
            Event::Request { to, .. } => {
                let mut processes = self.processes.values();
                processes
                    .find(|process| process.own.address == *to)
                    .map(|found| found.own.node)
            }
            Event::Found { node, .. } | Event::Tick(node) | Event::View { node, .. } => Some(*node),
            Event::Store { .. } => {
                self.store_step(event);
                return;
            }
        };
        let Some(process) = owner.and_then(|id| self.processes.get_mut(&id)) else {
            return;
        };
        if process.paused_until > self.now {
            let delay = process.paused_until - self.now;
            self.after(delay, event);
            return;
        }
        let id = process.own.node;
        match event {
            Event::Send { key, purpose, .. } => {
                let step = process.node.begin(now, key, purpose);
                self.take_step(id, key, self.now, step);
            }
            Event::Request {
                id: call,
                from,
                request,
                ..
            } => {
                let reply = process.node.handle(now, &request);
                let is_cut = self.is_cut(id) || self.is_cut(from);
                if let Some(delay) = self.delay().filter(|_| !is_cut) {
                    self.after(
                        delay,
                        Event::Reply {
                            id: call,
                            to: from,
                            reply: Some(reply),
                        },
                    );
                }
            }
            Event::Reply {
                id: call, reply, ..
            } => self.take_reply(id, call, reply),
            Event::Found {
                partition,
                sent_at,
                found,
                ..
            } => {
                let sent_at = MonoTime::from_micros(sent_at);
                process
                    .node
                    .confirm(now, &partition, sent_at, found.as_ref());
            }
            Event::Act {
                key,
                ask,
                granted_at,
                ..
            } => {
                process.node.finish(ask, Some(200));
                let run = KeyRun { granted_at };
                let runs = self.runs.entry(key).or_default();
                runs.push(run);
                runs.sort_by_key(|run| run.granted_at);
            }
            Event::Tick(_) => {
                let view = process.view.clone();
                let actions = process.node.tick(now, &view);
                self.after(TICK_US, Event::Tick(id));
                for (partition, action) in actions {
                    self.act(id, partition, action);
                }
            }
            Event::View { other, is_up, .. } => {
                let found = self.processes.get(&other);
                let found = found.filter(|found| !found.is_leaving || other == id);
                let replica = found.map(|found| found.own.clone());
                let view = &mut self.processes.get_mut(&id).unwrap().view;
                match replica.filter(|_| is_up) {
                    Some(replica) => drop(view.insert(other, replica)),
                    None => drop(view.remove(&other)),
                }
            }
            Event::Store { .. } => {}
        }
    }

    fn act(&mut self, node: NodeId, partition: PartitionId, action: ReplicaAction) {
        let request = match &action {
            ReplicaAction::Fetch {
                from,
                record,
                after,
            } => Some((
                from.address,
                ClaimRequest::Fetch {
                    partition: partition.clone(),
                    record: record.clone(),
                    after: *after,
                },
            )),
            ReplicaAction::Tell { to, record } => Some((
                to.address,
                ClaimRequest::Learn {
                    partition: partition.clone(),
                    record: record.clone(),
                },
            )),
            ReplicaAction::Read | ReplicaAction::Propose { .. } => None,
        };
        if let Some((address, request)) = request {
            self.call(node, address, &request, Waiter::Replica(partition, action));
            return;
        }
        let sent_at = self.now;
        let delay = self.delay().unwrap_or(3_000_000);
        self.after(
            delay,
            Event::Store {
                node,
                partition,
                sent_at,
                action,
            },
        );
    }

    fn store_step(&mut self, event: Event) {
        let Event::Store {
            node,
            partition,
            sent_at,
            action,
        } = event
        else {
            return;
        };
        if self.now < self.store_down_until {
            return;
        }
        if let ReplicaAction::Propose { expected, record } = action
            && self.store.get(&partition) == expected.as_ref()
        {
            self.store.insert(partition.clone(), record);
        }
        let found = self.store.get(&partition).cloned();
        if let Some(delay) = self.delay().filter(|_| !self.is_answer_lost) {
            self.after(
                delay,
                Event::Found {
                    node,
                    partition,
                    sent_at,
                    found,
                },
            );
        }
    }

    fn call(&mut self, from: NodeId, to: SocketAddr, request: &ClaimRequest, waiter: Waiter) {
        self.messages += 1;
        self.next_id += 1;
        let id = self.next_id;
        self.waiters.insert(id, waiter);
        self.after(
            CALL_TIMEOUT_US,
            Event::Reply {
                id,
                to: from,
                reply: None,
            },
        );
        let copies = if self.below(1_000) < self.loss { 2 } else { 1 };
        for _ in 0..copies {
            let is_cut = self.is_cut(from);
            if let Some(delay) = self.delay().filter(|_| !is_cut) {
                let request = request.clone();
                self.after(
                    delay,
                    Event::Request {
                        id,
                        from,
                        to,
                        request,
                    },
                );
            }
        }
    }

    fn take_reply(&mut self, node: NodeId, id: u64, reply: Option<ClaimReply>) {
        let now = MonoTime::from_micros(self.now);
        let Some(waiter) = self.waiters.remove(&id) else {
            return;
        };
        let process = self.processes.get_mut(&node).unwrap();
        match waiter {
            Waiter::Claim(call) => {
                let Some((key, began_at)) = process.began.get(&call.claim).copied() else {
                    return;
                };
                let step = process.node.reply(now, &call, reply);
                if matches!(step, ClaimStep::Done(..)) {
                    process.began.remove(&call.claim);
                }
                self.take_step(node, key, began_at, step);
            }
            Waiter::Replica(partition, action) => {
                let reply = reply.unwrap_or(ClaimReply::Unavailable);
                process.node.answered(now, &partition, &action, &reply);
            }
            Waiter::Nothing => {}
        }
    }

    fn take_step(&mut self, node: NodeId, key: KeyDigest, began_at: u64, step: ClaimStep) {
        match step {
            ClaimStep::Wait => {}
            ClaimStep::Send(calls) => {
                for call in calls {
                    let process = self.processes.get_mut(&node).unwrap();
                    process.began.insert(call.claim, (key, began_at));
                    let request = call.request.clone();
                    self.call(node, call.address, &request, Waiter::Claim(call));
                }
            }
            ClaimStep::Done(verdict, calls) => {
                self.ends.push(SendEnd {
                    key,
                    began_at,
                    verdict,
                });
                self.send_off(node, calls);
                if let ClaimVerdict::Run(ask) = verdict {
                    self.hand_over(node, key, ask);
                }
            }
        }
    }

    /// Hands a granted run over, now, after a pause, or not at all.
    fn hand_over(&mut self, host: NodeId, key: KeyDigest, ask: AskId) {
        if self.below(1_000) < self.give_up {
            let now = MonoTime::from_micros(self.now);
            let calls = self
                .processes
                .get_mut(&host)
                .unwrap()
                .node
                .give_up(now, key, ask);
            self.send_off(host, calls);
            return;
        }
        let granted_at = self.now;
        let is_paused = self.below(1_000) < self.loss;
        if is_paused {
            let span = self.below(8_000_000);
            self.pause(host, span);
        }
        self.after(
            0,
            Event::Act {
                host,
                key,
                ask,
                granted_at,
            },
        );
    }

    fn send_off(&mut self, node: NodeId, calls: Vec<ClaimCall>) {
        for call in calls {
            self.call(node, call.address, &call.request, Waiter::Nothing);
        }
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
                Purpose::Peek
            } else {
                Purpose::Run
            };
            self.send(host, key(open[pick].0), purpose);
            self.send(host, key(step), Purpose::Run);
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
