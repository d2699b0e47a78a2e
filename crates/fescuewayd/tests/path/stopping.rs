//! A graceful shutdown and a drain complete all requests in flight.

use std::time::Duration;

use bytes::Bytes;
use fescueway_core::{NodeId, RequestTerms};
use fescueway_testkit::BackendPlan;
use fescueway_wire::{HeaderList, OfferHead, StreamHead, encode_frame};
use http::{HeaderValue, Method, Request, uri::PathAndQuery};
use http_body_util::BodyExt;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::common::{
    TwoNodes, WAIT_TIMEOUT, get, header, plan, request, send, start_node_with, wait_until,
};

const DEADLINE: Duration = Duration::from_secs(5);

/// Time after which requests that were just sent are in flight.
const START_DELAY: Duration = Duration::from_millis(100);

/// The client preface of an HTTP/2 connection with an empty SETTINGS frame.
const HTTP2_PREFACE: &[u8] =
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";

/// Initial flow-control window of a slow entry, in bytes.
const SMALL_WINDOW_BYTES: u32 = 1_024;

fn slow_plan() -> BackendPlan {
    BackendPlan {
        service_time: Duration::from_millis(400),
        ..BackendPlan::default()
    }
}

#[tokio::test]
async fn a_stopping_host_completes_requests_in_flight() {
    let nodes = TwoNodes::start(DEADLINE, slow_plan()).await;
    let address = nodes.entry.addresses().callers;
    let booking = tokio::spawn(send(address, request("POST", "/windows", &[], "b")));
    let download = tokio::spawn(send(address, get("/windows/download/3000000")));
    sleep(START_DELAY).await;
    let stopping = tokio::spawn(nodes.host.stop());

    assert_eq!(booking.await.expect("the task doesn't panic").status(), 200);
    let download = download.await.expect("the task doesn't panic").into_body();
    // Starts to read only while the host waits to stop.
    sleep(START_DELAY).await;
    let bytes = download
        .collect()
        .await
        .expect("a complete download")
        .to_bytes();
    assert_eq!(bytes.len(), 3_000_000);
    stopping.await.expect("the task doesn't panic");

    let refused = send(address, get("/windows")).await;
    assert_eq!(header(&refused, "fescueway-outcome"), "not-run");
}

#[tokio::test]
async fn a_stopping_entry_completes_requests_in_flight() {
    let nodes = TwoNodes::start(DEADLINE, slow_plan()).await;
    let address = nodes.entry.addresses().callers;
    let booking = tokio::spawn(send(address, request("POST", "/windows", &[], "b")));
    sleep(START_DELAY).await;
    let stopping = tokio::spawn(nodes.entry.stop());
    assert_eq!(booking.await.expect("the task doesn't panic").status(), 200);
    stopping.await.expect("the task doesn't panic");
}

#[tokio::test]
async fn a_drained_target_refuses_new_requests_until_undrained() {
    let nodes = TwoNodes::start(DEADLINE, slow_plan()).await;
    let address = nodes.entry.addresses().callers;
    let running = tokio::spawn(send(address, request("POST", "/windows", &[], "b")));
    sleep(START_DELAY).await;
    nodes.host.state().drain(&"windows".into());
    let refused = send(address, get("/windows")).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(running.await.expect("the task doesn't panic").status(), 200);
    assert_eq!(nodes.backend.tally().runs, 1);

    nodes.host.state().undrain(&"windows".into());
    let mut status = refused.status();
    for _ in 0..50 {
        status = send(address, get("/windows")).await.status();
        if status == 200 {
            break;
        }
        sleep(START_DELAY).await;
    }
    assert_eq!(status, 200);
}

#[tokio::test]
async fn a_stopping_host_waits_for_an_entry_that_reads_slowly() {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    let address = nodes.host.addresses().peers;
    let socket = TcpStream::connect(address).await.expect("the node listens");
    let mut builder = h2::client::Builder::new();
    let handshake = builder
        .initial_window_size(SMALL_WINDOW_BYTES)
        .handshake::<_, Bytes>(socket);
    let (sender, connection) = handshake.await.expect("HTTP/2");
    tokio::spawn(connection);
    let mut sender = sender.ready().await.expect("a stream");
    let opening = Request::post("http://fescueway/").body(()).expect("valid");
    let (response, mut stream) = sender.send_request(opening, false).expect("a stream");
    let head = StreamHead::Offer(Box::new(OfferHead {
        entry: NodeId(1),
        host: nodes.host.state().node(),
        terms: RequestTerms::new("windows".into(), DEADLINE),
        method: Method::GET,
        target: PathAndQuery::from_static("/windows/download/3000"),
        authority: HeaderValue::from_static("a"),
        headers: HeaderList::default(),
        notice: None,
        is_body_held: false,
    }));
    let frame = encode_frame(&head).expect("a small head");
    stream
        .send_data(frame.into(), true)
        .expect("an open stream");
    let mut body = response.await.expect("a response").into_body();
    let mut count = body.data().await.expect("data").expect("data").len();
    let windows = "windows".into();
    wait_until("the backend server is done", || {
        let target = nodes.host.state().host_target(&windows);
        target.is_some_and(|target| target.is_idle())
    })
    .await;

    let stopping = tokio::spawn(nodes.host.stop());
    sleep(4 * START_DELAY).await;
    let _ = body.flow_control().release_capacity(count);
    while let Some(data) = body.data().await {
        let length = data.expect("a complete download").len();
        let _ = body.flow_control().release_capacity(length);
        count += length;
    }
    assert!(count > 3_000, "{count} bytes with the head");
    stopping.await.expect("the task doesn't panic");
}

#[tokio::test]
async fn a_stop_does_not_wait_for_unresponsive_connections_without_a_request() {
    let node = start_node_with(&plan("windows", DEADLINE), &[], |settings| {
        settings.stop_timeout = 6 * WAIT_TIMEOUT;
    })
    .await;
    let callers = node.addresses().callers;
    let peers = node.addresses().peers;
    // Two connections without any data, and two that never respond to GOAWAY.
    let mut idle_sockets = Vec::new();
    for (address, opening) in [
        (callers, HTTP2_PREFACE),
        (callers, b""),
        (peers, HTTP2_PREFACE),
        (peers, b""),
    ] {
        let mut socket = TcpStream::connect(address).await.expect("the node listens");
        socket.write_all(opening).await.expect("an open socket");
        idle_sockets.push(socket);
    }
    wait_until("all are connected", || {
        node.state().peer_connections() == 2 && node.state().caller_connections() == 2
    })
    .await;
    timeout(WAIT_TIMEOUT, node.stop())
        .await
        .expect("nothing is in flight");
}
