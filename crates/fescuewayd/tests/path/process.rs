//! The daemon as a separate process.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::{Duration, Instant},
};

use fescueway_testkit::{BackendPlan, BackendStub};
use tokio::{net::TcpStream, time::sleep};

use crate::common::{get, request, send, text};

/// Memory that an idle node may use, in kilobytes.
const MAX_IDLE_KILOBYTES: u64 = 20 * 1_024;

/// Writes a temporary file whose name contains the ID of this process.
pub fn settings_file(name: &str, content: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!("{name}-{}.json", std::process::id()));
    fs::write(&file, content).expect("a folder for temporary files");
    file
}

/// Runs the daemon until it exits.
fn run(file: &PathBuf) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fescuewayd"));
    command
        .arg("--settings")
        .arg(file)
        .output()
        .expect("the daemon starts")
}

/// Addresses on 127.0.0.`last_octet` whose ports were just free. Each test uses an octet of its
/// own, so that no test takes a port of another one before the daemon binds it.
pub fn free_addresses(last_octet: u8) -> [SocketAddr; 4] {
    let address = SocketAddr::from(([127, 0, 0, last_octet], 0));
    let listeners = [(); 4].map(|()| TcpListener::bind(address).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("bound"))
}

#[test]
fn invalid_settings_exit_with_status_two_and_one_message() {
    let file = settings_file(
        "wrong",
        "{\n  \"site\": \"s\", \"domain\": \"d\",\n  // A name is not resolved.\n  \
         \"listen\": { \"callers\": \"localhost:80\", \"peers\": \"127.0.0.1:0\" }\n}\n",
    );
    let output = run(&file);
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(message.lines().count(), 1, "{message}");
    for part in [":4:", "listen.callers", "\"localhost:80\"", "allowed"] {
        assert!(message.contains(part), "{part} not in {message}");
    }
}

#[test]
fn an_address_in_use_is_reported_once() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let file = settings_file(
        "taken",
        &format!(
            r#"{{ "site": "s", "domain": "d",
                "listen": {{ "callers": "{address}", "peers": "127.0.0.1:0" }} }}"#
        ),
    );
    let output = run(&file);
    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains(&address.to_string()), "{message}");
    assert_eq!(message.matches("os error").count(), 1, "{message}");
}

#[tokio::test]
async fn the_daemon_serves_and_stops_gracefully_on_a_signal() {
    let [callers, peers, backends, operators] = free_addresses(2);
    let base = settings_file(
        "base",
        r#"{ "services": { "w": { "path_prefixes": ["/"] } } }"#,
    );
    let overlay = settings_file("overlay", r#"{ "site": "s" }"#);
    let settings = format!(
        r#"{{ "site": "s", "domain": "d",
            "listen": {{ "callers": "{callers}", "peers": "{peers}",
                         "backends": "{backends}", "operators": "{operators}" }},
            "plan_files": {{ "base": {base:?}, "overlays": [{overlay:?}] }} }}"#
    );
    let file = settings_file("settings", &settings);
    let mut command = Command::new(env!("CARGO_BIN_EXE_fescuewayd"));
    let command = command.arg("--settings").arg(&file).stderr(Stdio::null());
    let mut child = command.spawn().expect("the daemon starts");
    wait_until_open(operators).await;

    let slow = BackendPlan {
        service_time: Duration::from_millis(400),
        ..BackendPlan::default()
    };
    let backend = BackendStub::start(slow).await.expect("a free port");
    let body = format!(
        r#"{{"service":"w","address":"{}","slots":10,"connections":20}}"#,
        backend.address()
    );
    // A number of slots that no backend server can have ends nothing.
    let unbounded = body.replace("10,", "4294967295,");
    let response = send(
        backends,
        request("POST", "/v1/announce", &[], unbounded.leak()),
    )
    .await;
    assert_eq!(response.status(), 400);
    let response = send(backends, request("POST", "/v1/announce", &[], body.leak())).await;
    assert_eq!(response.status(), 200);
    let targets = text(send(operators, get("/targets")).await).await;
    assert!(targets.contains("\"service\":\"w\""), "{targets}");
    assert!(resident_kilobytes(&child) < MAX_IDLE_KILOBYTES);

    let running = tokio::spawn(send(callers, request("POST", "/w", &[], "a booking")));
    sleep(Duration::from_millis(100)).await;
    let signal = Command::new("kill").arg(child.id().to_string()).status();
    assert!(signal.expect("a signal").success());
    assert_eq!(running.await.expect("the task doesn't panic").status(), 200);
    let is_closed = TcpStream::connect(callers).await.is_err();
    assert!(is_closed, "the daemon still accepts connections");
    let exit_status = tokio::task::spawn_blocking(move || child.wait()).await;
    assert!(
        exit_status
            .expect("the task doesn't panic")
            .expect("a status")
            .success()
    );
}

/// Waits until `address` accepts connections.
pub async fn wait_until_open(address: SocketAddr) {
    let start = Instant::now();
    while TcpStream::connect(address).await.is_err() {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "{address} stays closed"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

/// Resident memory of the process in kilobytes.
fn resident_kilobytes(child: &Child) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).expect("procfs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.expect("a figure").parse().expect("a number")
}
