//! What the tests of the path share: nodes on loopback and a plain HTTP client.

use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fescueway_config::{ConfigSet, Document, SitePlan};
use fescueway_core::{DomainName, ServiceName, SiteName};
use fescueway_proxy::BackendAnnouncement;
use fescueway_testkit::{BackendPlan, BackendStub, own_loopback};
use fescuewayd::{Daemon, DaemonSettings};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::sleep};

/// Longest wait for something that should happen soon.
pub const SOON: Duration = Duration::from_secs(5);

/// A service on every path: GET is idempotent, all else is not.
pub fn plan(service: &str, deadline: Duration) -> Arc<SitePlan> {
    plan_with(service, deadline, "{}")
}

/// The same with the service's `limit`, in JSON.
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

/// A node on loopback that knows the peers.
pub async fn node(plan: &Arc<SitePlan>, seed_peers: &[SocketAddr]) -> Daemon {
    node_with(plan, seed_peers, |_settings| {}).await
}

/// A node on loopback whose settings are changed before it starts.
pub async fn node_with(
    plan: &Arc<SitePlan>,
    seed_peers: &[SocketAddr],
    change: impl FnOnce(&mut DaemonSettings),
) -> Daemon {
    let mut settings = DaemonSettings::on_loopback(SiteName::from("test"), DomainName::from("a"))
        .with_ip(own_loopback());
    settings.plan = Some(Arc::clone(plan));
    settings.seed_peers = seed_peers.to_vec();
    change(&mut settings);
    Daemon::start(settings).await.expect("loopback has ports")
}

/// Announces a backend server to its node.
pub fn announce(node: &Daemon, service: &str, address: SocketAddr) {
    announce_slots(node, service, address, 10);
}

/// Announces a backend server with this many slots to its node.
pub fn announce_slots(node: &Daemon, service: &str, address: SocketAddr, slots: u32) {
    node.state().announce(&BackendAnnouncement::new(
        ServiceName::from(service),
        address,
        slots,
        50,
    ));
}

/// Waits until `entry` knows `count` targets.
pub async fn knows_targets(entry: &Daemon, count: usize) {
    eventually("the entry knows its targets", || {
        entry.state().routes().targets().len() == count
    })
    .await;
}

/// Waits until `is_so`.
pub async fn eventually(what: &str, mut is_so: impl FnMut() -> bool) {
    for _ in 0..500 {
        if is_so() {
            return;
        }
        sleep(SOON / 500).await;
    }
    panic!("not within {SOON:?}: {what}");
}

/// Sends one request on a connection of its own.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let mut sender = connect(address).await;
    sender.send_request(request).await.expect("an answer")
}

/// Opens a connection for requests, one after the other.
pub async fn connect<B>(address: SocketAddr) -> SendRequest<B>
where
    B: Body<Data = Bytes, Error: Error + Send + Sync> + Send + 'static,
{
    let socket = TcpStream::connect(address).await.expect("the node listens");
    let (sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .expect("a handshake sends nothing");
    tokio::spawn(connection);
    sender
}

/// A request without a body.
pub fn get(path: &str) -> Request<Full<Bytes>> {
    request("GET", path, &[], "")
}

/// A request.
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

/// The whole body as text.
pub async fn text(response: Response<Incoming>) -> String {
    let bytes = response.into_body().collect().await.expect("a whole body");
    String::from_utf8_lossy(&bytes.to_bytes()).into_owned()
}

/// A header's value.
pub fn header<'a>(response: &'a Response<Incoming>, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Starts `count` hosts that join through `entry`, each with a backend server of "windows", and waits
/// until it knows them.
pub async fn hosts(
    plan: &Arc<SitePlan>,
    entry: &Daemon,
    count: usize,
) -> (Vec<Daemon>, Vec<BackendStub>) {
    let mut hosts = Vec::new();
    let mut backends = Vec::new();
    for _ in 0..count {
        let started = BackendStub::start(BackendPlan::default()).await;
        let backend = started.expect("a port");
        let host = node(plan, &[entry.addresses().peers]).await;
        announce(&host, "windows", backend.address());
        hosts.push(host);
        backends.push(backend);
    }
    knows_targets(entry, count).await;
    (hosts, backends)
}

/// An entry without a backend server, and a host with one.
pub struct TwoNodes {
    /// Takes the requests.
    pub entry: Daemon,
    /// Has the backend server.
    pub host: Daemon,
    /// The backend server.
    pub backend: BackendStub,
}

impl TwoNodes {
    /// Starts both; callers wait `deadline`.
    pub async fn start(deadline: Duration, backend: BackendPlan) -> Self {
        Self::start_with(deadline, backend, |_settings| {}).await
    }

    /// Starts both; the entry's settings are changed before.
    pub async fn start_with(
        deadline: Duration,
        backend: BackendPlan,
        change: impl FnOnce(&mut DaemonSettings),
    ) -> Self {
        let plan = plan("windows", deadline);
        let backend = BackendStub::start(backend).await.expect("a port");
        let entry = node_with(&plan, &[], change).await;
        let host = node(&plan, &[entry.addresses().peers]).await;
        announce(&host, "windows", backend.address());
        knows_targets(&entry, 1).await;
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
