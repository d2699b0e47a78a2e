//! Measures the memory of the nodes during a download.
//!
//! An entry, a host, a test backend and a caller run on loopback on one thread. The live bytes on
//! the heap are bounded whatever the length of the download; the resident memory is printed. `--mib
//! N` sets the length.

#[path = "../common/live_bytes.rs"]
mod live_bytes;

use std::{env, fs, process::ExitCode, sync::Arc, time::Duration};

use bytes::Bytes;
use fescueway_config::{ConfigSet, Document, SitePlan};
use fescueway_core::{DomainName, ServiceName, SiteName};
use fescueway_proxy::BackendAnnouncement;
use fescueway_testkit::{BackendPlan, BackendStub};
use fescuewayd::{Daemon, DaemonSettings};
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    runtime::Builder,
    time::{Instant, sleep},
};

use crate::live_bytes::live_bytes;

/// Number of bytes in a mebibyte.
const MIB: usize = 1_024 * 1_024;

/// Default length of the download, in MiB.
const DEFAULT_MIB: usize = 64;

/// Length of the warm-up download, in MiB, whose memory is not measured.
const WARM_UP_MIB: usize = 4;

/// Most live bytes that a download may add to both nodes, caller and backend together: the window
/// of its stream between the nodes, and a buffer of at most that size at each of its six socket
/// ends.
const LIVE_BOUND: u64 = 7 * 128 * 1_024;

/// Configuration: accepts every path, GET is idempotent.
const BASE: &str = r#"{ "services": { "profiles": {
    "path_prefixes": ["/"],
    "routes": { "read": { "method": "GET", "path_prefix": "/", "idempotency": "idempotent" } }
} } }"#;

/// Results of one download.
struct DownloadResults {
    /// Length of its body, in bytes.
    length: usize,
    /// Most live bytes while it ran, above those before it.
    added_live_bytes: u64,
    /// Resident memory before it, in KiB.
    resident_before: u64,
    /// Peak resident memory while it ran, in KiB.
    resident_peak: u64,
    /// Duration of the download.
    time: Duration,
}

fn main() -> ExitCode {
    let mib = length_mib().unwrap_or(DEFAULT_MIB);
    let runtime = Builder::new_current_thread().enable_all().build();
    let results = runtime.expect("a runtime").block_on(measure(mib));
    let seconds = results.time.as_secs_f64();
    println!("{mib} MiB in {seconds:.2} s through entry and host");
    println!(
        "  resident: {} KiB before, {} KiB at most",
        results.resident_before, results.resident_peak
    );
    println!(
        "  live bytes added: {} at most, bound {LIVE_BOUND}",
        results.added_live_bytes
    );
    if results.length != mib * MIB {
        println!("  BROKEN: {} bytes came", results.length);
        return ExitCode::FAILURE;
    }
    if results.added_live_bytes > LIVE_BOUND {
        println!("  BROKEN: the download is held in memory");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Returns the length given by `--mib`, in MiB.
fn length_mib() -> Option<usize> {
    let mut args = env::args().skip_while(|arg| arg != "--mib");
    args.nth(1)?.parse().ok()
}

/// Downloads `mib` MiB through two nodes, after a warm-up download.
async fn measure(mib: usize) -> DownloadResults {
    let plan = site_plan();
    let backend = BackendStub::start(BackendPlan::default()).await;
    let backend = backend.expect("a port");
    let entry = start_node(&plan, None).await;
    let host = start_node(&plan, Some(&entry)).await;
    host.state().announce(&BackendAnnouncement::new(
        ServiceName::from("profiles"),
        backend.address(),
        10,
        250,
    ));
    while entry.state().routes().targets().is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
    download(&entry, WARM_UP_MIB).await;
    download(&entry, mib).await
}

/// Returns the configuration of the one site.
fn site_plan() -> Arc<SitePlan> {
    let base = Document::parse("base.json", BASE).expect("valid JSON");
    let overlay = Document::parse("site.json", r#"{ "site": "site" }"#).expect("valid JSON");
    let config = ConfigSet::check(&base, &[overlay]).expect("a valid configuration");
    Arc::new(config.sites()[&SiteName::from("site")].clone())
}

/// Starts a node on loopback with the seed `peer`.
async fn start_node(plan: &Arc<SitePlan>, peer: Option<&Daemon>) -> Daemon {
    let mut settings = DaemonSettings::on_loopback(SiteName::from("site"), DomainName::from("a"));
    settings.plan = Some(Arc::clone(plan));
    let peers = peer.map(|peer| peer.addresses().peers);
    settings.seed_peers.extend(peers);
    Daemon::start(settings).await.expect("loopback has ports")
}

/// Downloads `mib` MiB through `entry` and measures the memory.
async fn download(entry: &Daemon, mib: usize) -> DownloadResults {
    let socket = TcpStream::connect(entry.addresses().callers).await;
    let socket = TokioIo::new(socket.expect("the node listens"));
    let (mut sender, connection) = http1::handshake(socket).await.expect("nothing is sent yet");
    tokio::spawn(connection);
    let path = format!("/profiles/download/{}", mib * MIB);
    let request = Request::get(path).header("host", "profiles");
    let request = request.body(Empty::<Bytes>::new()).expect("valid");
    let start = Instant::now();
    let live_before = live_bytes();
    let resident_before = resident_kib();
    let response = sender.send_request(request).await.expect("an answer");
    let mut body = response.into_body();
    let mut results = DownloadResults {
        length: 0,
        added_live_bytes: 0,
        resident_before,
        resident_peak: resident_before,
        time: Duration::ZERO,
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("a whole download");
        let before = results.length / MIB;
        results.length += frame.data_ref().map_or(0, Bytes::len);
        results.added_live_bytes = results
            .added_live_bytes
            .max(live_bytes().saturating_sub(live_before));
        if results.length / MIB > before {
            results.resident_peak = results.resident_peak.max(resident_kib());
        }
    }
    results.time = start.elapsed();
    results
}

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("procfs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().nth(1));
    figure.expect("a figure").parse().expect("a number")
}
