//! Metrics in the Prometheus text format.

use std::time::Duration;

use fescueway_core::{LoadReport, Outcome, RateLimit, RefusalReason, ServerNotice, ServiceName};
use fescueway_telemetry::{
    MetricSet, NodeGauges, NodeTotals, RequestEnd, RouteResult, ServiceLoad, StoreCalls,
};

/// Metrics with a value for each instrument that the tests look for.
fn filled_set() -> MetricSet {
    let set = MetricSet::new().expect("metrics");
    let bands = set.service(&ServiceName::new("bands"));
    let end = RequestEnd {
        outcome: Outcome::Ran,
        status: 200,
        latency: Duration::from_millis(3),
        offers: 2,
        hedges: 1,
        hedge_wins: 1,
        hedge_waste: Duration::from_millis(250),
    };
    bands.request_ended(&end);
    set.service(&ServiceName::new("bands")).request_ended(&end);
    bands.objective_counted(false);
    bands.refused(RefusalReason::QueueFull);
    set.key_rejected("unknown");
    bands.probed(Duration::from_millis(5));
    bands.set_probe_budget(10.0);
    let route = "look".into();
    bands.route_ended(&route, RouteResult::Late);
    bands.set_load(&ServiceLoad {
        report: Some(LoadReport {
            queued: 4,
            notice: Some(ServerNotice {
                rate_limit: RateLimit::try_from("28.2").ok(),
                is_leaving: true,
                ..ServerNotice::default()
            }),
            ..LoadReport::default()
        }),
        slots: 9,
        starts: 12,
        rate_limited: 3,
        cold_limited: 8,
        evacuated: 2,
        cold_left: Some(Duration::from_millis(1_500)),
        retry_tokens: 2.5,
        refusal_tokens: -1.0,
    });
    set.set_gauges(&NodeGauges {
        config_revision: 7,
        config_age_s: 1.5,
        nodes: 3,
        targets: 5,
        key_proof_age_s: Some(0.75),
        evacuated_domains: 1,
    });
    set.set_totals(NodeTotals {
        gossip_sent_bytes: 1_200,
        store_calls: vec![StoreCalls {
            kind: "lease",
            answered: 1,
            failed: 2,
        }],
        key_proof_losses: 2,
        log_lines_lost: 6,
        ..NodeTotals::default()
    });
    set
}

#[test]
fn metrics_render_as_prometheus_text_and_sets_are_independent() {
    let set = filled_set();
    let other = MetricSet::new().expect("a second set in one process");
    let text = set.render().expect("text");
    for line in [
        r#"fescueway_requests_total{class="2xx",outcome="ran",service="bands"} 2"#,
        r#"fescueway_request_latency_seconds_bucket{service="bands",le="0.005"} 2"#,
        r#"fescueway_request_latency_seconds_bucket{service="bands",le="0.002"} 0"#,
        r#"fescueway_request_offers_sum{service="bands"} 4"#,
        r#"fescueway_objective_requests_total{kept="false",service="bands"} 1"#,
        r#"fescueway_objective_requests_total{kept="true",service="bands"} 0"#,
        r#"fescueway_hedges_total{service="bands"} 2"#,
        r#"fescueway_hedge_wins_total{service="bands"} 2"#,
        r#"fescueway_hedge_waste_seconds_total{service="bands"} 0.5"#,
        r#"fescueway_refusals_total{reason="queue-full",service="bands"} 1"#,
        r#"fescueway_probe_spent_seconds_total{service="bands"} 0.005"#,
        r#"fescueway_probe_budget{service="bands"} 0.01"#,
        r#"fescueway_target_queued{service="bands"} 4"#,
        r#"fescueway_key_rejections_total{fault="unknown"} 1"#,
        "fescueway_config_revision 7",
        r#"fescueway_gossip_bytes_total{direction="sent"} 1200"#,
        r#"fescueway_store_calls_total{answered="true",kind="lease"} 1"#,
        r#"fescueway_store_calls_total{answered="false",kind="lease"} 2"#,
        r#"fescueway_route_requests_total{result="late",route="look",service="bands"} 1"#,
        r#"fescueway_target_slots{service="bands"} 9"#,
        r#"fescueway_target_rate_limit{service="bands"} 28.2"#,
        r#"fescueway_target_leaving{service="bands"} 1"#,
        r#"fescueway_target_starts_total{service="bands"} 12"#,
        r#"fescueway_target_rate_limited_total{service="bands"} 3"#,
        r#"fescueway_target_cold_limited_total{service="bands"} 8"#,
        r#"fescueway_target_evacuation_refused_total{service="bands"} 2"#,
        r#"fescueway_target_cold_left{service="bands"} 1.5"#,
        "fescueway_evacuated_domains 1",
        r#"fescueway_retry_tokens{service="bands"} 2.5"#,
        r#"fescueway_refusal_tokens{service="bands"} -1"#,
        "fescueway_config_age_seconds 1.5",
        "fescueway_nodes 3",
        "fescueway_targets 5",
        "fescueway_key_proof_age_seconds 0.75",
        "fescueway_key_proof_losses_total 2",
        "fescueway_log_lines_lost_total 6",
    ] {
        assert!(
            text.lines().any(|found| found == line),
            "{line} is not in\n{text}"
        );
    }
    assert!(!other.render().expect("text").contains("bands"));
}

#[test]
fn number_of_route_labels_is_bounded() {
    let set = MetricSet::new().expect("metrics");
    let bands = set.service(&ServiceName::new("bands"));
    for index in 0..1_000 {
        bands.route_ended(&format!("r-{index}").into(), RouteResult::Answered);
    }
    let text = set.render().expect("text");
    let lines = text
        .lines()
        .filter(|line| line.starts_with("fescueway_route_requests_total{"));
    let counts: Vec<u64> = lines
        .filter_map(|line| line.rsplit_once(' ')?.1.parse().ok())
        .collect();
    assert!(counts.len() <= 64 * 4 + 1, "{} routes", counts.len());
    assert_eq!(counts.iter().sum::<u64>(), 1_000);
}
