//! Handles the reports that backend servers send in an installation's own calls, and verifies them.

use std::{
    collections::BTreeMap,
    fmt::Display,
    net::SocketAddr,
    sync::{Arc, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_admission::{BackendRegistry, BackendReport, ReportOutcome};
use fescueway_core::{MonoTime, ServiceName};
use fescueway_proxy::{BackendAnnouncement, HostTarget};
use http::{HeaderValue, StatusCode};
use tokio::time::{sleep, timeout};

use super::BackendApi;
use crate::{
    backend_query::{QueryAnswer, query_backend},
    local_http::{LocalAnswer, LocalRequest, json, text},
    node_adapter::{BackendCall, CallError},
};

/// Time after its start in which a node may receive reports that were sent to the previous process.
const STALE_REPORT_TIME: Duration = Duration::from_secs(20);

/// Number of reports after which a backend server is trusted regardless of its health endpoint. One
/// that is leaving sends no further reports, and only a few are delayed in transit.
const REPORTS_BEFORE_TRUST: u32 = 3;

/// Number of queries by which a node verifies a report that it got before its configuration. After that
/// it waits for further reports.
const STARTUP_QUERIES: u32 = 10;

/// Interval between these queries.
const STARTUP_QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Connections per slot of a backend server that doesn't report its limit. A request needs one, and
/// a broken one is replaced while it closes.
pub const CONNECTIONS_PER_SLOT: u32 = 4;

/// Timeout of a query whether a backend server takes work.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Reports of backend servers.
impl BackendApi {
    /// Answers a call in the installation's protocol; `None` when it isn't one.
    pub(super) fn answer_adapted(&self, request: &LocalRequest) -> Option<LocalAnswer> {
        let read = self.read_call?;
        match read(request) {
            Ok(BackendCall::Report(report, announcement)) => {
                if let Err(reason) = self.check(&announcement) {
                    return Some(self.refuse(request, &reason));
                }
                self.handle_report(&report, &announcement);
                Some(self.acknowledge(&report))
            }
            Ok(BackendCall::Leave { identity, born_ms }) => {
                self.handle_leave(&identity, born_ms);
                Some(json(&BTreeMap::<&str, &str>::new()))
            }
            Err(CallError::OtherPath) => None,
            Err(CallError::Unreadable(reason)) => Some(self.refuse(request, &reason)),
        }
    }

    /// Acknowledges a report if what it states is in force.
    fn acknowledge(&self, report: &BackendReport) -> LocalAnswer {
        if self.registry().is_in_force(report) {
            return json(&BTreeMap::<&str, &str>::new());
        }
        let (now, identity) = (self.state.now(), &report.identity);
        let fields: &[&dyn Display] = &[
            identity,
            &report.born_ms,
            &report.sequence,
            &report.is_draining,
        ];
        self.report_log_limit.emit(now, identity.clone(), fields);
        let line = "the report is outdated, or not confirmed by the backend server yet";
        text(StatusCode::CONFLICT, line)
    }

    /// Rejects an invalid call, and logs it.
    fn refuse(&self, request: &LocalRequest, reason: &str) -> LocalAnswer {
        let now = self.state.now();
        let path = &request.path;
        self.log_limit.emit(now, path.clone(), &[path, &reason]);
        text(StatusCode::BAD_REQUEST, reason)
    }

    /// Checks whether a backend server of this service is allowed at this address.
    fn check(&self, announcement: &BackendAnnouncement) -> Result<(), String> {
        let address = announcement.address;
        if self
            .allowed_address
            .is_some_and(|allowed| allowed != address)
        {
            return Err(format!(
                "{address} is not the address of the backend server here"
            ));
        }
        let service = &announcement.service;
        let is_known = self.state.plan().services.contains_key(service);
        if self.state.is_configured() && !is_known {
            return Err(format!("no service {service} in the configuration"));
        }
        Ok(())
    }

    /// Handles a state report of a backend server. It takes effect at this node's admission gate
    /// before it is acknowledged.
    fn handle_report(&self, report: &BackendReport, announcement: &BackendAnnouncement) {
        let outcome = self.registry().report(report);
        if outcome == ReportOutcome::Serves && !self.state.is_configured() {
            *self.early_report() = Some(announcement.clone());
        }
        match outcome {
            ReportOutcome::Serves if self.is_verified(announcement) => self.apply(announcement),
            ReportOutcome::Serves => {
                let verification = self.clone().verify(announcement.clone());
                self.state.tasks().spawn(verification);
            }
            ReportOutcome::Drains => self.apply_drain(announcement),
            ReportOutcome::Unconfirmed => {
                let confirmation = self.clone().confirm(report.clone(), announcement.clone());
                self.state.tasks().spawn(confirmation);
            }
            ReportOutcome::Stale => {}
        }
    }

    /// Drains a backend server at its own request.
    fn apply_drain(&self, announcement: &BackendAnnouncement) {
        let service = &announcement.service;
        // An unknown backend server that is draining was never offered any work.
        if self.state.host_target(service).is_some() {
            self.apply(announcement);
            self.drains.drain_backend(service);
        }
    }

    /// Queries the backend server whether it agrees with a report of unknown order, and if so applies
    /// the report.
    async fn confirm(self, report: BackendReport, announcement: BackendAnnouncement) {
        let answer = self.query(&announcement.service, announcement.address);
        let Some(answer) = answer.await else {
            return;
        };
        let is_sender = self.answer_identity(&answer) == announcement.identity.as_ref();
        if !is_sender || answer.status.is_success() == report.is_draining {
            return;
        }
        let outcome = self.registry().confirm(&report);
        match outcome {
            ReportOutcome::Serves => {
                self.apply(&announcement);
                self.learn_statement(&announcement.service, &answer);
            }
            ReportOutcome::Drains => self.apply_drain(&announcement),
            ReportOutcome::Unconfirmed | ReportOutcome::Stale => {}
        }
    }

    /// Whether a report suffices to offer its sender work.
    ///
    /// This process doesn't know which reports the previous one acknowledged. A report that was
    /// delayed since then may come from a backend server that is leaving, so it is not trusted at
    /// first.
    fn is_verified(&self, announcement: &BackendAnnouncement) -> bool {
        let known = self.state.host_target(&announcement.service);
        let is_known =
            known.is_some_and(|known| known.identity() == announcement.identity.as_ref());
        let is_configured = self.state.is_configured();
        is_known
            || (self.is_startup_over() && is_configured)
            || self.state.profile().identity.is_none()
    }

    /// Whether no report that was sent to the previous process can arrive any more.
    fn is_startup_over(&self) -> bool {
        self.state.now().since(MonoTime::ZERO) >= STALE_REPORT_TIME
    }

    /// Queries the backend server itself whether it takes work. One that keeps reporting so is
    /// trusted in the end, as its health endpoint may be wrong.
    ///
    /// Without a configuration it can't be queried, and its reports prove nothing. It gets no work then
    /// either.
    async fn verify(self, announcement: BackendAnnouncement) {
        if !self.state.is_configured() {
            return;
        }
        let identity = announcement.identity.clone();
        let answer = self.serving_answer(&announcement).await;
        let reports = {
            let mut unverified = self.unverified();
            let reports = if unverified.0 == identity {
                unverified.1 + 1
            } else {
                1
            };
            *unverified = (identity, reports);
            reports
        };
        let is_current = self.is_reported_serving(&announcement);
        if is_current && (answer.is_some() || reports >= REPORTS_BEFORE_TRUST) {
            self.apply(&announcement);
            if let Some(answer) = answer {
                self.learn_statement(&announcement.service, &answer);
            }
        }
    }

    /// The backend server's answer to a query, if it is the announced one and takes work.
    async fn serving_answer(&self, announcement: &BackendAnnouncement) -> Option<QueryAnswer> {
        let address = announcement.address;
        let answer = self.query(&announcement.service, address).await?;
        let is_serving = answer.status.is_success()
            && self.answer_identity(&answer) == announcement.identity.as_ref();
        is_serving.then_some(answer)
    }

    /// Applies what the answer to a query states about the current backend server of `service`.
    fn learn_statement(&self, service: &ServiceName, answer: &QueryAnswer) {
        if let Some(target) = self.state.host_target(service) {
            answer.apply_statement(&self.state, service, &target);
        }
    }

    /// Queries the health endpoint of a backend server; `None` without a response.
    async fn query(&self, service: &ServiceName, address: SocketAddr) -> Option<QueryAnswer> {
        let plan = self.state.plan();
        let path = Arc::clone(&plan.services.get(service)?.probe.path);
        let query = query_backend(&self.state, address, &path);
        timeout(QUERY_TIMEOUT, query).await.ok()?.ok()
    }

    /// The backend server's identity in a response.
    fn answer_identity<'a>(&self, answer: &'a QueryAnswer) -> Option<&'a HeaderValue> {
        let name = self.state.profile().identity.as_ref();
        name.and_then(|name| answer.headers.get(name))
    }

    /// Verifies the latest report that came before there was a configuration, without which its sender
    /// could not be queried.
    ///
    /// A target is only made from a report: the answer to a query doesn't tell which service its sender
    /// belongs to, and the address may have gone to another service.
    pub async fn verify_early_report(self) {
        while !self.state.is_configured() {
            sleep(STARTUP_QUERY_INTERVAL).await;
        }
        let Some(announcement) = self.early_report().take() else {
            return;
        };
        for _ in 0..STARTUP_QUERIES {
            if self.state.host_target(&announcement.service).is_some() {
                return;
            }
            if let Some(answer) = self.serving_answer(&announcement).await
                && self.is_reported_serving(&announcement)
            {
                self.apply(&announcement);
                self.learn_statement(&announcement.service, &answer);
                return;
            }
            sleep(STARTUP_QUERY_INTERVAL).await;
        }
    }

    /// Whether the announced backend server accepts requests, according to its latest report.
    fn is_reported_serving(&self, announcement: &BackendAnnouncement) -> bool {
        let identity = announcement.identity.as_ref();
        let name = identity.and_then(|name| name.to_str().ok());
        self.registry().is_serving(name.unwrap_or_default())
    }

    /// Locks the latest report that came before there was a configuration.
    fn early_report(&self) -> MutexGuard<'_, Option<BackendAnnouncement>> {
        self.early_report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the identity that is being verified and the number of its reports.
    fn unverified(&self) -> MutexGuard<'_, (Option<HeaderValue>, u32)> {
        self.unverified
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles the leave call of a backend server. The call is acknowledged, so that the target gets no
    /// more requests, whichever instance the registry takes for the one in use.
    fn handle_leave(&self, identity: &str, born_ms: Option<u64>) {
        let is_current = self.registry().leave(identity, born_ms);
        let is_leaving = |target: &HostTarget| {
            let known = target.identity();
            let is_named = known.is_some_and(|known| known.as_bytes() == identity.as_bytes());
            let known_ms = target.server().born_ms;
            let is_same_start = born_ms.is_none_or(|born_ms| known_ms == 0 || born_ms == known_ms);
            is_named && (is_current || is_same_start)
        };
        for service in self.state.local_services() {
            let target = self.state.host_target(&service);
            if target.is_some_and(|target| is_leaving(&target)) {
                self.leave(&service);
            }
        }
    }

    /// Keeps a backend server that stated that it is leaving drained, whatever it reports later.
    pub(super) fn handle_leaving(&self, service: &ServiceName) {
        let target = self.state.host_target(service);
        let identity = target.and_then(|target| target.identity().cloned());
        if let Some(identity) = identity.as_ref().and_then(|name| name.to_str().ok()) {
            self.registry().drain(identity);
        }
        self.drains.drain_backend(service);
    }

    /// Locks the registry.
    fn registry(&self) -> MutexGuard<'_, BackendRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
