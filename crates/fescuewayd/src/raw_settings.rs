//! Settings as read from the file, and their validation.

use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf, time::Duration};

use fescueway_config::{FieldFault, NumberRule};
use fescueway_core::{DomainName, ServiceName, SiteName};
use fescueway_proxy::ProxyLimits;
use log::LevelFilter;
use serde::Deserialize;
use serde_json::Number;

use crate::{DaemonSettings, LogSettings, settings_rules as rules};

/// Settings as read from the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct RawSettings {
    /// The site that the node belongs to.
    pub site: String,
    /// The failure domain of its VM.
    pub domain: String,
    /// Its own addresses.
    pub listen: RawListen,
    /// Peers to join through.
    #[serde(default)]
    pub seed_peers: Vec<String>,
    /// Secret shared by all nodes of the fleet.
    #[serde(default)]
    pub fleet_secret: String,
    /// Addresses of the platform's store.
    #[serde(default)]
    pub store: Vec<String>,
    /// The initial configuration, in force until the store or a peer has a newer one.
    pub plan_files: Option<RawPlanFiles>,
    /// Logging.
    #[serde(default)]
    pub log: RawLog,
    /// Limits.
    #[serde(default)]
    pub limits: RawLimits,
    /// How long a stop waits for requests in flight.
    pub stop_timeout_ms: Option<Number>,
    /// Time after which a stopping process is killed.
    pub stop_grace_ms: Option<Number>,
    /// How long an announcement is valid.
    pub announce_timeout_ms: Option<Number>,
    /// How long a stopping node keeps accepting connections.
    pub stop_linger_ms: Option<Number>,
    /// The only address at which a backend server may announce itself.
    pub backend_address: Option<String>,
    /// The service beside the node, named to backend servers as the caller of requests received
    /// here.
    pub caller_service: Option<String>,
    /// Retries and hedges beyond their share that all entries together may make for a service.
    pub retry_slack: Option<Number>,
    /// Maximum hedges of a service whose configuration doesn't limit them, as a share of the first
    /// offers.
    pub hedge_share: Option<Number>,
    /// Maximum hedges per second of such a service.
    pub hedge_per_s: Option<Number>,
    /// Whether requests are deduplicated by their idempotency keys.
    pub takes_keys: Option<bool>,
    /// Maximum age of a proof that the configuration is the latest one.
    pub key_proof_ms: Option<Number>,
    /// Whether operators evacuate failure domains by keys in the store.
    pub evacuations: Option<bool>,
    /// Optional interfaces of the installation that the deployment uses.
    #[serde(default)]
    pub interfaces: BTreeSet<String>,
}

/// The node's own addresses, each an IP address and a port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct RawListen {
    /// For callers.
    pub callers: String,
    /// For other nodes.
    pub peers: String,
    /// For the backend servers of its VM.
    pub backends: Option<String>,
    /// For operators.
    pub operators: Option<String>,
    /// For metrics only.
    pub metrics: Option<String>,
}

/// Files with a configuration. Paths are relative to the settings' folder.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct RawPlanFiles {
    /// The base.
    pub base: PathBuf,
    /// The overlays of all sites.
    #[serde(default)]
    pub overlays: Vec<PathBuf>,
}

/// Logging.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawLog {
    /// The lowest level.
    pub level: Option<String>,
    /// Maximum lines per second of each kind about single requests.
    pub lines_per_s: Option<Number>,
}

/// Limits on the resources that callers and peers can use.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawLimits {
    /// Maximum number of open connections of callers.
    pub caller_connections: Option<Number>,
    /// Maximum number of open connections of peers.
    pub peer_connections: Option<Number>,
    /// Maximum size of a request head in bytes.
    pub header_bytes: Option<Number>,
    /// Maximum size of a request body in bytes.
    pub body_bytes: Option<Number>,
    /// Timeout for receiving a request's head.
    pub header_timeout_ms: Option<Number>,
    /// Timeout between bytes of a body.
    pub body_idle_ms: Option<Number>,
    /// Timeout for opening a connection.
    pub connect_timeout_ms: Option<Number>,
    /// Time after which an idle connection closes.
    pub connection_idle_ms: Option<Number>,
}

/// Levels of the log by their names.
const LOG_LEVELS: [(&str, LevelFilter); 4] = [
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
];

/// Default of `listen.backends`.
const DEFAULT_BACKENDS_ADDRESS: &str = "127.0.0.1:7072";

/// Default of `listen.operators`.
const DEFAULT_OPERATORS_ADDRESS: &str = "127.0.0.1:7073";

