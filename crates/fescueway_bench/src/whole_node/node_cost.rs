//! What control costs each node of a fleet, quiet and with a configuration that changes.

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
    thread_use::resident_bytes,
};

/// Time over which a quiet fleet is observed.
const QUIET: Duration = Duration::from_secs(20);

/// Changes that are made, at the target's rate.
const CHANGES: u64 = 6;

/// Time in which a fleet has to settle, and a change to be in force.
const PATIENCE: Duration = Duration::from_mins(2);

/// How often it is looked whether a change is in force.
const LOOK_PERIOD: Duration = Duration::from_millis(10);

/// Time that the operator's call of the store has.
const APPLY_TIME: Duration = Duration::from_secs(5);

/// Bytes of IP and UDP headers for each datagram.
const HEADER_BYTES: f64 = 28.0;

/// What control costs each node of one fleet.
#[derive(Clone, Debug)]
pub struct NodeCost {
    /// Nodes.
    pub nodes: usize,
    /// While nothing changes.
    pub quiet: NodeFigures,
    /// While the configuration changes as often as at the target.
    pub changing: NodeFigures,
    /// Bytes in use for each node, by the allocator's count.
    pub heap_bytes: f64,
    /// Resident bytes for each node.
    pub resident_bytes: f64,
    /// Time until all nodes knew each other, in seconds.
    pub settled_s: f64,
    /// Times until all had a change in force, sorted, in seconds.
    pub in_force_s: Vec<f64>,
    /// What fetching the latest change from a node takes.
    pub fetch: CallBytes,
}

/// Figures of one node for each second, on average.
#[derive(Clone, Copy, Debug)]
pub struct NodeFigures {
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
    /// Calls of the store.
    pub store_calls: f64,
    /// Bytes between node and store, both ways, without the headers of TCP and IP.
    pub store_bytes: f64,
}

/// Everything that was counted up to one moment.
#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Instant,
    fleet: FleetSample,
    store_calls: u64,
    store_bytes: u64,
}

impl NodeCost {
    /// Measures a fleet of `nodes`. Bytes in use are zero unless [`CountingAllocator`] is
    /// installed.
    ///
    /// # Panics
    ///
    /// When the fleet doesn't settle or a change does not get in force within two minutes.
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
        // News of the joins ends within some seconds.
        sleep(QUIET / 2);
        let before = Reading::take(&fleet, &store);
        sleep(QUIET);
        let after = Reading::take(&fleet, &store);
        let quiet = before.figures_until(&after, nodes);
        let in_force_s = change(&fleet, &store);
        let changing = after.figures_until(&Reading::take(&fleet, &store), nodes);
        let heap = CountingAllocator::live_bytes().saturating_sub(heap);
        Self {
            nodes,
            quiet,
            changing,
            heap_bytes: per_node(heap as u64),
            resident_bytes: per_node(resident_bytes().saturating_sub(resident)),
            settled_s,
            in_force_s,
            fetch: CallBytes::measure(fleet.peers()[0], CHANGES),
        }
    }
}

impl Reading {
    /// Reads everything now.
    fn take(fleet: &FleetThread, store: &StoreThread) -> Self {
        Self {
            at: Instant::now(),
            fleet: fleet.sample(),
            store_calls: store.calls(),
            store_bytes: store.bytes(),
        }
    }

    /// What one node did each second until `after`.
    fn figures_until(&self, after: &Self, nodes: usize) -> NodeFigures {
        let node_seconds = (after.at - self.at).as_secs_f64() * nodes as f64;
        let rate = |before: u64, after: u64| (after - before) as f64 / node_seconds;
        let (old, new) = (self.fleet.traffic, after.fleet.traffic);
        let sent = rate(old.sent, new.sent);
        let received = rate(old.received, new.received);
        let used = after.fleet.used.since(self.fleet.used);
        NodeFigures {
            core_share: used.processor.as_secs_f64() / node_seconds,
            sent,
            received,
            sent_bytes: rate(old.sent_bytes, new.sent_bytes) + sent * HEADER_BYTES,
            received_bytes: rate(old.received_bytes, new.received_bytes) + received * HEADER_BYTES,
            store_calls: rate(self.store_calls, after.store_calls),
            store_bytes: rate(self.store_bytes, after.store_bytes),
        }
    }
}

/// Changes the configuration at the target's rate; the times until each change was in force.
fn change(fleet: &FleetThread, store: &StoreThread) -> Vec<f64> {
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

/// Accepts a configuration of the target's services, one of which differs in each revision.
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
    let applying = driver::apply(&client, plan, APPLY_TIME);
    let outcome = runtime.expect("a runtime").block_on(applying);
    assert_eq!(outcome, ApplyOutcome::Accepted(revision));
}

/// Waits until something is so.
fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_so() {
        assert!(
            start.elapsed() < PATIENCE,
            "not within {PATIENCE:?}: {what}"
        );
        sleep(LOOK_PERIOD);
    }
}
