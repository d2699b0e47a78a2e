//! Membership and configuration over real sockets: several nodes and a store in one process.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use fescueway_config::{ConfigSet, Document};
use fescueway_core::{DomainName, ServiceName, SiteName, TargetState};
use fescueway_platform::{KeyRange, StoreClient, StoreSettings};
use fescueway_proxy::BackendAnnouncement;
use fescueway_rollout::{ApplyOutcome, ApplyPlan, driver, store_keys};
use fescueway_testkit::{StoreFaults, StoreStub, unique_loopback};
use fescuewayd::{Daemon, DaemonSettings};
use tokio::time::{Instant, sleep};

/// Time within which a configuration must be in force at every node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(9);

/// Time within which every entry must know of a drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of waits without a bound of their own.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of store calls, and of the wait for an announced target.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

async fn start_node(index: usize, seeds: &[SocketAddr], store: SocketAddr) -> Daemon {
    let domain = DomainName::new(format!("domain-{}", index % 3));
    let mut settings =
        DaemonSettings::on_loopback(SiteName::from("bala"), domain).with_ip(unique_loopback());
    settings.seed_peers = seeds.to_vec();
    settings.store = vec![store];
    Daemon::start(settings).await.unwrap()
}

/// Starts nodes and waits until they know each other.
async fn start_nodes(count: usize, store: SocketAddr) -> Vec<Daemon> {
    let mut nodes: Vec<Daemon> = Vec::new();
    for index in 0..count {
        let seeds: Vec<_> = nodes
            .first()
            .map(|node| node.addresses().peers)
            .into_iter()
            .collect();
        nodes.push(start_node(index, &seeds, store).await);
    }
    wait_until(WAIT_TIMEOUT, "all nodes know each other", || {
        nodes
            .iter()
            .all(|node| node.board().facts().peers as usize == count - 1)
    })
    .await;
    nodes
}

async fn wait_until(limit: Duration, description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < limit,
            "not within {limit:?}: {description}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

fn store_client(store: &StoreStub) -> StoreClient {
    StoreClient::new(StoreSettings::try_from(vec![store.address()]).unwrap())
}

/// Applies a configuration with this deadline to the store. Returns its revision.
async fn apply(store: &StoreStub, deadline_ms: u64) -> u64 {
    let text = format!(
        r#"{{ "services": {{ "bands": {{ "path_prefixes": ["/bands"],
            "default_route": {{ "deadline_ms": {deadline_ms} }} }} }} }}"#
    );
    let base = Document::parse("base.json", &text).unwrap();
    let overlay = Document::parse("bala.json", r#"{ "site": "bala" }"#).unwrap();
    let config = ConfigSet::check(&base, &[overlay]).unwrap();
    let plan = ApplyPlan {
        values: config.service_values(),
        operator: "anna".into(),
        operation: format!("operation-{deadline_ms}").into(),
        unix_time_s: 0,
        note: "".into(),
        base: None,
    };
    match driver::apply(&store_client(store), plan, CALL_TIMEOUT).await {
        ApplyOutcome::Accepted(revision) => revision,
        other => panic!("not accepted: {other:?}"),
    }
}

async fn wait_until_in_force(nodes: &[Daemon], revision: u64) {
    wait_until(IN_FORCE_TIMEOUT, "the revision is in force", || {
        nodes
            .iter()
            .all(|node| node.board().facts().in_force == revision)
    })
    .await;
}

fn route_deadline(node: &Daemon) -> Duration {
    let plan = node.state().plan();
    plan.services[&ServiceName::from("bands")]
        .default_route
        .deadline
}

#[tokio::test]
async fn the_stored_configuration_is_in_force_at_every_node_and_reported() {
    let store = StoreStub::start().await.unwrap();
    let nodes = start_nodes(8, store.address()).await;
    for (revision, deadline_ms) in [(1, 1_500), (2, 2_500)] {
        assert_eq!(apply(&store, deadline_ms).await, revision);
        wait_until_in_force(&nodes, revision).await;
        let expected = Duration::from_millis(deadline_ms);
        assert!(nodes.iter().all(|node| route_deadline(node) == expected));
    }
    let start = Instant::now();
    loop {
        let reports = driver::read_in_force(&store_client(&store), CALL_TIMEOUT)
            .await
            .unwrap();
        let node_count: u32 = reports.values().map(|report| report.nodes).sum();
        let is_complete = reports
            .values()
            .all(|report| report.lowest == 2 && report.unheard == 0);
        if reports.len() == 3 && node_count == 8 && is_complete {
            break;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "{reports:?}");
        sleep(Duration::from_millis(100)).await;
    }
    // Without a lease, the report of a domain that is gone for good would remain forever.
    let range = KeyRange::Prefix(store_keys::IN_FORCE.to_owned());
    let reports = store_client(&store)
        .range(&range, CALL_TIMEOUT)
        .await
        .unwrap()
        .values;
    assert!(reports.iter().all(|report| report.lease.is_some()));
}

#[tokio::test]
async fn a_drain_is_known_at_the_other_nodes_within_two_seconds() {
    let store = StoreStub::start().await.unwrap();
    let nodes = start_nodes(5, store.address()).await;
    let service = ServiceName::from("bands");
    nodes[1].state().announce(&BackendAnnouncement::new(
        service.clone(),
        ([127, 0, 0, 1], 9).into(),
        10,
        50,
    ));
    let states = |node: &Daemon| {
        let targets = node.state().routes().targets();
        let states = targets
            .iter()
            .map(|target| (target.record.node, target.record.state));
        states.collect::<BTreeMap<_, _>>()
    };
    let draining_node = nodes[1].state().node();
    wait_until(CALL_TIMEOUT, "the target is known", || {
        nodes
            .iter()
            .all(|node| states(node).contains_key(&draining_node))
    })
    .await;
    nodes[1].state().drain(&service);
    wait_until(DRAIN_TIMEOUT, "the drain is known", || {
        nodes
            .iter()
            .all(|node| states(node)[&draining_node] == TargetState::Draining)
    })
    .await;
    nodes[1].state().withdraw(&service);
    wait_until(DRAIN_TIMEOUT, "the target is gone", || {
        nodes.iter().all(|node| states(node).is_empty())
    })
    .await;
}

#[tokio::test]
async fn a_node_that_starts_while_the_store_is_down_has_what_its_peers_have() {
    let store = StoreStub::start().await.unwrap();
    let mut nodes = start_nodes(4, store.address()).await;
    apply(&store, 1_500).await;
    wait_until_in_force(&nodes, 1).await;
    store.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    let seed = nodes[2].addresses().peers;
    nodes.push(start_node(4, &[seed], store.address()).await);
    wait_until_in_force(&nodes, 1).await;
    assert_eq!(route_deadline(&nodes[4]), Duration::from_millis(1_500));

    // Once the store is available again, the nodes apply a new configuration without a restart.
    store.set_faults(StoreFaults::default());
    assert_eq!(apply(&store, 2_500).await, 2);
    wait_until(WAIT_TIMEOUT, "the next revision is in force", || {
        nodes.iter().all(|node| node.board().facts().in_force == 2)
    })
    .await;
}
