//! Answers whose status is none of a final answer, at each point where a status is received.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use fescueway_core::{LoadReport, MonoTime, NodeId, Outcome, TargetRecord, TargetState};
use fescueway_testkit::unique_loopback;
use fescueway_wire::{AnswerHead, HeaderList, encode_frame};
use fescuewayd::Daemon;
use h2::server::{self, SendResponse};
use http::{HeaderMap, Response, StatusCode};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};

use crate::{
    common::{
        WAIT_TIMEOUT, announce, get, header, plan, request, send, start_node, wait_until,
        wait_until_targets_known,
    },
    raw_backend::{BadAnswer, RawBackend},
};

const DEADLINE: Duration = Duration::from_secs(4);

const BAD: &str = "/windows/bad";

/// Starts an entry and a host beside a backend server with these answers.
async fn start_nodes(answer: BadAnswer) -> (Daemon, Daemon, RawBackend) {
    let plan = plan("windows", DEADLINE);
    let backend = RawBackend::start(answer).await;
    let entry = start_node(&plan, &[]).await;
    let host = start_node(&plan, &[entry.addresses().peers]).await;
    announce(&host, "windows", backend.address());
    wait_until_targets_known(&entry, 1).await;
    (entry, host, backend)
}

/// Sends a read and a booking through the entry and directly to the host. Each must be answered with
/// 502 before the deadline, as one that may have run, and release its slot and its connection.
async fn check_answer(what: &str, answer: BadAnswer) {
    for (is_direct, method) in [
        (false, "GET"),
        (false, "POST"),
        (true, "GET"),
        (true, "POST"),
    ] {
        let (entry, host, backend) = start_nodes(answer.clone()).await;
        let node = if is_direct { &host } else { &entry };
        let address = node.addresses().callers;
        // Leaves a connection that the next read may use.
        assert_eq!(send(address, get("/windows")).await.status(), 200);
        let what = format!("{what}, {method}, direct: {is_direct}");
        let start = Instant::now();
        let response = send(address, request(method, BAD, &[], "")).await;
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY, "{what}");
        assert_eq!(header(&response, "fescueway-outcome"), "unknown", "{what}");
        assert!(start.elapsed() < DEADLINE, "{what}: {:?}", start.elapsed());
        assert!(backend.bad_answers() > 0, "{what}");
        if method == "POST" {
            assert_eq!(backend.bad_answers(), 1, "{what}: ran twice");
        }
        wait_until(&format!("{what}: its connection is closed"), || {
            backend.open_bad_connections() == 0
        })
        .await;
        wait_until(&format!("{what}: its slot is free"), || {
            let target = host.state().host_target(&"windows".into());
            target.expect("a target").is_idle()
        })
        .await;
        assert!(!backend.is_reused(), "{what}: the connection was reused");
    }
}

fn once(status: &str) -> BadAnswer {
    let length = "content-length: 0\r\n\r\n";
    BadAnswer::Once(format!("HTTP/1.1 {status} Odd\r\n{length}"))
}

#[tokio::test]
async fn a_status_below_100_is_a_failure() {
    for status in ["000", "001", "099"] {
        check_answer(status, once(status)).await;
    }
}

#[tokio::test]
async fn a_status_of_600_or_more_is_a_failure() {
    for status in ["600", "700", "999"] {
        check_answer(status, once(status)).await;
    }
}

#[tokio::test]
async fn a_status_that_is_no_number_of_three_digits_is_a_failure() {
    for status in ["abc", "2x0", "20", "2000", "-20", "+20", ""] {
        check_answer(status, once(status)).await;
    }
}

#[tokio::test]
async fn an_informational_answer_is_no_final_one() {
    check_answer("101", once("101")).await;
    // The server sends it in place of the final answer and closes the connection only when asked to.
    let upgrade = "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n";
    check_answer("upgrade", BadAnswer::Once(upgrade.into())).await;
}

#[tokio::test]
async fn informational_answers_before_the_final_one_are_skipped() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n\
                HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (entry, _host, _backend) = start_nodes(BadAnswer::Once(text.into())).await;
    let response = send(entry.addresses().callers, get(BAD)).await;
    assert_eq!(response.status(), StatusCode::OK);
}

#[tokio::test]
async fn informational_answers_without_end_are_a_failure() {
    let head = |status: &str| format!("HTTP/1.1 {status} Odd\r\n\r\n");
    let slow = Duration::from_millis(50);
    check_answer("100 slow", BadAnswer::Endless(head("100"), slow)).await;
    check_answer("103 slow", BadAnswer::Endless(head("103"), slow)).await;
    let many = head("102").repeat(500);
    check_answer("102 fast", BadAnswer::Endless(many, Duration::ZERO)).await;
}

#[tokio::test]
async fn informational_answers_at_long_intervals_end_at_the_deadline() {
    let head = "HTTP/1.1 102 Processing\r\n\r\n".to_owned();
    let answer = BadAnswer::Endless(head, Duration::from_secs(1));
    for method in ["GET", "POST"] {
        let (entry, host, backend) = start_nodes(answer.clone()).await;
        let start = Instant::now();
        let response = send(entry.addresses().callers, request(method, BAD, &[], "")).await;
        assert!(response.status().is_server_error());
        assert_eq!(header(&response, "fescueway-outcome"), "unknown");
        let limit = DEADLINE + Duration::from_millis(500);
        assert!(start.elapsed() < limit, "{:?}", start.elapsed());
        wait_until("its connection is closed", || {
            backend.open_bad_connections() == 0
        })
        .await;
        wait_until("its slot is free", || {
            let target = host.state().host_target(&"windows".into());
            target.expect("a target").is_idle()
        })
        .await;
    }
}

