//! Load reports in the response headers of a backend server.

use std::time::Duration;

use fescueway_testkit::{BackendPlan, ReportForm};
use fescuewayd::{BackendLoad, LoadError};

use crate::common::{TwoNodes, get, header, send};

const DEADLINE: Duration = Duration::from_secs(5);

/// The name of the header field.
const HEADER_NAME: &str = "endpoint-load-metrics";

fn parse_load(field: &str) -> Result<BackendLoad, LoadError> {
    BackendLoad::try_from(field.as_bytes())
}

#[test]
fn both_formats_are_parsed_and_unknown_metrics_are_ignored() {
    let text = "TEXT cpu_utilization=0.3,mem_utilization=0.8, application_utilization=1.2,\
                rps_fractional=10.5,eps=1,named_metrics.depth=-4,request_cost.rows=9,\
                utilization.disk=0.5,new_figure=1,new_map.key=2";
    let json = r#"JSON {"cpu_utilization": 0.3, "memUtilization": 0.8,
        "application_utilization": 1.2, "rpsFractional": 10.5, "eps": 1,
        "named_metrics": {"depth": -4}, "request_cost": {"rows": 9},
        "utilization": {"disk": 0.5}, "new_figure": 1, "new_map": {"key": 2}}"#;
    let load = parse_load(text).expect("a valid report");
    assert_eq!(load.rps_fractional, Some(10.5));
    assert_eq!(load.named_metrics.get("depth"), Some(&-4.0));
    assert_eq!(parse_load(json).expect("a valid report"), load);
}

#[test]
fn malformed_reports_are_rejected() {
    let long_key = format!("TEXT named_metrics.{}=1", "x".repeat(4_096));
    let many_metrics: Vec<_> = (0..65)
        .map(|key| format!("named_metrics.{key}=1"))
        .collect();
    let many_metrics = format!("TEXT {}", many_metrics.join(","));
    let deep_nesting = format!("JSON {}", "[".repeat(4_000));
    let malformed = [
        "",
        "TEXT",
        "TEXT ",
        "BIN AAAA",
        "TEXT cpu_utilization",
        "TEXT cpu_utilization=0.3,",
        "TEXT cpu_utilization=x",
        "TEXT cpu_utilization=NaN",
        "TEXT cpu_utilization=inf",
        "TEXT application_utilization=-1",
        "TEXT mem_utilization=1.1",
        "TEXT utilization.disk=1.1",
        "JSON {\"cpu_utilization\": \"0.3\"}",
        "JSON {\"cpu_utilization\": 0.3",
        &long_key,
        &many_metrics,
        &deep_nesting,
    ];
    for field in malformed {
        assert!(parse_load(field).is_err(), "{field:.60}");
    }
    BackendLoad::try_from(&b"TEXT \xff=1"[..]).expect_err("invalid UTF-8");
}

#[tokio::test]
async fn load_reports_reach_the_host_but_no_caller() {
    for report in [ReportForm::Json, ReportForm::Garbage] {
        let backend = BackendPlan {
            report,
            ..BackendPlan::default()
        };
        let nodes = TwoNodes::start(DEADLINE, backend).await;
        // Through the entry, then directly at the host.
        for node in [&nodes.entry, &nodes.host] {
            let response = send(node.addresses().callers, get("/windows")).await;
            assert_eq!(response.status(), 200);
            assert_eq!(header(&response, HEADER_NAME), "");
        }
        let metrics = nodes.host.metrics().render().expect("metrics");
        let is_reported = metrics.contains("fescueway_target_reported_utilization");
        assert_eq!(is_reported, report == ReportForm::Json, "{metrics}");
    }
}
