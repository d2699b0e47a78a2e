//! A lossy, delaying network of membership instances under virtual time.

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

/// How a member of the network runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberRunState {
    /// It runs.
    Running,
    /// It is stopped and will run on; what arrives meanwhile waits, up to a socket's buffer.
    Paused,
    /// It is gone.
    Exited,
}

/// A member of the network, with what its owner would have seen.
#[derive(Debug)]
pub struct NetworkMember {
    /// The membership instance.
    pub list: MemberList,
    /// Its identity.
    pub node: NodeId,
    /// Its gossip address.
    pub address: SocketAddr,
    /// How it runs.
    pub run: MemberRunState,
    /// The targets that its actions add up to.
    pub targets: BTreeMap<(NodeId, ServiceName), TargetRecord>,
    /// When it was told that nodes are gone, and how it knew.
    pub down_events: Vec<(MonoTime, NodeId, DownCause)>,
    /// The newest configuration that it was told of, and when.
    pub newest_mark: (MonoTime, ConfigMark),
    /// Notes that it received.
    pub notes: Vec<(NodeId, Vec<u8>)>,
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    wake: MonoTime,
}

/// Membership instances that exchange datagrams under virtual time.
#[derive(Debug)]
pub struct MemberNetwork {
    /// Members by the order of their start.
    pub members: Vec<NetworkMember>,
    /// Share of datagrams that is lost, from 0 to 1.
    pub loss: f64,
    /// Shortest and longest time that a datagram takes, in microseconds.
    pub delay_us: (u64, u64),
    now: MonoTime,
    random: Pcg64Mcg,
    /// Datagrams under way, by arrival and order of sending.
    flying: BTreeMap<(MonoTime, u64), FlyingDatagram>,
    next_order: u64,
    wakes: BTreeSet<(MonoTime, usize)>,
    /// The member at each address.
    addresses: BTreeMap<SocketAddr, usize>,
    /// Parts between which nothing passes, by member; all in part zero when whole.
    parts: Vec<usize>,
}

