//! The command line against a running node.

use std::{
    future::pending,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::channel,
    },
    thread,
    time::Duration,
};

use fescueway_config::{ConfigSet, Document, SitePlan};
use fescueway_core::ServiceName;
use fescueway_proxy::BackendAnnouncement;
use fescueway_telemetry::BurnReport;
use fescueway_testkit::{BackendPlan, BackendStub, unique_loopback};
use fescuewayd::{Daemon, DaemonAddresses, DaemonSettings};
use tokio::runtime::Builder;

use crate::support::{fescueway, get, post};

/// The shipped configuration of Wales.
fn wales() -> Arc<SitePlan> {
    let document = |file: &str, text: &str| Document::parse(file, text).expect("JSON");
    let base = document(
        "base.json",
        include_str!("../../../../configs/pwll/base.json"),
    );
    let overlay = document(
        "wales.json",
        include_str!("../../../../configs/pwll/wales.json"),
    );
    let config = ConfigSet::check(&base, &[overlay]).expect("valid");
    Arc::new(config.sites()["wales"].clone())
}

/// Starts a node with a backend server of `cap-bands` on a thread of its own, where both run until
/// the process ends.
fn node() -> DaemonAddresses {
    let (sender, addresses) = channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async move {
            let backend = BackendStub::start(BackendPlan::default())
                .await
                .expect("a port");
            let mut settings =
                DaemonSettings::on_loopback("wales".into(), "wales-1".into()).at(unique_loopback());
            settings.plan = Some(wales());
            let daemon = Daemon::start(settings).await.expect("ports");
            daemon.state().announce(&BackendAnnouncement::new(
                ServiceName::new("cap-bands"),
                backend.address(),
                12,
                200,
            ));
            sender.send(daemon.addresses()).expect("a test that waits");
            pending::<()>().await;
        });
    });
    addresses.recv().expect("a node")
}

#[test]
fn operators_see_and_drain_a_running_node() {
    let node = node();
    let operators = node.operators.to_string();
    let run = |command: &[&str]| {
        let run = fescueway(&[command, &["--node", &operators]].concat());
        assert_eq!(run.status, 0, "{run:?}");
        run.out
    };
    let look_up = || get(node.callers, "bands.pwll.example", "/bands/7");

    let answer = look_up();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let targets = run(&["targets"]);
    assert!(
        targets.contains("cap-bands") && targets.contains("wales-1"),
        "{targets}"
    );

    assert!(run(&["drain", "--wait"]).contains("is drained"));
    assert!(run(&["status"]).contains("draining"));
    let answer = look_up();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("fescueway-outcome: not-run"), "{answer}");

    // Who announces itself while the node drains waits for the end of it.
    let announcement = r#"{ "service": "timetables", "address": "127.0.0.1:1", "slots": 1,
        "connections": 1 }"#;
    let answer = post(node.backends, "/v1/announce", announcement);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let targets = run(&["targets"]);
    assert_eq!(targets.matches(" draining ").count(), 2, "{targets}");

    // One request of two missed its objective of 99.9%: 0.5 / 0.001.
    let burn = run(&["burn"]);
    let row = burn
        .lines()
        .find(|line| line.contains("cap-bands"))
        .expect("a row");
    assert!(row.contains("500.00"), "{burn}");
    let metrics = get(node.operators, "node", "/metrics");
    for line in [
        r#"fescueway_objective_requests_total{kept="false",service="cap-bands"} 1"#,
        r#"fescueway_objective_requests_total{kept="true",service="cap-bands"} 1"#,
        r#"fescueway_probe_budget{service="cap-bands"} 0.02"#,
    ] {
        assert!(metrics.contains(line), "{line} is not in\n{metrics}");
    }

    run(&["undrain"]);
    let answer = look_up();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test]
fn neither_operators_nor_the_backend_server_end_the_drain_of_the_other() {
    let node = node();
    let operators = node.operators.to_string();
    let order = |command| {
        let run = fescueway(&[command, "--node", &operators]);
        assert_eq!(run.status, 0, "{run:?}");
    };
    let ask = |path| {
        let answer = post(node.backends, path, r#"{ "service": "cap-bands" }"#);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    };
    let is_served = || {
        let answer = get(node.callers, "bands.pwll.example", "/bands/7");
        answer.starts_with("HTTP/1.1 200")
    };
    assert!(is_served());
    order("drain");
    ask("/v1/undrain");
    assert!(
        !is_served(),
        "the backend server ended the operators' drain"
    );
    ask("/v1/drain");
    order("undrain");
    assert!(!is_served(), "operators ended the backend server's drain");
    ask("/v1/undrain");
    assert!(is_served());
}

/// Answers requests with `body`, but only once `at_once` of them wait. Returns its address, and
/// whether more than that ever waited.
fn crowd_node(body: String, at_once: usize) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let is_crowded = Arc::new(AtomicBool::new(false));
    let crowded = Arc::clone(&is_crowded);
    thread::spawn(move || {
        loop {
            let calls = (0..at_once).map(|_call| listener.accept().expect("a call").0);
            let calls: Vec<_> = calls.collect();
            thread::sleep(Duration::from_millis(200));
            listener.set_nonblocking(true).expect("a socket");
            if listener.accept().is_ok() {
                crowded.store(true, Ordering::Relaxed);
            }
            listener.set_nonblocking(false).expect("a socket");
            for mut call in calls {
                let mut head = [0; 1_024];
                let _read = call.read(&mut head).expect("a request");
                let length = body.len();
                let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
                call.write_all(answer.as_bytes()).expect("an open socket");
            }
        }
    });
    (address, is_crowded)
}

#[test]
fn burn_asks_many_nodes_at_once_but_not_all() {
    const AT_ONCE: usize = 32;
    let body = serde_json::to_string(&BurnReport::default()).expect("JSON");
    let (node, is_crowded) = crowd_node(body, AT_ONCE);
    let node = node.to_string();
    let nodes = vec![["--node", &node]; 2 * AT_ONCE].concat();
    let run = fescueway(&[&["burn"], &*nodes].concat());
    assert_eq!(run.status, 0, "{run:?}");
    assert!(!is_crowded.load(Ordering::Relaxed), "more than {AT_ONCE}");
}
