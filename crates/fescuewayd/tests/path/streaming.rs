//! Bodies stream in both directions at bounded memory.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use fescueway_testkit::{BackendPlan, BackendStub};
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body::Frame;
use http_body_util::{BodyExt, Empty, channel::Channel};
use hyper::{client::conn::http2, server::conn as server, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::common::{
    SOON, TwoNodes, announce, connect, eventually, get, header, knows_targets, node, node_with,
    plan, send, text,
};

const DEADLINE: Duration = Duration::from_secs(20);

/// Bytes of a large download.
const DOWNLOAD_BYTES: usize = 64 * 1_024 * 1_024;

/// Memory that a large download may take, for both nodes, caller and backend server together.
const MEMORY_BYTES: u64 = 24 * 1_024 * 1_024;

/// Memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("procfs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .expect("a figure")
        .parse::<u64>()
        .expect("a number")
        * 1_024
}

#[tokio::test]
async fn a_slow_reader_stalls_nobody_and_memory_stays_bounded() {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    // Nobody reads the first download, so its window fills up on the shared connection.
    let path = format!("/windows/download/{DOWNLOAD_BYTES}");
    let stalled = nodes.send(get(&path)).await;
    assert_eq!(stalled.status(), 200);
    let before = resident_bytes();

    let mut body = nodes.send(get(&path)).await.into_body();
    let mut count = 0;
    let mut peak = before;
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("a whole download");
        count += frame.data_ref().map_or(0, Bytes::len);
        peak = peak.max(resident_bytes());
    }
    assert_eq!(count, DOWNLOAD_BYTES);
    assert!(peak - before < MEMORY_BYTES, "{} bytes more", peak - before);
    assert_eq!(nodes.entry.state().peers().connected().len(), 1);
    drop(stalled);
}

#[tokio::test]
async fn a_body_waits_for_its_invitation() {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    let address = nodes.entry.addresses().callers;
    let mut socket = TcpStream::connect(address).await.expect("the node listens");
    let head = "POST /windows HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\nexpect: 100-continue\r\n\
                connection: close\r\n\r\n";
    socket
        .write_all(head.as_bytes())
        .await
        .expect("an open socket");
    let mut invitation = [0; 25];
    let reading = socket.read_exact(&mut invitation);
    timeout(SOON, reading)
        .await
        .expect("in time")
        .expect("bytes");
    assert_eq!(&invitation, b"HTTP/1.1 100 Continue\r\n\r\n");
    socket.write_all(b"hello").await.expect("an open socket");
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.contains("\"body_bytes\":5"), "{answer}");
}

#[tokio::test]
async fn a_refused_body_is_never_invited() {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    nodes.host.state().drain(&"windows".into());
    let address = nodes.entry.addresses().callers;
    let mut socket = TcpStream::connect(address).await.expect("the node listens");
    let head = "POST /windows HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\nexpect: 100-continue\r\n\
                \r\n";
    socket
        .write_all(head.as_bytes())
        .await
        .expect("an open socket");
    let mut answer = [0; 12];
    socket.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 503");
}

#[tokio::test]
async fn a_long_body_and_its_trailers_reach_the_backend_server() {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    let mut sender = connect(nodes.entry.addresses().callers).await;
    let (mut body, channel) = Channel::<Bytes>::new(1);
    let request = Request::post("/windows")
        .header("host", "a")
        .header("trailer", "x-trailer")
        .body(channel)
        .expect("a valid request");
    let sending = tokio::spawn(async move {
        for _ in 0..32 {
            let piece = Bytes::from(vec![b'.'; 32 * 1_024]);
            body.send(Frame::data(piece)).await.expect("a reader");
        }
        let mut trailers = HeaderMap::new();
        trailers.insert("x-trailer", HeaderValue::from_static("the end"));
        body.send(Frame::trailers(trailers))
            .await
            .expect("a reader");
    });
    let response = sender.send_request(request).await.expect("an answer");
    sending.await.expect("all sent");
    let seen = text(response).await;
    assert!(seen.contains("\"body_bytes\":1048576"), "{seen}");
    assert!(seen.contains("\"trailer\":\"the end\""), "{seen}");
}