#[tokio::test]
async fn a_caller_of_http_2_gets_502_too() {
    for status in ["099", "101", "600", "abc"] {
        let (entry, host, _backend) = start_nodes(once(status)).await;
        for node in [&entry, &host] {
            let socket = TcpStream::connect(node.addresses().callers).await;
            let socket = socket.expect("the node listens");
            let (sender, connection) = h2::client::handshake(socket).await.expect("HTTP/2");
            tokio::spawn(connection);
            let mut sender = sender.ready().await.expect("a stream");
            let uri = format!("http://test{BAD}");
            let request = http::Request::get(uri).body(()).expect("valid");
            let (response, _stream) = sender.send_request(request, true).expect("a stream");
            let response = timeout(WAIT_TIMEOUT, response).await.expect("in time");
            assert_eq!(response.expect("a response").status(), 502, "{status}");
        }
    }
}

/// How a host that isn't one of ours answers an offer.
#[derive(Clone, Copy, Debug)]
enum HostAnswer {
    /// With an answer of the backend server that has this status.
    Answered(u16),
    /// With this HTTP status of the stream.
    Stream(u16),
    /// With informational answers of the stream, without end.
    Informational,
}

/// Answers one offer.
async fn answer_offer(mut responder: SendResponse<Bytes>, answer: HostAnswer) {
    let response = |status| {
        let mut response = Response::new(());
        *response.status_mut() = StatusCode::from_u16(status).expect("three digits");
        response
    };
    match answer {
        HostAnswer::Answered(status) => {
            let head = AnswerHead::Answered {
                status,
                headers: HeaderList::new(HeaderMap::new()),
                outcome: Outcome::Ran,
                load: LoadReport::default(),
            };
            let frame = encode_frame(&head).expect("a frame");
            let stream = responder.send_response(response(200), false);
            let sent = stream.expect("open").send_data(frame.into(), true);
            sent.expect("an open stream");
        }
        HostAnswer::Stream(status) => {
            let sent = responder.send_response(response(status), true);
            sent.expect("an open stream");
        }
        HostAnswer::Informational => {
            while responder.send_informational(response(103)).is_ok() {
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Starts a host that answers each offer like this. Returns its address.
async fn start_host(answer: HostAnswer) -> SocketAddr {
    let listener = TcpListener::bind((unique_loopback(), 0))
        .await
        .expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut connection = server::handshake(socket).await.expect("HTTP/2");
                while let Some(Ok((_request, responder))) = connection.accept().await {
                    tokio::spawn(answer_offer(responder, answer));
                }
            });
        }
    });
    address
}

/// Sends a request to an entry whose only target is beside such a host. Returns the answer's status and
/// outcome.
async fn answer_of_host(answer: HostAnswer, method: &str, deadline: Duration) -> (u16, String) {
    let entry = start_node(&plan("windows", deadline), &[]).await;
    let record = TargetRecord {
        node: NodeId(77),
        service: "windows".into(),
        peer_address: start_host(answer).await,
        domain: "a".into(),
        slots: 10,
        connections: 10,
        state: TargetState::Serving,
    };
    let routes = entry.state().routes();
    routes.set_target(MonoTime::ZERO, &"test".into(), &record);
    let response = send(entry.addresses().callers, request(method, BAD, &[], "")).await;
    let outcome = header(&response, "fescueway-outcome").to_owned();
    (response.status().as_u16(), outcome)
}

#[tokio::test]
async fn an_invalid_status_from_a_host_is_a_lost_answer() {
    let statuses = [0, 99, 100, 101, 199, 600, 700, 999, 1_000, u16::MAX];
    let answered = statuses.map(HostAnswer::Answered);
    let streams = [201, 302, 600, 999].map(HostAnswer::Stream);
    for answer in answered.into_iter().chain(streams) {
        for method in ["GET", "POST"] {
            let ended = answer_of_host(answer, method, DEADLINE).await;
            assert_eq!(ended, (502, "unknown".to_owned()), "{answer:?}, {method}");
        }
    }
    // A host rejects with these what it can't read, and then ran nothing.
    let rejected = answer_of_host(HostAnswer::Stream(400), "POST", DEADLINE).await;
    assert_eq!(rejected, (503, "not-run".to_owned()));
}

#[tokio::test]
async fn informational_answers_of_a_host_end_at_the_deadline() {
    let deadline = Duration::from_secs(1);
    for method in ["GET", "POST"] {
        let answering = answer_of_host(HostAnswer::Informational, method, deadline);
        let (status, outcome) = timeout(2 * deadline, answering).await.expect("in time");
        assert!((502..=504).contains(&status), "{status}");
        assert_ne!(status, 503);
        assert_eq!(outcome, "unknown");
    }
}
