//! Load reports that come with the answers of a backend server.

use std::time::Duration;

use fescueway_testkit::{BackendPlan, ReportForm};
use fescuewayd::{BackendLoad, LoadError};

use crate::common::{TwoNodes, get, header, send};

const DEADLINE: Duration = Duration::from_secs(5);

/// The name of the header field.
const FIELD: &str = "endpoint-load-metrics";

fn read(field: &str) -> Result<BackendLoad, LoadError> {
    BackendLoad::try_from(field.as_bytes())
}

#[test]
fn both_formats_are_read_and_unknown_figures_are_passed_over() {
    let text = "TEXT cpu_utilization=0.3,mem_utilization=0.8, application_utilization=1.2,\
                rps_fractional=10.5,eps=1,named_metrics.depth=-4,request_cost.rows=9,\
                utilization.disk=0.5,new_figure=1,new_map.key=2";
    let json = r#"JSON {"cpu_utilization": 0.3, "memUtilization": 0.8,
        "application_utilization": 1.2, "rpsFractional": 10.5, "eps": 1,
        "named_metrics": {"depth": -4}, "request_cost": {"rows": 9},
        "utilization": {"disk": 0.5}, "new_figure": 1, "new_map": {"key": 2}}"#;
    let load = read(text).expect("a valid report");
    assert_eq!(load.rps_fractional, Some(10.5));
    assert_eq!(load.named_metrics.get("depth"), Some(&-4.0));
    assert_eq!(read(json).expect("a valid report"), load);
}

#[test]
fn garbage_is_refused() {
    let long = format!("TEXT named_metrics.{}=1", "x".repeat(4_096));
    let many: Vec<_> = (0..65)
        .map(|key| format!("named_metrics.{key}=1"))
        .collect();
    let many = format!("TEXT {}", many.join(","));
    let deep = format!("JSON {}", "[".repeat(4_000));
    let wrong = [
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
        &long,
        &many,
        &deep,
    ];
    for field in wrong {
        assert!(read(field).is_err(), "{field:.60}");
    }
    BackendLoad::try_from(&b"TEXT \xff=1"[..]).expect_err("no UTF-8");
}

#[tokio::test]
async fn reports_are_heard_by_the_host_and_by_no_caller() {
    for report in [ReportForm::Json, ReportForm::Garbage] {
        let backend = BackendPlan {
            report,
            ..BackendPlan::default()
        };
        let nodes = TwoNodes::start(DEADLINE, backend).await;
        // Through the other node, and at the backend server's own.
        for node in [&nodes.entry, &nodes.host] {
            let response = send(node.addresses().callers, get("/windows")).await;
            assert_eq!(response.status(), 200);
            assert_eq!(header(&response, FIELD), "");
        }
        let metrics = nodes.host.metrics().render().expect("metrics");
        let is_heard = metrics.contains("fescueway_target_reported_utilization");
        assert_eq!(is_heard, report == ReportForm::Json, "{metrics}");
    }
}
