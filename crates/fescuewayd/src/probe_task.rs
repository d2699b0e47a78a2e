//! Probes the local backend servers, each within its probe budget.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_admission::{HealthStatus, ProbeBudget, ProbeEnd, ProbeScheduler};
use fescueway_config::ProbePlan;
use fescueway_core::{MonoTime, ServiceName};
use fescueway_proxy::ProxyState;
use fescueway_telemetry::{
    MetricSet, SourceRateLimit, emit,
    events::{
        claim::{HEALTH_CHANGED, PROBE_ABSENT, PROBE_CONTRADICTED},
        path::LOAD_IGNORED,
    },
};
use http::StatusCode;
use tokio::time::{sleep, sleep_until, timeout};

use crate::{
    backend_load::BackendLoad,
    backend_query::{QueryAnswer, query_backend},
};

/// Interval between checks for backend servers to probe.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Probes the local backend servers. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ProbeTask(Arc<TaskState>);

/// State shared by the clones of a [`ProbeTask`].
#[derive(Debug)]
struct TaskState {
    /// The proxy.
    proxy: ProxyState,
    /// Counts the time spent by probes.
    metrics: Arc<MetricSet>,
    /// Limits the log lines about unreadable load reports.
    log_limit: SourceRateLimit<ServiceName>,
    /// The probed backend servers.
    targets: Mutex<BTreeMap<ServiceName, ProbedTarget>>,
}

/// A probed backend server.
#[derive(Debug)]
struct ProbedTarget {
    /// The address of its HTTP server.
    address: SocketAddr,
    /// The probe settings.
    plan: ProbePlan,
    /// Decides when to probe.
    scheduler: ProbeScheduler,
    /// The health status that was last logged.
    health: HealthStatus,
    /// Whether the last probe found no load endpoint.
    is_absent: bool,
}

impl ProbeTask {
    /// Starts probing announced backend servers.
    pub fn start(proxy: &ProxyState, metrics: &Arc<MetricSet>) -> Self {
        let task = Self(Arc::new(TaskState {
            proxy: proxy.clone(),
            metrics: Arc::clone(metrics),
            log_limit: SourceRateLimit::new(&LOAD_IGNORED),
            targets: Mutex::default(),
        }));
        let handler = task.clone();
        proxy.observe_load(move |service, field| handler.record_load_report(service, field));
        proxy.tasks().spawn(task.clone().run());
        task
    }

    /// Records the result of a request at a local backend server.
    pub fn record_traffic(&self, service: &ServiceName, is_success: bool) {
        let now = self.0.proxy.now();
        if let Some(target) = self.targets().get_mut(service) {
            target.scheduler.record_traffic(now, is_success);
        }
    }

    /// Records a load report that came with a response, which makes a probe unnecessary.
    fn record_load_report(&self, service: &ServiceName, field: &[u8]) {
        let now = self.0.proxy.now();
        let load = match BackendLoad::try_from(field) {
            Ok(load) => load,
            Err(error) => {
                let log_limit = &self.0.log_limit;
                return log_limit.emit(now, service.clone(), &[service, &error]);
            }
        };
        if let Some(utilization) = load.application_utilization.or(load.cpu_utilization) {
            let metrics = self.0.metrics.service(service);
            metrics.set_reported_utilization(utilization);
        }
        if let Some(target) = self.targets().get_mut(service) {
            target.scheduler.record_load_report(now);
        }
    }

