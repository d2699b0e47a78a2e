//! Counts requests for the metrics and the service-level burn of one node.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use fescueway_config::SitePlan;
use fescueway_core::ServiceName;
use fescueway_platform::StoreClient;
use fescueway_proxy::{ProxyState, RequestRecord};
use fescueway_telemetry::{
    AlarmChange, BurnReport, BurnTracker, HedgeCount, LogQueue, MetricError, MetricSet, NodeGauges,
    NodeTotals, RequestEnd, ServiceLoad, StoreCalls,
};
use tokio::time::sleep;

use crate::{allotment_task::AllotmentTask, status_board::BoardFacts};

/// How often the alarms are checked.
const ALARM_PERIOD: Duration = Duration::from_mins(1);

/// Counts requests for the metrics and the service-level burn of one node. Cheap to clone.
#[derive(Clone, Debug)]
pub struct NodeMeter {
    /// Metrics.
    metrics: Arc<MetricSet>,
    /// Counts of requests that met or missed their objective.
    burn: Arc<Mutex<BurnState>>,
    /// Sources of counts kept by other parts of the node.
    sources: Arc<MeterSources>,
}

/// Sources of counts kept by other parts of the node, set when they are available.
#[derive(Debug, Default)]
struct MeterSources {
    /// Calls of the store.
    store: OnceLock<StoreClient>,
    /// Decisions on accounts' allotments.
    allotments: OnceLock<AllotmentTask>,
    /// Log lines.
    log: OnceLock<LogQueue>,
}

/// The burn tracker, and the configuration whose objectives it uses.
#[derive(Debug)]
struct BurnState {
    /// Counts.
    tracker: BurnTracker,
    /// The configuration whose objectives are set.
    plan: Arc<SitePlan>,
}

impl NodeMeter {
    /// Starts a meter that counts the requests of `state`.
    ///
    /// # Errors
    ///
    /// When the metrics can't be set up.
    pub fn start(state: &ProxyState) -> Result<Self, MetricError> {
        let plan = state.plan();
        let mut burn = BurnState {
            tracker: BurnTracker::new(plan.site.clone()),
            plan: Arc::clone(&plan),
        };
        burn.set_objectives(plan);
        let meter = Self {
            metrics: Arc::new(MetricSet::new()?),
            burn: Arc::new(Mutex::new(burn)),
            sources: Arc::default(),
        };
        let (counter, watched) = (meter.clone(), state.clone());
        state.observe(move |record| counter.count(&watched, record));
        state
            .tasks()
            .spawn(meter.clone().check_alarms(state.clone()));
        Ok(meter)
    }

    /// Includes the calls of this client in the metrics. Later calls of this method have no effect.
    pub fn watch_store(&self, store: StoreClient) {
        // A node has one store.
        let _ = self.sources.store.set(store);
    }

    /// Includes the decisions on accounts' allotments in the metrics. Later calls of this method have
    /// no effect.
    pub fn watch_allotments(&self, allotments: AllotmentTask) {
        // A node has one task for them.
        let _ = self.sources.allotments.set(allotments);
    }

    /// Includes the lost lines of this queue in the metrics. Later calls of this method have no
    /// effect.
    pub fn watch_log(&self, log: LogQueue) {
        // A process has one log.
        let _ = self.sources.log.set(log);
    }

    /// Metrics.
    #[must_use]
    pub fn metrics(&self) -> &Arc<MetricSet> {
        &self.metrics
    }

    /// The burn of this node's objectives.
    #[must_use]
    pub fn burn_report(&self, state: &ProxyState) -> BurnReport {
        let mut burn = self.burn();
        burn.refresh_objectives(state);
        burn.tracker.report(state.now())
    }

