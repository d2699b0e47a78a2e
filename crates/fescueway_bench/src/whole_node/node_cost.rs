//! Control-plane cost per node of a fleet, idle and during configuration changes.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use fescueway_config::{ConfigSet, Document};
use fescueway_platform::{StoreClient, StoreSettings};
use fescueway_rollout::{ApplyOutcome, ApplyPlan, driver};
use tokio::runtime::Builder;

use super::{CallBytes, FleetSample, FleetThread, StoreThread};
use crate::{
    fleet::{CountingAllocator, FleetRequirements},
    thread_usage::resident_bytes,
};

/// Observation time of an idle fleet.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Number of configuration changes, made at the required rate.
const CHANGES: u64 = 6;

/// Timeout for a fleet to settle and for a change to be in force.
const WAIT_TIMEOUT: Duration = Duration::from_mins(2);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout of the operator's store calls.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of IP and UDP headers per datagram.
const HEADER_BYTES: f64 = 28.0;

/// Control-plane cost per node of one fleet.
#[derive(Clone, Debug)]
pub struct NodeCost {
    /// Number of nodes.
    pub nodes: usize,
    /// Rates while nothing changes.
    pub idle: NodeRates,
    /// Rates while the configuration changes as often as required.
    pub changing: NodeRates,
    /// Heap bytes per node, as counted by the allocator.
    pub heap_bytes: f64,
    /// Resident bytes per node.
    pub resident_bytes: f64,
    /// Time until all nodes knew each other, in seconds.
    pub settled_s: f64,
    /// Times until all nodes had a change in force, sorted, in seconds.
    pub in_force_s: Vec<f64>,
    /// Bytes to fetch the latest change from a node.
    pub fetch: CallBytes,
}

/// Mean rates of one node, per second.
#[derive(Clone, Copy, Debug)]
pub struct NodeRates {
    /// Share of a core.
    pub core_share: f64,
    /// Datagrams sent.
    pub sent: f64,
    /// Datagrams received.
    pub received: f64,
    /// Bytes of datagrams sent, headers included.
    pub sent_bytes: f64,
    /// Bytes of datagrams received, headers included.
    pub received_bytes: f64,
    /// Store calls.
    pub store_calls: f64,
    /// Bytes between node and store, both ways, without TCP and IP headers.
    pub store_bytes: f64,
}

/// Counters at one point in time.
#[derive(Clone, Copy, Debug)]
struct CostSnapshot {
    at: Instant,
    fleet: FleetSample,
    store_calls: u64,
    store_bytes: u64,
}

impl NodeCost {
    /// Measures a fleet of `nodes` nodes. Heap bytes are zero unless [`CountingAllocator`] is
    /// installed.
    ///
    /// # Panics
    ///
    /// Panics if the fleet does not settle or a change is not in force within two minutes.
    #[must_use]
    pub fn measure(nodes: usize) -> Self {
        let store = StoreThread::start();
        let (heap, resident) = (CountingAllocator::live_bytes(), resident_bytes());
        let start = Instant::now();
        let fleet = FleetThread::start(nodes, store.address());
        wait_until("the nodes know each other", || fleet.is_settled());
        let settled_s = start.elapsed().as_secs_f64();
        apply(&store, 1);
        wait_until("the first revision is in force", || fleet.has_in_force(1));
        let per_node = |bytes: u64| bytes as f64 / nodes as f64;
        // The joins finish propagating within some seconds.
        sleep(IDLE_TIME / 2);
        let before = CostSnapshot::take(&fleet, &store);
        sleep(IDLE_TIME);
        let after = CostSnapshot::take(&fleet, &store);
        let idle = before.rates_until(&after, nodes);
        let in_force_s = measure_changes(&fleet, &store);
        let changing = after.rates_until(&CostSnapshot::take(&fleet, &store), nodes);
        let heap = CountingAllocator::live_bytes().saturating_sub(heap);
        Self {
            nodes,
            idle,
            changing,
            heap_bytes: per_node(heap as u64),
            resident_bytes: per_node(resident_bytes().saturating_sub(resident)),
            settled_s,
            in_force_s,
            fetch: CallBytes::measure(fleet.peers()[0], CHANGES),
        }
    }
}

