//! The HTTP interface by which the backend servers of the VM announce themselves.

mod reports;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_admission::BackendRegistry;
use fescueway_core::{MonoTime, ServiceName};
use fescueway_proxy::{BackendAnnouncement, HostTarget, ProxyState};
use fescueway_telemetry::{SourceRateLimit, emit, events::path};
use http::{HeaderValue, Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time::sleep;

pub use self::reports::CONNECTIONS_PER_SLOT;
use crate::{
    DaemonSettings,
    drain_orders::DrainOrders,
    local_http::{LocalAnswer, LocalRequest, text},
    node_adapter::CallReader,
};

/// The body of most answers.
const DONE: &str = "done";

/// The body of `POST /v1/announce`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAnnouncement {
    /// The service that it serves.
    service: String,
    /// Where it takes requests.
    address: SocketAddr,
    /// Requests that it can run at once.
    slots: u32,
    /// Connections that it accepts at once.
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
/// An announcement is also the heartbeat: without another one within the time allowed the
/// backend server is gone.
#[derive(Clone, Debug)]
pub struct BackendApi {
    /// The path of requests.
    state: ProxyState,
    /// Who wants the targets drained.
    orders: DrainOrders,
    /// How long an announcement holds.
    timeout: Duration,
    /// The only address at which a backend server may be; `None` for any.
    allowed_address: Option<SocketAddr>,
    /// The service of the backend server here, when the settings tell it.
    service: Option<ServiceName>,
    /// Reads the calls of the installation's backend servers.
    read_call: Option<CallReader>,
    /// Keeps unreadable calls from flooding the log.
    unreadable: Arc<SourceRateLimit<String>>,
    /// The identity that is in doubt, and its reports so far.
    unproved: Arc<Mutex<(Option<HeaderValue>, u32)>>,
    /// What was reported, in the order in which it was said.
    register: Arc<Mutex<BackendRegistry>>,
    /// When the announcement of each service ends.
    ends: Arc<Mutex<BTreeMap<ServiceName, MonoTime>>>,
}

impl BackendApi {
    /// An interface without announcements.
    #[must_use]
    pub fn new(
        state: ProxyState,
        orders: DrainOrders,
        settings: &DaemonSettings,
        read_call: Option<CallReader>,
    ) -> Self {
        Self {
            state,
            orders,
            timeout: settings.announce_timeout,
            allowed_address: settings.backend_address,
            service: settings.caller_service.clone(),
            read_call,
            unreadable: Arc::new(SourceRateLimit::new(&path::BACKEND_CALL_INVALID)),
            unproved: Arc::default(),
            register: Arc::default(),
            ends: Arc::default(),
        }
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

    /// A backend server takes work, or still does.
    fn announce(&self, body: &[u8]) -> Result<&'static str, Box<LocalAnswer>> {
        let raw: RawAnnouncement = parse(body)?;
        let announcement = BackendAnnouncement::try_from(raw).map_err(bad_request)?;
        self.take(&announcement);
        Ok(DONE)
    }

    /// Takes an announcement in, which holds until the timeout.
    fn take(&self, announcement: &BackendAnnouncement) {
        let service = announcement.service.clone();
        let before = self.state.host_target(&service);
        if before.is_none() {
            emit(&path::BACKEND_ANNOUNCED, &[&service, &announcement.address]);
        }
        self.state.announce(announcement);
        let after = self.state.host_target(&service);
        if !is_same_target(before.as_ref(), after.as_ref()) {
            self.orders.forget_backend(&service);
        }
        self.orders.on_announced(&service);
        let end = self.state.now() + self.timeout;
        let is_first = self.ends().insert(service.clone(), end).is_none();
        if is_first {
            let watching = self.clone().watch(service);
            self.state.tasks().spawn(watching);
        }
    }

    /// Does something to an announced service.
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

    /// A backend server takes nothing new.
    fn drain(&self, service: &ServiceName) -> &'static str {
        self.orders.drain_backend(service);
        DONE
    }

    /// A backend server takes work again, unless operators drain the node.
    fn undrain(&self, service: &ServiceName) -> &'static str {
        if self.orders.undrain_backend(service) {
            DONE
        } else {
            "noted; it takes work again once operators end their drain of this node"
        }
    }

    /// A backend server left.
    fn leave(&self, service: &ServiceName) -> &'static str {
        self.ends().remove(service);
        self.state.withdraw(service);
        self.orders.forget_backend(service);
        emit(&path::BACKEND_LEFT, &[service]);
        DONE
    }

    /// Ends the announcement of `service` when no other follows in time.
    async fn watch(self, service: ServiceName) {
        loop {
            let end = self.ends().get(&service).copied();
            let now = self.state.now();
            match end {
                None => return,
                Some(end) if end > now => sleep(end.since(now)).await,
                Some(_past) => break,
            }
        }
        self.ends().remove(&service);
        self.state.withdraw(&service);
        self.orders.forget_backend(&service);
        emit(&path::BACKEND_SILENT, &[&service]);
    }

    /// The ends of the announcements, locked.
    fn ends(&self) -> MutexGuard<'_, BTreeMap<ServiceName, MonoTime>> {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TryFrom<RawAnnouncement> for BackendAnnouncement {
    type Error = &'static str;

    fn try_from(raw: RawAnnouncement) -> Result<Self, Self::Error> {
        if raw.service.is_empty() {
            return Err("field service: found an empty text; allowed: a name");
        }
        if raw.slots == 0 {
            return Err("field slots: found 0; allowed: at least 1");
        }
        if raw.connections == 0 {
            return Err("field connections: found 0; allowed: at least 1");
        }
        Ok(Self {
            service: ServiceName::new(raw.service),
            address: raw.address,
            slots: raw.slots,
            connections: raw.connections,
            identity: None,
            warmup_left: None,
        })
    }
}

/// Whether an announcement left the target as it was.
fn is_same_target(before: Option<&Arc<HostTarget>>, after: Option<&Arc<HostTarget>>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => Arc::ptr_eq(before, after),
        _ => false,
    }
}

/// A body in JSON.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<LocalAnswer>> {
    serde_json::from_slice(body).map_err(|error| bad_request(&error.to_string()))
}

/// The answer to a request that is wrong.
fn bad_request(line: &str) -> Box<LocalAnswer> {
    Box::new(text(StatusCode::BAD_REQUEST, line))
}
