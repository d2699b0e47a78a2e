//! What the path adds to a request: latency, processor time and allocations.
//!
//! An entry, a host and a backend server stand-in run on loopback, each on a thread of its own
//! with a single-threaded runtime, as processes of three VMs would. Callers send each request
//! twice, straight to the stand-in and through the two nodes, in turns, so that whatever else the
//! machine does strikes both. Figures are printed; only counts are bounded.

mod alloc_count;
mod node_thread;

use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use bytes::Bytes;
use fescueway_config::{ConfigSet, Document, SitePlan};
use fescueway_core::SiteName;
use fescueway_testkit::{BackendPlan, BackendStub};
use hdrhistogram::Histogram;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Empty};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    runtime::Builder,
    time::{Instant, sleep},
};

use crate::node_thread::{NodeThread, NodeUse, UseMeter};

/// Callers, each with one request at a time.
const CALLERS: u64 = 8;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(4);

/// Time before figures count.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time over which figures count.
const MEASURED: Duration = Duration::from_secs(8);

/// Longest wait until the entry knows the target.
const START_LIMIT: Duration = Duration::from_mins(1);

/// Allocations of both nodes together for those of a direct call at its two ends, at most.
///
/// Each node is the server of one call and the client of another, which is what a direct call
/// takes at its two ends. Frames between nodes and deciding have to fit in.
const ALLOCATION_RATIO: f64 = 2.0;

/// The stated target for what is added at p99, in microseconds.
const TARGET_P99_US: u64 = 1_100;

/// The configuration: every path, GET idempotent.
const BASE: &str = r#"{ "services": { "windows": {
    "path_prefixes": ["/"],
    "routes": { "read": { "method": "GET", "path_prefix": "/", "idempotency": "idempotent" } }
} } }"#;

fn main() -> ExitCode {
    let plan = site_plan();
    let (backend, backend_meter) = start_backend();
    let entry = NodeThread::start(Arc::clone(&plan), None, None);
    let host = NodeThread::start(plan, Some(entry.peers()), Some(backend));
    wait_until_served(entry.callers());
    let mut is_kept = true;
    for method in [Method::GET, Method::POST] {
        let figures = measure(&method, backend, &backend_meter, &entry, &host);
        is_kept &= report(&method, &figures);
    }
    if is_kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Waits until the entry knows the target at the host.
fn wait_until_served(entry: SocketAddr) {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let mut sender = connect(entry).await;
        let start = Instant::now();
        loop {
            let response = answer(&mut sender, &Method::GET).await;
            if response.status() == 200 {
                break;
            }
            assert!(start.elapsed() < START_LIMIT, "the entry knows no target");
            let body = response.into_body().collect().await;
            body.expect("a whole answer");
            sleep(PAUSE).await;
        }
    });
}

/// What one run measured.
struct RunFigures {
    /// Latencies straight to the stand-in, in microseconds.
    direct: Histogram<u64>,
    /// Latencies through the two nodes, in microseconds.
    through: Histogram<u64>,
    /// What the entry used.
    entry: NodeUse,
    /// What the host used.
    host: NodeUse,
    /// Allocations of callers and stand-in. Half are for requests that went straight.
    ends: u64,
}

/// The configuration of the one site.
fn site_plan() -> Arc<SitePlan> {
    let base = Document::parse("base.json", BASE).expect("valid JSON");
    let overlay = Document::parse("site.json", r#"{ "site": "site" }"#).expect("valid JSON");
    let config = ConfigSet::check(&base, &[overlay]).expect("a valid configuration");
    Arc::new(config.sites()[&SiteName::from("site")].clone())
}

/// Runs the stand-in on a thread of its own.
fn start_backend() -> (SocketAddr, UseMeter) {
    let (sender, receiver) = std::sync::mpsc::channel();
    let (meter, answers) = UseMeter::new();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let plan = BackendPlan {
                slots: 100,
                service_time: Duration::ZERO,
                ..BackendPlan::default()
            };
            let stub = BackendStub::start(plan).await.expect("a port");
            sender.send(stub.address()).expect("the main thread waits");
            answers.run().await;
        });
    });
    (receiver.recv().expect("the stand-in starts"), meter)
}

