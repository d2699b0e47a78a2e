//! A simulated network of membership instances, with packet loss and delays, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use fescueway_core::{
    ConfigMark, DomainName, MonoTime, NodeId, ServiceName, SiteName, TargetRecord, TargetState,
};
use fescueway_membership::{
    DownCause, FleetSecret, MemberAction, MemberEvent, MemberList, MemberSettings,
};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

/// Failure domains of the network; member `i` is in domain `i % DOMAINS`.
pub const DOMAINS: usize = 17;

/// Regions of the network; domain `d` is in region `d % REGIONS`.
pub const REGIONS: usize = 5;

/// The state of a member's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberRunState {
    /// It is running.
    Running,
    /// It is suspended until resumed; arriving datagrams queue, up to a socket's buffer.
    Paused,
    /// It has exited.
    Exited,
}

/// A member of the network, with the results of the actions that it requested.
#[derive(Debug)]
pub struct NetworkMember {
    /// The membership instance.
    pub list: MemberList,
    /// Its node id.
    pub node: NodeId,
    /// Its gossip address.
    pub address: SocketAddr,
    /// The state of its process.
    pub run: MemberRunState,
    /// The targets that it knows, from its actions.
    pub targets: BTreeMap<(NodeId, ServiceName), TargetRecord>,
    /// The nodes that it reported as down, with time and cause.
    pub down_events: Vec<(MonoTime, NodeId, DownCause)>,
    /// When it last learned of a newer configuration, and its mark.
    pub newest_mark: (MonoTime, ConfigMark),
    /// Notes that it received, with their senders.
    pub notes: Vec<(NodeId, Vec<u8>)>,
    /// Datagrams that arrived while it was paused.
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    /// When its next timer is due.
    wake: MonoTime,
}

/// Membership instances that exchange datagrams in virtual time.
#[derive(Debug)]
pub struct MemberNetwork {
    /// Members in the order of their start.
    pub members: Vec<NetworkMember>,
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// Shortest and longest delay of a datagram, in microseconds.
    pub delay_us: (u64, u64),
    now: MonoTime,
    random: Pcg64Mcg,
    /// Datagrams in flight, by arrival time and sequence number.
    in_flight: BTreeMap<(MonoTime, u64), InFlightDatagram>,
    last_sequence: u64,
    wakes: BTreeSet<(MonoTime, usize)>,
    /// Index of the member at each address.
    addresses: BTreeMap<SocketAddr, usize>,
    /// Partition of each member; datagrams pass only within a partition. All are zero by default.
    partitions: Vec<usize>,
}

