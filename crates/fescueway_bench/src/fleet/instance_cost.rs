//! Cost of one membership instance that knows a whole fleet.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use fescueway_core::{
    ConfigMark, DomainName, MonoTime, NodeId, ServiceName, SiteName, TargetState,
};
use fescueway_membership::{
    Datagram, DatagramCodec, FleetSecret, MemberAction, MemberEvent, MemberList, MemberSettings,
    MemberStatus, MessageBody, NodeRecord, Rumor, ServedService,
};
use fescueway_testkit::member_network::address_of;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use super::CountingAllocator;

const SECRET: &[u8] = b"bench";

/// Virtual time of the measurement.
const MEASURED_TIME: Duration = Duration::from_mins(5);

/// Cost of one instance that knows a whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct InstanceCost {
    /// Number of members that it knows.
    pub members: f64,
    /// Heap bytes per member.
    pub bytes_per_member: f64,
    /// Allocations per second in an idle fleet.
    pub allocations_per_s: f64,
    /// Datagrams sent per second in an idle fleet.
    pub sent_per_s: f64,
    /// Bytes sent per second in an idle fleet.
    pub sent_bytes_per_s: f64,
    /// CPU time as a share of a core in an idle fleet, by the wall clock.
    pub core_share: f64,
}

/// Real membership instance with simulated peers.
struct InstanceHarness {
    list: MemberList,
    codec: DatagramCodec,
    nodes: BTreeMap<SocketAddr, NodeId>,
    random: Pcg64Mcg,
    now: MonoTime,
    /// Wall-clock time spent in the instance.
    spent: Duration,
}

impl InstanceCost {
    /// Measures an instance that knows `members`.
    ///
    /// Memory and allocations are zero unless [`CountingAllocator`] is installed.
    #[must_use]
    pub fn measure(seed: u64, members: usize) -> Self {
        let mut harness = InstanceHarness::new(seed);
        harness.generate_peers(members);
        let before = CountingAllocator::live_bytes();
        harness.announce_peers();
        let held = CountingAllocator::live_bytes().saturating_sub(before);
        harness.run(Duration::from_mins(1));
        let (calls, counts) = (CountingAllocator::calls(), harness.list.counts());
        harness.spent = Duration::ZERO;
        harness.run(MEASURED_TIME);
        let after = harness.list.counts();
        let seconds = MEASURED_TIME.as_secs_f64();
        Self {
            members: harness.list.live_count() as f64,
            bytes_per_member: held as f64 / members as f64,
            allocations_per_s: (CountingAllocator::calls() - calls) as f64 / seconds,
            sent_per_s: (after.sent - counts.sent) as f64 / seconds,
            sent_bytes_per_s: (after.sent_bytes - counts.sent_bytes) as f64 / seconds,
            core_share: harness.spent.as_secs_f64() / seconds,
        }
    }
}

impl InstanceHarness {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let settings = MemberSettings {
            node: NodeId(random.next_u64()),
            gossip_address: ([127, 0, 0, 1], 1).into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            domain: DomainName::from("domain-0"),
            site: SiteName::from("site-0"),
            seeds: vec![address_of(0)],
            secret: FleetSecret::new(SECRET),
        };
        Self {
            list: MemberList::new(MonoTime::ZERO, settings, &mut random),
            codec: DatagramCodec::new(FleetSecret::new(SECRET)),
            nodes: BTreeMap::new(),
            random,
            now: MonoTime::ZERO,
            spent: Duration::ZERO,
        }
    }

    /// Generates the peers.
    fn generate_peers(&mut self, members: usize) {
        for index in 0..members {
            let node = NodeId(self.random.next_u64());
            self.nodes.insert(address_of(index), node);
        }
    }

    /// Announces the peers to the instance, one page at a time.
    fn announce_peers(&mut self) {
        let nodes = self.nodes.iter();
        let all: Vec<_> = nodes.map(|(address, node)| (*address, *node)).collect();
        for (number, part) in all.chunks(8).enumerate() {
            let rumors = part.iter().enumerate();
            let rumors =
                rumors.map(|(index, (address, node))| rumor(number * 8 + index, *node, *address));
            let body = MessageBody::Page {
                first: 0,
                page: 0,
                pages: 9,
            };
            let (address, node) = part[0];
            self.send(address, node, body, rumors.collect());
        }
    }

    /// Runs the instance with peers that answer its pings and ping it once a second.
    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        let mut next_ping = self.now + Duration::from_secs(1);
        while self.now < end {
            self.now = self.list.next_wake().min(next_ping).max(self.now);
            if self.now >= next_ping {
                next_ping = next_ping + Duration::from_secs(1);
                let index = self.random.next_u64() as usize % self.nodes.len();
                if let Some((address, node)) = self.nodes.iter().nth(index) {
                    let (address, node) = (*address, *node);
                    self.send(address, node, MessageBody::Ping { sequence: 1 }, Vec::new());
                }
            } else {
                self.handle(MemberEvent::Tick);
            }
        }
    }

    fn handle(&mut self, event: MemberEvent) {
        let start = Instant::now();
        let actions = self.list.handle(self.now, event, &mut self.random);
        self.spent += start.elapsed();
        for action in actions {
            if let MemberAction::Send { to, bytes } = action {
                self.answer(to, &bytes);
            }
        }
    }

    /// Answers a datagram as the peer at an address: it acknowledges pings and has no further
    /// members to announce.
    fn answer(&mut self, to: SocketAddr, bytes: &[u8]) {
        let Some(node) = self.nodes.get(&to).copied() else {
            return;
        };
        let Ok(datagram) = self.codec.decode(bytes) else {
            return;
        };
        let answer = match datagram.body {
            MessageBody::Ping { sequence } => MessageBody::Ack { sequence, node },
            MessageBody::Pull { first, .. } => MessageBody::Page {
                first,
                page: 0,
                pages: 1,
            },
            _ => return,
        };
        self.send(to, node, answer, Vec::new());
    }

    fn send(&mut self, from: SocketAddr, node: NodeId, body: MessageBody, rumors: Vec<Rumor>) {
        let datagram = Datagram {
            from: node,
            live_count: 1,
            mark: ConfigMark::default(),
            body,
            rumors,
        };
        if let Ok(bytes) = self.codec.encode(&datagram) {
            self.handle(MemberEvent::Datagram { from, bytes });
        }
    }
}

fn rumor(index: usize, node: NodeId, address: SocketAddr) -> Rumor {
    let record = NodeRecord {
        version: 2,
        gossip_address: address,
        peer_address: address,
        domain: DomainName::new(format!("domain-{}", index % 17)),
        site: SiteName::new(format!("site-{}", index % 5)),
        services: vec![ServedService {
            service: ServiceName::new(format!("service-{}", index % 190)),
            slots: 10,
            connections: 250,
            state: TargetState::Serving,
        }],
    };
    Rumor {
        node,
        incarnation: 1,
        status: MemberStatus::Alive,
        version: record.version,
        record: Some(record),
    }
}