    /// Adds newly announced services, and removes those that have left.
    async fn run(self) {
        let mut announced = self.0.proxy.announced();
        loop {
            let services = self.0.proxy.local_services();
            self.targets()
                .retain(|service, _| services.contains(service));
            for service in &services {
                self.track(service);
            }
            if services.is_empty() {
                if announced.changed().await.is_err() {
                    return;
                }
            } else {
                sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Tracks a service with its current probe settings and address. A change of either resets the
    /// tracking with an empty budget.
    fn track(&self, service: &ServiceName) {
        let proxy = &self.0.proxy;
        let plan = proxy.plan();
        let plan = plan.services.get(service).map(|plan| plan.probe.clone());
        let address = proxy
            .host_target(service)
            .map(|target| target.pool().address());
        let (Some(plan), Some(address)) = (plan, address) else {
            return;
        };
        let mut targets = self.targets();
        let known = targets.get(service);
        if known.is_some_and(|known| known.plan == plan && known.address == address) {
            return;
        }
        let is_new = known.is_none();
        let metrics = self.0.metrics.service(service);
        metrics.set_probe_budget(plan.budget_ms_per_s);
        let now = proxy.now();
        let budget = ProbeBudget::new(now, plan.budget_ms_per_s, plan.timeout);
        let target = ProbedTarget {
            address,
            plan,
            scheduler: ProbeScheduler::new(now, budget),
            health: HealthStatus::Unsure,
            is_absent: false,
        };
        targets.insert(service.clone(), target);
        drop(targets);
        if is_new {
            proxy
                .tasks()
                .spawn(self.clone().run_probes(service.clone()));
        }
    }

    /// Probes one service until it leaves.
    async fn run_probes(self, service: ServiceName) {
        while let Some(wake) = self.next_wake(&service) {
            sleep_until(self.0.proxy.clock().instant(wake)).await;
            let Some((address, path, limit)) = self.begin_probe(&service) else {
                continue;
            };
            let probe = timeout(limit, query_backend(&self.0.proxy, address, &path));
            let end = match probe.await {
                Ok(Ok(answer)) => {
                    self.learn_statement(&service, address, &answer);
                    probe_end(answer.status)
                }
                Ok(Err(_)) | Err(_) => ProbeEnd::Unhealthy,
            };
            self.end_probe(&service, end);
        }
    }

    /// Applies what a probe's answer states about the backend server at `address`.
    fn learn_statement(&self, service: &ServiceName, address: SocketAddr, answer: &QueryAnswer) {
        let proxy = &self.0.proxy;
        let target = proxy.host_target(service);
        if let Some(target) = target.filter(|target| target.pool().address() == address) {
            answer.apply_statement(proxy, service, &target);
        }
    }

    /// When to check a service again; `None` when it has left.
    fn next_wake(&self, service: &ServiceName) -> Option<MonoTime> {
        let now = self.0.proxy.now();
        let targets = self.targets();
        let scheduler = &targets.get(service)?.scheduler;
        let due = scheduler.next_wake(now).unwrap_or(MonoTime::ZERO);
        // When traffic stops the next probe is due earlier, without a notification.
        Some(due.clamp(now + CHECK_INTERVAL / 10, now + CHECK_INTERVAL))
    }

    /// Begins a probe when one is due. Returns its address, path and timeout.
    fn begin_probe(&self, service: &ServiceName) -> Option<(SocketAddr, Arc<str>, Duration)> {
        let now = self.0.proxy.now();
        let mut targets = self.targets();
        let target = targets.get_mut(service)?;
        let limit = target.scheduler.begin(now)?;
        Some((target.address, Arc::clone(&target.plan.path), limit))
    }

    /// Records the end of a probe.
    fn end_probe(&self, service: &ServiceName, end: ProbeEnd) {
        let now = self.0.proxy.now();
        let mut targets = self.targets();
        let Some(target) = targets.get_mut(service) else {
            return;
        };
        let charged = target.scheduler.charged();
        let is_contradicted = target.scheduler.end(now, end);
        let spent = target.scheduler.charged().saturating_sub(charged);
        self.0.metrics.service(service).probed(spent);
        if is_contradicted {
            emit(&PROBE_CONTRADICTED, &[service, &target.plan.path]);
        }
        let is_absent = end == ProbeEnd::Absent;
        if is_absent && !target.is_absent {
            emit(&PROBE_ABSENT, &[service, &target.plan.path]);
        }
        target.is_absent = is_absent;
        let health = target.scheduler.status(now);
        if health != target.health {
            target.health = health;
            emit(&HEALTH_CHANGED, &[service, &health.as_str()]);
        }
    }

    /// Locks the targets.
    fn targets(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ProbedTarget>> {
        self.0
            .targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Classifies the HTTP status of the load endpoint, which is optional for backend servers.
fn probe_end(status: StatusCode) -> ProbeEnd {
    match status {
        StatusCode::NOT_FOUND
        | StatusCode::METHOD_NOT_ALLOWED
        | StatusCode::GONE
        | StatusCode::NOT_IMPLEMENTED => ProbeEnd::Absent,
        _ if status.is_success() => ProbeEnd::Healthy,
        _ => ProbeEnd::Unhealthy,
    }
}
