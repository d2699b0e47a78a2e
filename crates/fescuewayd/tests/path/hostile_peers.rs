//! The peer port rejects malformed data, and the node continues to serve.

use std::time::Duration;

use bytes::Bytes;
use fescueway_core::RequestTerms;
use fescueway_testkit::BackendPlan;
use fescueway_wire::{
    AnswerHead, ControlKind, HeaderList, MAX_HEAD_BYTES, OfferHead, PREFIX_BYTES, StreamHead,
    WIRE_VERSION, decode_payload, decode_prefix, encode_frame,
};
use http::{HeaderMap, HeaderValue, Method, Request, uri::PathAndQuery};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::common::{TwoNodes, WAIT_TIMEOUT, get};

/// Opens a stream with `frame` as its first frame. Returns the status of the response.
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
    let response = timeout(WAIT_TIMEOUT, response).await.expect("in time");
    response.expect("a response").status().as_u16()
}

#[tokio::test]
async fn malformed_data_from_peers_is_rejected() {
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
    let mut remaining = Vec::new();
    // The node may close or reset the connection.
    let close_result = timeout(WAIT_TIMEOUT, socket.read_to_end(&mut remaining)).await;
    assert!(
        close_result.is_ok(),
        "the connection with malformed data stays open"
    );

    assert_eq!(nodes.send(get("/windows")).await.status(), 200);
}

/// The time limit of an offer is a number that another process states, like the slots of review/10.
#[tokio::test]
async fn offer_with_an_unbounded_time_limit_is_answered() {
    let nodes = TwoNodes::start(Duration::from_secs(2), BackendPlan::default()).await;
    let terms = RequestTerms {
        objective: Some(Duration::MAX),
        ..RequestTerms::new("windows".into(), Duration::MAX)
    };
    let head = StreamHead::Offer(Box::new(OfferHead {
        entry: nodes.entry.state().node(),
        host: nodes.host.state().node(),
        terms,
        method: Method::GET,
        target: PathAndQuery::from_static("/windows"),
        authority: HeaderValue::from_static("a.example"),
        headers: HeaderList::new(HeaderMap::new()),
        notice: None,
        is_body_held: false,
    }));
    let socket = TcpStream::connect(nodes.host.addresses().peers).await;
    let (sender, connection) = h2::client::handshake(socket.expect("a connection"))
        .await
        .expect("HTTP/2");
    tokio::spawn(connection);
    let mut sender = sender.ready().await.expect("a stream");
    let request = Request::post("http://fescueway/").body(()).expect("valid");
    let (response, mut stream) = sender.send_request(request, false).expect("a stream");
    let frame = encode_frame(&head).expect("a frame");
    stream
        .send_data(Bytes::from(frame), true)
        .expect("an open stream");
    let response = timeout(WAIT_TIMEOUT, response).await.expect("in time");
    let mut body = response.expect("a response").into_body();
    let first = timeout(WAIT_TIMEOUT, body.data()).await.expect("in time");
    let first = first.expect("a frame").expect("an open stream");
    let length = decode_prefix(&first, MAX_HEAD_BYTES).expect("a prefix");
    let payload = &first[PREFIX_BYTES..PREFIX_BYTES + length.expect("a whole prefix")];
    let answer = decode_payload::<AnswerHead>(payload).expect("an answer");
    assert!(matches!(answer, AnswerHead::Answered { .. }), "{answer:?}");
}

#[tokio::test]
async fn control_messages_reach_their_handlers() {
    let nodes = TwoNodes::start(Duration::from_secs(2), BackendPlan::default()).await;
    let controls = nodes.host.state().controls();
    controls.register(ControlKind::Claim, |_peer, mut body| async move {
        body.reverse();
        Ok(body)
    });
    let peers = nodes.entry.state().peers();
    let host = nodes.host.addresses().peers;
    let reply = peers
        .call(host, ControlKind::Claim, vec![1, 2, 3], WAIT_TIMEOUT)
        .await;
    assert_eq!(reply.expect("a handler"), vec![3, 2, 1]);
    let unhandled = peers
        .call(host, ControlKind::Suspect, Vec::new(), WAIT_TIMEOUT)
        .await;
    unhandled.expect_err("no handler of this kind");
}
