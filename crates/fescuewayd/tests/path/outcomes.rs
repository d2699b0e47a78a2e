//! What callers hear of their requests, and how often backend servers run them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fescueway_testkit::{BackendFault, BackendPlan, BackendStub};
use fescuewayd::DaemonSettings;
use http::{Request, Response};
use http_body_util::{BodyExt, channel::Channel};
use hyper::body::Incoming;
use tokio::{net::TcpStream, time::sleep};

use crate::common::{
    TwoNodes, announce, connect, get, header, hosts, knows_targets, node, node_with, plan, request,
    send, text,
};

const DEADLINE: Duration = Duration::from_secs(2);

/// Reads from which the entry learns what is usual.
const USUAL_READS: usize = 100;

/// Time that a stalled backend server takes.
const STALL: Duration = Duration::from_mins(1);

/// Reads that are sent at once.
const READERS: usize = 4;

#[tokio::test]
async fn a_refusal_tells_when_to_come_back() {
    let entry = node(&plan("windows", DEADLINE), &[]).await;
    let response = send(entry.addresses().callers, get("/windows")).await;
    assert_eq!(response.status(), 503);
    assert_eq!(header(&response, "fescueway-outcome"), "not-run");
    assert_eq!(header(&response, "fescueway-reason"), "no-target");
    let seconds: u64 = header(&response, "retry-after")
        .parse()
        .expect("whole seconds");
    assert!(seconds >= 1);
}

#[tokio::test]
async fn headers_of_ours_from_outside_do_not_pass() {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    let forged = [
        ("fescueway-outcome", "ran"),
        ("fescueway-call", "0000-1"),
        ("fescueway-anything", "x"),
        ("connection", "x-private"),
        ("x-private", "x"),
        ("x-public", "x"),
    ];
    let response = nodes.send(request("GET", "/windows", &forged, "")).await;
    let seen = text(response).await;
    assert!(seen.contains("\"x-public\""), "{seen}");
    for name in ["fescueway-outcome", "fescueway-anything", "x-private"] {
        assert!(!seen.contains(name), "{name} in {seen}");
    }
}

#[tokio::test]
async fn a_booking_whose_answer_is_lost_is_unknown_and_ran_once() {
    let plan = plan("windows", DEADLINE);
    let entry = node(&plan, &[]).await;
    let mut backends = Vec::new();
    let mut hosts = Vec::new();
    for _ in 0..3 {
        let faulty = BackendPlan {
            fault: Some(BackendFault::LoseAnswers),
            ..BackendPlan::default()
        };
        let backend = BackendStub::start(faulty).await.expect("a port");
        let host = node(&plan, &[entry.addresses().peers]).await;
        announce(&host, "windows", backend.address());
        backends.push(backend);
        hosts.push(host);
    }
    knows_targets(&entry, 3).await;

    let response = send(
        entry.addresses().callers,
        request("POST", "/windows", &[], "b"),
    )
    .await;
    assert_eq!(response.status(), 502);
    assert_eq!(header(&response, "fescueway-outcome"), "unknown");
    let runs: u64 = backends.iter().map(|backend| backend.tally().runs).sum();
    assert_eq!(runs, 1);
}

#[tokio::test]
async fn a_read_whose_answer_is_lost_is_offered_elsewhere() {
    let plan = plan("windows", DEADLINE);
    let entry = node(&plan, &[]).await;
    let faulty = BackendPlan {
        fault: Some(BackendFault::LoseAnswers),
        ..BackendPlan::default()
    };
    let lossy = BackendStub::start(faulty).await.expect("a port");
    let sound = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    let lossy_host = node(&plan, &[entry.addresses().peers]).await;
    let sound_host = node(&plan, &[entry.addresses().peers]).await;
    announce(&lossy_host, "windows", lossy.address());
    announce(&sound_host, "windows", sound.address());
    knows_targets(&entry, 2).await;

    // Many at once, so that both targets get some.
    let address = entry.addresses().callers;
    read_at_once(address, READERS).await;
    assert!(lossy.tally().runs > 0);
}

#[tokio::test]
async fn a_backend_server_that_is_gone_proves_that_nothing_ran() {
    let plan = plan("windows", DEADLINE);
    let entry = node(&plan, &[]).await;
    let gone = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    let sound = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    let gone_host = node(&plan, &[entry.addresses().peers]).await;
    let sound_host = node(&plan, &[entry.addresses().peers]).await;
    announce(&gone_host, "windows", gone.address());
    announce(&sound_host, "windows", sound.address());
    knows_targets(&entry, 2).await;
    gone.crash();
    // Until its port is closed, a connection opens and is then cut: that is no proof.
    while TcpStream::connect(gone.address()).await.is_ok() {
        sleep(Duration::from_millis(1)).await;
    }

    for _ in 0..10 {
        let booking = request("POST", "/windows", &[], "a booking");
        let response = send(entry.addresses().callers, booking).await;
        assert_eq!(response.status(), 200);
    }
    assert_eq!(sound.tally().runs, 10);
}

#[tokio::test]
async fn kept_alive_connections_that_close_lose_no_request() {
    let nodes = TwoNodes::start(
        DEADLINE,
        BackendPlan {
            fault: Some(BackendFault::CloseReused),
            ..BackendPlan::default()
        },
    )
    .await;
    for _ in 0..5 {
        let booking = nodes
            .send(request("POST", "/windows", &[], "a booking"))
            .await;
        assert_eq!(booking.status(), 200);
        let read = nodes.send(get("/windows")).await;
        assert_eq!(read.status(), 200);
    }
}

