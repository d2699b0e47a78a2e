//! Membership and configuration on real sockets: several nodes and a store in one process.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use fescueway_config::{ConfigSet, Document};
use fescueway_core::{DomainName, ServiceName, SiteName, TargetState};
use fescueway_platform::{KeyRange, StoreClient, StoreSettings};
use fescueway_proxy::BackendAnnouncement;
use fescueway_rollout::{ApplyOutcome, ApplyPlan, driver, store_keys};
use fescueway_testkit::{StoreFaults, StoreStub, own_loopback};
use fescuewayd::{Daemon, DaemonSettings};
use tokio::time::{Instant, sleep};

/// Within this time a configuration has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(9);

/// Within this time a drain has to be known at every entry.
const DRAIN_KNOWN: Duration = Duration::from_secs(2);

/// Time for what has no bound of its own.
const LONG: Duration = Duration::from_secs(20);

const TIME: Duration = Duration::from_secs(3);

async fn start(index: usize, seeds: &[SocketAddr], store: SocketAddr) -> Daemon {
    let domain = DomainName::new(format!("domain-{}", index % 3));
    let mut settings =
        DaemonSettings::on_loopback(SiteName::from("bala"), domain).with_ip(own_loopback());
    settings.seed_peers = seeds.to_vec();
    settings.store = vec![store];
    Daemon::start(settings).await.unwrap()
}

/// Nodes that know each other.
async fn start_all(count: usize, store: SocketAddr) -> Vec<Daemon> {
    let mut nodes: Vec<Daemon> = Vec::new();
    for index in 0..count {
        let seeds: Vec<_> = nodes
            .first()
            .map(|node| node.addresses().peers)
            .into_iter()
            .collect();
        nodes.push(start(index, &seeds, store).await);
    }
    within(LONG, "all nodes know each other", || {
        nodes
            .iter()
            .all(|node| node.board().facts().peers as usize == count - 1)
    })
    .await;
    nodes
}

async fn within(limit: Duration, what: &str, mut is_so: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_so() {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

fn client(store: &StoreStub) -> StoreClient {
    StoreClient::new(StoreSettings::try_from(vec![store.address()]).unwrap())
}

/// Puts a configuration with this deadline in force.
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
    match driver::apply(&client(store), plan, TIME).await {
        ApplyOutcome::Accepted(revision) => revision,
        other => panic!("not accepted: {other:?}"),
    }
}

async fn in_force(nodes: &[Daemon], revision: u64) {
    within(IN_FORCE, "the revision is in force", || {
        nodes
            .iter()
            .all(|node| node.board().facts().in_force == revision)
    })
    .await;
}

fn deadline(node: &Daemon) -> Duration {
    let plan = node.state().plan();
    plan.services[&ServiceName::from("bands")]
        .default_route
        .deadline
}

#[tokio::test]
async fn what_the_store_holds_is_in_force_at_every_node_and_reported() {
    let store = StoreStub::start().await.unwrap();
    let nodes = start_all(8, store.address()).await;
    for (revision, deadline_ms) in [(1, 1_500), (2, 2_500)] {
        assert_eq!(apply(&store, deadline_ms).await, revision);
        in_force(&nodes, revision).await;
        let expected = Duration::from_millis(deadline_ms);
        assert!(nodes.iter().all(|node| deadline(node) == expected));
    }
    let start = Instant::now();
    loop {
        let reports = driver::read_in_force(&client(&store), TIME).await.unwrap();
        let counted: u32 = reports.values().map(|report| report.nodes).sum();
        let is_whole = reports
            .values()
            .all(|report| report.lowest == 2 && report.unheard == 0);
        if reports.len() == 3 && counted == 8 && is_whole {
            break;
        }
        assert!(start.elapsed() < LONG, "{reports:?}");
        sleep(Duration::from_millis(100)).await;
    }
    // Else the report of a domain that is gone for good would stand there for ever.
    let range = KeyRange::Prefix(store_keys::IN_FORCE.to_owned());
    let reports = client(&store).range(&range, TIME).await.unwrap().values;
    assert!(reports.iter().all(|report| report.lease.is_some()));
}

#[tokio::test]
async fn a_drain_is_known_at_the_other_nodes_within_two_seconds() {
    let store = StoreStub::start().await.unwrap();
    let nodes = start_all(5, store.address()).await;
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
    let own = nodes[1].state().node();
    within(TIME, "the target is known", || {
        nodes.iter().all(|node| states(node).contains_key(&own))
    })
    .await;
    nodes[1].state().drain(&service);
    within(DRAIN_KNOWN, "the drain is known", || {
        nodes
            .iter()
            .all(|node| states(node)[&own] == TargetState::Draining)
    })
    .await;
    nodes[1].state().withdraw(&service);
    within(DRAIN_KNOWN, "the target is gone", || {
        nodes.iter().all(|node| states(node).is_empty())
    })
    .await;
}

#[tokio::test]
async fn a_node_that_starts_while_the_store_is_down_has_what_its_peers_have() {
    let store = StoreStub::start().await.unwrap();
    let mut nodes = start_all(4, store.address()).await;
    apply(&store, 1_500).await;
    in_force(&nodes, 1).await;
    store.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    let seed = nodes[2].addresses().peers;
    nodes.push(start(4, &[seed], store.address()).await);
    in_force(&nodes, 1).await;
    assert_eq!(deadline(&nodes[4]), Duration::from_millis(1_500));

    // When the store is back a new configuration gets through without a restart.
    store.set_faults(StoreFaults::default());
    assert_eq!(apply(&store, 2_500).await, 2);
    within(LONG, "the next revision is in force", || {
        nodes.iter().all(|node| node.board().facts().in_force == 2)
    })
    .await;
}
