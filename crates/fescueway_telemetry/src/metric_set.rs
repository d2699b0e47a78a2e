//! The metrics of one node.

use std::{
    collections::BTreeMap,
    fmt::{Debug, Formatter, Result as FormatResult},
    sync::{Arc, Mutex, PoisonError},
};

use fescueway_core::ServiceName;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::{ServiceMetrics, service_metrics::ServiceInstruments};

/// The metrics could not be set up or encoded.
#[derive(Debug, thiserror::Error)]
#[error("metrics, step {step}: {message}")]
pub struct MetricError {
    /// The step that failed.
    step: &'static str,
    /// Error text of the library.
    message: String,
}

/// Totals since the start of a node that are counted outside its [`MetricSet`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NodeTotals {
    /// Bytes of membership messages sent.
    pub gossip_sent_bytes: u64,
    /// Bytes of membership messages received.
    pub gossip_received_bytes: u64,
    /// Calls of the store by kind.
    pub store_calls: Vec<StoreCalls>,
    /// Times that a node came to be without a proof that its configuration is the latest one.
    pub key_proof_losses: u64,
    /// Answers of backend servers that were cut.
    pub overlong_answers: u64,
    /// Decisions on requests of client accounts with an allotment.
    pub allotments: AllotmentCounts,
    /// Log lines dropped because the log was not read in time.
    pub log_lines_lost: u64,
}

/// Decisions on requests of client accounts with an allotment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AllotmentCounts {
    /// Requests admitted with a token of the account's owner.
    pub admitted: u64,
    /// Requests refused because the account had used its allotment.
    pub refused: u64,
    /// Requests admitted from the fixed share of this node, for lack of an owner.
    pub admitted_by_share: u64,
    /// Requests refused because that share was used up.
    pub refused_by_share: u64,
    /// Messages sent to owners on other nodes.
    pub questions: u64,
    /// Accounts that use a fixed share at present.
    pub shares: u64,
}

/// Number of store calls of one kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreCalls {
    /// The kind of call.
    pub kind: &'static str,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that were not answered.
    pub failed: u64,
}

/// Current values of a node's gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeGauges {
    /// Revision of the configuration in force.
    pub config_revision: u64,
    /// Time since it came into force, in seconds.
    pub config_age_s: f64,
    /// Number of nodes known to be up.
    pub nodes: u64,
    /// Number of known targets.
    pub targets: u64,
    /// Age of the proof that the configuration is the latest one, in seconds; `None` if there is none.
    pub key_proof_age_s: Option<f64>,
    /// Number of failure domains that are evacuated.
    pub evacuated_domains: u64,
}

/// Totals that the callbacks of the observable counters read.
type SharedTotals = Arc<Mutex<NodeTotals>>;

/// The metrics of one node. Nothing is global: a process may hold several.
pub struct MetricSet {
    /// Registry of the Prometheus exporter.
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    /// Instruments that all services share.
    instruments: ServiceInstruments,
    /// Metrics of the services seen so far.
    services: Mutex<BTreeMap<ServiceName, Arc<ServiceMetrics>>>,
    /// Totals that are counted elsewhere, read when the metrics are rendered.
    totals: SharedTotals,
    /// Requests without a known key.
    key_rejections: Counter<u64>,
    /// Revision of the configuration in force.
    config_revision: Gauge<u64>,
    /// Time since it came into force, in seconds.
    config_age: Gauge<f64>,
    /// Number of nodes known to be up.
    known_nodes: Gauge<u64>,
    /// Number of known targets.
    known_targets: Gauge<u64>,
    /// Age of the proof that the configuration is the latest one, in seconds.
    key_proof_age: Gauge<f64>,
    /// Number of failure domains that are evacuated.
    evacuated_domains: Gauge<u64>,
}

impl Debug for MetricSet {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.debug_struct("MetricSet").finish_non_exhaustive()
    }
}

impl MetricSet {
    /// Creates the metrics of a node.
    ///
    /// # Errors
    ///
    /// When the exporter can't be registered.
    pub fn new() -> Result<Self, MetricError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(|error| MetricError {
                step: "register the exporter",
                message: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("fescueway");
        let totals = SharedTotals::default();
        observe_totals(&meter, &totals);
        Ok(Self {
            registry,
            instruments: ServiceInstruments::new(&meter),
            services: Mutex::default(),
            totals,
            key_rejections: meter
                .u64_counter("fescueway.key.rejections")
                .with_description("Requests that need a key and have none that is known, by fault.")
                .build(),
            config_revision: gauge(
                &meter,
                "fescueway.config.revision",
                "Revision of the configuration in force.",
            ),
            config_age: meter
                .f64_gauge("fescueway.config.age")
                .with_description("Time since the configuration in force came in force.")
                .with_unit("s")
                .build(),
            known_nodes: gauge(&meter, "fescueway.nodes", "Nodes known to be up."),
            evacuated_domains: gauge(
                &meter,
                "fescueway.evacuated.domains",
                "Failure domains to whose targets nothing is sent.",
            ),
            known_targets: gauge(&meter, "fescueway.targets", "Targets known."),
            key_proof_age: meter
                .f64_gauge("fescueway.key.proof.age")
                .with_description("Age of the proof that the configuration is the latest one.")
                .with_unit("s")
                .build(),
            _provider: provider,
        })
    }

    /// The metrics of a service, created at the first call. Keep the result: its labels are already bound.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Arc<ServiceMetrics> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = services.entry(name.clone());
        let metrics =
            entry.or_insert_with(|| Arc::new(ServiceMetrics::new(name, self.instruments.clone())));
        Arc::clone(metrics)
    }

