//! The HTTP interface by which the backend servers of the VM announce themselves.

mod reports;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_admission::BackendRegistry;
use fescueway_core::{MonoTime, RawCapacity, ServiceName, TargetCapacity};
use fescueway_proxy::{BackendAnnouncement, HostTarget, ProxyState};
use fescueway_telemetry::{SourceRateLimit, emit, events::path};
use http::{HeaderValue, Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time::sleep;

pub use self::reports::CONNECTIONS_PER_SLOT;
use crate::{
    DaemonSettings,
    daemon::apply_caller_service,
    drain_requests::DrainRequests,
    local_http::{LocalAnswer, LocalRequest, text},
    node_adapter::CallReader,
};

/// The body of most responses.
const DONE: &str = "done";

/// The body of `POST /v1/announce`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAnnouncement {
    /// The service that it serves.
    service: String,
    /// The address of its HTTP server.
    address: SocketAddr,
    /// Maximum number of concurrent requests.
    slots: u32,
    /// Maximum number of concurrent connections.
    connections: u32,
}

/// The body of the other requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    /// The service.
    service: String,
}

/// The HTTP interface of the backend servers. Cheap to clone.
///
/// An announcement is also the heartbeat: a backend server that sends no other one before the
/// timeout is considered gone.
#[derive(Clone, Debug)]
pub struct BackendApi {
    /// The proxy's state.
    state: ProxyState,
    /// Drain requests for the local targets.
    drains: DrainRequests,
    /// How long an announcement is valid.
    timeout: Duration,
    /// The only address at which a backend server may be; `None` for any.
    allowed_address: Option<SocketAddr>,
    /// Whether the settings name the service of requests of this VM.
    names_caller: bool,
    /// Parses the calls of the installation's backend servers.
    read_call: Option<CallReader>,
    /// Limits the log lines about unreadable calls.
    log_limit: Arc<SourceRateLimit<String>>,
    /// Limits the log lines about reports that are not acknowledged.
    report_log_limit: Arc<SourceRateLimit<String>>,
    /// The identity that is being verified, and the number of its reports so far.
    unverified: Arc<Mutex<(Option<HeaderValue>, u32)>>,
    /// The latest report that came before there was a configuration, and is to be verified.
    early_report: Arc<Mutex<Option<BackendAnnouncement>>>,
    /// The registry of backend server instances, fed by their reports.
    registry: Arc<Mutex<BackendRegistry>>,
    /// Time at which the announcement of each service expires.
    deadlines: Arc<Mutex<BTreeMap<ServiceName, MonoTime>>>,
}

impl BackendApi {
    /// Creates the interface without announcements.
    #[must_use]
    pub fn new(
        state: ProxyState,
        drains: DrainRequests,
        settings: &DaemonSettings,
        read_call: Option<CallReader>,
    ) -> Self {
        let api = Self {
            state,
            drains,
            timeout: settings.announce_timeout,
            allowed_address: settings.backend_address,
            names_caller: settings.caller_service.is_some(),
            read_call,
            log_limit: Arc::new(SourceRateLimit::new(&path::BACKEND_CALL_INVALID)),
            report_log_limit: Arc::new(SourceRateLimit::new(&path::REPORT_NOT_ACKNOWLEDGED)),
            unverified: Arc::default(),
            early_report: Arc::default(),
            registry: Arc::default(),
            deadlines: Arc::default(),
        };
        let (state, observer) = (api.state.clone(), api.clone());
        state.observe_leaving(move |service| observer.handle_leaving(service));
        api
    }

    /// Answers one request.
    #[must_use]
    pub fn answer(&self, request: &LocalRequest) -> LocalAnswer {
        if let Some(answer) = self.answer_adapted(request) {
            return answer;
        }
        if request.method != Method::POST {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only POST is allowed here");
        }
        let answered = match request.path.as_str() {
            "/v1/announce" => self.announce(&request.body),
            "/v1/drain" => self.on_service(&request.body, |service| self.drain(service)),
            "/v1/undrain" => self.on_service(&request.body, |service| self.undrain(service)),
            "/v1/leave" => self.on_service(&request.body, |service| self.leave(service)),
            _ => return text(StatusCode::NOT_FOUND, "no such path"),
        };
        match answered {
            Ok(line) => text(StatusCode::OK, line),
            Err(answer) => *answer,
        }
    }

