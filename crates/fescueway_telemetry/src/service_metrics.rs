//! The metrics of one service at one node.

use std::{
    collections::BTreeMap,
    fmt::{Debug, Formatter, Result as FormatResult},
    sync::{Arc, Mutex, OnceLock, PoisonError},
    time::Duration,
};

use fescueway_core::{LoadReport, Outcome, RateLimit, RefusalReason, ServerNotice, ServiceName};
use opentelemetry::{
    KeyValue,
    metrics::{BoundCounter, BoundGauge, BoundHistogram, Counter, Gauge, Histogram, Meter},
};

use crate::{RequestEnd, RouteResult};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 15] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Maximum number of routes of a service with a label value of their own; the rest count as `other`.
const MAX_ROUTES: usize = 64;

/// Upper bounds of the buckets for the number of offers of one request.
const OFFER_BOUNDS: [f64; 5] = [0.0, 1.0, 2.0, 3.0, 5.0];

/// Number of variants of [`RouteResult`].
const ROUTE_RESULT_COUNT: usize = 4;

/// Microseconds in a second.
const MICROS_PER_S: f64 = 1e6;

/// The instruments that the services of one node share.
#[derive(Clone)]
pub(crate) struct ServiceInstruments {
    requests: Counter<u64>,
    objective: Counter<u64>,
    latency: Histogram<f64>,
    refusals: Counter<u64>,
    offers: Histogram<u64>,
    hedges: Counter<u64>,
    hedge_wins: Counter<u64>,
    hedge_waste: Counter<f64>,
    repeats: Counter<u64>,
    routes: Counter<u64>,
    retry_tokens: Gauge<f64>,
    refusal_tokens: Gauge<f64>,
    probe_spent: Counter<f64>,
    probe_budget: Gauge<f64>,
    utilization: Gauge<f64>,
    in_flight: Gauge<u64>,
    queued: Gauge<u64>,
    limit: Gauge<u64>,
    slots: Gauge<u64>,
    rate_limit: Gauge<f64>,
    leaving: Gauge<u64>,
    starts: Counter<u64>,
    rate_limited: Counter<u64>,
    cold_limited: Counter<u64>,
    evacuation_refused: Counter<u64>,
    cold_left: Gauge<f64>,
}

/// Load and token gauges of a service at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// The load report of the target beside the node; `None` without such a target.
    pub report: Option<LoadReport>,
    /// Slots that the target announced.
    pub slots: u32,
    /// Requests that the host started at the target since it was announced.
    pub starts: u64,
    /// Offers that the host refused since then because of the backend server's rate limit.
    pub rate_limited: u64,
    /// Offers that the host refused since then because the backend server is cold.
    pub cold_limited: u64,
    /// Offers that the host refused since then because its failure domain is evacuated.
    pub evacuated: u64,
    /// Time until the backend server is warm; `None` if the service has no warm-up rate.
    pub cold_left: Option<Duration>,
    /// Retries and hedges that the retry budget of this entry allows now.
    pub retry_tokens: f64,
    /// Further offers after refusals that the budget of this entry allows now; below zero when overdrawn.
    pub refusal_tokens: f64,
}

