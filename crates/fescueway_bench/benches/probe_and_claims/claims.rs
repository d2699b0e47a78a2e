//! Messages, memory and processor time of claimed keys, with three nodes in one process.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use fescueway_core::{KeyDigest, MonoTime, NodeId};
use fescueway_idempotency::{
    ClaimCall, ClaimLimits, ClaimNode, ClaimPurpose, ClaimReply, ClaimStep, ClaimVerdict,
    PartitionId, PartitionRecord, Replica,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{bounded, live_bytes::live_bytes};

/// Keys that are claimed.
const KEYS: u64 = 200_000;

/// Calls of the fleet at the target size that carry a key, per second: one in a hundred.
const KEYED_PER_S: f64 = 6_400.0;

/// Nodes at the target size.
const NODES: f64 = 6_000.0;

/// How long a key is remembered by default, in seconds.
const RETENTION_S: f64 = 86_400.0;

/// Replicas of a key.
const REPLICAS: f64 = 2.0;

/// Memory that keys may take at a node: a quarter of the 256 MB for control.
const KEY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;

/// Calls between nodes that one keyed request may make: one to each replica, side by side.
const MAX_CALLS: f64 = 2.0;

/// A host without a part in the keys, and the two replicas.
struct KeyedFleet {
    /// The nodes. The first one is the host.
    nodes: BTreeMap<NodeId, ClaimNode>,
    /// Calls between nodes so far.
    calls: u64,
}

/// Prints what a claimed key costs. Returns the broken bounds.
pub fn report() -> u32 {
    let mut fleet = KeyedFleet::new();
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let before = live_bytes();
    let start = Instant::now();
    for number in 0..KEYS {
        let verdict = fleet.claim(MonoTime::from_micros(number), key(&mut random));
        assert!(matches!(verdict, ClaimVerdict::Run(_)), "{verdict:?}");
    }
    let elapsed = start.elapsed().as_secs_f64();
    let held = (live_bytes() - before) as f64 / KEYS as f64 / REPLICAS;
    let keys_per_node = KEYED_PER_S * RETENTION_S * REPLICAS / NODES;
    println!(
        "claims per second, host and both replicas on one core    {:>12.0}",
        KEYS as f64 / elapsed
    );
    println!("keys held by a node at the target size                   {keys_per_node:>12.0}");
    let per_request = fleet.calls as f64 / KEYS as f64;
    let calls = bounded(
        "calls between nodes per keyed request",
        per_request,
        MAX_CALLS,
    );
    let name = "bytes per key and replica, the host's share included";
    calls + bounded(name, held, KEY_BYTES / keys_per_node)
}

/// A random key.
fn key(random: &mut impl Rng) -> KeyDigest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&random.next_u64().to_be_bytes());
    bytes[8..].copy_from_slice(&random.next_u64().to_be_bytes());
    KeyDigest(bytes)
}

/// The node with a number, in a failure domain of its own.
fn replica(number: u64) -> Replica {
    Replica {
        node: NodeId(number),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, number as u16)),
        domain: format!("domain-{number}").as_str().into(),
    }
}

impl KeyedFleet {
    /// Three nodes that know who keeps the keys.
    fn new() -> Self {
        let limits = ClaimLimits::default();
        let service = || "bookings".into();
        let partition = PartitionId {
            service: service(),
            index: 0,
        };
        let record = PartitionRecord {
            epoch: 1,
            primary: replica(2),
            backup: Some(replica(3)),
            orphans: None,
        };
        let node = |number| {
            let now = MonoTime::ZERO;
            let mut node = ClaimNode::new(replica(number), service(), 1, limits.clone(), now);
            node.confirm(now, &partition, now, Some(&record));
            (NodeId(number), node)
        };
        Self {
            nodes: (1..=3).map(node).collect(),
            calls: 0,
        }
    }

    /// Claims a key for the first node.
    fn claim(&mut self, now: MonoTime, key: KeyDigest) -> ClaimVerdict {
        let host = NodeId(1);
        let mut step = self.at(host, |node| node.begin(now, key, ClaimPurpose::Run));
        let mut open: Vec<ClaimCall> = Vec::new();
        loop {
            match step {
                Some(ClaimStep::Done(verdict, _)) => return verdict,
                Some(ClaimStep::Send(calls)) => open.extend(calls),
                Some(ClaimStep::Wait) | None => {}
            }
            let Some(call) = open.pop() else {
                return ClaimVerdict::Unavailable;
            };
            self.calls += 1;
            let reply: Option<ClaimReply> =
                self.at(call.node, |node| node.handle(now, &call.request));
            step = self.at(host, |node| node.reply(now, &call, reply));
        }
    }

    /// Lets one node act.
    fn at<T>(&mut self, node: NodeId, act: impl FnOnce(&mut ClaimNode) -> T) -> Option<T> {
        self.nodes.get_mut(&node).map(act)
    }
}
