//! Responses to callers, and how often backend servers run their requests.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fescueway_testkit::{BackendFault, BackendPlan, BackendStub};
use fescuewayd::DaemonSettings;
use http::{Request, Response};
use http_body_util::{BodyExt, channel::Channel};
use hyper::body::Incoming;
use tokio::{net::TcpStream, time::sleep};

use crate::common::{
    TwoNodes, announce, connect, get, header, plan, request, send, start_hosts, start_node,
    start_node_with, text, wait_until_targets_known,
};

const DEADLINE: Duration = Duration::from_secs(2);

/// Reads from which the entry learns the usual latency.
const BASELINE_READS: usize = 100;

/// Service time of a stalled backend server.
const STALL_TIME: Duration = Duration::from_mins(1);

/// Reads that are sent concurrently.
const CONCURRENT_READS: usize = 4;

#[tokio::test]
async fn a_refusal_has_a_retry_after_header() {
    let entry = start_node(&plan("windows", DEADLINE), &[]).await;
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
async fn fescueway_and_hop_by_hop_headers_of_callers_are_removed() {
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
    let echo = text(response).await;
    assert!(echo.contains("\"x-public\""), "{echo}");
    for name in ["fescueway-outcome", "fescueway-anything", "x-private"] {
        assert!(!echo.contains(name), "{name} in {echo}");
    }
}

#[tokio::test]
async fn a_booking_with_a_lost_response_is_unknown_and_ran_once() {
    let plan = plan("windows", DEADLINE);
    let entry = start_node(&plan, &[]).await;
    let mut backends = Vec::new();
    let mut hosts = Vec::new();
    for _ in 0..3 {
        let faulty = BackendPlan {
            fault: Some(BackendFault::DropResponses),
            ..BackendPlan::default()
        };
        let backend = BackendStub::start(faulty).await.expect("a free port");
        let host = start_node(&plan, &[entry.addresses().peers]).await;
        announce(&host, "windows", backend.address());
        backends.push(backend);
        hosts.push(host);
    }
    wait_until_targets_known(&entry, 3).await;

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
async fn a_read_with_a_lost_response_is_offered_elsewhere() {
    let plan = plan("windows", DEADLINE);
    let entry = start_node(&plan, &[]).await;
    let faulty = BackendPlan {
        fault: Some(BackendFault::DropResponses),
        ..BackendPlan::default()
    };
    let lossy = BackendStub::start(faulty).await.expect("a free port");
    let healthy = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    let lossy_host = start_node(&plan, &[entry.addresses().peers]).await;
    let healthy_host = start_node(&plan, &[entry.addresses().peers]).await;
    announce(&lossy_host, "windows", lossy.address());
    announce(&healthy_host, "windows", healthy.address());
    wait_until_targets_known(&entry, 2).await;

    // Concurrent reads, so that both targets receive some.
    let address = entry.addresses().callers;
    send_concurrent_reads(address, CONCURRENT_READS).await;
    assert!(lossy.tally().runs > 0);
}

#[tokio::test]
async fn a_booking_refused_by_a_closed_port_is_offered_elsewhere() {
    let plan = plan("windows", DEADLINE);
    let entry = start_node(&plan, &[]).await;
    let crashed = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    let healthy = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    let crashed_host = start_node(&plan, &[entry.addresses().peers]).await;
    let healthy_host = start_node(&plan, &[entry.addresses().peers]).await;
    announce(&crashed_host, "windows", crashed.address());
    announce(&healthy_host, "windows", healthy.address());
    wait_until_targets_known(&entry, 2).await;
    crashed.crash();
    // Until the port is closed, a connection still opens and is then cut. That leaves it unknown
    // whether the request ran.
    while TcpStream::connect(crashed.address()).await.is_ok() {
        sleep(Duration::from_millis(1)).await;
    }

    for _ in 0..10 {
        let booking = request("POST", "/windows", &[], "a booking");
        let response = send(entry.addresses().callers, booking).await;
        assert_eq!(response.status(), 200);
    }
    assert_eq!(healthy.tally().runs, 10);
}

#[tokio::test]
async fn closed_keep_alive_connections_lose_no_request() {
    let nodes = TwoNodes::start(
        DEADLINE,
        BackendPlan {
            fault: Some(BackendFault::CloseReusedConnections),
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
async fn a_truncated_response_is_never_complete() {
    let nodes = TwoNodes::start(
        DEADLINE,
        BackendPlan {
            fault: Some(BackendFault::TruncateResponses),
            ..BackendPlan::default()
        },
    )
    .await;
    for address in [nodes.entry.addresses(), nodes.host.addresses()] {
        let response = send(address.callers, get("/windows/download/300000")).await;
        assert_eq!(response.status(), 200);
        let read = response.into_body().collect().await;
        read.expect_err("the response was cut short");
    }
}

#[tokio::test]
async fn an_expired_deadline_is_answered_at_once() {
    let slow = BackendPlan {
        service_time: Duration::from_secs(30),
        ..BackendPlan::default()
    };
    let nodes = TwoNodes::start(DEADLINE, slow).await;
    let short_time_left = [("fescueway-time-left-ms", "200")];
    let start = std::time::Instant::now();
    let response = nodes
        .send(request("GET", "/windows", &short_time_left, ""))
        .await;
    assert_eq!(response.status(), 504);
    assert_eq!(header(&response, "fescueway-outcome"), "unknown");
    assert!(start.elapsed() < DEADLINE, "{:?}", start.elapsed());
}

#[tokio::test]
async fn a_read_that_takes_long_is_hedged() {
    let mut plan = plan("windows", 2 * STALL_TIME);
    // On a busy machine the baseline reads are hedged too, and would use up a smaller budget.
    let windows = Arc::make_mut(&mut plan).services.get_mut("windows");
    let windows = Arc::make_mut(windows.expect("the service"));
    windows.retry.budget_share = 1.0;
    let entry = start_node(&plan, &[]).await;
    let (_hosts, backends) = start_hosts(&plan, &entry, 2).await;
    let address = entry.addresses().callers;
    for _ in 0..BASELINE_READS {
        assert_eq!(send(address, get("/windows")).await.status(), 200);
    }
    // The backend server that the entry prefers, so that the next reads reach it.
    let preferred = backends.iter().max_by_key(|backend| backend.tally().runs);
    let slow = preferred.expect("two backend servers");
    slow.change(|plan| plan.service_time = STALL_TIME);
    let earlier_tally = slow.tally();
    let mut batches = 0;
    while slow.tally().runs == earlier_tally.runs {
        assert!(batches < 50, "no read reached the slow backend server");
        batches += 1;
        send_concurrent_reads(address, 2 * CONCURRENT_READS).await;
    }
    let finished = slow.tally().finished;
    assert_eq!(
        finished, earlier_tally.finished,
        "a read waited for the slow backend server"
    );
}

/// Sends reads concurrently; no response may be lost.
async fn send_concurrent_reads(address: SocketAddr, count: usize) {
    let reads: Vec<_> = (0..count)
        .map(|_| tokio::spawn(send(address, get("/windows"))))
        .collect();
    for read in reads {
        let response = read.await.expect("the task doesn't panic");
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

/// Sends a body without a content length, in `pieces` of 8 bytes.
async fn send_pieces(address: SocketAddr, method: &str, pieces: usize) -> Response<Incoming> {
    let mut sender = connect(address).await;
    let (mut body, channel) = Channel::<Bytes>::new(1);
    tokio::spawn(async move {
        for _ in 0..pieces {
            // The node closes the connection when the body exceeds the limit.
            let _ = body.send_data(Bytes::from_static(b"8 bytes.")).await;
            sleep(Duration::from_millis(20)).await;
        }
    });
    let request = Request::builder().method(method).uri("/windows");
    let request = request.header("host", "test");
    // hyper sends a GET body only with an explicit transfer encoding.
    let request = request.header("transfer-encoding", "chunked").body(channel);
    let response = sender.send_request(request.expect("a valid request"));
    response.await.expect("a response")
}

#[tokio::test]
async fn a_streamed_body_above_the_limit_is_no_failure_of_the_host() {
    let plan = plan("windows", DEADLINE);
    let limit = |settings: &mut DaemonSettings| settings.limits.body_bytes = 20;
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    let entry = start_node_with(&plan, &[], limit).await;
    let host = start_node_with(&plan, &[entry.addresses().peers], limit).await;
    announce(&host, "windows", backend.address());
    wait_until_targets_known(&entry, 1).await;
    // Through the entry, then directly at the host.
    for address in [entry.addresses().callers, host.addresses().callers] {
        for method in ["POST", "GET"] {
            let fits = send_pieces(address, method, 2).await;
            assert_eq!(fits.status(), 200);
            let echo = text(fits).await;
            assert!(echo.contains("\"body_bytes\":16"), "{method}: {echo}");
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