impl CostSnapshot {
    /// Reads all counters.
    fn take(fleet: &FleetThread, store: &StoreThread) -> Self {
        Self {
            at: Instant::now(),
            fleet: fleet.sample(),
            store_calls: store.calls(),
            store_bytes: store.bytes(),
        }
    }

    /// Returns the mean rates of one node between this snapshot and `after`.
    fn rates_until(&self, after: &Self, nodes: usize) -> NodeRates {
        let node_seconds = (after.at - self.at).as_secs_f64() * nodes as f64;
        let rate = |before: u64, after: u64| (after - before) as f64 / node_seconds;
        let (earlier, later) = (self.fleet.traffic, after.fleet.traffic);
        let sent = rate(earlier.sent, later.sent);
        let received = rate(earlier.received, later.received);
        let usage = after.fleet.usage.since(self.fleet.usage);
        NodeRates {
            core_share: usage.processor.as_secs_f64() / node_seconds,
            sent,
            received,
            sent_bytes: rate(earlier.sent_bytes, later.sent_bytes) + sent * HEADER_BYTES,
            received_bytes: rate(earlier.received_bytes, later.received_bytes)
                + received * HEADER_BYTES,
            store_calls: rate(self.store_calls, after.store_calls),
            store_bytes: rate(self.store_bytes, after.store_bytes),
        }
    }
}

/// Changes the configuration at the required rate. Returns the times until each change was in
/// force, sorted, in seconds.
fn measure_changes(fleet: &FleetThread, store: &StoreThread) -> Vec<f64> {
    let period = Duration::from_secs_f64(1.0 / FleetRequirements::config_changes_per_s());
    let mut times = Vec::new();
    for revision in 2..2 + CHANGES {
        let start = Instant::now();
        apply(store, revision);
        wait_until("a revision is in force", || fleet.has_in_force(revision));
        times.push(start.elapsed().as_secs_f64());
        sleep(period.saturating_sub(start.elapsed()));
    }
    times.sort_by(f64::total_cmp);
    times
}

/// Applies a configuration with the required number of services, one of which differs in each
/// revision.
fn apply(store: &StoreThread, revision: u64) {
    let services = (0..FleetRequirements::SERVICES).map(|service| {
        let deadline_ms = 1_000 + if service == 0 { revision } else { 0 };
        format!(
            r#""service-{service}": {{ "path_prefixes": ["/service-{service}"],
                "default_route": {{ "deadline_ms": {deadline_ms} }} }}"#
        )
    });
    let services = services.collect::<Vec<_>>().join(",");
    let text = format!(r#"{{ "services": {{ {services} }} }}"#);
    let base = Document::parse("base.json", &text).expect("valid JSON");
    let overlay = Document::parse("site.json", r#"{ "site": "site" }"#).expect("valid JSON");
    let config = ConfigSet::check(&base, &[overlay]).expect("a valid configuration");
    let plan = ApplyPlan {
        values: config.service_values(),
        operator: "anna".into(),
        operation: format!("operation-{revision}").into(),
        unix_time_s: 0,
        note: "".into(),
        base: None,
    };
    let settings = StoreSettings::try_from(vec![store.operator_address()]).expect("an address");
    let client = StoreClient::new(settings);
    let runtime = Builder::new_current_thread().enable_all().build();
    let applying = driver::apply(&client, plan, APPLY_TIMEOUT);
    let outcome = runtime.expect("a runtime").block_on(applying);
    assert_eq!(outcome, ApplyOutcome::Accepted(revision));
}

/// Waits until `condition` holds.
fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "not within {WAIT_TIMEOUT:?}: {what}"
        );
        sleep(POLL_INTERVAL);
    }
}
