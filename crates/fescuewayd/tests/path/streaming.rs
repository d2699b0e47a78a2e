//! Bodies are streamed in both directions with bounded memory.

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
    TwoNodes, WAIT_TIMEOUT, announce, connect, get, header, plan, send, start_node,
    start_node_with, text, wait_until, wait_until_targets_known,
};

const DEADLINE: Duration = Duration::from_secs(20);

/// Bytes of a large download.
const DOWNLOAD_BYTES: usize = 64 * 1_024 * 1_024;

/// Memory that a large download may use: both nodes, the caller and the backend server together.
const MEMORY_BYTES: u64 = 24 * 1_024 * 1_024;

/// Resident memory of this process in bytes.
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
async fn a_stalled_download_blocks_no_other_and_memory_stays_bounded() {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    // The first download isn't read, so its flow-control window on the shared connection fills up.
    let path = format!("/windows/download/{DOWNLOAD_BYTES}");
    let stalled = nodes.send(get(&path)).await;
    assert_eq!(stalled.status(), 200);
    let initial_bytes = resident_bytes();

    let mut body = nodes.send(get(&path)).await.into_body();
    let mut count = 0;
    let mut peak_bytes = initial_bytes;
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("a complete download");
        count += frame.data_ref().map_or(0, Bytes::len);
        peak_bytes = peak_bytes.max(resident_bytes());
    }
    assert_eq!(count, DOWNLOAD_BYTES);
    assert!(
        peak_bytes - initial_bytes < MEMORY_BYTES,
        "{} bytes more",
        peak_bytes - initial_bytes
    );
    assert_eq!(nodes.entry.state().peers().connected().len(), 1);
    drop(stalled);
}

#[tokio::test]
async fn an_expected_100_continue_precedes_the_body() {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    let address = nodes.entry.addresses().callers;
    let mut socket = TcpStream::connect(address).await.expect("the node listens");
    let head = "POST /windows HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\nexpect: 100-continue\r\n\
                connection: close\r\n\r\n";
    socket
        .write_all(head.as_bytes())
        .await
        .expect("an open socket");
    let mut interim_response = [0; 25];
    let reading = socket.read_exact(&mut interim_response);
    timeout(WAIT_TIMEOUT, reading)
        .await
        .expect("in time")
        .expect("bytes");
    assert_eq!(&interim_response, b"HTTP/1.1 100 Continue\r\n\r\n");
    socket.write_all(b"hello").await.expect("an open socket");
    let mut response = String::new();
    socket
        .read_to_string(&mut response)
        .await
        .expect("a response");
    assert!(response.contains("\"body_bytes\":5"), "{response}");
}

#[tokio::test]
async fn a_refused_request_gets_no_100_continue() {
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
    let mut response = [0; 12];
    socket.read_exact(&mut response).await.expect("a response");
    assert_eq!(&response, b"HTTP/1.1 503");
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
            let chunk = Bytes::from(vec![b'.'; 32 * 1_024]);
            body.send(Frame::data(chunk)).await.expect("a reader");
        }
        let mut trailers = HeaderMap::new();
        trailers.insert("x-trailer", HeaderValue::from_static("the end"));
        body.send(Frame::trailers(trailers))
            .await
            .expect("a reader");
    });
    let response = sender.send_request(request).await.expect("a response");
    sending.await.expect("the whole body is sent");
    let echo = text(response).await;
    assert!(echo.contains("\"body_bytes\":1048576"), "{echo}");
    assert!(echo.contains("\"trailer\":\"the end\""), "{echo}");
}

#[tokio::test]
async fn a_caller_that_stops_reading_frees_its_slot() {
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    let node = start_node_with(&plan("windows", DEADLINE), &[], |settings| {
        settings.limits.body_idle = Duration::from_millis(300);
    })
    .await;
    announce(&node, "windows", backend.address());
    let path = format!("/windows/download/{DOWNLOAD_BYTES}");
    let unread_response = send(node.addresses().callers, get(&path)).await;
    assert_eq!(unread_response.status(), 200);
    wait_until("the slot is free", || {
        let target = node.state().host_target(&"windows".into());
        target.is_some_and(|target| target.is_idle())
    })
    .await;
    drop(unread_response);
}

#[tokio::test]
async fn a_caller_that_stops_sending_times_out() {
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
        let mut response = String::new();
        let reading = socket.read_to_string(&mut response);
        timeout(WAIT_TIMEOUT, reading)
            .await
            .expect("in time")
            .expect("the node closes the connection");
        assert!(
            !is_answered || response.starts_with("HTTP/1.1 408"),
            "{response}"
        );
    }
    assert_eq!(nodes.backend.tally().runs, 0);
}

/// Starts a backend server whose responses end with a trailer.
async fn start_backend_with_trailer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let service = service_fn(async |_request| Ok::<_, Infallible>(response_with_trailer()));
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

/// A response that ends with a trailer.
fn response_with_trailer() -> Response<Channel<Bytes>> {
    let (mut body, channel) = Channel::<Bytes>::new(2);
    tokio::spawn(async move {
        let mut trailers = HeaderMap::new();
        trailers.insert("x-end", HeaderValue::from_static("whole"));
        let _ = body.send_data(Bytes::from_static(b"data")).await;
        let _ = body.send_trailers(trailers).await;
    });
    let mut response = Response::new(channel);
    let trailer_names = HeaderValue::from_static("x-end");
    response.headers_mut().insert("trailer", trailer_names);
    response
}

#[tokio::test]
async fn http2_callers_get_bodies_and_trailers() {
    let plan = plan("windows", DEADLINE);
    let entry = start_node(&plan, &[]).await;
    let host = start_node(&plan, &[entry.addresses().peers]).await;
    announce(&host, "windows", start_backend_with_trailer().await);
    wait_until_targets_known(&entry, 1).await;
    let address = entry.addresses().callers;
    let socket = TcpStream::connect(address).await.expect("the node listens");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(socket));
    let (mut sender, connection) = handshake.await.expect("HTTP/2");
    tokio::spawn(connection);
    let request = Request::get("http://a/windows").header("te", "trailers");
    let request = request.body(Empty::<Bytes>::new()).expect("valid");
    let response = sender.send_request(request).await.expect("a response");
    assert_eq!(header(&response, "fescueway-outcome"), "ran");
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    let trailers = body.trailers().cloned().unwrap_or_default();
    assert_eq!(body.to_bytes(), "data");
    assert_eq!(
        trailers.get("x-end").map(HeaderValue::as_bytes),
        Some(&b"whole"[..])
    );
}