#[tokio::test]
async fn an_answer_cut_short_is_never_whole() {
    let nodes = TwoNodes::start(
        DEADLINE,
        BackendPlan {
            fault: Some(BackendFault::CutShort),
            ..BackendPlan::default()
        },
    )
    .await;
    for address in [nodes.entry.addresses(), nodes.host.addresses()] {
        let response = send(address.callers, get("/windows/download/300000")).await;
        assert_eq!(response.status(), 200);
        let read = response.into_body().collect().await;
        read.expect_err("the answer was cut");
    }
}

#[tokio::test]
async fn a_deadline_that_passes_is_answered_at_once() {
    let slow = BackendPlan {
        service_time: Duration::from_secs(30),
        ..BackendPlan::default()
    };
    let nodes = TwoNodes::start(DEADLINE, slow).await;
    let hurried = [("fescueway-time-left-ms", "200")];
    let start = std::time::Instant::now();
    let response = nodes.send(request("GET", "/windows", &hurried, "")).await;
    assert_eq!(response.status(), 504);
    assert_eq!(header(&response, "fescueway-outcome"), "unknown");
    assert!(start.elapsed() < DEADLINE, "{:?}", start.elapsed());
}

#[tokio::test]
async fn a_read_that_takes_long_is_hedged() {
    let mut plan = plan("windows", 2 * STALL);
    // On a busy machine usual reads are hedged too, and would use up a smaller budget.
    let windows = Arc::make_mut(&mut plan).services.get_mut("windows");
    let windows = Arc::make_mut(windows.expect("the service"));
    windows.retry.budget_share = 1.0;
    let entry = node(&plan, &[]).await;
    let (_hosts, backends) = hosts(&plan, &entry, 2).await;
    let address = entry.addresses().callers;
    for _ in 0..USUAL_READS {
        assert_eq!(send(address, get("/windows")).await.status(), 200);
    }
    // The one that the entry prefers by now, so that the next reads meet it.
    let preferred = backends.iter().max_by_key(|backend| backend.tally().runs);
    let slow = preferred.expect("two backend servers");
    slow.change(|plan| plan.service_time = STALL);
    let before = slow.tally();
    let mut batches = 0;
    while slow.tally().runs == before.runs {
        assert!(batches < 50, "no read met the slow one");
        batches += 1;
        read_at_once(address, 2 * READERS).await;
    }
    let finished = slow.tally().finished;
    assert_eq!(finished, before.finished, "a read waited for the slow one");
}

/// Sends reads at once; none may be lost.
async fn read_at_once(address: SocketAddr, count: usize) {
    let reads: Vec<_> = (0..count)
        .map(|_| tokio::spawn(send(address, get("/windows"))))
        .collect();
    for read in reads {
        let response = read.await.expect("no panic");
        let outcome = header(&response, "fescueway-outcome");
        assert!(matches!(outcome, "ran" | "not-run"), "{outcome}");
    }
}

#[tokio::test]
async fn a_body_above_the_limit_is_not_run() {
    let nodes = TwoNodes::start_with(DEADLINE, BackendPlan::default(), |settings| {
        settings.limits.body_bytes = 8;
    })
    .await;
    let fits = nodes
        .send(request("POST", "/windows", &[], "8 bytes."))
        .await;
    assert_eq!(fits.status(), 200);
    let exceeds = nodes
        .send(request("POST", "/windows", &[], "9 bytes.."))
        .await;
    assert_eq!(exceeds.status(), 413);
    assert_eq!(header(&exceeds, "fescueway-outcome"), "not-run");
    assert_eq!(nodes.backend.tally().runs, 1);
}

/// Sends a body of unknown length, in `pieces` of 8 bytes.
async fn send_pieces(address: SocketAddr, method: &str, pieces: usize) -> Response<Incoming> {
    let mut sender = connect(address).await;
    let (mut body, channel) = Channel::<Bytes>::new(1);
    tokio::spawn(async move {
        for _ in 0..pieces {
            // A node that has heard enough closes the connection.
            let _ = body.send_data(Bytes::from_static(b"8 bytes.")).await;
            sleep(Duration::from_millis(20)).await;
        }
    });
    let request = Request::builder().method(method).uri("/windows");
    let request = request.header("host", "test");
    // For a GET the library wants to be told.
    let request = request.header("transfer-encoding", "chunked").body(channel);
    let answering = sender.send_request(request.expect("a valid request"));
    answering.await.expect("an answer")
}

#[tokio::test]
async fn a_streamed_body_that_passes_the_limit_is_too_large_and_blames_no_host() {
    let plan = plan("windows", DEADLINE);
    let limit = |settings: &mut DaemonSettings| settings.limits.body_bytes = 20;
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    let entry = node_with(&plan, &[], limit).await;
    let host = node_with(&plan, &[entry.addresses().peers], limit).await;
    announce(&host, "windows", backend.address());
    knows_targets(&entry, 1).await;
    // Through the other node, and at the backend server's own.
    for address in [entry.addresses().callers, host.addresses().callers] {
        for method in ["POST", "GET"] {
            let fits = send_pieces(address, method, 2).await;
            assert_eq!(fits.status(), 200);
            let seen = text(fits).await;
            assert!(seen.contains("\"body_bytes\":16"), "{method}: {seen}");
            let exceeds = send_pieces(address, method, 3).await;
            assert_eq!(exceeds.status(), 413, "{method}");
            assert_eq!(header(&exceeds, "fescueway-outcome"), "unknown", "{method}");
        }
    }
    let target = host.state().host_target(&"windows".into());
    assert_eq!(
        target.map(|target| target.report().failed_permille),
        Some(0)
    );
    assert_eq!(backend.tally().runs, 4);
}