/// Sends requests in turns, and takes what the nodes used meanwhile.
fn measure(
    method: &Method,
    backend: SocketAddr,
    backend_meter: &UseMeter,
    entry: &NodeThread,
    host: &NodeThread,
) -> RunFigures {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let entry_address = entry.callers();
    let run = |time| {
        let callers = (0..CALLERS)
            .map(|_| runtime.spawn(call(method.clone(), backend, entry_address, time)))
            .collect::<Vec<_>>();
        let mut latencies = [new_histogram(), new_histogram()];
        for caller in callers {
            let [direct, through] = runtime.block_on(caller).expect("no panic");
            latencies[0] += direct;
            latencies[1] += through;
        }
        latencies
    };
    run(WARM_UP);
    let read = || {
        let ends = NodeUse::now().allocations + backend_meter.used().allocations;
        (entry.used(), host.used(), ends)
    };
    let before = read();
    let [direct, through] = run(MEASURED);
    let after = read();
    RunFigures {
        direct,
        through,
        entry: after.0.since(before.0),
        host: after.1.since(before.1),
        ends: after.2 - before.2,
    }
}

/// One caller: each request straight and through the nodes, for `time`.
async fn call(
    method: Method,
    backend: SocketAddr,
    entry: SocketAddr,
    time: Duration,
) -> [Histogram<u64>; 2] {
    let mut direct = connect(backend).await;
    let mut through = connect(entry).await;
    let mut latencies = [new_histogram(), new_histogram()];
    let end = Instant::now() + time;
    while Instant::now() < end {
        latencies[0] += send(&mut direct, &method).await;
        latencies[1] += send(&mut through, &method).await;
        sleep(PAUSE).await;
    }
    latencies
}

/// A connection that is kept alive.
async fn connect(address: SocketAddr) -> SendRequest<Empty<Bytes>> {
    let socket = TcpStream::connect(address).await.expect("it listens");
    socket.set_nodelay(true).expect("an open socket");
    let (sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .expect("a handshake sends nothing");
    tokio::spawn(connection);
    sender
}

/// Sends one request; its latency in microseconds.
async fn send(sender: &mut SendRequest<Empty<Bytes>>, method: &Method) -> u64 {
    sender.ready().await.expect("an open connection");
    let start = Instant::now();
    let response = answer(sender, method).await;
    assert_eq!(response.status(), 200, "{:?}", response.headers());
    let body = response.into_body().collect().await;
    body.expect("a whole answer");
    start.elapsed().as_micros() as u64
}

/// Sends one request; its answer's head, with the body to come.
async fn answer(sender: &mut SendRequest<Empty<Bytes>>, method: &Method) -> Response<Incoming> {
    sender.ready().await.expect("an open connection");
    let request = Request::builder()
        .method(method)
        .uri("/windows/7")
        .header("host", "windows")
        .header("accept", "application/json")
        .header("user-agent", "bench");
    let request = request.body(Empty::new()).expect("a valid request");
    sender.send_request(request).await.expect("an answer")
}

/// An empty histogram of microseconds.
fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

/// Prints a run's figures; whether the bounds are kept.
fn report(method: &Method, figures: &RunFigures) -> bool {
    let count = figures.through.len() as f64;
    let quantile = |latencies: &Histogram<u64>, share| latencies.value_at_quantile(share);
    println!("{method}: {count} requests each way");
    for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
        let direct = quantile(&figures.direct, share);
        let through = quantile(&figures.through, share);
        let added = through.saturating_sub(direct);
        println!("  {name}: {direct} us direct, {through} us through, {added} us added");
    }
    println!("  target: {TARGET_P99_US} us added at p99");
    let (entry, host) = (&figures.entry, &figures.host);
    let processor = entry.thread.processor + host.thread.processor;
    let per_second = count / processor.as_secs_f64();
    println!("  {per_second:.0} requests per CPU-second of entry and host together");
    let each = |total: u64| total as f64 / count;
    let (entry_wakeups, host_wakeups) = (each(entry.thread.wakeups), each(host.thread.wakeups));
    println!(
        "  wakeups per request: {entry_wakeups:.2} at the entry, {host_wakeups:.2} at the host"
    );
    let direct = each(figures.ends) / 2.0;
    let (entry, host) = (each(entry.allocations), each(host.allocations));
    println!(
        "  allocations per request: {entry:.1} at the entry, {host:.1} at the host, {direct:.1} of \
         a direct call at its two ends"
    );
    let is_kept = entry + host <= ALLOCATION_RATIO * direct;
    if !is_kept {
        println!("  BROKEN: more than {ALLOCATION_RATIO} times the allocations of a direct call");
    }
    is_kept
}
