//! Three nodes with a backend server each, and a store.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fescueway_config::{ConfigSet, Document, SitePlan};
use fescueway_core::{DomainName, ServiceName, SiteName};
use fescueway_proxy::BackendAnnouncement;
use fescueway_testkit::{BackendPlan, BackendStub, StoreStub, own_loopback};
use fescuewayd::{Daemon, DaemonSettings};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};

/// Longest wait until every partition is kept.
const SETTLE_LIMIT: Duration = Duration::from_mins(1);

/// A service whose POST may not repeat, probed within 20 ms/s.
fn plan() -> Arc<SitePlan> {
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

/// What a caller hears.
#[derive(Debug)]
pub struct Heard {
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    pub original_status: String,
}

impl Fleet {
    /// Starts the nodes, each in a failure domain of its own, and waits until bookings run.
    pub async fn start(backend: BackendPlan) -> Self {
        let mut fleet = Self {
            store: StoreStub::start().await.expect("a port"),
            nodes: Vec::new(),
            backends: Vec::new(),
        };
        for place in 0..3 {
            fleet.add(place, backend.clone()).await;
        }
        fleet.settle().await;
        fleet
    }

    /// Adds a node with a backend server.
    pub async fn add(&mut self, place: usize, backend: BackendPlan) {
        let domain = DomainName::from(["a", "b", "c"][place % 3]);
        let mut settings =
            DaemonSettings::on_loopback(SiteName::from("test"), domain).with_ip(own_loopback());
        settings.plan = Some(plan());
        settings.store = vec![self.store.address()];
        settings.seed_peers = self
            .nodes
            .iter()
            .map(|node| node.addresses().peers)
            .collect();
        let node = Daemon::start(settings).await.expect("loopback has ports");
        let backend = BackendStub::start(backend).await.expect("a port");
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
    pub async fn settle(&self) {
        // A booking that succeeds may have been refused by another host before.
        let start = Instant::now();
        while self
            .nodes
            .iter()
            .any(|node| node.unsettled_partitions() > 0)
        {
            assert!(start.elapsed() < SETTLE_LIMIT, "a partition stays closed");
            sleep(Duration::from_millis(20)).await;
        }
        for node in 0..self.nodes.len() {
            let mut in_row = 0;
            for number in 0.. {
                let key = format!("settle-{node}-{number}");
                let heard = self.book(node, &key).await;
                in_row = if heard.status == 200 { in_row + 1 } else { 0 };
                if in_row == 24 {
                    break;
                }
                assert!(number < 1_000, "{heard:?}");
                if in_row == 0 {
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Books through a node with an idempotency key.
    pub async fn book(&self, node: usize, key: &str) -> Heard {
        let request = Request::post("/book")
            .header("host", "test")
            .header("idempotency-key", key)
            .header("x-run-key", key);
        let request = request.body(Full::default()).expect("a valid request");
        self.send(node, request).await
    }

    /// Sends a request through a node.
    pub async fn send(&self, node: usize, request: Request<Full<Bytes>>) -> Heard {
        let address = self.nodes[node].addresses().callers;
        let socket = TcpStream::connect(address).await.expect("the node listens");
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .expect("a handshake sends nothing");
        tokio::spawn(connection);
        heard(&sender.send_request(request).await.expect("an answer"))
    }

    /// How often requests with `key` ran at all backend servers.
    pub fn runs(&self, key: &str) -> u32 {
        let tallies = self.backends.iter().map(BackendStub::tally);
        tallies
            .map(|tally| tally.runs_by_key.get(key).copied().unwrap_or(0))
            .sum()
    }
}

/// What a caller reads off an answer.
fn heard(response: &Response<Incoming>) -> Heard {
    let field = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    Heard {
        status: response.status().as_u16(),
        outcome: field("fescueway-outcome"),
        reason: field("fescueway-reason"),
        original_status: field("fescueway-original-status"),
    }
}
