//! Checked settings of one daemon.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use fescueway_config::SitePlan;
use fescueway_core::{DomainName, ServiceName, SiteName};
use fescueway_proxy::ProxyLimits;
use log::LevelFilter;

use crate::settings_rules::LOG_LINES;

/// Checked settings of one daemon. A port of zero lets the operating system choose.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// The site that the node belongs to.
    pub site: SiteName,
    /// The failure domain of its VM.
    pub domain: DomainName,
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for streams and datagrams of other nodes; identifies this node to them.
    pub peers: SocketAddr,
    /// Address at which the backend servers of its VM announce themselves.
    pub backends: SocketAddr,
    /// Address of the operators' interface.
    pub operators: SocketAddr,
    /// Additional address that serves only the metrics.
    pub metrics: Option<SocketAddr>,
    /// Peers to join through. The node's own address is ignored.
    pub seed_peers: Vec<SocketAddr>,
    /// Secret shared by all nodes of the fleet, which authenticates their datagrams.
    pub fleet_secret: Arc<str>,
    /// Addresses of the platform's store; empty when there is none.
    pub store: Vec<SocketAddr>,
    /// Logging.
    pub log: LogSettings,
    /// Limits.
    pub limits: ProxyLimits,
    /// How long a stop waits for requests in flight.
    pub stop_timeout: Duration,
    /// A backend server that doesn't announce itself again within this time is considered gone.
    pub announce_timeout: Duration,
    /// How long a stopping node keeps accepting connections, for callers that have not seen yet
    /// that it isn't ready.
    pub stop_linger: Duration,
    /// The only address at which a backend server may announce itself; `None` for any.
    pub backend_address: Option<SocketAddr>,
    /// The service beside the node, named to backend servers as the caller of requests received
    /// here.
    pub caller_service: Option<ServiceName>,
    /// Retries and hedges beyond their share that all entries together may make for a service; `None`
    /// for a fixed number for each entry.
    pub retry_slack: Option<f64>,
    /// Hedges of a service as a share of its first offers, where its configuration doesn't limit them.
    pub hedge_share: Option<f64>,
    /// Hedges per second of a service, of all entries together, where its configuration doesn't limit
    /// them.
    pub hedge_per_s: Option<f64>,
    /// Whether requests are deduplicated by their idempotency keys.
    pub takes_keys: bool,
    /// Maximum age of a proof that the configuration is the latest one, up to which the keys of client
    /// accounts are accepted; `None` for no bound.
    pub key_proof: Option<Duration>,
    /// Whether operators evacuate failure domains by keys in the store.
    pub evacuations: bool,
    /// Optional interfaces of the installation that the deployment uses. One may enable evacuations or
    /// client accounts, as the adapter says.
    pub interfaces: BTreeSet<String>,
    /// The initial configuration, in force until the store or a peer has a newer one.
    pub plan: Option<Arc<SitePlan>>,
}

/// Logging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogSettings {
    /// Records below this level are dropped.
    pub level: LevelFilter,
    /// Maximum lines per second of each kind about single requests. Above zero.
    pub lines_per_s: f64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            lines_per_s: LOG_LINES.default,
        }
    }
}

impl DaemonSettings {
    /// Settings for `site` in `domain` on ports of loopback that the operating system chooses.
    #[must_use]
    pub fn on_loopback(site: SiteName, domain: DomainName) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            site,
            domain,
            callers: any_port,
            peers: any_port,
            backends: any_port,
            operators: any_port,
            metrics: None,
            seed_peers: Vec::new(),
            fleet_secret: Arc::from(""),
            store: Vec::new(),
            log: LogSettings::default(),
            limits: ProxyLimits::default(),
            stop_timeout: Duration::from_secs(10),
            announce_timeout: Duration::from_secs(10),
            stop_linger: Duration::ZERO,
            backend_address: None,
            caller_service: None,
            retry_slack: None,
            hedge_share: None,
            hedge_per_s: None,
            takes_keys: true,
            key_proof: None,
            evacuations: false,
            interfaces: BTreeSet::new(),
            plan: None,
        }
    }

    /// The same settings with all listening addresses on `ip`.
    #[must_use]
    pub fn with_ip(mut self, ip: IpAddr) -> Self {
        for address in [
            &mut self.callers,
            &mut self.peers,
            &mut self.backends,
            &mut self.operators,
        ] {
            address.set_ip(ip);
        }
        self
    }
}
