//! Probes the backend servers beside the node, within the budget of each.

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

use crate::{backend_inquiry::inquire, backend_load::BackendLoad};

/// Pause between two looks for backend servers to probe.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Probes the backend servers beside the node. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ProbeTask(Arc<TaskState>);

/// What the clones of a [`ProbeTask`] share.
#[derive(Debug)]
struct TaskState {
    /// The path of requests.
    proxy: ProxyState,
    /// Counts what probes take.
    metrics: Arc<MetricSet>,
    /// Keeps reports that can't be read from flooding the log.
    ignored: SourceRateLimit<ServiceName>,
    /// The backend servers that are probed.
    targets: Mutex<BTreeMap<ServiceName, ProbedTarget>>,
}

/// One backend server that is probed.
#[derive(Debug)]
struct ProbedTarget {
    /// Where it takes requests.
    address: SocketAddr,
    /// By which plan.
    plan: ProbePlan,
    /// Decides when.
    scheduler: ProbeScheduler,
    /// What was last told of its health.
    health: HealthStatus,
    /// Whether the last probe found no endpoint.
    is_absent: bool,
}

impl ProbeTask {
    /// Starts to probe what is announced.
    pub fn start(proxy: &ProxyState, metrics: &Arc<MetricSet>) -> Self {
        let task = Self(Arc::new(TaskState {
            proxy: proxy.clone(),
            metrics: Arc::clone(metrics),
            ignored: SourceRateLimit::new(&LOAD_IGNORED),
            targets: Mutex::default(),
        }));
        let hearing = task.clone();
        proxy.observe_load(move |service, field| hearing.load_reported(service, field));
        proxy.tasks().spawn(task.clone().look_after());
        task
    }

    /// A request ended at a backend server beside the node.
    pub fn traffic(&self, service: &ServiceName, is_success: bool) {
        let now = self.0.proxy.now();
        if let Some(target) = self.targets().get_mut(service) {
            target.scheduler.record_traffic(now, is_success);
        }
    }

    /// A backend server beside the node told of its load with an answer, which spares a probe.
    fn load_reported(&self, service: &ServiceName, field: &[u8]) {
        let now = self.0.proxy.now();
        let load = match BackendLoad::try_from(field) {
            Ok(load) => load,
            Err(error) => {
                let ignored = &self.0.ignored;
                return ignored.emit(now, service.clone(), &[service, &error]);
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

    /// Begins to probe what is announced, and forgets what has left.
    async fn look_after(self) {
        let mut announced = self.0.proxy.announced();
        loop {
            let services = self.0.proxy.local_services();
            self.targets()
                .retain(|service, _| services.contains(service));
            for service in &services {
                self.begin(service);
            }
            if services.is_empty() {
                if announced.changed().await.is_err() {
                    return;
                }
            } else {
                sleep(LOOK_PAUSE).await;
            }
        }
    }

    /// Probes a service from now on, by its plan and at its address of today. A change starts
    /// over with an empty budget.
    fn begin(&self, service: &ServiceName) {
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
            proxy.tasks().spawn(self.clone().probe_on(service.clone()));
        }
    }

    /// Probes one service until it leaves.
    async fn probe_on(self, service: ServiceName) {
        while let Some(wake) = self.next_wake(&service) {
            sleep_until(self.0.proxy.clock().instant(wake)).await;
            let Some((address, path, limit)) = self.begin_probe(&service) else {
                continue;
            };
            let probing = timeout(limit, inquire(address, &path));
            let end = match probing.await {
                Ok(Ok(answer)) => probe_end(answer.status),
                Ok(Err(_)) | Err(_) => ProbeEnd::Unhealthy,
            };
            self.end_probe(&service, end);
        }
    }

    /// When to look again at a service, `None` when it left.
    fn next_wake(&self, service: &ServiceName) -> Option<MonoTime> {
        let now = self.0.proxy.now();
        let targets = self.targets();
        let scheduler = &targets.get(service)?.scheduler;
        let due = scheduler.next_wake(now).unwrap_or(MonoTime::ZERO);
        // Traffic that stops brings the next probe forward, and nobody tells of that.
        Some(due.clamp(now + LOOK_PAUSE / 10, now + LOOK_PAUSE))
    }

    /// Begins a probe when one is due: where, what, and for how long.
    fn begin_probe(&self, service: &ServiceName) -> Option<(SocketAddr, Arc<str>, Duration)> {
        let now = self.0.proxy.now();
        let mut targets = self.targets();
        let target = targets.get_mut(service)?;
        let limit = target.scheduler.begin(now)?;
        Some((target.address, Arc::clone(&target.plan.path), limit))
    }

    /// A probe ended.
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

    /// The targets, locked.
    fn targets(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ProbedTarget>> {
        self.0
            .targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the status of the load endpoint says. A backend server need not have one.
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