impl ServiceInstruments {
    /// Creates the instruments.
    pub(crate) fn new(meter: &Meter) -> Self {
        let latency = meter
            .f64_histogram("fescueway.request.latency")
            .with_description("From the arrival to the first byte of the answer.")
            .with_unit("s")
            .with_boundaries(LATENCY_BOUNDS_S.to_vec());
        let offers = meter
            .u64_histogram("fescueway.request.offers")
            .with_description("Offers made for one request.")
            .with_boundaries(OFFER_BOUNDS.to_vec());
        let counter = |name, about| counter(meter, name, about);
        let gauge = |name, about| gauge(meter, name, about);
        let float_gauge = |name, about| float_gauge(meter, name, about);
        Self {
            requests: counter(
                "fescueway.requests",
                "Requests that ended at this entry, by outcome and status class.",
            ),
            objective: counter(
                "fescueway.objective.requests",
                "Requests that ended at this entry, by whether they kept the objective.",
            ),
            latency: latency.build(),
            refusals: counter("fescueway.refusals", "Refusals by this node, by reason."),
            offers: offers.build(),
            hedges: counter(
                "fescueway.hedges",
                "Second offers of late idempotent requests.",
            ),
            hedge_wins: counter(
                "fescueway.hedge.wins",
                "Hedges that were answered before the offer that they hedged.",
            ),
            hedge_waste: seconds(
                meter,
                "fescueway.hedge.waste",
                "Time of offers that were cancelled since another was answered first.",
            ),
            repeats: counter(
                "fescueway.repeats",
                "Further offers of requests after a refusal, a failure or a loss.",
            ),
            routes: counter(
                "fescueway.route.requests",
                "Requests that ended at this entry, by route and result.",
            ),
            retry_tokens: float_gauge(
                "fescueway.retry.tokens",
                "Retries and hedges that this entry may make now.",
            ),
            refusal_tokens: float_gauge(
                "fescueway.refusal.tokens",
                "Further offers after refusals that this entry may make now.",
            ),
            probe_spent: seconds(
                meter,
                "fescueway.probe.spent",
                "Backend time that probes took.",
            ),
            probe_budget: float_gauge(
                "fescueway.probe.budget",
                "Backend time that probes may take, in seconds per second.",
            ),
            utilization: float_gauge(
                "fescueway.target.reported.utilization",
                "What the backend server last told of its use, as a share.",
            ),
            in_flight: gauge("fescueway.target.in.flight", "Requests that run here."),
            queued: gauge("fescueway.target.queued", "Requests that wait here."),
            limit: gauge("fescueway.target.limit", "Requests that may run here now."),
            slots: gauge("fescueway.target.slots", "Slots that the target announced."),
            rate_limit: float_gauge(
                "fescueway.target.rate.limit",
                "Requests per second that the backend server accepts from all nodes; infinite \
                 without a limit.",
            ),
            starts: counter(
                "fescueway.target.starts",
                "Requests that this host started at its target.",
            ),
            rate_limited: counter(
                "fescueway.target.rate.limited",
                "Offers refused here for the rate limit of the backend server.",
            ),
            cold_limited: counter(
                "fescueway.target.cold.limited",
                "Offers refused here since the backend server is cold.",
            ),
            evacuation_refused: counter(
                "fescueway.target.evacuation.refused",
                "Offers refused here since the failure domain is evacuated.",
            ),
            cold_left: float_gauge(
                "fescueway.target.cold.left",
                "Seconds until the backend server is warm; zero when it is.",
            ),
            leaving: gauge(
                "fescueway.target.leaving",
                "Whether the backend server stated that it is leaving.",
            ),
        }
    }
}

/// Creates a counter.
fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    let counter = meter.u64_counter(name);
    counter.with_description(description).build()
}

/// Creates a counter of time.
fn seconds(meter: &Meter, name: &'static str, description: &'static str) -> Counter<f64> {
    let counter = meter.f64_counter(name).with_description(description);
    counter.with_unit("s").build()
}

/// Creates a gauge of whole numbers.
fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

/// Creates a gauge of numbers with fractions.
fn float_gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<f64> {
    meter.f64_gauge(name).with_description(description).build()
}

/// Counters of requests by route and result.
type RouteCounters = BTreeMap<(Arc<str>, RouteResult), BoundCounter<u64>>;