#[tokio::test]
async fn a_caller_that_stops_reading_loses_its_slot() {
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    let node = node_with(&plan("windows", DEADLINE), &[], |settings| {
        settings.limits.body_idle = Duration::from_millis(300);
    })
    .await;
    announce(&node, "windows", backend.address());
    let path = format!("/windows/download/{DOWNLOAD_BYTES}");
    let unread = send(node.addresses().callers, get(&path)).await;
    assert_eq!(unread.status(), 200);
    eventually("the slot is free", || {
        let target = node.state().host_target(&"windows".into());
        target.is_some_and(|target| target.is_idle())
    })
    .await;
    drop(unread);
}

#[tokio::test]
async fn a_caller_that_stops_sending_is_told_so() {
    let nodes = TwoNodes::start_with(DEADLINE, BackendPlan::default(), |settings| {
        settings.limits.body_idle = Duration::from_millis(300);
        settings.limits.header_timeout = Duration::from_millis(300);
    })
    .await;
    let address = nodes.entry.addresses().callers;
    let half_head = "GET /windows HTTP/1.1\r\nhost: a\r\n";
    let half_body = "POST /windows HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf";
    for (sent, is_answered) in [(half_head, false), (half_body, true)] {
        let mut socket = TcpStream::connect(address).await.expect("the node listens");
        socket
            .write_all(sent.as_bytes())
            .await
            .expect("an open socket");
        let mut answer = String::new();
        let reading = socket.read_to_string(&mut answer);
        timeout(SOON, reading)
            .await
            .expect("in time")
            .expect("an end");
        assert!(
            !is_answered || answer.starts_with("HTTP/1.1 408"),
            "{answer}"
        );
    }
    assert_eq!(nodes.backend.tally().runs, 0);
}

/// A backend server that ends its answer with a trailer.
async fn start_trailing_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let service = service_fn(async |_request| Ok::<_, Infallible>(trailing_answer()));
            tokio::spawn(async move {
                let builder = server::http1::Builder::new();
                builder
                    .serve_connection(TokioIo::new(socket), service)
                    .await
            });
        }
    });
    address
}

/// An answer that ends with a trailer.
fn trailing_answer() -> Response<Channel<Bytes>> {
    let (mut body, channel) = Channel::<Bytes>::new(2);
    tokio::spawn(async move {
        let mut trailers = HeaderMap::new();
        trailers.insert("x-end", HeaderValue::from_static("whole"));
        let _ = body.send_data(Bytes::from_static(b"data")).await;
        let _ = body.send_trailers(trailers).await;
    });
    let mut response = Response::new(channel);
    let names = HeaderValue::from_static("x-end");
    response.headers_mut().insert("trailer", names);
    response
}

#[tokio::test]
async fn http2_callers_get_bodies_and_trailers() {
    let plan = plan("windows", DEADLINE);
    let entry = node(&plan, &[]).await;
    let host = node(&plan, &[entry.addresses().peers]).await;
    announce(&host, "windows", start_trailing_backend().await);
    knows_targets(&entry, 1).await;
    let address = entry.addresses().callers;
    let socket = TcpStream::connect(address).await.expect("the node listens");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(socket));
    let (mut sender, connection) = handshake.await.expect("HTTP/2");
    tokio::spawn(connection);
    let request = Request::get("http://a/windows").header("te", "trailers");
    let request = request.body(Empty::<Bytes>::new()).expect("valid");
    let response = sender.send_request(request).await.expect("an answer");
    assert_eq!(header(&response, "fescueway-outcome"), "ran");
    let body = response.into_body().collect().await.expect("a whole body");
    let trailers = body.trailers().cloned().unwrap_or_default();
    assert_eq!(body.to_bytes(), "data");
    assert_eq!(
        trailers.get("x-end").map(HeaderValue::as_bytes),
        Some(&b"whole"[..])
    );
}
