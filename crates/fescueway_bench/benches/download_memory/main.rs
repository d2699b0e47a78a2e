//! What a download takes of the memory of the nodes that it passes.
//!
//! An entry, a host, a backend server stand-in and a caller run on loopback on one thread. The
//! bytes that are allocated and not freed are bounded, whatever the length of the download; the
//! resident memory is printed. `--mib N` sets the length.

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

/// Bytes in a mebibyte.
const MIB: usize = 1_024 * 1_024;

/// Length of the download in MiB, unless told.
const DEFAULT_MIB: usize = 64;

/// Length in MiB of the download after which memory counts.
const WARM_UP_MIB: usize = 4;

/// What a download may add to the live bytes of both nodes, caller and stand-in together: the
/// window of its stream between the nodes, and a buffer of at most that size at each of its six
/// socket ends.
const LIVE_BOUND: u64 = 7 * 128 * 1_024;

/// The configuration: every path, GET idempotent.
const BASE: &str = r#"{ "services": { "profiles": {
    "path_prefixes": ["/"],
    "routes": { "read": { "method": "GET", "path_prefix": "/", "idempotency": "idempotent" } }
} } }"#;

/// What one download took.
struct DownloadFigures {
    /// Bytes of its body.
    length: usize,
    /// Live bytes above those before it, at most.
    live: u64,
    /// Resident memory before it, in KiB.
    resident_before: u64,
    /// Resident memory while it ran, in KiB, at most.
    resident_peak: u64,
    /// How long it took.
    time: Duration,
}

fn main() -> ExitCode {
    let mib = length_mib().unwrap_or(DEFAULT_MIB);
    let runtime = Builder::new_current_thread().enable_all().build();
    let figures = runtime.expect("a runtime").block_on(measure(mib));
    let seconds = figures.time.as_secs_f64();
    println!("{mib} MiB in {seconds:.2} s through entry and host");
    println!(
        "  resident: {} KiB before, {} KiB at most",
        figures.resident_before, figures.resident_peak
    );
    println!(
        "  live bytes added: {} at most, bound {LIVE_BOUND}",
        figures.live
    );
    if figures.length != mib * MIB {
        println!("  BROKEN: {} bytes came", figures.length);
        return ExitCode::FAILURE;
    }
    if figures.live > LIVE_BOUND {
        println!("  BROKEN: the download is held in memory");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// The length that the command line asks for, in MiB.
fn length_mib() -> Option<usize> {
    let mut args = env::args().skip_while(|arg| arg != "--mib");
    args.nth(1)?.parse().ok()
}

/// Downloads `mib` MiB through two nodes.
async fn measure(mib: usize) -> DownloadFigures {
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

/// The configuration of the one site.
fn site_plan() -> Arc<SitePlan> {
    let base = Document::parse("base.json", BASE).expect("valid JSON");
    let overlay = Document::parse("site.json", r#"{ "site": "site" }"#).expect("valid JSON");
    let config = ConfigSet::check(&base, &[overlay]).expect("a valid configuration");
    Arc::new(config.sites()[&SiteName::from("site")].clone())
}

/// A node on loopback that knows `peer`.
async fn start_node(plan: &Arc<SitePlan>, peer: Option<&Daemon>) -> Daemon {
    let mut settings = DaemonSettings::on_loopback(SiteName::from("site"), DomainName::from("a"));
    settings.plan = Some(Arc::clone(plan));
    let peers = peer.map(|peer| peer.addresses().peers);
    settings.seed_peers.extend(peers);
    Daemon::start(settings).await.expect("loopback has ports")
}

/// Downloads `mib` MiB through `entry`.
async fn download(entry: &Daemon, mib: usize) -> DownloadFigures {
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
    let mut figures = DownloadFigures {
        length: 0,
        live: 0,
        resident_before,
        resident_peak: resident_before,
        time: Duration::ZERO,
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("a whole download");
        let before = figures.length / MIB;
        figures.length += frame.data_ref().map_or(0, Bytes::len);
        figures.live = figures.live.max(live_bytes().saturating_sub(live_before));
        if figures.length / MIB > before {
            figures.resident_peak = figures.resident_peak.max(resident_kib());
        }
    }
    figures.time = start.elapsed();
    figures
}

/// Resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("procfs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().nth(1));
    figure.expect("a figure").parse().expect("a number")
}
