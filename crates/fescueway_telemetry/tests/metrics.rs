//! Metrics as operators read them.

use std::time::Duration;

use fescueway_core::{LoadReport, Outcome, RefusalReason, ServiceName};
use fescueway_telemetry::{MetricSet, NodeTotals, RequestEnd};

#[test]
fn counts_show_in_prometheus_form_and_sets_are_apart() {
    let set = MetricSet::new().expect("metrics");
    let other = MetricSet::new().expect("a second set in one process");
    let bands = set.service(&ServiceName::new("bands"));
    let end = RequestEnd {
        outcome: Outcome::Ran,
        status: 200,
        latency: Duration::from_millis(3),
        offers: 2,
        hedges: 1,
    };
    bands.request_ended(&end);
    set.service(&ServiceName::new("bands")).request_ended(&end);
    bands.objective_counted(false);
    bands.refused(RefusalReason::QueueFull);
    bands.probed(Duration::from_millis(5));
    bands.set_probe_budget(10.0);
    bands.set_load(&LoadReport {
        queued: 4,
        ..LoadReport::default()
    });
    set.set_revision(7);
    set.set_totals(NodeTotals {
        gossip_sent_bytes: 1_200,
        store_answers: 1,
        ..NodeTotals::default()
    });

    let text = set.render().expect("text");
    for line in [
        r#"fescueway_requests_total{class="2xx",outcome="ran",service="bands"} 2"#,
        r#"fescueway_request_latency_seconds_bucket{service="bands",le="0.005"} 2"#,
        r#"fescueway_request_latency_seconds_bucket{service="bands",le="0.002"} 0"#,
        r#"fescueway_request_offers_sum{service="bands"} 4"#,
        r#"fescueway_objective_requests_total{kept="false",service="bands"} 1"#,
        r#"fescueway_objective_requests_total{kept="true",service="bands"} 0"#,
        r#"fescueway_hedges_total{service="bands"} 2"#,
        r#"fescueway_refusals_total{reason="queue-full",service="bands"} 1"#,
        r#"fescueway_probe_spent_seconds_total{service="bands"} 0.005"#,
        r#"fescueway_probe_budget{service="bands"} 0.01"#,
        r#"fescueway_target_queued{service="bands"} 4"#,
        "fescueway_config_revision 7",
        r#"fescueway_gossip_bytes_total{direction="sent"} 1200"#,
        r#"fescueway_store_calls_total{answered="true"} 1"#,
    ] {
        assert!(
            text.lines().any(|found| found == line),
            "{line} is not in\n{text}"
        );
    }
    assert!(!other.render().expect("text").contains("bands"));
}