impl TryFrom<RawSettings> for DaemonSettings {
    type Error = FieldFault;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        let listen = raw.listen;
        let backends = listen
            .backends
            .as_deref()
            .unwrap_or(DEFAULT_BACKENDS_ADDRESS);
        let operators = listen
            .operators
            .as_deref()
            .unwrap_or(DEFAULT_OPERATORS_ADDRESS);
        Ok(Self {
            site: SiteName::new(name("site", raw.site)?),
            domain: DomainName::new(name("domain", raw.domain)?),
            callers: address("listen.callers", &listen.callers)?,
            peers: peer_address("listen.peers", &listen.peers)?,
            backends: address("listen.backends", backends)?,
            operators: address("listen.operators", operators)?,
            metrics: optional_address("listen.metrics", listen.metrics.as_deref())?,
            seed_peers: addresses("seed_peers", &raw.seed_peers)?,
            fleet_secret: raw.fleet_secret.into(),
            store: addresses("store", &raw.store)?,
            log: LogSettings::try_from(raw.log)?,
            limits: ProxyLimits::try_from(raw.limits)?,
            stop_timeout: stop_timeout(raw.stop_timeout_ms.as_ref(), raw.stop_grace_ms.as_ref())?,
            announce_timeout: millis(&rules::ANNOUNCE_TIMEOUT, raw.announce_timeout_ms.as_ref())?,
            stop_linger: millis(&rules::STOP_LINGER, raw.stop_linger_ms.as_ref())?,
            backend_address: optional_address("backend_address", raw.backend_address.as_deref())?,
            caller_service: raw.caller_service.map(ServiceName::new),
            retry_slack: rules::RETRY_SLACK.check_optional(
                rules::RETRY_SLACK.field.to_owned(),
                raw.retry_slack.as_ref(),
            )?,
            hedge_share: rules::HEDGE_SHARE.check_optional(
                rules::HEDGE_SHARE.field.to_owned(),
                raw.hedge_share.as_ref(),
            )?,
            hedge_per_s: rules::HEDGE_PER_S.check_optional(
                rules::HEDGE_PER_S.field.to_owned(),
                raw.hedge_per_s.as_ref(),
            )?,
            takes_keys: raw.takes_keys.unwrap_or(true),
            key_proof: rules::KEY_PROOF
                .check_optional(rules::KEY_PROOF.field.to_owned(), raw.key_proof_ms.as_ref())?
                .map(|bound_ms| Duration::from_secs_f64(bound_ms / 1_000.0)),
            evacuations: raw.evacuations.unwrap_or(false),
            interfaces: raw.interfaces,
            plan: None,
        })
    }
}

impl TryFrom<RawLog> for LogSettings {
    type Error = FieldFault;

    fn try_from(raw: RawLog) -> Result<Self, Self::Error> {
        let level = raw.level.as_deref().unwrap_or("info");
        let known = LOG_LEVELS.iter().find(|known| known.0 == level);
        let (_name, level) = known.ok_or_else(|| {
            let allowed = "error, warn, info or debug";
            FieldFault::new("log.level", format!("{level:?}"), allowed)
        })?;
        Ok(Self {
            level: *level,
            lines_per_s: number(&rules::LOG_LINES, raw.lines_per_s.as_ref())? as f64,
        })
    }
}

impl TryFrom<RawLimits> for ProxyLimits {
    type Error = FieldFault;

    fn try_from(raw: RawLimits) -> Result<Self, Self::Error> {
        Ok(Self {
            caller_connections: number(&rules::CALLER_CONNECTIONS, raw.caller_connections.as_ref())?
                as usize,
            peer_connections: number(&rules::PEER_CONNECTIONS, raw.peer_connections.as_ref())?
                as usize,
            header_bytes: number(&rules::HEADER_BYTES, raw.header_bytes.as_ref())? as usize,
            body_bytes: number(&rules::BODY_BYTES, raw.body_bytes.as_ref())?,
            header_timeout: millis(&rules::HEADER_TIMEOUT, raw.header_timeout_ms.as_ref())?,
            body_idle: millis(&rules::BODY_IDLE, raw.body_idle_ms.as_ref())?,
            connect_timeout: millis(&rules::CONNECT_TIMEOUT, raw.connect_timeout_ms.as_ref())?,
            connection_idle: millis(&rules::CONNECTION_IDLE, raw.connection_idle_ms.as_ref())?,
        })
    }
}

/// Checks a whole number.
fn number(rule: &NumberRule, raw: Option<&Number>) -> Result<u64, FieldFault> {
    Ok(rule.check_at(rule.field.to_owned(), raw)? as u64)
}

/// Checks a time in milliseconds.
fn millis(rule: &NumberRule, raw: Option<&Number>) -> Result<Duration, FieldFault> {
    Ok(Duration::from_millis(number(rule, raw)?))
}

/// How long a stop waits for requests in flight: what the settings allow, but not until the process is
/// killed.
fn stop_timeout(timeout: Option<&Number>, grace: Option<&Number>) -> Result<Duration, FieldFault> {
    let timeout = millis(&rules::STOP_TIMEOUT, timeout)?;
    let grace = rules::STOP_GRACE.check_optional(rules::STOP_GRACE.field.to_owned(), grace)?;
    let limit = grace.map(|grace_ms| Duration::from_secs_f64(grace_ms / 1_000.0) * 11 / 12);
    Ok(limit.map_or(timeout, |limit| timeout.min(limit)))
}

/// Checks that a name is not empty.
fn name(field: &str, text: String) -> Result<String, FieldFault> {
    if text.trim().is_empty() {
        return Err(FieldFault::new(field, "an empty text", "a name"));
    }
    Ok(text)
}

/// Parses an IP address and a port. Host names are not resolved.
fn address(field: &str, text: &str) -> Result<SocketAddr, FieldFault> {
    let parsed = text.parse();
    parsed.map_err(|_unreadable| {
        let allowed = "an IP number and a port, such as 10.0.0.1:7071 or [fd00::1]:7071";
        FieldFault::new(field, format!("\"{text}\""), allowed)
    })
}

/// Parses the address at which other nodes reach this one.
fn peer_address(field: &str, text: &str) -> Result<SocketAddr, FieldFault> {
    let parsed = address(field, text)?;
    if parsed.ip().is_unspecified() {
        let allowed = "the address by which other nodes reach this one";
        return Err(FieldFault::new(field, format!("\"{text}\""), allowed));
    }
    Ok(parsed)
}

/// Parses an optional address.
fn optional_address(field: &str, text: Option<&str>) -> Result<Option<SocketAddr>, FieldFault> {
    text.map(|text| address(field, text)).transpose()
}

/// Parses a list of addresses.
fn addresses(field: &str, texts: &[String]) -> Result<Vec<SocketAddr>, FieldFault> {
    let texts = texts.iter().enumerate();
    texts
        .map(|(index, text)| address(&format!("{field}[{index}]"), text))
        .collect()
}
