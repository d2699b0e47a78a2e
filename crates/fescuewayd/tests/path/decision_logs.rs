//! Log lines for the decisions about a request. One test, since a process has one logger.

use std::{
    io::{Result, Write},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fescueway_config::SitePlan;
use fescueway_core::SiteName;
use fescueway_telemetry::{LogConfig, LogFormat};
use fescueway_testkit::{BackendFault, BackendPlan};
use fescuewayd::Daemon;
use log::LevelFilter;
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    accounts::account_plan,
    common::{
        TwoNodes, announce, plan, request, send, start_hosts, start_node, text, wait_until,
        wait_until_targets_known,
    },
    raw_backend::{BadAnswer, RawBackend},
};

const DEADLINE: Duration = Duration::from_secs(5);

/// Longer than the default latency objective.
const LATE_SERVICE_TIME: Duration = Duration::from_millis(400);

/// Longer than any test runs.
const STALL_TIME: Duration = Duration::from_mins(1);

/// The log that all nodes of the process write.
#[derive(Clone, Default)]
struct SharedLog(Arc<Mutex<Vec<u8>>>);

impl Write for SharedLog {
    fn write(&mut self, buf: &[u8]) -> Result<usize> {
        self.0.lock().expect("the lock is not poisoned").write(buf)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl SharedLog {
    /// All complete lines so far.
    fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().expect("the lock is not poisoned").clone();
        let text = String::from_utf8(bytes).expect("UTF-8");
        // Other tests log at the same time, so the last line may be incomplete.
        let complete_lines = text
            .rsplit_once('\n')
            .map_or("", |(complete_lines, _rest)| complete_lines);
        let lines = complete_lines.lines();
        lines
            .map(|line| serde_json::from_str(line).expect("a line of JSON"))
            .collect()
    }

    /// The lines of the request with this ID.
    fn request_lines(&self, id: &str) -> Vec<Value> {
        let mut lines = self.lines();
        lines.retain(|line| line["fields"]["id"] == id);
        lines
    }

    /// Waits until the request has a line of this event, and returns the line.
    async fn wait_for_line(&self, id: &str, event: u16) -> Value {
        let is_match = |line: &Value| line["event"] == event;
        wait_until(&format!("E{event} of {id}"), || {
            self.request_lines(id).iter().any(is_match)
        })
        .await;
        let mut lines = self.request_lines(id).into_iter();
        lines.find(is_match).expect("the line is in the log")
    }

    /// Whether a node logged this event.
    fn has_event(&self, node: &Daemon, event: u16) -> bool {
        let node = node.state().node().to_string();
        let mut lines = self.lines().into_iter();
        lines.any(|line| line["event"] == event && line["fields"]["node"] == *node)
    }
}

#[tokio::test]
async fn each_decision_logs_a_line_with_its_request_id() {
    let log = SharedLog::default();
    let plan = LogConfig {
        level: LevelFilter::Info,
        format: LogFormat::Json,
    };
    plan.dispatch(log.clone())
        .apply()
        .expect("the first logger");
    check_success_logs_two_lines(&log).await;
    check_late_and_cancelled_requests(&log).await;
    check_ejection_after_lost_responses(&log).await;
    check_invalid_status_names_its_target(&log).await;
    check_refused_and_unrouted_requests(&log).await;
    check_repeated_offers(&log).await;
    check_hedged_requests(&log).await;
    check_client_accounts(&log).await;
}

/// Sends a request with this ID to a node, reads the response and returns its status.
async fn send_with_id(node: &Daemon, method: &'static str, id: &str) -> u16 {
    send_with_id_to(node.addresses().callers, method, id.to_owned()).await
}

/// Like [`send_with_id`], with the address of the node.
async fn send_with_id_to(address: SocketAddr, method: &'static str, id: String) -> u16 {
    let outgoing = request(method, "/windows", &[("x-request-id", &id)], "");
    let response = send(address, outgoing).await;
    let status = response.status().as_u16();
    text(response).await;
    status
}

/// Lines name the account of a request and the fault of a key, and never a key.
async fn check_client_accounts(log: &SharedLog) {
    let node = start_node(&account_plan(DEADLINE), &[]).await;
    let callers = node.addresses().callers;
    for (id, key) in [("known", "key-of-mill"), ("wrong", "key-of-nobody")] {
        let fields = [("x-request-id", id), ("fescueway-api-key", key)];
        text(send(callers, request("GET", "/windows", &fields, "")).await).await;
    }
    assert_eq!(send_with_id(&node, "GET", "keyless").await, 401);
    let known = log.wait_for_line("known", 1107).await;
    assert_eq!(known["fields"]["account"], "mill");
    assert_eq!(known["fields"]["route"], "read");
    for (id, fault) in [("wrong", "unknown"), ("keyless", "missing")] {
        let line = log.wait_for_line(id, 1108).await;
        assert_eq!(line["fields"]["fault"], fault);
        assert_eq!(line["fields"]["status"], "401");
        assert_eq!(log.request_lines(id).len(), 1);
    }
    let lines = log.lines();
    assert!(
        lines
            .iter()
            .all(|line| !line.to_string().contains("key-of-"))
    );
    let metrics = node.metrics().render().expect("metrics");
    for fault in ["missing", "unknown"] {
        let line = format!("fescueway_key_rejections_total{{fault=\"{fault}\"}} 1");
        assert!(metrics.contains(&line), "{metrics}");
    }
    assert!(
        !metrics.contains("mill") && !metrics.contains("key-of-"),
        "{metrics}"
    );
}

async fn check_success_logs_two_lines(log: &SharedLog) {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    assert_eq!(send_with_id(&nodes.entry, "GET", "well").await, 200);
    let answered = log.wait_for_line("well", 1100).await;
    let ran = log.wait_for_line("well", 1120).await;
    assert_eq!(
        log.request_lines("well").len(),
        2,
        "{:?}",
        log.request_lines("well")
    );
    assert_eq!(answered["fields"]["target"], ran["fields"]["node"]);
    assert_eq!(answered["fields"]["node"], ran["fields"]["entry"]);
    assert_eq!(answered["fields"]["route"], "read");
    assert_eq!(answered["fields"]["objective_us"], "250000");
}

async fn check_late_and_cancelled_requests(log: &SharedLog) {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    nodes
        .backend
        .change(|plan| plan.service_time = LATE_SERVICE_TIME);
    assert_eq!(send_with_id(&nodes.entry, "GET", "late").await, 200);
    log.wait_for_line("late", 1101).await;
    nodes.backend.change(|plan| plan.service_time = STALL_TIME);
    let address = nodes.entry.addresses().callers;
    let outgoing = request("GET", "/windows", &[("x-request-id", "left")], "");
    let runs = nodes.backend.tally().runs;
    let caller = tokio::spawn(send(address, outgoing));
    wait_until("the run begins", || nodes.backend.tally().runs > runs).await;
    caller.abort();
    log.wait_for_line("left", 1105).await;
    log.wait_for_line("left", 1123).await;
}

async fn check_ejection_after_lost_responses(log: &SharedLog) {
    let faulty = BackendPlan {
        fault: Some(BackendFault::DropResponses),
        ..BackendPlan::default()
    };
    let nodes = TwoNodes::start(DEADLINE, faulty).await;
    assert_eq!(send_with_id(&nodes.entry, "POST", "lost").await, 502);
    let failed = log.wait_for_line("lost", 1102).await;
    assert_eq!(failed["fields"]["outcome"], "unknown");
    log.wait_for_line("lost", 1111).await;
    log.wait_for_line("lost", 1122).await;
    for index in 0..20 {
        send_with_id(&nodes.entry, "POST", &format!("lost-{index}")).await;
    }
    assert!(log.has_event(&nodes.entry, 1130), "the target is ejected");
    nodes.backend.change(|plan| plan.fault = None);
    for index in 0..100 {
        if log.has_event(&nodes.entry, 1131) {
            break;
        }
        send_with_id(&nodes.entry, "GET", &format!("back-{index}")).await;
        sleep(Duration::from_millis(100)).await;
    }
    assert!(log.has_event(&nodes.entry, 1131), "the target is restored");
}

async fn check_invalid_status_names_its_target(log: &SharedLog) {
    let plan = plan("windows", DEADLINE);
    for status in ["099", "101", "700", "abc"] {
        let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 0\r\n\r\n");
        let backend = RawBackend::start(BadAnswer::Once(answer)).await;
        let entry = start_node(&plan, &[]).await;
        let host = start_node(&plan, &[entry.addresses().peers]).await;
        announce(&host, "windows", backend.address());
        wait_until_targets_known(&entry, 1).await;
        let id = format!("status-{status}");
        let outgoing = request("POST", "/windows/bad", &[("x-request-id", &id)], "");
        let response = send(entry.addresses().callers, outgoing).await;
        assert_eq!(response.status(), 502);
        let lost = log.wait_for_line(&id, 1122).await;
        let error = lost["fields"]["error"].to_string();
        assert!(error.contains(&backend.address().to_string()), "{error}");
        let offer = log.wait_for_line(&id, 1111).await;
        assert_eq!(offer["fields"]["target"], host.state().node().to_string());
    }
}

async fn check_refused_and_unrouted_requests(log: &SharedLog) {
    let node_without_targets = start_node(&plan("windows", DEADLINE), &[]).await;
    assert_eq!(
        send_with_id(&node_without_targets, "GET", "refused").await,
        503
    );
    let refused = log.wait_for_line("refused", 1103).await;
    assert_eq!(refused["fields"]["reason"], "no-target");
    let empty_plan = Arc::new(SitePlan::empty(SiteName::from("test")));
    let node_without_services = start_node(&empty_plan, &[]).await;
    assert_eq!(
        send_with_id(&node_without_services, "GET", "unrouted").await,
        404
    );
    log.wait_for_line("unrouted", 1104).await;
}

async fn check_repeated_offers(log: &SharedLog) {
    let plan = plan("windows", DEADLINE);
    let entry = start_node(&plan, &[]).await;
    let (_hosts, backends) = start_hosts(&plan, &entry, 2).await;
    backends[0].crash();
    sleep(Duration::from_millis(50)).await;
    // Concurrent requests, so that both targets receive some.
    let ids = (0..8).map(|index| format!("again-{index}"));
    let ids: Vec<_> = ids.collect();
    let address = entry.addresses().callers;
    let tasks: Vec<_> = ids
        .iter()
        .map(|id| tokio::spawn(send_with_id_to(address, "POST", id.clone())))
        .collect();
    for task in tasks {
        assert_eq!(task.await.expect("the task doesn't panic"), 200);
    }
    let reoffered = ids.iter().find(|id| {
        let lines = log.request_lines(id);
        let reoffer = lines.iter().find(|line| line["event"] == 1112);
        let refused = lines.iter().find(|line| line["event"] == 1121);
        reoffer.zip(refused).is_some_and(|(reoffer, refused)| {
            reoffer["fields"]["cause"] == refused["fields"]["reason"]
                && reoffer["fields"]["last_target"] == refused["fields"]["node"]
        })
    });
    assert!(reoffered.is_some(), "no request was offered again");
}

async fn check_hedged_requests(log: &SharedLog) {
    let mut plan = plan("windows", 2 * STALL_TIME);
    let windows = Arc::make_mut(&mut plan).services.get_mut("windows");
    let windows = Arc::make_mut(windows.expect("the service"));
    windows.retry.budget_share = 1.0;
    let entry = start_node(&plan, &[]).await;
    let (_hosts, backends) = start_hosts(&plan, &entry, 2).await;
    for index in 0..100 {
        send_with_id(&entry, "GET", &format!("usual-{index}")).await;
    }
    let preferred = backends.iter().max_by_key(|backend| backend.tally().runs);
    let slow = preferred.expect("two backend servers");
    slow.change(|plan| plan.service_time = STALL_TIME);
    for index in 0..50 {
        if log.has_event(&entry, 1113) {
            break;
        }
        send_with_id(&entry, "GET", &format!("hedged-{index}")).await;
    }
    assert!(log.has_event(&entry, 1113), "a read is hedged");
}
