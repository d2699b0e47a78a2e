//! A line for each decision about a request. One test, since a process has one logger.

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

use crate::common::{TwoNodes, eventually, hosts, node, plan, request, send, text};

const DEADLINE: Duration = Duration::from_secs(5);

/// Longer than the objective of a service that sets none.
const LATE: Duration = Duration::from_millis(400);

/// Longer than any test takes.
const STALL: Duration = Duration::from_mins(1);

/// The log of all nodes.
#[derive(Clone, Default)]
struct SharedLog(Arc<Mutex<Vec<u8>>>);

impl Write for SharedLog {
    fn write(&mut self, buf: &[u8]) -> Result<usize> {
        self.0.lock().expect("no writer panicked").write(buf)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl SharedLog {
    /// Every line so far.
    fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().expect("no writer panicked").clone();
        let text = String::from_utf8(bytes).expect("UTF-8");
        // Other tests log meanwhile: the last line may not be written whole yet.
        let whole = text.rsplit_once('\n').map_or("", |(whole, _rest)| whole);
        let lines = whole.lines();
        lines
            .map(|line| serde_json::from_str(line).expect("a line of JSON"))
            .collect()
    }

    /// The lines of one request.
    fn of(&self, id: &str) -> Vec<Value> {
        let mut lines = self.lines();
        lines.retain(|line| line["fields"]["id"] == id);
        lines
    }

    /// Waits until the request has a line of this event, and returns that.
    async fn line(&self, id: &str, event: u16) -> Value {
        let is_meant = |line: &Value| line["event"] == event;
        eventually(&format!("E{event} of {id}"), || {
            self.of(id).iter().any(is_meant)
        })
        .await;
        let mut lines = self.of(id).into_iter();
        lines.find(is_meant).expect("it was there")
    }

    /// Whether a node logged this event.
    fn has(&self, node: &Daemon, event: u16) -> bool {
        let node = node.state().node().to_string();
        let mut lines = self.lines().into_iter();
        lines.any(|line| line["event"] == event && line["fields"]["node"] == *node)
    }
}

#[tokio::test]
async fn each_decision_has_a_line_with_the_request_it_is_about() {
    let log = SharedLog::default();
    let plan = LogConfig {
        level: LevelFilter::Info,
        format: LogFormat::Json,
    };
    plan.dispatch(log.clone())
        .apply()
        .expect("the first logger");
    one_that_goes_well_costs_two_lines(&log).await;
    late_and_left(&log).await;
    lost_answers_eject(&log).await;
    refused_and_unrouted(&log).await;
    offered_again(&log).await;
    hedged(&log).await;
}

/// Sends a request with this id and reads its answer.
async fn ask(node: &Daemon, method: &'static str, id: &str) -> u16 {
    ask_at(node.addresses().callers, method, id.to_owned()).await
}

/// The same at an address.
async fn ask_at(address: SocketAddr, method: &'static str, id: String) -> u16 {
    let asked = request(method, "/windows", &[("x-request-id", &id)], "");
    let response = send(address, asked).await;
    let status = response.status().as_u16();
    text(response).await;
    status
}

async fn one_that_goes_well_costs_two_lines(log: &SharedLog) {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    assert_eq!(ask(&nodes.entry, "GET", "well").await, 200);
    let answered = log.line("well", 1100).await;
    let ran = log.line("well", 1120).await;
    assert_eq!(log.of("well").len(), 2, "{:?}", log.of("well"));
    assert_eq!(answered["fields"]["target"], ran["fields"]["node"]);
    assert_eq!(answered["fields"]["node"], ran["fields"]["entry"]);
    assert_eq!(answered["fields"]["route"], "read");
    assert_eq!(answered["fields"]["objective_us"], "250000");
}

async fn late_and_left(log: &SharedLog) {
    let nodes = TwoNodes::start(DEADLINE, BackendPlan::default()).await;
    nodes.backend.change(|plan| plan.service_time = LATE);
    assert_eq!(ask(&nodes.entry, "GET", "late").await, 200);
    log.line("late", 1101).await;
    nodes.backend.change(|plan| plan.service_time = STALL);
    let address = nodes.entry.addresses().callers;
    let asked = request("GET", "/windows", &[("x-request-id", "left")], "");
    let runs = nodes.backend.tally().runs;
    let caller = tokio::spawn(send(address, asked));
    eventually("the run begins", || nodes.backend.tally().runs > runs).await;
    caller.abort();
    log.line("left", 1105).await;
    log.line("left", 1123).await;
}

async fn lost_answers_eject(log: &SharedLog) {
    let faulty = BackendPlan {
        fault: Some(BackendFault::LoseAnswers),
        ..BackendPlan::default()
    };
    let nodes = TwoNodes::start(DEADLINE, faulty).await;
    assert_eq!(ask(&nodes.entry, "POST", "lost").await, 502);
    let failed = log.line("lost", 1102).await;
    assert_eq!(failed["fields"]["outcome"], "unknown");
    log.line("lost", 1111).await;
    log.line("lost", 1122).await;
    for index in 0..20 {
        ask(&nodes.entry, "POST", &format!("lost-{index}")).await;
    }
    assert!(log.has(&nodes.entry, 1130), "the target is ejected");
    nodes.backend.change(|plan| plan.fault = None);
    for index in 0..100 {
        if log.has(&nodes.entry, 1131) {
            break;
        }
        ask(&nodes.entry, "GET", &format!("back-{index}")).await;
        sleep(Duration::from_millis(100)).await;
    }
    assert!(log.has(&nodes.entry, 1131), "the target is trusted again");
}

async fn refused_and_unrouted(log: &SharedLog) {
    let alone = node(&plan("windows", DEADLINE), &[]).await;
    assert_eq!(ask(&alone, "GET", "refused").await, 503);
    let refused = log.line("refused", 1103).await;
    assert_eq!(refused["fields"]["reason"], "no-target");
    let empty = Arc::new(SitePlan::empty(SiteName::from("test")));
    let bare = node(&empty, &[]).await;
    assert_eq!(ask(&bare, "GET", "unrouted").await, 404);
    log.line("unrouted", 1104).await;
}

async fn offered_again(log: &SharedLog) {
    let plan = plan("windows", DEADLINE);
    let entry = node(&plan, &[]).await;
    let (_hosts, backends) = hosts(&plan, &entry, 2).await;
    backends[0].crash();
    sleep(Duration::from_millis(50)).await;
    // Many at once, so that both targets get some.
    let ids = (0..8).map(|index| format!("again-{index}"));
    let ids: Vec<_> = ids.collect();
    let address = entry.addresses().callers;
    let asking: Vec<_> = ids
        .iter()
        .map(|id| tokio::spawn(ask_at(address, "POST", id.clone())))
        .collect();
    for asked in asking {
        assert_eq!(asked.await.expect("no panic"), 200);
    }
    let again = ids.iter().find(|id| {
        let lines = log.of(id);
        let again = lines.iter().find(|line| line["event"] == 1112);
        let refused = lines.iter().find(|line| line["event"] == 1121);
        again.zip(refused).is_some_and(|(again, refused)| {
            again["fields"]["cause"] == refused["fields"]["reason"]
                && again["fields"]["last_target"] == refused["fields"]["node"]
        })
    });
    assert!(again.is_some(), "none was offered again");
}

async fn hedged(log: &SharedLog) {
    let mut plan = plan("windows", 2 * STALL);
    let windows = Arc::make_mut(&mut plan).services.get_mut("windows");
    let windows = Arc::make_mut(windows.expect("the service"));
    windows.retry.budget_share = 1.0;
    let entry = node(&plan, &[]).await;
    let (_hosts, backends) = hosts(&plan, &entry, 2).await;
    for index in 0..100 {
        ask(&entry, "GET", &format!("usual-{index}")).await;
    }
    let preferred = backends.iter().max_by_key(|backend| backend.tally().runs);
    let slow = preferred.expect("two backend servers");
    slow.change(|plan| plan.service_time = STALL);
    for index in 0..50 {
        if log.has(&entry, 1113) {
            break;
        }
        ask(&entry, "GET", &format!("hedged-{index}")).await;
    }
    assert!(log.has(&entry, 1113), "a read is hedged");
}