/// The metrics of one service at one node. The instruments are bound to their labels, so that counting a
/// request needs neither a label lookup nor an allocation once the labels have been seen.
pub struct ServiceMetrics {
    /// The label with the name of the service.
    label: KeyValue,
    /// Instruments, to bind further labels when they are first seen.
    instruments: ServiceInstruments,
    /// Requests by outcome and status class, bound when first seen.
    requests: Mutex<BTreeMap<(Outcome, &'static str), BoundCounter<u64>>>,
    /// Refusals by reason, bound when first seen.
    refusals: Mutex<BTreeMap<RefusalReason, BoundCounter<u64>>>,
    /// Requests by route and result, bound when first seen.
    routes: Mutex<RouteCounters>,
    /// Requests that met their objective.
    good: BoundCounter<u64>,
    /// Requests that missed their objective.
    bad: BoundCounter<u64>,
    latency: BoundHistogram<f64>,
    offers: BoundHistogram<u64>,
    hedges: BoundCounter<u64>,
    hedge_wins: BoundCounter<u64>,
    hedge_waste: BoundCounter<f64>,
    repeats: BoundCounter<u64>,
    retry_tokens: BoundGauge<f64>,
    refusal_tokens: BoundGauge<f64>,
    probe_spent: BoundCounter<f64>,
    probe_budget: BoundGauge<f64>,
    /// Bound at the first report, so that a target without reports has no such metric.
    utilization: OnceLock<BoundGauge<f64>>,
    in_flight: BoundGauge<u64>,
    queued: BoundGauge<u64>,
    limit: BoundGauge<u64>,
    slots: BoundGauge<u64>,
    /// Bound at the first statement, so that a target without one has no such metrics.
    notice: OnceLock<NoticeGauges>,
    starts: BoundCounter<u64>,
    rate_limited: BoundCounter<u64>,
    cold_limited: BoundCounter<u64>,
    evacuation_refused: BoundCounter<u64>,
    /// Bound when first recorded, so that a service without a warm-up rate has no such metric.
    cold_left: OnceLock<BoundGauge<f64>>,
    /// The counts that were last added: those of `starts`, `rate_limited`, `cold_limited` and
    /// `evacuation_refused`.
    counted: Mutex<[u64; 4]>,
}

/// Gauges of what a backend server states about itself.
struct NoticeGauges {
    rate_limit: BoundGauge<f64>,
    leaving: BoundGauge<u64>,
}

impl Debug for ServiceMetrics {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.debug_struct("ServiceMetrics")
            .field("label", &self.label)
            .finish_non_exhaustive()
    }
}

impl ServiceMetrics {
    /// Creates the metrics of a service.
    pub(crate) fn new(name: &ServiceName, instruments: ServiceInstruments) -> Self {
        let label = KeyValue::new("service", name.as_str().to_owned());
        let labels = [label.clone()];
        let objective = |is_kept: bool| {
            let labels = [label.clone(), KeyValue::new("kept", is_kept)];
            instruments.objective.bind(&labels)
        };
        Self {
            good: objective(true),
            bad: objective(false),
            requests: Mutex::default(),
            refusals: Mutex::default(),
            routes: Mutex::default(),
            repeats: instruments.repeats.bind(&labels),
            retry_tokens: instruments.retry_tokens.bind(&labels),
            refusal_tokens: instruments.refusal_tokens.bind(&labels),
            slots: instruments.slots.bind(&labels),
            latency: instruments.latency.bind(&labels),
            offers: instruments.offers.bind(&labels),
            hedges: instruments.hedges.bind(&labels),
            hedge_wins: instruments.hedge_wins.bind(&labels),
            hedge_waste: instruments.hedge_waste.bind(&labels),
            probe_spent: instruments.probe_spent.bind(&labels),
            probe_budget: instruments.probe_budget.bind(&labels),
            utilization: OnceLock::new(),
            in_flight: instruments.in_flight.bind(&labels),
            queued: instruments.queued.bind(&labels),
            limit: instruments.limit.bind(&labels),
            notice: OnceLock::new(),
            starts: instruments.starts.bind(&labels),
            rate_limited: instruments.rate_limited.bind(&labels),
            cold_limited: instruments.cold_limited.bind(&labels),
            evacuation_refused: instruments.evacuation_refused.bind(&labels),
            cold_left: OnceLock::new(),
            counted: Mutex::default(),
            label,
            instruments,
        }
    }

    /// Counts a request of a caller that ended.
    pub fn request_ended(&self, end: &RequestEnd) {
        let class = end.status_class();
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        let requests = requests.entry((end.outcome, class)).or_insert_with(|| {
            let labels = [
                self.label.clone(),
                KeyValue::new("outcome", end.outcome.as_str()),
                KeyValue::new("class", class),
            ];
            self.instruments.requests.bind(&labels)
        });
        requests.add(1);
        self.latency.record(end.latency.as_secs_f64());
        self.offers.record(end.offers.into());
        if end.hedges > 0 {
            self.hedges.add(end.hedges.into());
            self.hedge_wins.add(end.hedge_wins.into());
            self.hedge_waste
                .add(end.hedge_waste.as_micros() as f64 / MICROS_PER_S);
        }
        let repeats = end.offers.saturating_sub(1 + end.hedges);
        if repeats > 0 {
            self.repeats.add(repeats.into());
        }
    }

