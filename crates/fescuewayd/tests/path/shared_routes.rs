//! Routes whose requests are split between several services.

use std::sync::Arc;

use fescueway_config::{ConfigSet, Document};
use fescueway_core::SiteName;
use fescueway_testkit::{BackendPlan, BackendStub};

use crate::common::{announce, get, send, start_node};

const BASE_DOCUMENT: &str = r#"{ "services": {
    "windows": {
        "hosts": ["test"],
        "path_prefixes": ["/"],
        "routes": {
            "read": {
                "method": "GET", "path_prefix": "/windows", "idempotency": "idempotent",
                "objective_ms": 40, "max_runs": 1, "weights": { "windows": 3, "canary": 1 }
            }
        }
    },
    "canary": {}
} }"#;

#[tokio::test]
async fn a_service_without_a_path_gets_its_weighted_share_of_a_route() {
    let base = Document::parse("base.json", BASE_DOCUMENT).expect("valid JSON");
    let overlay = Document::parse("test.json", r#"{ "site": "test" }"#).expect("valid JSON");
    let config = ConfigSet::check(&base, &[overlay]).expect("a valid configuration");
    let plan = Arc::new(config.sites()[&SiteName::from("test")].clone());
    let node = start_node(&plan, &[]).await;
    let start_backend = || BackendStub::start(BackendPlan::default());
    let stable = start_backend().await.expect("a free port");
    let canary = start_backend().await.expect("a free port");
    announce(&node, "windows", stable.address());
    announce(&node, "canary", canary.address());
    for _ in 0..40 {
        let response = send(node.addresses().callers, get("/windows/7")).await;
        assert_eq!(response.status(), 200);
    }
    assert_eq!((stable.tally().runs, canary.tally().runs), (30, 10));
    // Requests outside the weighted route go to the service itself, none to the canary.
    for _ in 0..8 {
        send(node.addresses().callers, get("/other")).await;
    }
    assert_eq!((stable.tally().runs, canary.tally().runs), (38, 10));
}
