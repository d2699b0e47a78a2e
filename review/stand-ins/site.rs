//! A small deployment: node processes, the store, and addresses for targets.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::call, store::Store};

const PROGRAM: &str = "target/deploy/fescueway-node";
const REGION: &str = "tx-central";
const START_TIME: Duration = Duration::from_secs(15);
const STOP_TIME: Duration = Duration::from_secs(6);

const STORE_PORT: u16 = 8_309;
const CALLERS_PORT: u16 = 8_304;
const PEERS_PORT: u16 = 7_620;
const BACKENDS_PORT: u16 = 8_306;
const OPERATORS_PORT: u16 = 8_302;
const METRICS_PORT: u16 = 9_464;
const TARGET_PORT: u16 = 8_301;

/// The deployment. Dropping it ends the processes.
pub struct Site {
    store_address: SocketAddr,
    net: [u8; 2],
    folder: PathBuf,
    nodes: Vec<(IpAddr, Child)>,
}

impl Site {
    /// Starts the store, with `document` as its configuration.
    pub fn start(document: &str) -> Self {
        let net = free_net();
        let store_address = SocketAddr::new(ip(net, 250), STORE_PORT);
        let store = Store::start(store_address);
        store.write("op/config", document);
        let folder = std::env::temp_dir().join(format!("fescueway-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a writable folder");
        Self {
            store_address,
            net,
            folder,
            nodes: Vec::new(),
        }
    }

    pub fn target_address(&self, node: usize) -> SocketAddr {
        SocketAddr::new(ip(self.net, node as u8 + 1), TARGET_PORT)
    }

    /// Where targets report to the node.
    pub fn backends(&self, node: usize) -> SocketAddr {
        SocketAddr::new(ip(self.net, node as u8 + 1), BACKENDS_PORT)
    }

    /// Where clients send requests to the node.
    pub fn callers(&self, node: usize) -> SocketAddr {
        SocketAddr::new(ip(self.net, node as u8 + 1), CALLERS_PORT)
    }

    /// Starts the next node, with the settings of the deploy file's template.
    pub fn start_node(&mut self, service: &str, zone: &str) {
        let node = self.nodes.len();
        let ip = ip(self.net, node as u8 + 1);
        let (store, target) = (self.store_address, self.target_address(node));
        let settings = format!(
            r#"{{
  "site": "{REGION}",
  "domain": "{zone}",
  "listen": {{
    "callers": "{ip}:{CALLERS_PORT}",
    "peers": "{ip}:{PEERS_PORT}",
    "backends": "{ip}:{BACKENDS_PORT}",
    "operators": "{ip}:{OPERATORS_PORT}",
    "metrics": "{ip}:{METRICS_PORT}"
  }},
  "store": ["{store}"],
  "fleet_secret": "{REGION}",
  "backend_address": "{target}",
  "caller_service": "{service}",
  "takes_keys": false,
  "retry_slack": 62,
  "stop_timeout_ms": 5500,
  "stop_linger_ms": 2200,
  "announce_timeout_ms": 15000,
  "limits": {{ "header_timeout_ms": 65000 }}
}}
"#
        );
        let path = self.folder.join(format!("node-{node}.json"));
        fs::write(&path, settings).expect("a writable folder");
        let log = File::create(self.folder.join(format!("node-{node}.log")));
        let log = log.expect("a writable folder");
        let errors = log.try_clone().expect("a file");
        let child = Command::new(root().join(PROGRAM))
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file is built");
        self.nodes.push((ip, child));
    }

    /// Waits until all nodes say that they are ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + START_TIME;
        let is_ready = |ip: &IpAddr| {
            let address = SocketAddr::new(*ip, OPERATORS_PORT);
            let limit = Duration::from_secs(1);
            let host = [("Host", "node")];
            let answer = call(address, "GET /ready HTTP/1.1", &host, b"", limit);
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        while Instant::now() < end {
            if self.nodes.iter().all(|(ip, _)| is_ready(ip)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether all node processes still run.
    pub fn is_running(&mut self) -> bool {
        let nodes = &mut self.nodes;
        nodes
            .iter_mut()
            .all(|(_, child)| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for (_, child) in &self.nodes {
            // It may have ended already.
            let _ = Command::new("kill").arg(child.id().to_string()).status();
        }
        let end = Instant::now() + STOP_TIME;
        while Instant::now() < end && self.is_any_running() {
            thread::sleep(Duration::from_millis(50));
        }
        for (_, child) in &mut self.nodes {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Site {
    fn is_any_running(&mut self) -> bool {
        let nodes = &mut self.nodes;
        nodes
            .iter_mut()
            .any(|(_, child)| matches!(child.try_wait(), Ok(None)))
    }
}

/// The root of the repository: `review/` lies in it.
fn root() -> PathBuf {
    let program = std::env::current_exe().unwrap_or_default();
    // The stand-ins are built as target/review/stand-ins.
    program
        .ancestors()
        .nth(3)
        .map_or_else(PathBuf::new, Path::to_path_buf)
}

fn ip(net: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], last))
}

/// A loopback network in which the ports are free.
fn free_net() -> [u8; 2] {
    let id = std::process::id();
    let nets = (0..200).map(|step| {
        [
            100 + (id.wrapping_add(step) >> 8 & 63) as u8,
            (id + step) as u8,
        ]
    });
    let mut nets = nets.filter(|net| {
        let ports = [
            STORE_PORT,
            CALLERS_PORT,
            PEERS_PORT,
            BACKENDS_PORT,
            TARGET_PORT,
        ];
        let is_free = |port: &u16| TcpListener::bind((ip(*net, 1), *port)).is_ok();
        let is_store_free = TcpListener::bind((ip(*net, 250), STORE_PORT)).is_ok();
        ports.iter().all(is_free) && is_store_free
    });
    nets.next().expect("a free loopback network")
}
