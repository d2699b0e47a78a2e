//! Messages, memory and CPU time of claimed keys, with three nodes in one process.

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

/// Number of keys to claim.
const KEYS: u64 = 200_000;

/// Requests with a key in the whole fleet at the required size, per second: one in a hundred.
const KEYED_REQUESTS_PER_S: f64 = 6_400.0;

/// Number of nodes at the required size.
const NODES: f64 = 6_000.0;

/// Default retention of a key, in seconds.
const RETENTION_S: f64 = 86_400.0;

/// Number of replicas of a key.
const REPLICAS: f64 = 2.0;

/// Most memory for keys at a node, in bytes: a quarter of the 256 MB for the control plane.
const MAX_KEY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;

/// Most calls between nodes for one request with a key: one to each replica, in parallel.
const MAX_CALLS: f64 = 2.0;

/// A host that stores no keys, and the two replicas.
struct ClaimFleet {
    /// Nodes by id. The first one is the host.
    nodes: BTreeMap<NodeId, ClaimNode>,
    /// Number of calls between nodes so far.
    calls: u64,
}

/// Prints the cost of a claimed key. Returns the number of broken bounds.
pub fn report() -> u32 {
    let mut fleet = ClaimFleet::new();
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let before = live_bytes();
    let start = Instant::now();
    for number in 0..KEYS {
        let verdict = fleet.claim(MonoTime::from_micros(number), key(&mut random));
        assert!(matches!(verdict, ClaimVerdict::Run(_)), "{verdict:?}");
    }
    let elapsed = start.elapsed().as_secs_f64();
    let bytes_per_key = (live_bytes() - before) as f64 / KEYS as f64 / REPLICAS;
    let keys_per_node = KEYED_REQUESTS_PER_S * RETENTION_S * REPLICAS / NODES;
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
    calls + bounded(name, bytes_per_key, MAX_KEY_BYTES / keys_per_node)
}

/// Generates a random key.
fn key(random: &mut impl Rng) -> KeyDigest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&random.next_u64().to_be_bytes());
    bytes[8..].copy_from_slice(&random.next_u64().to_be_bytes());
    KeyDigest(bytes)
}

/// Returns the replica of a number, each in its own failure domain.
fn replica(number: u64) -> Replica {
    Replica {
        node: NodeId(number),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, number as u16)),
        domain: format!("domain-{number}").as_str().into(),
    }
}

impl ClaimFleet {
    /// Creates three nodes that know the replicas of the keys.
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

    /// Claims a key at the host.
    fn claim(&mut self, now: MonoTime, key: KeyDigest) -> ClaimVerdict {
        let host = NodeId(1);
        let mut step = self.on_node(host, |node| node.begin(now, key, ClaimPurpose::Run));
        let mut pending: Vec<ClaimCall> = Vec::new();
        loop {
            match step {
                Some(ClaimStep::Done(verdict, _)) => return verdict,
                Some(ClaimStep::Send(calls)) => pending.extend(calls),
                Some(ClaimStep::Wait) | None => {}
            }
            let Some(call) = pending.pop() else {
                return ClaimVerdict::Unavailable;
            };
            self.calls += 1;
            let reply: Option<ClaimReply> =
                self.on_node(call.node, |node| node.handle(now, &call.request));
            step = self.on_node(host, |node| node.reply(now, &call, reply));
        }
    }

    /// Calls `operation` on a node. Returns `None` if the node does not exist.
    fn on_node<T>(
        &mut self,
        node: NodeId,
        operation: impl FnOnce(&mut ClaimNode) -> T,
    ) -> Option<T> {
        self.nodes.get_mut(&node).map(operation)
    }
}
