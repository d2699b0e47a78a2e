//! Bodies stream in both directions at bounded memory.

use std::time::Duration;

use bytes::Bytes;
use fescueway_testkit::BackendPlan;
use http::{HeaderMap, HeaderValue, Request};
use http_body::Frame;
use http_body_util::{BodyExt, channel::Channel};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::common::{SOON, TwoNodes, get, text};

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
    let address = nodes.entry.addresses().callers;
    let socket = TcpStream::connect(address).await.expect("the node listens");
    let (mut sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .expect("a handshake sends nothing");
    tokio::spawn(connection);
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
