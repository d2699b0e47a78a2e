//! Connections between nodes that go silent for good, without a reset, while new ones work.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use fescueway_core::{DomainName, ServiceName, TargetRecord, TargetState};
use fescueway_testkit::{BackendPlan, BackendStub};
use fescueway_wire::ControlKind;
use fescuewayd::Daemon;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
};

use crate::common::{announce, get, plan, request, send, start_node, start_node_with, wait_until};

const DEADLINE: Duration = Duration::from_secs(6);

/// Time after which a connection was not used lately.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// Forwards connections to a node. Its connections can go silent for good.
#[derive(Clone)]
struct SilentProxy {
    address: SocketAddr,
    /// Number of connections so far.
    count: Arc<AtomicU64>,
    /// Connections up to this number forward nothing.
    silent: Arc<AtomicU64>,
}

impl SilentProxy {
    async fn start(node: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let proxy = Self {
            address: listener.local_addr().expect("bound"),
            count: Arc::default(),
            silent: Arc::default(),
        };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let number = serving.count.fetch_add(1, Ordering::Relaxed) + 1;
                let node = TcpStream::connect(node).await.expect("the node listens");
                let (from_caller, to_caller) = caller.into_split();
                let (from_node, to_node) = node.into_split();
                tokio::spawn(serving.clone().forward(number, from_caller, to_node));
                tokio::spawn(serving.clone().forward(number, from_node, to_caller));
            }
        });
        proxy
    }

    /// Lets all open connections go silent.
    fn silence(&self) {
        let count = self.count.load(Ordering::Relaxed);
        self.silent.store(count, Ordering::Relaxed);
    }

    /// Forwards one direction. A silent connection is still read, so that its bytes are acknowledged.
    async fn forward(self, number: u64, mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf) {
        let mut buffer = [0; 16 * 1_024];
        while let Ok(length @ 1..) = reader.read(&mut buffer).await {
            let is_silent = number <= self.silent.load(Ordering::Relaxed);
            if !is_silent && writer.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
        if number <= self.silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

/// An entry, and hosts that it reaches through proxies only.
struct ProxiedHosts {
    entry: Daemon,
    hosts: Vec<Daemon>,
    proxies: Vec<SilentProxy>,
    backends: Vec<BackendStub>,
}

impl ProxiedHosts {
    async fn start(count: usize, service_time: Duration) -> Self {
        let plan = plan("windows", DEADLINE);
        // The hosts don't join the entry, which would learn their own addresses.
        let entry = start_node(&plan, &[]).await;
        let (mut hosts, mut proxies, mut backends) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..count {
            let backend = BackendPlan {
                service_time,
                ..BackendPlan::default()
            };
            let backend = BackendStub::start(backend).await.expect("a free port");
            let host = start_node(&plan, &[]).await;
            announce(&host, "windows", backend.address());
            let proxy = SilentProxy::start(host.addresses().peers).await;
            entry.state().set_target(&TargetRecord {
                node: host.state().node(),
                service: ServiceName::from("windows"),
                peer_address: proxy.address,
                domain: DomainName::from("a"),
                slots: 10,
                connections: 50,
                state: TargetState::Serving,
            });
            hosts.push(host);
            proxies.push(proxy);
            backends.push(backend);
        }
        let started = Self {
            entry,
            hosts,
            proxies,
            backends,
        };
        for number in 0..20 {
            assert_eq!(started.read(number).await, 200);
        }
        started
    }

    async fn read(&self, number: u32) -> u16 {
        let path = format!("/windows/{number}");
        let response = send(self.entry.addresses().callers, get(&path)).await;
        response.status().as_u16()
    }

    fn silence(&self) {
        for proxy in &self.proxies {
            proxy.silence();
        }
    }

    fn runs(&self) -> u64 {
        let runs = self.backends.iter().map(|backend| backend.tally().runs);
        runs.sum()
    }
}

/// Guards against a connection that gets new requests for 5 s after it went silent: the users' day
/// `severed`.
#[tokio::test]
async fn reads_are_served_while_connections_between_nodes_went_silent() {
    let nodes = ProxiedHosts::start(3, Duration::from_millis(20)).await;
    sleep(QUIET_TIME).await;
    nodes.silence();
    let start = Instant::now();
    for number in 0..60 {
        assert_eq!(nodes.read(100 + number).await, 200);
    }
    // Each of three connections costs one read its detection.
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against a booking that is lost although its connection could have been checked first: the users'
/// day `severed`.
#[tokio::test]
async fn booking_is_not_sent_on_a_connection_that_went_silent() {
    let nodes = ProxiedHosts::start(1, Duration::from_millis(20)).await;
    sleep(QUIET_TIME).await;
    nodes.silence();
    let runs = nodes.runs();
    let booking = request("POST", "/windows/1", &[], "a booking");
    let response = send(nodes.entry.addresses().callers, booking).await;
    assert_eq!(response.status(), 200);
    assert_eq!(nodes.runs(), runs + 1);
}

/// Guards against a caller that waits until its deadline for an answer that can't come: the users' day
/// `severed`.
#[tokio::test]
async fn booking_in_flight_on_a_connection_that_went_silent_is_answered_before_its_deadline() {
    let nodes = ProxiedHosts::start(1, Duration::from_millis(100)).await;
    let callers = nodes.entry.addresses().callers;
    let runs = nodes.runs();
    let booking = request("POST", "/windows/1", &[], "a booking");
    let start = Instant::now();
    let booking = tokio::spawn(send(callers, booking));
    while nodes.runs() == runs {
        sleep(Duration::from_millis(1)).await;
    }
    nodes.silence();
    let response = booking.await.expect("an answer");
    assert_eq!(response.status(), 502);
    assert!(start.elapsed() < DEADLINE / 2, "{:?}", start.elapsed());
    assert_eq!(nodes.runs(), runs + 1);
}

/// Guards against a configuration that is fetched from one peer after another on connections that went
/// silent, 1 s each: rule CONFIG on the users' day `severed`, seed 1, at a deployment of 80 nodes.
#[tokio::test]
async fn control_call_is_answered_after_its_connection_went_silent() {
    let nodes = ProxiedHosts::start(1, Duration::from_millis(20)).await;
    let controls = nodes.hosts[0].state().controls();
    controls.register(ControlKind::Claim, |_peer, body| async move { Ok(body) });
    sleep(QUIET_TIME).await;
    nodes.silence();
    let (peers, host) = (nodes.entry.state().peers(), nodes.proxies[0].address);
    let calling = peers.call(host, ControlKind::Claim, vec![7], Duration::from_secs(1));
    assert_eq!(calling.await.expect("an answer"), [7]);
}

/// Guards against supervision that outlives its connection, one task for each connection that ever was.
#[tokio::test]
async fn supervision_of_a_connection_ends_with_it() {
    let plan = plan("windows", DEADLINE);
    let host = start_node(&plan, &[]).await;
    let controls = host.state().controls();
    controls.register(ControlKind::Claim, |_peer, body| async move { Ok(body) });
    let entry = start_node_with(&plan, &[], |settings| {
        settings.limits.connection_idle = QUIET_TIME;
    })
    .await;
    let (peers, tasks) = (entry.state().peers(), entry.state().tasks());
    let count = tasks.count();
    for _ in 0..3 {
        let address = host.addresses().peers;
        let calling = peers.call(address, ControlKind::Claim, vec![7], DEADLINE);
        assert_eq!(calling.await.expect("an answer"), [7]);
        let is_idle = || peers.connected().is_empty();
        wait_until("the idle connection is closed", is_idle).await;
    }
    wait_until("no task is left", || tasks.count() <= count).await;
}