    /// Handles an announcement or heartbeat.
    fn announce(&self, body: &[u8]) -> Result<&'static str, Box<LocalAnswer>> {
        let raw: RawAnnouncement = parse(body)?;
        let announcement =
            BackendAnnouncement::try_from(raw).map_err(|error| bad_request(&error))?;
        self.apply(&announcement);
        Ok(DONE)
    }

    /// Applies an announcement, which is valid until the timeout.
    fn apply(&self, announcement: &BackendAnnouncement) {
        let service = announcement.service.clone();
        let before = self.state.host_target(&service);
        let is_new = before.as_ref().is_none_or(|before| {
            before.pool().address() != announcement.address
                || before.identity() != announcement.identity.as_ref()
        });
        if is_new && announcement.identity.is_some() {
            self.replace_former(announcement);
        }
        if before.is_none() {
            emit(&path::BACKEND_ANNOUNCED, &[&service, &announcement.address]);
        }
        self.state.announce(announcement);
        let after = self.state.host_target(&service);
        if !is_same_target(before.as_ref(), after.as_ref()) {
            self.drains.forget_backend(&service);
        }
        self.drains.on_announced(&service);
        let deadline = self.state.now() + self.timeout;
        let is_first = self.deadlines().insert(service.clone(), deadline).is_none();
        if is_first {
            let watch = self.clone().watch_deadline(service);
            self.state.tasks().spawn(watch);
        }
    }

    /// Records that a backend server with an identity took an address. Any other one that had it is
    /// gone, and requests of this VM come from the new one's service.
    fn replace_former(&self, announcement: &BackendAnnouncement) {
        let is_former = |service: &ServiceName| {
            let target = self.state.host_target(service);
            target.is_some_and(|target| {
                target.pool().address() == announcement.address
                    && target.identity() != announcement.identity.as_ref()
            })
        };
        for service in self.state.local_services() {
            if service != announcement.service && is_former(&service) {
                self.leave(&service);
            }
        }
        if self.names_caller {
            apply_caller_service(&self.state, Some(&announcement.service));
        }
    }

    /// Runs `action` on the announced service that the body names.
    fn on_service(
        &self,
        body: &[u8],
        action: impl FnOnce(&ServiceName) -> &'static str,
    ) -> Result<&'static str, Box<LocalAnswer>> {
        let raw: RawService = parse(body)?;
        let service = ServiceName::new(raw.service);
        if self.state.host_target(&service).is_none() {
            let line = format!("no backend server of {service} is announced");
            return Err(Box::new(text(StatusCode::NOT_FOUND, &line)));
        }
        Ok(action(&service))
    }

    /// Drains a backend server at its own request.
    fn drain(&self, service: &ServiceName) -> &'static str {
        self.drains.drain_backend(service);
        DONE
    }

    /// Ends the drain by a backend server, which takes work again unless operators drain the node.
    fn undrain(&self, service: &ServiceName) -> &'static str {
        if self.drains.undrain_backend(service) {
            DONE
        } else {
            "noted; it takes work again once operators end their drain of this node"
        }
    }

    /// Removes a backend server that left.
    fn leave(&self, service: &ServiceName) -> &'static str {
        self.deadlines().remove(service);
        self.state.withdraw(service);
        self.drains.forget_backend(service);
        emit(&path::BACKEND_LEFT, &[service]);
        DONE
    }

    /// Removes `service` when its announcement expires.
    async fn watch_deadline(self, service: ServiceName) {
        loop {
            let deadline = self.deadlines().get(&service).copied();
            let now = self.state.now();
            match deadline {
                None => return,
                Some(deadline) if deadline > now => sleep(deadline.since(now)).await,
                Some(_past) => break,
            }
        }
        self.deadlines().remove(&service);
        self.state.withdraw(&service);
        self.drains.forget_backend(&service);
        emit(&path::BACKEND_SILENT, &[&service]);
    }

    /// Locks the expiry times of the announcements.
    fn deadlines(&self) -> MutexGuard<'_, BTreeMap<ServiceName, MonoTime>> {
        self.deadlines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl TryFrom<RawAnnouncement> for BackendAnnouncement {
    type Error = String;

    fn try_from(raw: RawAnnouncement) -> Result<Self, Self::Error> {
        if raw.service.is_empty() {
            return Err("field service: found an empty text; allowed: a name".to_owned());
        }
        let capacity = TargetCapacity::try_from(RawCapacity {
            slots: raw.slots,
            connections: raw.connections,
        });
        let capacity = capacity.map_err(|error| error.to_string())?;
        Ok(Self {
            service: ServiceName::new(raw.service),
            address: raw.address,
            slots: capacity.slots(),
            connections: capacity.connections(),
            identity: None,
            born_ms: 0,
            warmup_left: None,
            cold_left: None,
        })
    }
}

/// Whether an announcement kept the same target.
fn is_same_target(before: Option<&Arc<HostTarget>>, after: Option<&Arc<HostTarget>>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => Arc::ptr_eq(before, after),
        _ => false,
    }
}

/// Parses a JSON body.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<LocalAnswer>> {
    serde_json::from_slice(body).map_err(|error| bad_request(&error.to_string()))
}

/// The response to an invalid request.
fn bad_request(line: &str) -> Box<LocalAnswer> {
    Box::new(text(StatusCode::BAD_REQUEST, line))
}
