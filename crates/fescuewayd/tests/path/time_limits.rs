//! Time limits of requests and of their answers.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::ServiceName;
use fescueway_testkit::{BackendPlan, BackendStub};
use http_body_util::BodyExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use crate::common::{
    announce, announce_slots, get, plan, request, send, start_node, wait_until,
    wait_until_targets_known,
};

/// Time limit of the requests.
const DEADLINE: Duration = Duration::from_millis(600);

/// Longest time after the time limit until a request has its final answer: rule CONFIG of the users.
const FINAL_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// Slots of the backend server that never answers.
const SLOTS: u32 = 4;

/// Guards against slots that requests without an answer hold for good: the users' day with `srv_grey`
/// `mute`, after which no booking was served until the node started again.
#[tokio::test]
async fn slots_of_bookings_that_were_never_answered_are_free_after_their_time_limit() {
    let roomy = BackendPlan {
        slots: 10 * SLOTS,
        ..BackendPlan::default()
    };
    let backend = BackendStub::start(roomy).await.expect("a free port");
    let node = start_node(&plan("windows", DEADLINE), &[]).await;
    announce_slots(&node, "windows", backend.address(), SLOTS);
    let target = node.state().host_target(&ServiceName::from("windows"));
    let target = target.expect("an announced target");
    wait_until("slow start is over", || target.report().limit == SLOTS).await;
    let callers = node.addresses().callers;
    backend.change(|plan| plan.service_time = Duration::from_hours(1));
    let bookings = (0..2 * SLOTS).map(|_index| {
        let booking = request("POST", "/windows", &[], "");
        tokio::spawn(async move { send(callers, booking).await.status() })
    });
    for booking in bookings.collect::<Vec<_>>() {
        assert_ne!(booking.await.expect("a status"), 200);
    }
    assert_eq!(backend.tally().peak_in_flight, SLOTS);
    backend.change(|plan| plan.service_time = Duration::from_millis(5));
    sleep(2 * DEADLINE).await;
    let answer = send(callers, request("POST", "/windows", &[], "")).await;
    assert_eq!(answer.status(), 200);
}

/// Starts a backend server whose answers stop for `pause` after each of their ten bytes.
async fn start_pausing_backend(pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(answer_with_pauses(socket, pause));
        }
    });
    address
}

/// Answers one request, with a pause after each byte of the body.
async fn answer_with_pauses(mut socket: TcpStream, pause: Duration) {
    let mut head = [0; 4_096];
    let _ = socket.read(&mut head).await;
    let _ = socket
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n")
        .await;
    for _ in 0..10 {
        let _ = socket.write_all(b".").await;
        sleep(pause).await;
    }
}

/// Reads an answer that comes with pauses, on the node of the host or on another. Returns whether it was
/// complete, and the time that it took.
async fn read_pausing_answer(pause: Duration, is_host_remote: bool) -> (bool, Duration) {
    let plan = plan("windows", DEADLINE);
    let host = start_node(&plan, &[]).await;
    announce(&host, "windows", start_pausing_backend(pause).await);
    let remote = start_node(&plan, &[host.addresses().peers]).await;
    let entry = if is_host_remote { &remote } else { &host };
    wait_until_targets_known(entry, 1).await;
    let start = Instant::now();
    let answer = send(entry.addresses().callers, get("/windows")).await;
    assert_eq!(answer.status(), 200);
    let is_complete = answer.into_body().collect().await.is_ok();
    (is_complete, start.elapsed())
}

/// Guards against a time limit that ends with the head of the answer: ten reads without a final answer
/// after connections to backend servers went silent, rule CONFIG.
#[tokio::test]
async fn answer_that_stops_midway_ends_at_the_time_limit() {
    for is_host_remote in [false, true] {
        let pause = Duration::from_hours(1);
        let (is_complete, took) = read_pausing_answer(pause, is_host_remote).await;
        assert!(!is_complete, "remote: {is_host_remote}");
        assert!(took >= DEADLINE, "remote: {is_host_remote}, {took:?}");
        let latest = DEADLINE + FINAL_ANSWER_DELAY;
        assert!(took < latest, "remote: {is_host_remote}, {took:?}");
    }
}

/// A long download of which bytes keep coming outlasts the time limit.
#[tokio::test]
async fn answer_that_keeps_coming_is_whole_after_the_time_limit() {
    for is_host_remote in [false, true] {
        let pause = DEADLINE / 8;
        let (is_complete, took) = read_pausing_answer(pause, is_host_remote).await;
        assert!(is_complete, "remote: {is_host_remote}");
        assert!(took > DEADLINE, "remote: {is_host_remote}, {took:?}");
    }
}
