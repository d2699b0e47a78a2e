//! Bytes of strangers on the peer port are refused, and the node serves on.

use std::time::Duration;

use bytes::Bytes;
use fescueway_testkit::BackendPlan;
use fescueway_wire::{ControlKind, WIRE_VERSION};
use http::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::common::{SOON, TwoNodes, get};

/// Sends `frame` as the first of a stream; the status that comes back.
async fn open_stream(nodes: &TwoNodes, frame: &[u8]) -> u16 {
    let address = nodes.host.addresses().peers;
    let socket = TcpStream::connect(address).await.expect("the node listens");
    let (sender, connection) = h2::client::handshake(socket).await.expect("HTTP/2");
    tokio::spawn(connection);
    let mut sender = sender.ready().await.expect("a stream");
    let request = Request::post("http://fescueway/").body(()).expect("valid");
    let (response, mut stream) = sender.send_request(request, false).expect("a stream");
    stream
        .send_data(Bytes::copy_from_slice(frame), false)
        .expect("an open stream");
    let response = timeout(SOON, response).await.expect("in time");
    response.expect("an answer").status().as_u16()
}

#[tokio::test]
async fn bytes_of_strangers_are_refused() {
    let nodes = TwoNodes::start(Duration::from_secs(2), BackendPlan::default()).await;
    let other_version = [WIRE_VERSION + 1, 0, 0, 0, 1, 0];
    let oversize = [WIRE_VERSION, 0xff, 0xff, 0xff, 0xff];
    let garbage = [WIRE_VERSION, 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
    assert_eq!(open_stream(&nodes, &other_version).await, 400);
    assert_eq!(open_stream(&nodes, &oversize).await, 400);
    assert_eq!(open_stream(&nodes, &garbage).await, 400);

    let address = nodes.host.addresses().peers;
    let mut socket = TcpStream::connect(address).await.expect("the node listens");
    let noise = [0x5a; 4_096];
    socket.write_all(&noise).await.expect("an open socket");
    let mut rest = Vec::new();
    // Closed or reset: either way the node let go of it.
    let closing = timeout(SOON, socket.read_to_end(&mut rest)).await;
    assert!(closing.is_ok(), "the connection of a stranger stays open");

    assert_eq!(nodes.send(get("/windows")).await.status(), 200);
}

#[tokio::test]
async fn control_messages_find_their_handlers() {
    let nodes = TwoNodes::start(Duration::from_secs(2), BackendPlan::default()).await;
    let controls = nodes.host.state().controls();
    controls.register(ControlKind::Claim, |_peer, mut body| async move {
        body.reverse();
        Ok(body)
    });
    let peers = nodes.entry.state().peers();
    let host = nodes.host.addresses().peers;
    let answer = peers
        .call(host, ControlKind::Claim, vec![1, 2, 3], SOON)
        .await;
    assert_eq!(answer.expect("a handler"), vec![3, 2, 1]);
    let unheard = peers
        .call(host, ControlKind::Suspect, Vec::new(), SOON)
        .await;
    unheard.expect_err("no handler of this kind");
}
