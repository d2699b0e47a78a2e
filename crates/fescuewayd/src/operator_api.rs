//! The HTTP interface of operators: status, targets, metrics, burn, drain.

use std::time::Duration;

use fescueway_proxy::ProxyState;
use fescueway_telemetry::{
    ColdTarget, NodeStatus, TargetList, TargetStatus, emit, events::operator,
};
use http::{Method, StatusCode};
use tokio::time::{Instant, sleep};

use crate::{
    claim_task::ClaimTask,
    drain_requests::DrainRequests,
    local_http::{LocalAnswer, LocalRequest, content, json, text},
    member_link::MemberLink,
    node_meter::NodeMeter,
    seed_task::has_allotments,
    status_board::StatusBoard,
};

/// The content type of Prometheus' text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// A node that doesn't know the fleet is not ready for this long after a configuration came in force, so that
/// requests without an allotment are served then.
const FLEET_TIMEOUT: Duration = Duration::from_secs(7);

/// How often a drain checks whether its last request has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The HTTP interface of operators. Cheap to clone.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    /// The proxy's state.
    state: ProxyState,
    /// Metrics and the service-level burn.
    meter: NodeMeter,
    /// The status reported by the node's tasks.
    board: StatusBoard,
    /// The claims of idempotency keys; `None` when the node ignores keys.
    claims: Option<ClaimTask>,
    /// Drain requests for the local targets.
    drains: DrainRequests,
    /// The membership, if the node searches for the fleet.
    search: Option<MemberLink>,
}

impl OperatorApi {
    /// Creates the interface of a node.
    #[must_use]
    pub fn new(
        state: ProxyState,
        meter: NodeMeter,
        board: StatusBoard,
        claims: Option<ClaimTask>,
        drains: DrainRequests,
        search: Option<MemberLink>,
    ) -> Self {
        Self {
            state,
            meter,
            board,
            claims,
            drains,
            search,
        }
    }

    /// Answers one request.
    #[must_use]
    pub fn answer(&self, request: &LocalRequest) -> LocalAnswer {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/ready") => self.ready(),
            (&Method::GET, "/status") => json(&self.status()),
            (&Method::GET, "/targets") => json(&self.targets()),
            (&Method::GET, "/burn") => json(&self.meter.burn_report(&self.state)),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::POST, "/drain") => self.drain(),
            (&Method::POST, "/undrain") => self.undrain(),
            (
                _,
                "/ready" | "/status" | "/targets" | "/burn" | "/metrics" | "/drain" | "/undrain",
            ) => text(
                StatusCode::METHOD_NOT_ALLOWED,
                "another method is allowed here",
            ),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Answers a request at the address for metrics, which offers no other operations.
    #[must_use]
    pub fn answer_metrics(&self, request: &LocalRequest) -> LocalAnswer {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/metrics") => self.metrics(),
            _ => text(StatusCode::NOT_FOUND, "only GET /metrics is answered here"),
        }
    }

    /// Readiness: whether the node takes new work and can serve it.
    fn ready(&self) -> LocalAnswer {
        let facts = self.board.facts();
        if facts.is_draining || facts.is_stopping {
            return text(StatusCode::SERVICE_UNAVAILABLE, "draining");
        }
        if !self.state.is_configured() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
        }
        if facts.is_awaiting_proof {
            let reason = "not proven yet that the configuration is the latest one";
            return text(StatusCode::SERVICE_UNAVAILABLE, reason);
        }
        if self.is_awaiting_fleet() {
            let reason = "not known yet which other nodes share the allotments";
            return text(StatusCode::SERVICE_UNAVAILABLE, reason);
        }
        text(StatusCode::OK, "ready")
    }

    /// Whether the node doesn't know the fleet yet, and so could serve next to nothing of the accounts with
    /// an allotment.
    fn is_awaiting_fleet(&self) -> bool {
        let in_force_for = self.state.now().since(self.board.facts().in_force_at);
        let is_unknown = self
            .search
            .as_ref()
            .is_some_and(|members| !members.is_fleet_known());
        is_unknown && in_force_for < FLEET_TIMEOUT && has_allotments(&self.state.plan())
    }

    /// The status of the node.
    fn status(&self) -> NodeStatus {
        let facts = self.board.facts();
        let options = self.state.options();
        NodeStatus {
            node: options.node.to_string(),
            domain: options.domain.clone(),
            site: options.site.clone(),
            revision: facts.revision,
            in_force: facts.in_force,
            config_error: facts.config_error,
            is_draining: facts.is_draining,
            in_flight: self.in_flight(),
            targets: self.state.routes().target_count() as u32,
            key_proof_age_ms: self.state.key_proof_age().map(|age| age.as_millis() as u64),
            store: facts.store,
            peers: facts.peers,
            uptime_ms: self.state.now().as_micros() / 1_000,
            unsettled_partitions: self
                .claims
                .as_ref()
                .map_or(0, ClaimTask::unsettled_partitions),
            cold_targets: self.cold_targets(),
            evacuated: self.state.evacuated().into_iter().collect(),
        }
    }

    /// The cold targets beside the node.
    fn cold_targets(&self) -> Vec<ColdTarget> {
        let services = self.state.local_services().into_iter();
        let targets = services.filter_map(|service| {
            let left = self.state.host_target(&service)?.cold_left();
            let left_ms = left.as_millis() as u64;
            (left_ms > 0).then_some(ColdTarget { service, left_ms })
        });
        targets.collect()
    }

    /// All targets that the node knows.
    fn targets(&self) -> TargetList {
        let views = self.state.routes().targets().into_iter();
        let targets = views.map(|view| TargetStatus {
            site: view.site,
            load: view.load.map(|(load, _time)| load),
            record: view.record,
        });
        TargetList {
            targets: targets.collect(),
        }
    }

    /// Metrics in Prometheus' text format.
    fn metrics(&self) -> LocalAnswer {
        match self.meter.render(&self.state, &self.board.facts()) {
            Ok(page) => content(StatusCode::OK, METRICS_TYPE, page),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Drains the local targets.
    fn drain(&self) -> LocalAnswer {
        self.drains.drain_node();
        emit(&operator::DRAIN_BEGAN, &[&"operator"]);
        self.state.tasks().spawn(self.clone().log_drain_end());
        json(&self.status())
    }

    /// Logs when no request runs at the local targets any more.
    async fn log_drain_end(self) {
        let start = Instant::now();
        while self.board.facts().is_draining {
            if self.in_flight() == 0 {
                let took = start.elapsed().as_millis();
                return emit(&operator::DRAIN_ENDED, &[&took]);
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Ends the drain of the local targets, except for those that their backend servers drained.
    fn undrain(&self) -> LocalAnswer {
        self.drains.undrain_node();
        json(&self.status())
    }

    /// Number of requests in flight at the local targets.
    fn in_flight(&self) -> u32 {
        let services = self.state.local_services();
        let targets = services
            .iter()
            .filter_map(|service| self.state.host_target(service));
        targets.map(|target| target.report().in_flight).sum()
    }
}