    /// Counts a request of `route` that ended; the default route has an empty name.
    pub fn route_ended(&self, route: &Arc<str>, result: RouteResult) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = !routes.contains_key(&(Arc::clone(route), result));
        let is_full = routes.len() >= MAX_ROUTES * ROUTE_RESULT_COUNT;
        let route = if is_new && is_full {
            Arc::from("other")
        } else {
            Arc::clone(route)
        };
        let counter = routes.entry((Arc::clone(&route), result));
        let counter = counter.or_insert_with(|| {
            let labels = [
                self.label.clone(),
                KeyValue::new("route", route),
                KeyValue::new("result", result.as_str()),
            ];
            self.instruments.routes.bind(&labels)
        });
        counter.add(1);
    }

    /// Counts a request of a caller that met or missed its objective; see [`RequestEnd::is_good`].
    pub fn objective_counted(&self, is_good: bool) {
        if is_good {
            self.good.add(1);
        } else {
            self.bad.add(1);
        }
    }

    /// Counts a refusal by this node, as entry or as host.
    pub fn refused(&self, reason: RefusalReason) {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        let refusals = refusals.entry(reason).or_insert_with(|| {
            let labels = [self.label.clone(), KeyValue::new("reason", reason.as_str())];
            self.instruments.refusals.bind(&labels)
        });
        refusals.add(1);
    }

    /// Adds the time that a probe took of the backend server.
    pub fn probed(&self, spent: Duration) {
        self.probe_spent
            .add(spent.as_micros() as f64 / MICROS_PER_S);
    }

    /// Sets the probe budget in force, in milliseconds per second.
    pub fn set_probe_budget(&self, budget_ms_per_s: f64) {
        self.probe_budget.record(budget_ms_per_s / 1e3);
    }

    /// Sets the utilization that the backend server reported: of the application if given, else of
    /// the CPU.
    pub fn set_reported_utilization(&self, utilization: f64) {
        let labels = [self.label.clone()];
        let bind = || self.instruments.utilization.bind(&labels);
        self.utilization.get_or_init(bind).record(utilization);
    }

    /// Adds what was counted since the last call. Counts begin at zero with each target.
    fn add_counts(&self, load: &ServiceLoad) {
        let counts = [
            load.starts,
            load.rate_limited,
            load.cold_limited,
            load.evacuated,
        ];
        let counters = [
            &self.starts,
            &self.rate_limited,
            &self.cold_limited,
            &self.evacuation_refused,
        ];
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        for (counter, (count, before)) in counters.iter().zip(counts.iter().zip(*counted)) {
            counter.add(count.checked_sub(before).unwrap_or(*count));
        }
        *counted = counts;
    }

    /// Sets the gauges of what the backend server states about itself.
    fn set_notice(&self, notice: &ServerNotice) {
        let labels = [self.label.clone()];
        let gauges = self.notice.get_or_init(|| NoticeGauges {
            rate_limit: self.instruments.rate_limit.bind(&labels),
            leaving: self.instruments.leaving.bind(&labels),
        });
        let per_s = notice.rate_limit.map_or(f64::INFINITY, RateLimit::per_s);
        gauges.rate_limit.record(per_s);
        gauges.leaving.record(notice.is_leaving.into());
    }

    /// Sets the gauges of the load of the service at this node.
    pub fn set_load(&self, load: &ServiceLoad) {
        if let Some(report) = load.report {
            self.in_flight.record(report.in_flight.into());
            self.queued.record(report.queued.into());
            self.limit.record(report.limit.into());
            self.slots.record(load.slots.into());
            if let Some(notice) = report.notice {
                self.set_notice(&notice);
            }
            if let Some(cold_left) = load.cold_left {
                let labels = [self.label.clone()];
                let bind = || self.instruments.cold_left.bind(&labels);
                let gauge = self.cold_left.get_or_init(bind);
                gauge.record(cold_left.as_secs_f64());
            }
            self.add_counts(load);
        }
        self.retry_tokens.record(load.retry_tokens);
        self.refusal_tokens.record(load.refusal_tokens);
    }
}