#[derive(Debug)]
struct FlyingDatagram {
    from: usize,
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl MemberNetwork {
    /// Datagrams that a paused member's socket holds.
    const SOCKET_BUFFER: usize = 16;

    /// A network without members, loss 1% and delays of 1 to 3 ms.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            members: Vec::new(),
            loss: 0.01,
            delay_us: (1_000, 3_000),
            now: MonoTime::from_micros(1),
            random: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            flying: BTreeMap::new(),
            next_order: 0,
            wakes: BTreeSet::new(),
            addresses: BTreeMap::new(),
            parts: Vec::new(),
        }
    }

    /// A network of `count` members that has run until all know each other.
    ///
    /// # Panics
    /// When they don't within two minutes.
    #[must_use]
    pub fn converged(seed: u64, count: usize) -> Self {
        let mut network = Self::new(seed);
        for _member in 0..count {
            network.start();
        }
        let is_converged = network.run_until(Duration::from_mins(2), Self::is_converged);
        assert!(is_converged, "{count} members did not find each other");
        // By then the news of the start has died down.
        network.run_for(Duration::from_mins(1));
        network
    }

    // Members

    /// Starts a member whose seeds are the first three addresses. It serves one of ten services.
    pub fn start(&mut self) -> usize {
        let index = self.members.len();
        self.start_at(address_of(index))
    }

    /// Starts a member at an address, in place of what runs there.
    pub fn start_at(&mut self, address: SocketAddr) -> usize {
        let seeds = (0..3).map(address_of).collect();
        self.start_with(address, seeds)
    }

    /// Starts a member at an address with these seeds.
    pub fn start_with(&mut self, address: SocketAddr, seeds: Vec<SocketAddr>) -> usize {
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
        self.parts.push(0);
        self.addresses.insert(address, index);
        self.wakes.insert((self.members[index].wake, index));
        self.announce_target(index, TargetState::Serving);
        index
    }

    /// Announces a member's target in this state.
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

    /// Ends a member without a word.
    pub fn crash(&mut self, index: usize) {
        self.members[index].run = MemberRunState::Exited;
    }

    /// Lets a member say that it leaves, then ends it.
    pub fn leave(&mut self, index: usize) {
        self.handle(index, MemberEvent::Leave);
        self.crash(index);
    }

    /// Stops a member.
    pub fn pause(&mut self, index: usize) {
        self.members[index].run = MemberRunState::Paused;
    }

    /// Lets a stopped member run on. Its timers come before what waits in its socket, which is the
    /// harder order.
    pub fn resume(&mut self, index: usize) {
        self.members[index].run = MemberRunState::Running;
        self.handle(index, MemberEvent::Tick);
        for (from, bytes) in std::mem::take(&mut self.members[index].inbox) {
            self.handle(index, MemberEvent::Datagram { from, bytes });
        }
    }

    /// Lets a member leave unless it is stopped or gone.
    pub fn leave_if_running(&mut self, index: usize) {
        if self.members[index].run == MemberRunState::Running {
            self.leave(index);
        }
    }

    /// Stops a member unless it is gone.
    pub fn pause_if_running(&mut self, index: usize) {
        if self.members[index].run == MemberRunState::Running {
            self.pause(index);
        }
    }

    /// Lets a member run on if it is stopped.
    pub fn resume_if_paused(&mut self, index: usize) {
        if self.members[index].run == MemberRunState::Paused {
            self.resume(index);
        }
    }

    /// Lets nothing pass between members for which `part_of` differs.
    pub fn partition(&mut self, part_of: impl Fn(usize) -> usize) {
        self.parts = (0..self.members.len()).map(part_of).collect();
    }

    /// Lets everything pass again.
    pub fn heal(&mut self) {
        self.parts.fill(0);
    }

    /// Feeds an event to a member and carries out what it asks for.
    pub fn handle(&mut self, index: usize, event: MemberEvent) {
        let member = &mut self.members[index];
        let actions = member.list.handle(self.now, event, &mut self.random);
        let wake = member.list.next_wake();
        self.set_wake(index, wake);
        for action in actions {
            self.carry_out(index, action);
        }
    }

    // Time

    /// The time.
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

    /// Runs until `is_done`, looked at ten times a second, or for `longest`. Returns whether it is.
    pub fn run_until(&mut self, longest: Duration, is_done: impl Fn(&Self) -> bool) -> bool {
        const LOOK_PERIOD: Duration = Duration::from_millis(100);
        let end = self.now + longest;
        while self.now < end {
            if is_done(self) {
                return true;
            }
            self.run_for(LOOK_PERIOD);
        }
        is_done(self)
    }

    // Queries

    /// Indices of the members that run.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        let all = self.members.iter().enumerate();
        let running = all.filter(|(_, member)| member.run == MemberRunState::Running);
        running.map(|(index, _)| index)
    }

    /// Whether every running member holds exactly the running members' targets.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        let nodes: BTreeSet<_> = self
            .running()
            .map(|index| self.members[index].node)
            .collect();
        self.running().all(|index| {
            let member = &self.members[index];
            let held = member.targets.keys().map(|(node, _)| *node);
            let others = nodes.iter().filter(|node| **node != member.node);
            held.eq(others.copied()) && member.list.live_count() == nodes.len()
        })
    }

    /// Running members that hold a target of `node`.
    #[must_use]
    pub fn holders_of(&self, node: NodeId) -> usize {
        let holds = |index: &usize| {
            let targets = &self.members[*index].targets;
            targets.keys().any(|(held, _)| *held == node)
        };
        self.running().filter(holds).count()
    }

    // Inside

    fn carry_out(&mut self, index: usize, action: MemberAction) {
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
        let share = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        if share < self.loss {
            return;
        }
        let (shortest, longest) = self.delay_us;
        let extra = u64::from(self.random.next_u32()) % (longest - shortest + 1);
        let arrival = self.now + Duration::from_micros(shortest + extra);
        self.next_order += 1;
        let datagram = FlyingDatagram { from, to, bytes };
        self.flying.insert((arrival, self.next_order), datagram);
    }

    /// Does the next thing that is due before `end`. Returns whether there was one.
    fn step(&mut self, end: MonoTime) -> bool {
        let arrival = self.flying.first_key_value().map(|(key, _)| key.0);
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
        let Some((_, datagram)) = self.flying.pop_first() else {
            return;
        };
        let Some(index) = self.addresses.get(&datagram.to).copied() else {
            return;
        };
        if self.parts[index] != self.parts[datagram.from] {
            return;
        }
        let from = self.members[datagram.from].address;
        let bytes = datagram.bytes;
        let member = &mut self.members[index];
        match member.run {
            MemberRunState::Running => self.handle(index, MemberEvent::Datagram { from, bytes }),
            MemberRunState::Paused if member.inbox.len() < Self::SOCKET_BUFFER => {
                member.inbox.push((from, bytes));
            }
            MemberRunState::Paused | MemberRunState::Exited => {}
        }
    }

    fn set_wake(&mut self, index: usize, wake: MonoTime) {
        let old = self.members[index].wake;
        if old != wake {
            self.wakes.remove(&(old, index));
            self.members[index].wake = wake;
            self.wakes.insert((wake, index));
        }
    }
}

/// The address of the member that was started as number `index`.
#[must_use]
pub fn address_of(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}
