//! One running node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fescueway_core::NodeId;
use fescueway_proxy::{ProxyOptions, ProxyState, TaskGroup, serve_callers, serve_peers};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{DaemonError, DaemonSettings, DaemonStep, announce_task::run_announcements};

/// How often a stopping daemon looks whether its last request is done.
const STOP_POLL: Duration = Duration::from_millis(20);

/// One running node. Dropping it leaves it running; [`Daemon::stop`] ends it in order.
#[derive(Debug)]
pub struct Daemon {
    /// The path of requests.
    state: ProxyState,
    /// Where it listens.
    addresses: DaemonAddresses,
    /// What it was started with.
    settings: Arc<DaemonSettings>,
    /// Stops taking callers' connections.
    closing_callers: CancellationToken,
    /// Stops taking peers' connections.
    closing_peers: CancellationToken,
}

/// Where a daemon listens, with the ports that the operating system chose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For the backend servers of its VM.
    pub backends: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// The sockets of a daemon.
struct DaemonSockets {
    /// For callers.
    callers: TcpListener,
    /// For other nodes.
    peers: TcpListener,
    /// For the backend servers of its VM.
    backends: TcpListener,
    /// For operators.
    operators: TcpListener,
}

impl Daemon {
    /// Starts a node on the current runtime.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let sockets = DaemonSockets::bind(&settings).await?;
        let addresses = sockets.addresses(&settings);
        let tasks = TaskGroup::default();
        let options = proxy_options(&settings, addresses.peers)?;
        let state = ProxyState::new(options, tasks);
        if let Some(plan) = &settings.plan {
            state.apply_plan(Arc::clone(plan));
        }
        let daemon = Self {
            state,
            addresses,
            settings: Arc::new(settings),
            closing_callers: CancellationToken::new(),
            closing_peers: CancellationToken::new(),
        };
        daemon.run(sockets);
        Ok(daemon)
    }

    /// The path of requests.
    #[must_use]
    pub fn state(&self) -> &ProxyState {
        &self.state
    }

    /// Where it listens.
    #[must_use]
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Takes no new work, finishes what is in flight within the time that the settings allow,
    /// says goodbye to its peers, and ends.
    pub async fn stop(self) {
        for service in self.state.local_services() {
            self.state.drain(&service);
        }
        self.closing_callers.cancel();
        let end = Instant::now() + self.settings.stop_timeout;
        while !self.is_idle() && Instant::now() < end {
            sleep(STOP_POLL).await;
        }
        for service in self.state.local_services() {
            self.state.withdraw(&service);
        }
        self.closing_peers.cancel();
        let left = end.saturating_duration_since(Instant::now());
        let finished = self.state.tasks().finished();
        // Whatever is left is over its time.
        let _ = timeout(left.min(STOP_POLL), finished).await;
        self.state.tasks().cancel();
    }

    /// Ends at once, as a crash would.
    pub fn kill(self) {
        self.state.tasks().cancel();
    }

    /// Starts every task.
    fn run(&self, sockets: DaemonSockets) {
        let state = &self.state;
        let tasks = state.tasks();
        let callers = self.closing_callers.clone();
        tasks.spawn(serve_callers(state.clone(), sockets.callers, callers));
        let peers = self.closing_peers.clone();
        tasks.spawn(serve_peers(state.clone(), sockets.peers, peers));
        run_announcements(state, &self.settings.seed_peers);
        drop((sockets.backends, sockets.operators));
    }

    /// Whether nothing is in flight.
    fn is_idle(&self) -> bool {
        let services = self.state.local_services();
        let mut targets = services
            .iter()
            .filter_map(|service| self.state.host_target(service));
        targets.all(|target| target.is_idle()) && self.state.open_requests() == 0
    }
}

impl DaemonSockets {
    /// Binds every address of the settings.
    async fn bind(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        Ok(Self {
            callers: bind(DaemonStep::Callers, settings.callers).await?,
            peers: bind(DaemonStep::Peers, settings.peers).await?,
            backends: bind(DaemonStep::Backends, settings.backends).await?,
            operators: bind(DaemonStep::Operators, settings.operators).await?,
        })
    }

    /// Where they listen; an address that can't be told is as in the settings.
    fn addresses(&self, settings: &DaemonSettings) -> DaemonAddresses {
        let local = |listener: &TcpListener, wanted| listener.local_addr().unwrap_or(wanted);
        DaemonAddresses {
            callers: local(&self.callers, settings.callers),
            peers: local(&self.peers, settings.peers),
            backends: local(&self.backends, settings.backends),
            operators: local(&self.operators, settings.operators),
        }
    }
}

/// Binds one address.
async fn bind(step: DaemonStep, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| DaemonError::Bind {
        step,
        address,
        source,
    })
}

/// What the path starts with.
fn proxy_options(
    settings: &DaemonSettings,
    peer_address: SocketAddr,
) -> Result<ProxyOptions, DaemonError> {
    let random = || getrandom::u64().map_err(DaemonError::Random);
    Ok(ProxyOptions {
        node: NodeId(random()?),
        domain: settings.domain.clone(),
        site: settings.site.clone(),
        peer_address,
        limits: settings.limits.clone(),
        seed: random()?,
        secret: u128::from(random()?) << 64 | u128::from(random()?),
    })
}
