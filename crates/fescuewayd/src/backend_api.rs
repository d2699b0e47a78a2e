//! The HTTP interface by which the backend servers of the VM announce themselves.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_core::{MonoTime, ServiceName};
use fescueway_proxy::{BackendAnnouncement, ProxyState};
use fescueway_telemetry::{emit, events::path};
use http::{Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time::sleep;

use crate::{
    StatusBoard,
    local_http::{LocalAnswer, LocalRequest, text},
};

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
    /// What operators ordered.
    board: StatusBoard,
    /// How long an announcement holds.
    timeout: Duration,
    /// When the announcement of each service ends.
    ends: Arc<Mutex<BTreeMap<ServiceName, MonoTime>>>,
}

impl BackendApi {
    /// An interface without announcements.
    #[must_use]
    pub fn new(state: ProxyState, board: StatusBoard, timeout: Duration) -> Self {
        Self {
            state,
            board,
            timeout,
            ends: Arc::default(),
        }
    }

    /// Answers one request.
    #[must_use]
    pub fn answer(&self, request: &LocalRequest) -> LocalAnswer {
        if request.method != Method::POST {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only POST is allowed here");
        }
        let answered = match request.path.as_str() {
            "/v1/announce" => self.announce(&request.body),
            "/v1/drain" => self.on_service(&request.body, |service| self.state.drain(service)),
            "/v1/undrain" => self.on_service(&request.body, |service| self.state.undrain(service)),
            "/v1/leave" => self.on_service(&request.body, |service| self.leave(service)),
            _ => return text(StatusCode::NOT_FOUND, "no such path"),
        };
        match answered {
            Ok(()) => text(StatusCode::OK, "done"),
            Err(answer) => *answer,
        }
    }

    /// A backend server takes work, or still does.
    fn announce(&self, body: &[u8]) -> Result<(), Box<LocalAnswer>> {
        let raw: RawAnnouncement = parse(body)?;
        let announcement = BackendAnnouncement::try_from(raw).map_err(bad_request)?;
        let service = announcement.service.clone();
        if self.state.host_target(&service).is_none() {
            emit(&path::BACKEND_ANNOUNCED, &[&service, &announcement.address]);
        }
        self.state.announce(&announcement);
        if self.board.facts().is_draining {
            // Operators drain the whole node, whoever announces itself meanwhile.
            self.state.drain(&service);
        }
        let end = self.state.now() + self.timeout;
        let is_first = self.ends().insert(service.clone(), end).is_none();
        if is_first {
            let watching = self.clone().watch(service);
            self.state.tasks().spawn(watching);
        }
        Ok(())
    }

    /// Does something to an announced service.
    fn on_service(
        &self,
        body: &[u8],
        action: impl FnOnce(&ServiceName),
    ) -> Result<(), Box<LocalAnswer>> {
        let raw: RawService = parse(body)?;
        let service = ServiceName::new(raw.service);
        if self.state.host_target(&service).is_none() {
            let line = format!("no backend server of {service} is announced");
            return Err(Box::new(text(StatusCode::NOT_FOUND, &line)));
        }
        action(&service);
        Ok(())
    }

    /// A backend server left.
    fn leave(&self, service: &ServiceName) {
        self.ends().remove(service);
        self.state.withdraw(service);
        emit(&path::BACKEND_LEFT, &[service]);
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
        })
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
