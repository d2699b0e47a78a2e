//! Counts requests for the metrics and the service-level burn of one node.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_config::SitePlan;
use fescueway_core::{Outcome, ServiceName};
use fescueway_proxy::{ProxyState, RequestRecord};
use fescueway_telemetry::{
    AlarmChange, BurnReport, BurnTracker, MetricError, MetricSet, NodeTotals, RequestEnd,
};
use tokio::time::sleep;

use crate::status_board::BoardFacts;

/// How often the alarms are checked.
const ALARM_PERIOD: Duration = Duration::from_mins(1);

/// Counts requests for the metrics and the service-level burn of one node. Cheap to clone.
#[derive(Clone, Debug)]
pub struct NodeMeter {
    /// Metrics.
    metrics: Arc<MetricSet>,
    /// Which requests kept their objective.
    burn: Arc<Mutex<BurnState>>,
}

/// The burn and the objectives that it counts by.
#[derive(Debug)]
struct BurnState {
    /// Counts.
    tracker: BurnTracker,
    /// The configuration whose objectives are set.
    plan: Arc<SitePlan>,
}

impl NodeMeter {
    /// A meter that counts the requests of `state` from now on.
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
        };
        let (counter, watched) = (meter.clone(), state.clone());
        state.observe(move |record| counter.count(&watched, record));
        state
            .tasks()
            .spawn(meter.clone().check_alarms(state.clone()));
        Ok(meter)
    }

    /// Metrics.
    #[must_use]
    pub fn metrics(&self) -> &Arc<MetricSet> {
        &self.metrics
    }

    /// What the node counted against its objectives.
    #[must_use]
    pub fn burn_report(&self, state: &ProxyState) -> BurnReport {
        let mut burn = self.burn();
        burn.follow(state);
        burn.tracker.report(state.now())
    }

    /// All metrics in Prometheus' text form, with the load and `facts` as they are now.
    ///
    /// # Errors
    ///
    /// When the library can't encode them.
    pub fn render(&self, state: &ProxyState, facts: &BoardFacts) -> Result<String, MetricError> {
        let plan = state.plan();
        for service in state.local_services() {
            let metrics = self.metrics.service(&service);
            if let Some(target) = state.host_target(&service) {
                metrics.set_load(&target.report());
            }
            if let Some(plan) = plan.services.get(&service) {
                metrics.set_probe_budget(plan.probe.budget_ms_per_s);
            }
        }
        self.metrics.set_revision(facts.in_force);
        self.metrics.set_known_nodes(facts.peers.into());
        self.metrics.set_totals(NodeTotals {
            gossip_sent_bytes: facts.traffic.sent_bytes,
            gossip_received_bytes: facts.traffic.received_bytes,
            store_answers: facts.store_answers,
            store_failures: facts.store_failures,
        });
        self.metrics.render()
    }

    /// Counts a request.
    fn count(&self, state: &ProxyState, record: &RequestRecord) {
        let Some(service) = &record.service else {
            return;
        };
        let end = RequestEnd {
            outcome: record.outcome.unwrap_or(Outcome::Unknown),
            status: record.status,
            latency: record.latency,
            offers: record.offers,
            hedges: record.hedges,
        };
        let metrics = self.metrics.service(service);
        metrics.request_ended(&end);
        if let Some(reason) = record.reason {
            metrics.refused(reason);
        }
        if let Some(is_good) = self.burn().count(state, service, &end) {
            metrics.objective_counted(is_good);
        }
    }

    /// Tells the alarms as they begin and end.
    async fn check_alarms(self, state: ProxyState) {
        loop {
            sleep(ALARM_PERIOD).await;
            let changes = self.burn().tracker.check_alarms(state.now());
            changes.iter().for_each(AlarmChange::emit);
        }
    }

    /// The burn, locked.
    fn burn(&self) -> MutexGuard<'_, BurnState> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BurnState {
    /// Counts a request against its objective and tells whether it was kept; `None` for a service
    /// that the configuration no longer has.
    fn count(
        &mut self,
        state: &ProxyState,
        service: &ServiceName,
        end: &RequestEnd,
    ) -> Option<bool> {
        self.follow(state);
        let plan = self.plan.services.get(service)?;
        let is_good = end.is_good(plan.objective.latency);
        self.tracker.record(state.now(), service, is_good);
        Some(is_good)
    }

    /// Takes the objectives of the configuration in force.
    fn follow(&mut self, state: &ProxyState) {
        let plan = state.plan();
        if !Arc::ptr_eq(&plan, &self.plan) {
            self.set_objectives(plan);
        }
    }

    /// Takes the objectives of `plan`.
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
