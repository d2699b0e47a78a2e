//! Nodes on loopback and an HTTP client for the tests of the request path.

use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fescueway_config::{ConfigSet, Document, SitePlan};
use fescueway_core::{DomainName, ServiceName, SiteName};
use fescueway_proxy::BackendAnnouncement;
use fescueway_testkit::{BackendPlan, BackendStub, unique_loopback};
use fescuewayd::{Daemon, DaemonSettings};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::sleep};

/// Longest wait for a condition that a test expects.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// One service on all paths: GET is idempotent, all other methods are not.
pub fn plan(service: &str, deadline: Duration) -> Arc<SitePlan> {
    plan_with(service, deadline, "{}")
}

/// Like [`plan`], with the service's `limit` as JSON.
pub fn plan_with(service: &str, deadline: Duration, limit: &str) -> Arc<SitePlan> {
    let deadline_ms = deadline.as_millis();
    let base = format!(
        r#"{{ "services": {{ "{service}": {{
            "path_prefixes": ["/"],
            "limit": {limit},
            "default_route": {{ "idempotency": "non-idempotent", "deadline_ms": {deadline_ms} }},
            "routes": {{ "read": {{
                "method": "GET", "path_prefix": "/",
                "idempotency": "idempotent", "deadline_ms": {deadline_ms}
            }} }}
        }} }} }}"#
    );
    let base = Document::parse("base.json", &base).expect("valid JSON");
    let overlay = Document::parse("test.json", r#"{ "site": "test" }"#).expect("valid JSON");
    let config = ConfigSet::check(&base, &[overlay]).expect("a valid configuration");
    Arc::new(config.sites()[&SiteName::from("test")].clone())
}

/// Starts a node on loopback that joins through the seed peers.
pub async fn start_node(plan: &Arc<SitePlan>, seed_peers: &[SocketAddr]) -> Daemon {
    start_node_with(plan, seed_peers, |_settings| {}).await
}

/// Starts a node on loopback with settings that `change` adjusts.
pub async fn start_node_with(
    plan: &Arc<SitePlan>,
    seed_peers: &[SocketAddr],
    change: impl FnOnce(&mut DaemonSettings),
) -> Daemon {
    let mut settings = DaemonSettings::on_loopback(SiteName::from("test"), DomainName::from("a"))
        .with_ip(unique_loopback());
    settings.plan = Some(Arc::clone(plan));
    settings.seed_peers = seed_peers.to_vec();
    change(&mut settings);
    Daemon::start(settings)
        .await
        .expect("free ports on loopback")
}

/// Announces a backend server with 10 slots to its node.
pub fn announce(node: &Daemon, service: &str, address: SocketAddr) {
    announce_slots(node, service, address, 10);
}

/// Announces a backend server with this number of slots to its node.
pub fn announce_slots(node: &Daemon, service: &str, address: SocketAddr, slots: u32) {
    node.state().announce(&BackendAnnouncement::new(
        ServiceName::from(service),
        address,
        slots,
        50,
    ));
}

/// Waits until `entry` knows `count` targets.
pub async fn wait_until_targets_known(entry: &Daemon, count: usize) {
    wait_until("the entry knows its targets", || {
        entry.state().routes().targets().len() == count
    })
    .await;
}

/// Waits until the condition holds.
pub async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        sleep(WAIT_TIMEOUT / 500).await;
    }
    panic!("not within {WAIT_TIMEOUT:?}: {description}");
}

/// Sends one request on a connection of its own.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let mut sender = connect(address).await;
    sender.send_request(request).await.expect("a response")
}

/// Opens an HTTP/1.1 connection that sends one request at a time.
pub async fn connect<B>(address: SocketAddr) -> SendRequest<B>
where
    B: Body<Data = Bytes, Error: Error + Send + Sync> + Send + 'static,
{
    let socket = TcpStream::connect(address).await.expect("the node listens");
    let (sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .expect("the handshake does no I/O");
    tokio::spawn(connection);
    sender
}

/// A GET request without headers or a body.
pub fn get(path: &str) -> Request<Full<Bytes>> {
    request("GET", path, &[], "")
}

/// A request with the given headers and body.
pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::from(body)).expect("a valid request")
}

/// Reads the whole body as text.
pub async fn text(response: Response<Incoming>) -> String {
    let bytes = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    String::from_utf8_lossy(&bytes.to_bytes()).into_owned()
}

/// The value of a header, empty if it is absent.
pub fn header<'a>(response: &'a Response<Incoming>, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Starts `count` hosts that join through `entry`, each with a backend server of "windows", and
/// waits until the entry knows them.
pub async fn start_hosts(
    plan: &Arc<SitePlan>,
    entry: &Daemon,
    count: usize,
) -> (Vec<Daemon>, Vec<BackendStub>) {
    let mut hosts = Vec::new();
    let mut backends = Vec::new();
    for _ in 0..count {
        let started = BackendStub::start(BackendPlan::default()).await;
        let backend = started.expect("a free port");
        let host = start_node(plan, &[entry.addresses().peers]).await;
        announce(&host, "windows", backend.address());
        hosts.push(host);
        backends.push(backend);
    }
    wait_until_targets_known(entry, count).await;
    (hosts, backends)
}

/// An entry without a backend server, and a host with one.
pub struct TwoNodes {
    /// Receives the requests of callers.
    pub entry: Daemon,
    /// The node beside the backend server.
    pub host: Daemon,
    /// The backend server.
    pub backend: BackendStub,
}

impl TwoNodes {
    /// Starts both nodes; `deadline` is the service's deadline.
    pub async fn start(deadline: Duration, backend: BackendPlan) -> Self {
        Self::start_with(deadline, backend, |_settings| {}).await
    }

    /// Starts both nodes; `change` adjusts the settings of the entry.
    pub async fn start_with(
        deadline: Duration,
        backend: BackendPlan,
        change: impl FnOnce(&mut DaemonSettings),
    ) -> Self {
        let plan = plan("windows", deadline);
        let backend = BackendStub::start(backend).await.expect("a free port");
        let entry = start_node_with(&plan, &[], change).await;
        let host = start_node(&plan, &[entry.addresses().peers]).await;
        announce(&host, "windows", backend.address());
        wait_until_targets_known(&entry, 1).await;
        Self {
            entry,
            host,
            backend,
        }
    }

    /// Sends one request to the entry.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        send(self.entry.addresses().callers, request).await
    }
}
