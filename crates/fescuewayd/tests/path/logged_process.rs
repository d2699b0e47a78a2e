//! What the daemon, as a process of its own, writes into its log.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use fescueway_testkit::{BackendPlan, BackendStub};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

use crate::{
    common::{SOON, connect, get, request, send, text},
    process::{free_addresses, settings_file, wait_until_open},
};

/// Connections of a hostile peer.
const HOSTILE: usize = 60;

/// Requests whose lines don't fit into a pipe and the queue before it.
const UNREAD_REQUESTS: u32 = 4_000;

/// Time that a request has unless its route says otherwise.
const DEADLINE: Duration = Duration::from_secs(2);

/// Files that a daemon may have open.
const FILES: u32 = 1_024;

/// Files that a daemon may have open when they are to run out.
const FEW_FILES: u32 = 40;

/// A daemon whose log is kept. It is killed when dropped.
struct LoggedProcess {
    /// The process.
    child: Child,
    /// Its log.
    log: PathBuf,
    /// Where it takes requests.
    callers: SocketAddr,
    /// Where it takes streams of other nodes.
    peers: SocketAddr,
    /// Where backend servers announce themselves.
    backends: SocketAddr,
    /// Where operators look.
    operators: SocketAddr,
}

impl LoggedProcess {
    /// Starts a daemon on 127.0.0.`host` for the service `w` with this plan of probes, which may
    /// have `files` open.
    async fn start(name: &str, host: u8, probe: &str, files: u32) -> Self {
        let log = settings_file(&format!("{name}-log"), "");
        let output = File::create(&log).expect("a folder for temporary files");
        Self::start_with(name, host, probe, files, log, output.into()).await
    }

