//! Measures what the two nodes add to a request: latency, CPU time and allocations.
//!
//! An entry, a host and a test backend run on loopback, each on its own thread with a
//! single-threaded runtime, as processes of three VMs would. Callers send each request twice,
//! directly to the backend and through the two nodes, in turns, so that other load on the machine
//! affects both. Times are printed; only allocations are bounded.

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

use crate::node_thread::{NodeThread, NodeUsage, UsageMeter};

/// Number of callers, each with one request at a time.
const CALLERS: u64 = 8;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(4);

/// Warm-up time, not measured.
const WARM_UP: Duration = Duration::from_secs(3);

/// Duration of the measurement.
const MEASURED: Duration = Duration::from_secs(8);

/// Longest wait until the entry knows the target.
const START_LIMIT: Duration = Duration::from_mins(1);

/// Maximum ratio of the allocations of both nodes to those of a direct call at both of its ends.
///
/// Each node is the server of one call and the client of another, like the two ends of a direct
/// call together. The frames between the nodes and the routing decisions must not need more.
const ALLOCATION_RATIO: f64 = 2.0;

/// Design target of the latency added at p99, in microseconds.
const TARGET_P99_US: u64 = 1_100;

/// Configuration: accepts every path, GET is idempotent.
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
    let mut is_within_bound = true;
    for method in [Method::GET, Method::POST] {
        let results = measure(&method, backend, &backend_meter, &entry, &host);
        is_within_bound &= report(&method, &results);
    }
    if is_within_bound {
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

/// Results of one run.
struct RunResults {
    /// Latencies of direct requests to the backend, in microseconds.
    direct: Histogram<u64>,
    /// Latencies of requests through the two nodes, in microseconds.
    through: Histogram<u64>,
    /// Resource usage of the entry.
    entry: NodeUsage,
    /// Resource usage of the host.
    host: NodeUsage,
    /// Allocations of the callers and the backend. Half of them are for direct requests.
    endpoint_allocations: u64,
}

/// Returns the configuration of the one site.
fn site_plan() -> Arc<SitePlan> {
    let base = Document::parse("base.json", BASE).expect("valid JSON");
    let overlay = Document::parse("site.json", r#"{ "site": "site" }"#).expect("valid JSON");
    let config = ConfigSet::check(&base, &[overlay]).expect("a valid configuration");
    Arc::new(config.sites()[&SiteName::from("site")].clone())
}

/// Runs the test backend on its own thread.
fn start_backend() -> (SocketAddr, UsageMeter) {
    let (sender, receiver) = std::sync::mpsc::channel();
    let (meter, responder) = UsageMeter::new();
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
            responder.run().await;
        });
    });
    (receiver.recv().expect("the stand-in starts"), meter)
}

/// Sends requests directly and through the nodes in turns, and measures the resource usage
/// meanwhile.
fn measure(
    method: &Method,
    backend: SocketAddr,
    backend_meter: &UsageMeter,
    entry: &NodeThread,
    host: &NodeThread,
) -> RunResults {
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
    let sample = || {
        let endpoint_allocations = NodeUsage::now().allocations + backend_meter.usage().allocations;
        (entry.usage(), host.usage(), endpoint_allocations)
    };
    let before = sample();
    let [direct, through] = run(MEASURED);
    let after = sample();
    RunResults {
        direct,
        through,
        entry: after.0.since(before.0),
        host: after.1.since(before.1),
        endpoint_allocations: after.2 - before.2,
    }
}

/// Runs one caller for `time`, which sends each request directly and through the nodes. Returns the
/// latencies of both.
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

/// Opens a persistent connection.
async fn connect(address: SocketAddr) -> SendRequest<Empty<Bytes>> {
    let socket = TcpStream::connect(address).await.expect("it listens");
    socket.set_nodelay(true).expect("an open socket");
    let (sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .expect("a handshake sends nothing");
    tokio::spawn(connection);
    sender
}

/// Sends one request and reads its response. Returns the latency in microseconds.
async fn send(sender: &mut SendRequest<Empty<Bytes>>, method: &Method) -> u64 {
    sender.ready().await.expect("an open connection");
    let start = Instant::now();
    let response = answer(sender, method).await;
    assert_eq!(response.status(), 200, "{:?}", response.headers());
    let body = response.into_body().collect().await;
    body.expect("a whole answer");
    start.elapsed().as_micros() as u64
}

/// Sends one request. Returns its response, with the body still to be read.
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

/// Creates an empty histogram of microseconds.
fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

/// Prints the results of a run. Returns whether the bound holds.
fn report(method: &Method, results: &RunResults) -> bool {
    let count = results.through.len() as f64;
    let quantile = |latencies: &Histogram<u64>, share| latencies.value_at_quantile(share);
    println!("{method}: {count} requests each way");
    for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
        let direct = quantile(&results.direct, share);
        let through = quantile(&results.through, share);
        let added = through.saturating_sub(direct);
        println!("  {name}: {direct} us direct, {through} us through, {added} us added");
    }
    println!("  target: {TARGET_P99_US} us added at p99");
    let (entry, host) = (&results.entry, &results.host);
    let processor = entry.thread.processor + host.thread.processor;
    let per_second = count / processor.as_secs_f64();
    println!("  {per_second:.0} requests per CPU-second of entry and host together");
    let each = |total: u64| total as f64 / count;
    let (entry_wakeups, host_wakeups) = (each(entry.thread.wakeups), each(host.thread.wakeups));
    println!(
        "  wakeups per request: {entry_wakeups:.2} at the entry, {host_wakeups:.2} at the host"
    );
    let direct = each(results.endpoint_allocations) / 2.0;
    let (entry, host) = (each(entry.allocations), each(host.allocations));
    println!(
        "  allocations per request: {entry:.1} at the entry, {host:.1} at the host, {direct:.1} of \
         a direct call at its two ends"
    );
    let is_within_bound = entry + host <= ALLOCATION_RATIO * direct;
    if !is_within_bound {
        println!("  BROKEN: more than {ALLOCATION_RATIO} times the allocations of a direct call");
    }
    is_within_bound
}
