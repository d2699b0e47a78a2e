//! The HTTP interface of operators: status, targets, metrics, burn, drain.

use std::time::Duration;

use fescueway_proxy::ProxyState;
use fescueway_telemetry::{NodeStatus, TargetList, TargetStatus, emit, events::operator};
use http::{Method, StatusCode};
use tokio::time::{Instant, sleep};

use crate::{
    claim_task::ClaimTask,
    drain_orders::DrainOrders,
    local_http::{LocalAnswer, LocalRequest, content, json, text},
    node_meter::NodeMeter,
    status_board::StatusBoard,
};

/// The content type of Prometheus' text form.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// How often a drain looks whether its last request is done.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// The HTTP interface of operators. Cheap to clone.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    /// The path of requests.
    state: ProxyState,
    /// Metrics and burn.
    meter: NodeMeter,
    /// What the node's tasks tell.
    board: StatusBoard,
    /// The idempotency keys that the node keeps.
    claims: Option<ClaimTask>,
    /// Who wants the targets drained.
    orders: DrainOrders,
}

impl OperatorApi {
    /// The interface of one node.
    #[must_use]
    pub fn new(
        state: ProxyState,
        meter: NodeMeter,
        board: StatusBoard,
        claims: Option<ClaimTask>,
        orders: DrainOrders,
    ) -> Self {
        Self {
            state,
            meter,
            board,
            claims,
            orders,
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

    /// Answers a request at the address for metrics, which takes no orders.
    #[must_use]
    pub fn answer_metrics(&self, request: &LocalRequest) -> LocalAnswer {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/metrics") => self.metrics(),
            _ => text(StatusCode::NOT_FOUND, "only GET /metrics is answered here"),
        }
    }

    /// Whether the node takes new work and can serve it.
    fn ready(&self) -> LocalAnswer {
        let facts = self.board.facts();
        if facts.is_draining || facts.is_stopping {
            return text(StatusCode::SERVICE_UNAVAILABLE, "draining");
        }
        if !self.state.is_configured() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
        }
        text(StatusCode::OK, "ready")
    }

    /// What the node says of itself.
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
            store: facts.store,
            peers: facts.peers,
            uptime_ms: self.state.now().as_micros() / 1_000,
            unsettled_partitions: self
                .claims
                .as_ref()
                .map_or(0, ClaimTask::unsettled_partitions),
        }
    }

    /// Every target that the node knows.
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

    /// Metrics in Prometheus' text form.
    fn metrics(&self) -> LocalAnswer {
        match self.meter.render(&self.state, &self.board.facts()) {
            Ok(page) => content(StatusCode::OK, METRICS_TYPE, page),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// The targets beside this node take nothing new.
    fn drain(&self) -> LocalAnswer {
        self.orders.drain_node();
        emit(&operator::DRAIN_BEGAN, &[&"operator"]);
        self.state.tasks().spawn(self.clone().tell_drained());
        json(&self.status())
    }

    /// Tells when nothing runs any more at the targets beside this node.
    async fn tell_drained(self) {
        let start = Instant::now();
        while self.board.facts().is_draining {
            if self.in_flight() == 0 {
                let took = start.elapsed().as_millis();
                return emit(&operator::DRAIN_ENDED, &[&took]);
            }
            sleep(DRAIN_POLL).await;
        }
    }

    /// The targets beside this node take work again, but for those that drained themselves.
    fn undrain(&self) -> LocalAnswer {
        self.orders.undrain_node();
        json(&self.status())
    }

    /// Requests that run at the targets beside this node.
    fn in_flight(&self) -> u32 {
        let services = self.state.local_services();
        let targets = services
            .iter()
            .filter_map(|service| self.state.host_target(service));
        targets.map(|target| target.report().in_flight).sum()
    }
}