    /// The same with its log going to `output`.
    async fn start_with(
        name: &str,
        host: u8,
        probe: &str,
        files: u32,
        log: PathBuf,
        output: Stdio,
    ) -> Self {
        let [callers, peers, backends, operators] = free_addresses(host);
        let base = format!(
            r#"{{ "services": {{ "w": {{ "path_prefixes": ["/"], "probe": {probe} }} }} }}"#
        );
        let base = settings_file(&format!("{name}-base"), &base);
        let overlay = settings_file(&format!("{name}-overlay"), r#"{ "site": "s" }"#);
        let settings = format!(
            r#"{{ "site": "s", "domain": "d", "log": {{ "lines_per_s": 100000 }},
                "listen": {{ "callers": "{callers}", "peers": "{peers}",
                             "backends": "{backends}", "operators": "{operators}" }},
                "plan_files": {{ "base": "{}", "overlays": ["{}"] }} }}"#,
            base.display(),
            overlay.display(),
        );
        let mut command = Command::new("sh");
        let command = command.arg("-c").arg(format!(
            "ulimit -n {files} && exec {} --settings {}",
            env!("CARGO_BIN_EXE_fescuewayd"),
            settings_file(name, &settings).display(),
        ));
        let command = command.stdout(output);
        let child = command.spawn().expect("it starts");
        wait_until_open(operators).await;
        Self {
            child,
            log,
            callers,
            peers,
            backends,
            operators,
        }
    }

    /// Lines of the log whose event's number begins so.
    fn events(&self, number: &str) -> Vec<Value> {
        let log = fs::read_to_string(&self.log).expect("the log");
        // The last line may not be written whole yet.
        let whole = log.rsplit_once('\n').map_or("", |(whole, _rest)| whole);
        let lines = whole
            .lines()
            .map(|line| serde_json::from_str(line).expect("a line of JSON"));
        let is_meant = |line: &Value| line["event"].to_string().starts_with(number);
        lines.filter(is_meant).collect()
    }

    /// Waits until an event is logged `count` times.
    async fn knows(&self, number: &str, count: usize) {
        let start = Instant::now();
        while self.events(number).len() < count {
            assert!(start.elapsed() < 2 * SOON, "E{number} is not logged");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for LoggedProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test]
async fn a_hostile_peer_does_not_flood_the_log() {
    let process = LoggedProcess::start("hostile", 3, "{}", FILES).await;
    let start = Instant::now();
    for _ in 0..HOSTILE {
        let mut socket = TcpStream::connect(process.peers).await.expect("it listens");
        // The node may let go of it before all is written.
        let _ = socket.write_all(&[0x5a; 64]).await;
        let _ = socket.read(&mut [0]).await;
    }
    process.knows("1001", 1).await;
    let most = start.elapsed().as_secs() as usize + 1;
    let lines = process.events("1001");
    assert!(lines.len() <= most, "{} lines, {most} seconds", lines.len());
    // The next one tells what was left out.
    sleep(Duration::from_secs(1)).await;
    let mut socket = TcpStream::connect(process.peers).await.expect("it listens");
    socket.write_all(&[0x5a; 64]).await.expect("an open socket");
    process.knows("1001", lines.len() + 1).await;
    let lines = process.events("1001");
    let suppressed = |line: &Value| line["fields"]["suppressed"].as_str()?.parse::<usize>().ok();
    let suppressed: usize = lines.iter().filter_map(suppressed).sum();
    assert_eq!(lines.len() + suppressed, HOSTILE + 1, "{lines:?}");
}

#[tokio::test]
async fn a_log_that_nobody_reads_holds_no_request_up() {
    let unread = Stdio::piped();
    let process = LoggedProcess::start_with("unread", 7, "{}", FILES, PathBuf::new(), unread).await;
    let mut sender = connect(process.callers).await;
    let start = Instant::now();
    for _ in 0..UNREAD_REQUESTS {
        let response = sender.send_request(get("/w")).await.expect("an answer");
        assert_eq!(response.status(), 503);
        text(response).await;
    }
    // A tenth of the time within which a request would have to be answered.
    assert!(start.elapsed() < UNREAD_REQUESTS * DEADLINE / 10);
    let metrics = text(send(process.operators, get("/metrics")).await).await;
    let lost = metrics
        .lines()
        .find_map(|line| line.strip_prefix("fescueway_log_lines_lost_total "));
    let lost: u64 = lost.expect("the metric").parse().expect("a number");
    assert!(lost > 0, "no line was left out");
}

#[tokio::test]
async fn a_backend_server_without_a_load_endpoint_is_not_failing() {
    let often = r#"{ "budget_ms_per_s": 1000, "timeout_ms": 400 }"#;
    let process = LoggedProcess::start("absent", 4, often, FILES).await;
    let backend = BackendPlan {
        probe_status: 404,
        ..BackendPlan::default()
    };
    let backend = BackendStub::start(backend).await.expect("a port");
    let body = format!(
        r#"{{"service":"w","address":"{}","slots":10,"connections":20}}"#,
        backend.address()
    );
    let announcement = request("POST", "/v1/announce", &[], body.leak());
    assert_eq!(send(process.backends, announcement).await.status(), 200);
    process.knows("42", 1).await;
    // Time for more probes.
    sleep(Duration::from_secs(3)).await;
    assert_eq!(process.events("4201"), Vec::<Value>::new());
    assert_eq!(process.events("4202").len(), 1);
    assert_eq!(backend.tally().probes, 1);
}

#[tokio::test]
async fn running_out_of_files_does_not_flood_the_log() {
    let process = LoggedProcess::start("files", 5, "{}", FEW_FILES).await;
    let start = Instant::now();
    let mut open = Vec::new();
    for _ in 0..FEW_FILES {
        open.push(TcpStream::connect(process.callers).await);
    }
    process.knows("1000", 1).await;
    sleep(Duration::from_secs(2)).await;
    let most = start.elapsed().as_secs() as usize + 1;
    let lines = process.events("1000");
    assert!(lines.len() <= most, "{} lines, {most} seconds", lines.len());

    // It takes connections again once there are files.
    drop(open);
    let response = send(process.callers, get("/w")).await;
    assert_eq!(response.status(), 503);
}