    /// Counts a request that needs a key and has none that is known. `fault` is one of a few names.
    pub fn key_rejected(&self, fault: &'static str) {
        self.key_rejections.add(1, &[KeyValue::new("fault", fault)]);
    }

    /// Sets the totals that are counted elsewhere.
    pub fn set_totals(&self, totals: NodeTotals) {
        *self.totals.lock().unwrap_or_else(PoisonError::into_inner) = totals;
    }

    /// Sets the gauges of the node.
    pub fn set_gauges(&self, gauges: &NodeGauges) {
        self.config_revision.record(gauges.config_revision, &[]);
        self.config_age.record(gauges.config_age_s, &[]);
        self.known_nodes.record(gauges.nodes, &[]);
        self.evacuated_domains.record(gauges.evacuated_domains, &[]);
        self.known_targets.record(gauges.targets, &[]);
        if let Some(age_s) = gauges.key_proof_age_s {
            self.key_proof_age.record(age_s, &[]);
        }
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// When the library can't encode them.
    pub fn render(&self) -> Result<String, MetricError> {
        let families = self.registry.gather();
        let encoded = TextEncoder::new().encode_to_string(&families);
        encoded.map_err(|error| MetricError {
            step: "encode",
            message: error.to_string(),
        })
    }
}

/// Registers observable counters that read the totals.
fn observe_totals(meter: &Meter, totals: &SharedTotals) {
    let shared = Arc::clone(totals);
    meter
        .u64_observable_counter("fescueway.gossip.bytes")
        .with_description("Bytes of membership messages.")
        .with_callback(move |observer| {
            let totals = shared.lock().unwrap_or_else(PoisonError::into_inner);
            observer.observe(
                totals.gossip_sent_bytes,
                &[KeyValue::new("direction", "sent")],
            );
            let received = [KeyValue::new("direction", "received")];
            observer.observe(totals.gossip_received_bytes, &received);
        })
        .build();
    let shared = Arc::clone(totals);
    meter
        .u64_observable_counter("fescueway.store.calls")
        .with_description("Calls of the store, by kind and by whether they were answered.")
        .with_callback(move |observer| {
            let totals = shared.lock().unwrap_or_else(PoisonError::into_inner);
            for calls in &totals.store_calls {
                let labels = |is_answered: bool| {
                    [
                        KeyValue::new("kind", calls.kind),
                        KeyValue::new("answered", is_answered),
                    ]
                };
                observer.observe(calls.answered, &labels(true));
                observer.observe(calls.failed, &labels(false));
            }
        })
        .build();
    observe_allotments(meter, totals);
    let shared = Arc::clone(totals);
    meter
        .u64_observable_counter("fescueway.key.proof.losses")
        .with_description("Times that the node came to be without a proof of its configuration.")
        .with_callback(move |observer| {
            let totals = shared.lock().unwrap_or_else(PoisonError::into_inner);
            observer.observe(totals.key_proof_losses, &[]);
        })
        .build();
    let shared = Arc::clone(totals);
    meter
        .u64_observable_counter("fescueway.backend.answers.cut")
        .with_description("Answers of backend servers that were cut, since they didn't end.")
        .with_callback(move |observer| {
            let totals = shared.lock().unwrap_or_else(PoisonError::into_inner);
            observer.observe(totals.overlong_answers, &[]);
        })
        .build();
    let shared = Arc::clone(totals);
    meter
        .u64_observable_counter("fescueway.log.lines.lost")
        .with_description("Log lines that were left out because nobody read the log in time.")
        .with_callback(move |observer| {
            let totals = shared.lock().unwrap_or_else(PoisonError::into_inner);
            observer.observe(totals.log_lines_lost, &[]);
        })
        .build();
}

/// Registers the instruments of accounts' allotments. They have no label for the account, of which there
/// may be thousands.
fn observe_allotments(meter: &Meter, totals: &SharedTotals) {
    let shared = Arc::clone(totals);
    meter
        .u64_observable_counter("fescueway.allotment.requests")
        .with_description("Requests of accounts with an allotment, by decision and by who decided.")
        .with_callback(move |observer| {
            let counts = shared
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .allotments;
            for (decision, source, count) in [
                ("admitted", "owner", counts.admitted),
                ("refused", "owner", counts.refused),
                ("admitted", "share", counts.admitted_by_share),
                ("refused", "share", counts.refused_by_share),
            ] {
                let labels = [
                    KeyValue::new("decision", decision),
                    KeyValue::new("source", source),
                ];
                observer.observe(count, &labels);
            }
        })
        .build();
    let shared = Arc::clone(totals);
    meter
        .u64_observable_counter("fescueway.allotment.messages")
        .with_description("Messages sent to the owners of accounts with an allotment.")
        .with_callback(move |observer| {
            let totals = shared.lock().unwrap_or_else(PoisonError::into_inner);
            observer.observe(totals.allotments.questions, &[]);
        })
        .build();
    let shared = Arc::clone(totals);
    meter
        .u64_observable_gauge("fescueway.allotment.shares")
        .with_description("Accounts that use a fixed share at present, for lack of an owner.")
        .with_callback(move |observer| {
            let totals = shared.lock().unwrap_or_else(PoisonError::into_inner);
            observer.observe(totals.allotments.shares, &[]);
        })
        .build();
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}