    /// All metrics in Prometheus' text format, with the load and `facts` as they are now.
    ///
    /// # Errors
    ///
    /// When the library can't encode them.
    pub fn render(&self, state: &ProxyState, facts: &BoardFacts) -> Result<String, MetricError> {
        let plan = state.plan();
        let mut services: BTreeSet<_> = state.routes().services().into_iter().collect();
        services.extend(state.local_services());
        for service in &services {
            let metrics = self.metrics.service(service);
            let target = state.host_target(service);
            if let Some(plan) = plan.services.get(service)
                && target.is_some()
            {
                metrics.set_probe_budget(plan.probe.budget_ms_per_s);
            }
            let (retry_tokens, refusal_tokens) = state.routes().tokens(service).unwrap_or_default();
            let counts = target.as_ref().map(|target| target.counts());
            let counts = counts.unwrap_or_default();
            let has_warmup = plan
                .services
                .get(service)
                .is_some_and(|plan| plan.warmup.is_some());
            let cold_left = target.as_ref().filter(|_| has_warmup);
            metrics.set_load(&ServiceLoad {
                report: target.as_ref().map(|target| target.report()),
                slots: state.announced_slots(service),
                starts: counts.starts,
                rate_limited: counts.rate_limited,
                cold_limited: counts.cold_limited,
                evacuated: counts.evacuated,
                cold_left: cold_left.map(|target| target.cold_left()),
                retry_tokens,
                refusal_tokens,
            });
        }
        self.metrics.set_gauges(&NodeGauges {
            config_revision: facts.in_force,
            config_age_s: state.now().since(facts.in_force_at).as_secs_f64(),
            nodes: facts.peers.into(),
            targets: state.routes().target_count() as u64,
            key_proof_age_s: state.key_proof_age().map(|age| age.as_secs_f64()),
            evacuated_domains: state.evacuated().len() as u64,
        });
        let calls = self.sources.store.get().map(StoreClient::counts);
        let calls = calls.into_iter().flatten().map(|count| StoreCalls {
            kind: count.kind.as_str(),
            answered: count.answered,
            failed: count.failed,
        });
        self.metrics.set_totals(NodeTotals {
            gossip_sent_bytes: facts.traffic.sent_bytes,
            gossip_received_bytes: facts.traffic.received_bytes,
            store_calls: calls.collect(),
            key_proof_losses: facts.key_proof_losses,
            overlong_answers: state.overlong_answers(),
            allotments: self
                .sources
                .allotments
                .get()
                .map(AllotmentTask::counts)
                .unwrap_or_default(),
            log_lines_lost: self.sources.log.get().map_or(0, LogQueue::lost),
        });
        self.metrics.render()
    }

    /// Counts a request.
    fn count(&self, state: &ProxyState, record: &RequestRecord) {
        if let Some(fault) = record.key_fault {
            self.metrics.key_rejected(fault.as_str());
        }
        let Some(service) = &record.service else {
            return;
        };
        let end = record.end();
        let metrics = self.metrics.service(service);
        metrics.request_ended(&end);
        if let Some(reason) = record.reason {
            metrics.refused(reason);
        }
        if let Some(route) = &record.route {
            metrics.route_ended(route, record.result());
        }
        if let Some(is_good) = self.burn().count(state, service, &end, record.objective) {
            metrics.objective_counted(is_good);
        }
    }

    /// Logs alarms as they begin and end.
    async fn check_alarms(self, state: ProxyState) {
        loop {
            sleep(ALARM_PERIOD).await;
            let changes = self.burn().tracker.check_alarms(state.now());
            changes.iter().for_each(AlarmChange::emit);
        }
    }

    /// Locks the burn.
    fn burn(&self) -> MutexGuard<'_, BurnState> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BurnState {
    /// Counts a request against its objective. Returns whether the objective was met; `None` for a
    /// service that the configuration no longer has.
    fn count(
        &mut self,
        state: &ProxyState,
        service: &ServiceName,
        end: &RequestEnd,
        objective: Duration,
    ) -> Option<bool> {
        self.refresh_objectives(state);
        self.plan.services.get(service)?;
        let is_good = end.is_good(objective);
        self.tracker.record(state.now(), service, is_good);
        if end.hedges > 0 {
            let hedges = HedgeCount {
                started: end.hedges.into(),
                won: end.hedge_wins.into(),
                wasted_ms: end.hedge_waste.as_millis() as u64,
            };
            self.tracker.record_hedges(service, hedges);
        }
        Some(is_good)
    }

    /// Updates the objectives if another configuration is in force.
    fn refresh_objectives(&mut self, state: &ProxyState) {
        let plan = state.plan();
        if !Arc::ptr_eq(&plan, &self.plan) {
            self.set_objectives(plan);
        }
    }

    /// Sets the objectives of `plan`.
    fn set_objectives(&mut self, plan: Arc<SitePlan>) {
        self.tracker
            .retain(|service| plan.services.contains_key(service));
        for (service, plan) in &plan.services {
            let availability = plan.objective.availability;
            self.tracker.set_objective(service, availability);
        }
        self.plan = plan;
    }
}
