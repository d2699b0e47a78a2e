//! The command line with a running node.

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

/// The shipped configuration of the site `wales`.
fn wales_plan() -> Arc<SitePlan> {
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

/// Starts a node with a backend server of `cap-bands` on a separate thread, where both run until the
/// process ends.
fn start_node() -> DaemonAddresses {
    let (sender, addresses) = channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async move {
            let backend = BackendStub::start(BackendPlan::default())
                .await
                .expect("a port");
            let mut settings = DaemonSettings::on_loopback("wales".into(), "wales-1".into())
                .with_ip(unique_loopback());
            settings.plan = Some(wales_plan());
            let daemon = Daemon::start(settings).await.expect("ports");
            daemon.state().announce(&BackendAnnouncement::new(
                ServiceName::new("cap-bands"),
                backend.address(),
                12,
                200,
            ));
            sender
                .send(daemon.addresses())
                .expect("the test thread is waiting");
            pending::<()>().await;
        });
    });
    addresses.recv().expect("a node")
}

#[test]
fn operators_see_and_drain_a_running_node() {
    let node = start_node();
    let operators = node.operators.to_string();
    let run = |command: &[&str]| {
        let run = fescueway(&[command, &["--node", &operators]].concat());
        assert_eq!(run.status, 0, "{run:?}");
        run.stdout
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

    // A target announced while the node drains is draining too.
    let announcement = r#"{ "service": "timetables", "address": "127.0.0.1:1", "slots": 1,
        "connections": 1 }"#;
    let answer = post(node.backends, "/v1/announce", announcement);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let targets = run(&["targets"]);
    assert_eq!(targets.matches(" draining ").count(), 2, "{targets}");

    // One of two requests missed the objective, whose availability is 99.9%: burn is 0.5 / 0.001.
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
fn operators_and_the_backend_server_do_not_end_each_others_drain() {
    let node = start_node();
    let operators = node.operators.to_string();
    let run_command = |command| {
        let run = fescueway(&[command, "--node", &operators]);
        assert_eq!(run.status, 0, "{run:?}");
    };
    let post_from_backend = |path| {
        let answer = post(node.backends, path, r#"{ "service": "cap-bands" }"#);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    };
    let is_served = || {
        let answer = get(node.callers, "bands.pwll.example", "/bands/7");
        answer.starts_with("HTTP/1.1 200")
    };
    assert!(is_served());
    run_command("drain");
    post_from_backend("/v1/undrain");
    assert!(
        !is_served(),
        "the backend server ended the operators' drain"
    );
    post_from_backend("/v1/drain");
    run_command("undrain");
    assert!(!is_served(), "operators ended the backend server's drain");
    post_from_backend("/v1/undrain");
    assert!(is_served());
}

/// Starts an HTTP server that answers with `body` in batches, each once `batch_size` connections are
/// open. Returns its address, and a flag that is set if more than that were ever open at once.
fn batch_server(body: String, batch_size: usize) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let is_exceeded = Arc::new(AtomicBool::new(false));
    let exceeded = Arc::clone(&is_exceeded);
    thread::spawn(move || {
        loop {
            let calls = (0..batch_size).map(|_call| listener.accept().expect("a call").0);
            let calls: Vec<_> = calls.collect();
            thread::sleep(Duration::from_millis(200));
            listener.set_nonblocking(true).expect("a socket");
            if listener.accept().is_ok() {
                exceeded.store(true, Ordering::Relaxed);
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
    (address, is_exceeded)
}

#[test]
fn burn_queries_a_bounded_number_of_nodes_at_once() {
    const MAX_CONCURRENT_NODES: usize = 32;
    let body = serde_json::to_string(&BurnReport::default()).expect("JSON");
    let (node, is_exceeded) = batch_server(body, MAX_CONCURRENT_NODES);
    let node = node.to_string();
    let nodes = vec![["--node", &node]; 2 * MAX_CONCURRENT_NODES].concat();
    let run = fescueway(&[&["burn"], &*nodes].concat());
    assert_eq!(run.status, 0, "{run:?}");
    assert!(
        !is_exceeded.load(Ordering::Relaxed),
        "more than {MAX_CONCURRENT_NODES}"
    );
}
