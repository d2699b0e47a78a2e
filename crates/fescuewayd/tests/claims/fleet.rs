//! Three nodes with a backend server each, and a store.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fescueway_config::{ConfigSet, Document, SitePlan};
use fescueway_core::{DomainName, ServiceName, SiteName};
use fescueway_proxy::BackendAnnouncement;
use fescueway_testkit::{BackendPlan, BackendStub, StoreStub, unique_loopback};
use fescuewayd::{Daemon, DaemonSettings};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};

/// Longest wait until no node has an unsettled partition.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);

/// One service with idempotent GETs and non-idempotent POSTs. Probes may take 20 ms/s.
fn site_plan() -> Arc<SitePlan> {
    let base = r#"{ "services": { "bookings": {
        "path_prefixes": ["/"],
        "default_route": { "idempotency": "non-idempotent", "deadline_ms": 2000 },
        "routes": { "read": { "method": "GET", "path_prefix": "/",
            "idempotency": "idempotent", "deadline_ms": 2000 } },
        "probe": { "budget_ms_per_s": 20, "path": "/load", "timeout_ms": 100 },
        "claim": { "partitions": 4, "retention_s": 3600 }
    } } }"#;
    let base = Document::parse("base.json", base).expect("valid JSON");
    let overlay = Document::parse("test.json", r#"{ "site": "test" }"#).expect("valid JSON");
    let config = ConfigSet::check(&base, &[overlay]).expect("a valid configuration");
    Arc::new(config.sites()[&SiteName::from("test")].clone())
}

/// Three nodes with a backend server each, and a store.
pub struct Fleet {
    pub store: StoreStub,
    pub nodes: Vec<Daemon>,
    pub backends: Vec<BackendStub>,
}

/// Status and fescueway headers of a response to a caller.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    pub original_status: String,
}

impl Fleet {
    /// Starts the nodes, each in a failure domain of its own, and waits until every node can
    /// claim idempotency keys.
    pub async fn start(backend: BackendPlan) -> Self {
        let mut fleet = Self {
            store: StoreStub::start().await.expect("a free port"),
            nodes: Vec::new(),
            backends: Vec::new(),
        };
        for index in 0..3 {
            fleet.add(index, backend.clone()).await;
        }
        fleet.wait_until_settled().await;
        fleet
    }

    /// Adds a node with a backend server.
    pub async fn add(&mut self, index: usize, backend: BackendPlan) {
        let domain = DomainName::from(["a", "b", "c"][index % 3]);
        let mut settings =
            DaemonSettings::on_loopback(SiteName::from("test"), domain).with_ip(unique_loopback());
        settings.plan = Some(site_plan());
        settings.store = vec![self.store.address()];
        settings.seed_peers = self
            .nodes
            .iter()
            .map(|node| node.addresses().peers)
            .collect();
        let node = Daemon::start(settings)
            .await
            .expect("free ports on loopback");
        let backend = BackendStub::start(backend).await.expect("a free port");
        node.state().announce(&BackendAnnouncement::new(
            ServiceName::from("bookings"),
            backend.address(),
            10,
            50,
        ));
        self.nodes.push(node);
        self.backends.push(backend);
    }

    /// Waits until a key of each partition can be claimed at every node.
    pub async fn wait_until_settled(&self) {
        // A success doesn't show that all partitions are settled: another host may have refused the
        // booking before.
        let start = Instant::now();
        while self
            .nodes
            .iter()
            .any(|node| node.unsettled_partitions() > 0)
        {
            assert!(
                start.elapsed() < SETTLE_TIMEOUT,
                "a partition stays unsettled"
            );
            sleep(Duration::from_millis(20)).await;
        }
        for node in 0..self.nodes.len() {
            let mut consecutive_successes = 0;
            for number in 0.. {
                let key = format!("settle-{node}-{number}");
                let response = self.book(node, &key).await;
                consecutive_successes = if response.status == 200 {
                    consecutive_successes + 1
                } else {
                    0
                };
                if consecutive_successes == 24 {
                    break;
                }
                assert!(number < 1_000, "{response:?}");
                if consecutive_successes == 0 {
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Sends a booking with an idempotency key through a node.
    pub async fn book(&self, node: usize, key: &str) -> CallerResponse {
        self.book_as(node, key, "none").await
    }

    /// As [`Fleet::book`], with the key of a client account.
    pub async fn book_as(&self, node: usize, key: &str, account_key: &str) -> CallerResponse {
        let request = Request::post("/book")
            .header("host", "test")
            .header("fescueway-api-key", account_key)
            .header("idempotency-key", key)
            .header("x-run-key", key);
        let request = request.body(Full::default()).expect("a valid request");
        self.send(node, request).await
    }

    /// Sends a request through a node.
    pub async fn send(&self, node: usize, request: Request<Full<Bytes>>) -> CallerResponse {
        let address = self.nodes[node].addresses().callers;
        let socket = TcpStream::connect(address).await.expect("the node listens");
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .expect("the handshake does no I/O");
        tokio::spawn(connection);
        caller_response(&sender.send_request(request).await.expect("a response"))
    }

    /// Number of runs of requests with `key`, summed over all backend servers.
    pub fn runs(&self, key: &str) -> u32 {
        let tallies = self.backends.iter().map(BackendStub::tally);
        tallies
            .map(|tally| tally.runs_by_key.get(key).copied().unwrap_or(0))
            .sum()
    }
}

/// Reads the status and the fescueway headers of a response.
fn caller_response(response: &Response<Incoming>) -> CallerResponse {
    let header_text = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    CallerResponse {
        status: response.status().as_u16(),
        outcome: header_text("fescueway-outcome"),
        reason: header_text("fescueway-reason"),
        original_status: header_text("fescueway-original-status"),
    }
}