#[derive(Debug)]
struct InFlightDatagram {
    from: usize,
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl MemberNetwork {
    /// Number of datagrams that a paused member's socket buffers.
    const SOCKET_BUFFER_DATAGRAMS: usize = 16;

    /// Creates a network without members, with a loss of 1% and delays of 1 to 3 ms.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            members: Vec::new(),
            loss: 0.01,
            delay_us: (1_000, 3_000),
            now: MonoTime::from_micros(1),
            random: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            wakes: BTreeSet::new(),
            addresses: BTreeMap::new(),
            partitions: Vec::new(),
        }
    }

    /// Creates a network of `count` members and runs it until all know each other.
    ///
    /// # Panics
    /// When the members don't find each other within two minutes.
    #[must_use]
    pub fn converged(seed: u64, count: usize) -> Self {
        let mut network = Self::new(seed);
        for _member in 0..count {
            network.start();
        }
        let is_converged = network.run_until(Duration::from_mins(2), Self::is_converged);
        assert!(is_converged, "{count} members did not find each other");
        // Lets the gossip about the start finish.
        network.run_for(Duration::from_mins(1));
        network
    }

    // Members

    /// Starts a member with the first three addresses as seeds. It serves one of ten services.
    pub fn start(&mut self) -> usize {
        let index = self.members.len();
        self.start_at(address_of(index))
    }

    /// Starts a member at an address, replacing the one that runs there.
    pub fn start_at(&mut self, address: SocketAddr) -> usize {
        let seeds = (0..3).map(address_of).collect();
        self.start_with(address, seeds)
    }

    /// Starts a member at an address with the given seeds, and announces its target.
    pub fn start_with(&mut self, address: SocketAddr, seeds: Vec<SocketAddr>) -> usize {
        let index = self.start_silent(address, seeds);
        self.announce_target(index, TargetState::Serving);
        index
    }

    /// Starts a member at an address with the given seeds. Its target is not announced yet.
    pub fn start_silent(&mut self, address: SocketAddr, seeds: Vec<SocketAddr>) -> usize {
        let index = self.members.len();
        let node = NodeId(self.random.next_u64());
        let settings = MemberSettings {
            node,
            gossip_address: address,
            peer_address: SocketAddr::new(address.ip(), address.port() + 1),
            domain: DomainName::new(format!("domain-{}", index % DOMAINS)),
            site: SiteName::from("site"),
            seeds,
            secret: FleetSecret::new(b"secret of the test fleet"),
        };
        let list = MemberList::new(self.now, settings, &mut self.random);
        self.members.push(NetworkMember {
            wake: list.next_wake(),
            list,
            node,
            address,
            run: MemberRunState::Running,
            targets: BTreeMap::new(),
            down_events: Vec::new(),
            newest_mark: Default::default(),
            notes: Vec::new(),
            inbox: Vec::new(),
        });
        self.partitions.push(0);
        self.addresses.insert(address, index);
        self.wakes.insert((self.members[index].wake, index));
        index
    }

    /// Tells a member of further seeds.
    pub fn add_seeds(&mut self, index: usize, seeds: Vec<SocketAddr>) {
        self.handle(index, MemberEvent::Seeds(seeds));
    }

    /// Lets a member announce its target in the given state.
    pub fn announce_target(&mut self, index: usize, state: TargetState) {
        let member = &self.members[index];
        let target = TargetRecord {
            node: member.node,
            service: ServiceName::new(format!("service-{}", index % 10)),
            peer_address: member.address,
            domain: DomainName::from("unused"),
            slots: 10,
            connections: 250,
            state,
        };
        self.handle(index, MemberEvent::LocalTargets(vec![target]));
    }

    /// Ends a member without notice to the others.
    pub fn crash(&mut self, index: usize) {
        self.members[index].run = MemberRunState::Exited;
    }

    /// Lets a member announce that it leaves, then ends it.
    pub fn leave(&mut self, index: usize) {
        self.handle(index, MemberEvent::Leave);
        self.crash(index);
    }

    /// Pauses a member.
    pub fn pause(&mut self, index: usize) {
        self.members[index].run = MemberRunState::Paused;
    }

    /// Resumes a paused member. Its timers run before it reads its buffered datagrams, which is the
    /// harder order.
    pub fn resume(&mut self, index: usize) {
        self.members[index].run = MemberRunState::Running;
        self.handle(index, MemberEvent::Tick);
        for (from, bytes) in std::mem::take(&mut self.members[index].inbox) {
            self.handle(index, MemberEvent::Datagram { from, bytes });
        }
    }

    /// Lets a member leave if it is running.
    pub fn leave_if_running(&mut self, index: usize) {
        if self.members[index].run == MemberRunState::Running {
            self.leave(index);
        }
    }

    /// Pauses a member if it is running.
    pub fn pause_if_running(&mut self, index: usize) {
        if self.members[index].run == MemberRunState::Running {
            self.pause(index);
        }
    }

    /// Resumes a member if it is paused.
    pub fn resume_if_paused(&mut self, index: usize) {
        if self.members[index].run == MemberRunState::Paused {
            self.resume(index);
        }
    }

    /// Partitions the network: drops datagrams between members for which `partition_of` differs.
    pub fn partition(&mut self, partition_of: impl Fn(usize) -> usize) {
        self.partitions = (0..self.members.len()).map(partition_of).collect();
    }

    /// Ends the partition of the network.
    pub fn heal(&mut self) {
        self.partitions.fill(0);
    }

    /// Passes an event to a member and executes the actions that it returns.
    pub fn handle(&mut self, index: usize, event: MemberEvent) {
        let member = &mut self.members[index];
        let actions = member.list.handle(self.now, event, &mut self.random);
        let wake = member.list.next_wake();
        self.schedule_wake(index, wake);
        for action in actions {
            self.execute(index, action);
        }
    }

    // Time

    /// The current virtual time.
    #[must_use]
    pub const fn now(&self) -> MonoTime {
        self.now
    }

    /// Runs for `duration`.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `is_done`, polled ten times a second, or for `timeout`. Returns whether it is done.
    pub fn run_until(&mut self, timeout: Duration, is_done: impl Fn(&Self) -> bool) -> bool {
        const POLL_PERIOD: Duration = Duration::from_millis(100);
        let end = self.now + timeout;
        while self.now < end {
            if is_done(self) {
                return true;
            }
            self.run_for(POLL_PERIOD);
        }
        is_done(self)
    }

    // Queries

    /// Indices of the running members.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        let all = self.members.iter().enumerate();
        let running = all.filter(|(_, member)| member.run == MemberRunState::Running);
        running.map(|(index, _)| index)
    }

    /// Whether every running member knows exactly the targets of the other running members.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        let nodes: BTreeSet<_> = self
            .running()
            .map(|index| self.members[index].node)
            .collect();
        self.running().all(|index| {
            let member = &self.members[index];
            let known = member.targets.keys().map(|(node, _)| *node);
            let others = nodes.iter().filter(|node| **node != member.node);
            known.eq(others.copied()) && member.list.live_count() == nodes.len()
        })
    }

    /// Number of running members that know a target of `node`.
    #[must_use]
    pub fn holders_of(&self, node: NodeId) -> usize {
        let holds = |index: &usize| {
            let targets = &self.members[*index].targets;
            targets.keys().any(|(known, _)| *known == node)
        };
        self.running().filter(holds).count()
    }

    // Internals

    fn execute(&mut self, index: usize, action: MemberAction) {
        let now = self.now;
        let member = &mut self.members[index];
        match action {
            MemberAction::Send { to, bytes } => self.send(index, to, bytes),
            MemberAction::SetTarget { target, .. } => {
                let key = (target.node, target.service.clone());
                member.targets.insert(key, target);
            }
            MemberAction::RemoveTarget { node, service } => {
                member.targets.remove(&(node, service));
            }
            MemberAction::NodeUp(_) => {}
            MemberAction::NodeDown { node, cause } => member.down_events.push((now, node, cause)),
            MemberAction::NewerMark { mark, .. } => member.newest_mark = (now, mark),
            MemberAction::Note { from, body } => member.notes.push((from, body)),
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let sample = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        if sample < self.loss {
            return;
        }
        let (shortest, longest) = self.delay_us;
        let jitter = u64::from(self.random.next_u32()) % (longest - shortest + 1);
        let arrival = self.now + Duration::from_micros(shortest + jitter);
        self.last_sequence += 1;
        let datagram = InFlightDatagram { from, to, bytes };
        self.in_flight
            .insert((arrival, self.last_sequence), datagram);
    }

    /// Processes the next event that is due by `end`. Returns whether there was one.
    fn step(&mut self, end: MonoTime) -> bool {
        let arrival = self.in_flight.first_key_value().map(|(key, _)| key.0);
        let wake = self.wakes.first().map(|(at, _)| *at);
        let next = arrival.into_iter().chain(wake).min();
        let Some(next) = next.filter(|next| *next <= end) else {
            return false;
        };
        self.now = self.now.max(next);
        if arrival == Some(next) {
            self.deliver();
        } else if let Some((_, index)) = self.wakes.pop_first() {
            self.members[index].wake = MonoTime::NEVER;
            if self.members[index].run == MemberRunState::Running {
                self.handle(index, MemberEvent::Tick);
            }
        }
        true
    }

    fn deliver(&mut self) {
        let Some((_, datagram)) = self.in_flight.pop_first() else {
            return;
        };
        let Some(index) = self.addresses.get(&datagram.to).copied() else {
            return;
        };
        if self.partitions[index] != self.partitions[datagram.from] {
            return;
        }
        let from = self.members[datagram.from].address;
        let bytes = datagram.bytes;
        let member = &mut self.members[index];
        match member.run {
            MemberRunState::Running => self.handle(index, MemberEvent::Datagram { from, bytes }),
            MemberRunState::Paused if member.inbox.len() < Self::SOCKET_BUFFER_DATAGRAMS => {
                member.inbox.push((from, bytes));
            }
            MemberRunState::Paused | MemberRunState::Exited => {}
        }
    }

    fn schedule_wake(&mut self, index: usize, wake: MonoTime) {
        let old = self.members[index].wake;
        if old != wake {
            self.wakes.remove(&(old, index));
            self.members[index].wake = wake;
            self.wakes.insert((wake, index));
        }
    }
}

/// The gossip address of the member that was started with number `index`.
#[must_use]
pub fn address_of(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}
