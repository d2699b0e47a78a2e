//! Rollout of a configuration from `fescueway apply` to running nodes.

use std::{future::pending, net::SocketAddr, sync::mpsc::channel, thread};

use fescueway_testkit::{StoreStub, unique_loopback};
use fescuewayd::{Daemon, DaemonAddresses, DaemonSettings};
use serde_json::Value;
use tokio::runtime::Builder;

use crate::support::{fescueway, get};

/// Addresses of a store and of the nodes that use it.
struct Fleet {
    store: SocketAddr,
    nodes: Vec<DaemonAddresses>,
}

/// Starts a store and a node for each entry of `domains` on a separate thread, where they run until
/// the process ends. The nodes start without a configuration.
fn start_fleet(domains: &'static [&'static str]) -> Fleet {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async move {
            let store = StoreStub::start().await.expect("a port");
            let mut daemons = Vec::new();
            for domain in domains {
                let mut settings = DaemonSettings::on_loopback("wales".into(), (*domain).into())
                    .with_ip(unique_loopback());
                settings.store = vec![store.address()];
                let peers = daemons
                    .iter()
                    .map(|daemon: &Daemon| daemon.addresses().peers);
                settings.seed_peers = peers.collect();
                daemons.push(Daemon::start(settings).await.expect("ports"));
            }
            let nodes = daemons.iter().map(Daemon::addresses).collect();
            let store = store.address();
            sender
                .send(Fleet { store, nodes })
                .expect("the test thread is waiting");
            pending::<()>().await;
        });
    });
    receiver.recv().expect("a fleet")
}

#[test]
fn apply_with_wait_returns_when_all_nodes_run_the_revision() {
    let fleet = start_fleet(&["wales-1", "wales-2", "wales-2"]);
    let store = fleet.store.to_string();
    let base = "configs/pwll/base.json";
    let overlay = "configs/pwll/wales.json";
    let apply = ["apply", "--store", &store, "--wait", "--timeout", "30"];
    let run = fescueway(&[&apply[..], &[base, overlay]].concat());
    assert_eq!(run.status, 0, "{run:?}");
    assert!(run.stdout.contains("in force at all 3 nodes"), "{run:?}");

    let mut status = vec!["status", "--json", "--store", &store];
    let addresses: Vec<_> = fleet
        .nodes
        .iter()
        .map(|node| node.operators.to_string())
        .collect();
    for address in &addresses {
        status.extend(["--node", address]);
    }
    let run = fescueway(&status);
    assert_eq!(run.status, 0, "{run:?}");
    let report: Value = serde_json::from_str(&run.stdout).expect("JSON");
    for node in report["nodes"].as_array().expect("nodes") {
        assert_eq!(node["status"]["in_force"], 1, "{report}");
    }
    assert_eq!(
        report["fleet"]["domains"]
            .as_object()
            .expect("domains")
            .len(),
        2
    );

    let metrics = get(fleet.nodes[0].operators, "node", "/metrics");
    for line in ["fescueway_config_revision 1", "fescueway_nodes 2"] {
        assert!(
            metrics.lines().any(|found| found == line),
            "{line} is not in\n{metrics}"
        );
    }
    for counter in [
        r#"fescueway_gossip_bytes_total{direction="sent"} "#,
        r#"fescueway_store_calls_total{answered="true",kind="range"} "#,
    ] {
        let count = metrics.lines().find_map(|line| line.strip_prefix(counter));
        assert!(
            count.is_some_and(|count| count != "0"),
            "{counter} in\n{metrics}"
        );
    }
}
