//! The log of the daemon as a separate process.

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
    common::{WAIT_TIMEOUT, connect, get, request, send, text},
    process::{free_addresses, settings_file, wait_until_open},
};

/// Connections of a hostile peer.
const HOSTILE_CONNECTIONS: usize = 60;

/// Requests whose log lines exceed the capacity of a pipe and of the log queue before it.
const UNREAD_REQUESTS: u32 = 4_000;

/// Default deadline of a route.
const DEADLINE: Duration = Duration::from_secs(2);

/// Limit on the open files of a daemon.
const OPEN_FILE_LIMIT: u32 = 1_024;

/// Limit on the open files of a daemon that is to run out of them.
const LOW_OPEN_FILE_LIMIT: u32 = 40;

/// A daemon process whose log is recorded. It is killed when dropped.
struct LoggedProcess {
    /// The daemon process.
    child: Child,
    /// File with its log.
    log: PathBuf,
    /// Address for callers.
    callers: SocketAddr,
    /// Address for streams of other nodes.
    peers: SocketAddr,
    /// Address for announcements of backend servers.
    backends: SocketAddr,
    /// Address for operators.
    operators: SocketAddr,
}

impl LoggedProcess {
    /// Starts a daemon on 127.0.0.`last_octet` for the service `w` with this `probe` configuration
    /// and `files` as its limit on open files.
    async fn start(name: &str, last_octet: u8, probe: &str, files: u32) -> Self {
        let log = settings_file(&format!("{name}-log"), "");
        let output = File::create(&log).expect("a folder for temporary files");
        Self::start_with(name, last_octet, probe, files, log, output.into()).await
    }

    /// Like [`LoggedProcess::start`], with its log written to `output`.
    async fn start_with(
        name: &str,
        last_octet: u8,
        probe: &str,
        files: u32,
        log: PathBuf,
        output: Stdio,
    ) -> Self {
        let [callers, peers, backends, operators] = free_addresses(last_octet);
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
        let child = command.spawn().expect("the daemon starts");
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

    /// Lines of the log whose event number starts with `number`.
    fn events(&self, number: &str) -> Vec<Value> {
        let log = fs::read_to_string(&self.log).expect("the log");
        // The last line may be incomplete.
        let complete_lines = log
            .rsplit_once('\n')
            .map_or("", |(complete_lines, _rest)| complete_lines);
        let lines = complete_lines
            .lines()
            .map(|line| serde_json::from_str(line).expect("a line of JSON"));
        let is_match = |line: &Value| line["event"].to_string().starts_with(number);
        lines.filter(is_match).collect()
    }

    /// Waits until `count` lines with this event number are logged.
    async fn wait_for_events(&self, number: &str, count: usize) {
        let start = Instant::now();
        while self.events(number).len() < count {
            assert!(
                start.elapsed() < 2 * WAIT_TIMEOUT,
                "E{number} is not logged"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for LoggedProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test]
async fn a_hostile_peer_does_not_flood_the_log() {
    let process = LoggedProcess::start("hostile", 3, "{}", OPEN_FILE_LIMIT).await;
    let start = Instant::now();
    for _ in 0..HOSTILE_CONNECTIONS {
        let mut socket = TcpStream::connect(process.peers)
            .await
            .expect("the node listens");
        // The node may close the connection before all is written.
        let _ = socket.write_all(&[0x5a; 64]).await;
        let _ = socket.read(&mut [0]).await;
    }
    process.wait_for_events("1001", 1).await;
    let max_lines = start.elapsed().as_secs() as usize + 1;
    let lines = process.events("1001");
    assert!(
        lines.len() <= max_lines,
        "{} lines, {max_lines} seconds",
        lines.len()
    );
    // The next line counts the suppressed ones.
    sleep(Duration::from_secs(1)).await;
    let mut socket = TcpStream::connect(process.peers)
        .await
        .expect("the node listens");
    socket.write_all(&[0x5a; 64]).await.expect("an open socket");
    process.wait_for_events("1001", lines.len() + 1).await;
    let lines = process.events("1001");
    let suppressed = |line: &Value| line["fields"]["suppressed"].as_str()?.parse::<usize>().ok();
    let suppressed: usize = lines.iter().filter_map(suppressed).sum();
    assert_eq!(
        lines.len() + suppressed,
        HOSTILE_CONNECTIONS + 1,
        "{lines:?}"
    );
}

#[tokio::test]
async fn an_unread_log_delays_no_request() {
    let unread_pipe = Stdio::piped();
    let process = LoggedProcess::start_with(
        "unread",
        7,
        "{}",
        OPEN_FILE_LIMIT,
        PathBuf::new(),
        unread_pipe,
    )
    .await;
    let mut sender = connect(process.callers).await;
    let start = Instant::now();
    for _ in 0..UNREAD_REQUESTS {
        let response = sender.send_request(get("/w")).await.expect("a response");
        assert_eq!(response.status(), 503);
        text(response).await;
    }
    // A tenth of the deadline for each request.
    assert!(start.elapsed() < UNREAD_REQUESTS * DEADLINE / 10);
    let metrics = text(send(process.operators, get("/metrics")).await).await;
    let dropped_lines = metrics
        .lines()
        .find_map(|line| line.strip_prefix("fescueway_log_lines_lost_total "));
    let dropped_lines: u64 = dropped_lines
        .expect("the metric")
        .parse()
        .expect("a number");
    assert!(dropped_lines > 0, "no line was dropped");
}

#[tokio::test]
async fn a_missing_load_endpoint_is_logged_once_and_not_as_a_failure() {
    let frequent_probes = r#"{ "budget_ms_per_s": 1000, "timeout_ms": 400 }"#;
    let process = LoggedProcess::start("absent", 4, frequent_probes, OPEN_FILE_LIMIT).await;
    let backend = BackendPlan {
        probe_status: 404,
        ..BackendPlan::default()
    };
    let backend = BackendStub::start(backend).await.expect("a free port");
    let body = format!(
        r#"{{"service":"w","address":"{}","slots":10,"connections":20}}"#,
        backend.address()
    );
    let announcement = request("POST", "/v1/announce", &[], body.leak());
    assert_eq!(send(process.backends, announcement).await.status(), 200);
    process.wait_for_events("42", 1).await;
    // Long enough for more probes.
    sleep(Duration::from_secs(3)).await;
    assert_eq!(process.events("4201"), Vec::<Value>::new());
    assert_eq!(process.events("4202").len(), 1);
    assert_eq!(backend.tally().probes, 1);
}

#[tokio::test]
async fn exhausted_file_descriptors_do_not_flood_the_log() {
    let process = LoggedProcess::start("files", 5, "{}", LOW_OPEN_FILE_LIMIT).await;
    let start = Instant::now();
    let mut connections = Vec::new();
    for _ in 0..LOW_OPEN_FILE_LIMIT {
        connections.push(TcpStream::connect(process.callers).await);
    }
    process.wait_for_events("1000", 1).await;
    sleep(Duration::from_secs(2)).await;
    let max_lines = start.elapsed().as_secs() as usize + 1;
    let lines = process.events("1000");
    assert!(
        lines.len() <= max_lines,
        "{} lines, {max_lines} seconds",
        lines.len()
    );

    // The daemon accepts connections again once files are closed.
    drop(connections);
    let response = send(process.callers, get("/w")).await;
    assert_eq!(response.status(), 503);
}
