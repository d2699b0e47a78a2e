//! Size of a configuration on the wire and in memory, and cost of its reports.

use std::time::Duration;

use fescueway_config::{ConfigSet, Document};
use fescueway_core::{MonoTime, NodeId, ServiceName, SiteName};
use fescueway_rollout::{
    ConfigHead, ConfigReply, ConfigRequest, DomainReport, ReportAction, ReportTree, RolloutEvent,
    RolloutState, SiteIndex,
};
use rand_pcg::Pcg64Mcg;

use super::{CountingAllocator, FleetRequirements};

/// Cost of changing and of holding a configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigCost {
    /// Bytes of a request and its reply with the one changed service.
    pub change_bytes: f64,
    /// Bytes of a reply with all services of a site.
    pub full_bytes: f64,
    /// Heap bytes of the configuration of one site.
    pub memory_bytes: f64,
    /// Mean number of reports sent by a node per change.
    pub reports_sent: f64,
    /// Largest number of reports received by a node per change.
    pub most_received: f64,
    /// Bytes of the largest report, which names the most nodes still on an older revision.
    pub report_bytes: f64,
    /// Time until the root has aggregated the reports of a change that is in force everywhere, in
    /// seconds.
    pub report_s: f64,
}

impl ConfigCost {
    /// Measures a configuration at the required fleet size.
    #[must_use]
    pub fn measure() -> Self {
        let mut random = Pcg64Mcg::new(3);
        let before = CountingAllocator::live_bytes();
        let mut state = RolloutState::new(SiteName::from("site-0"));
        let first = reply(1, 1_000);
        let full_bytes = first.to_bytes().len() as f64;
        state.handle(MonoTime::ZERO, RolloutEvent::Fetched(first), &mut random);
        let memory_bytes = CountingAllocator::live_bytes().saturating_sub(before) as f64;
        let changed = RolloutEvent::Fetched(reply(2, 2_000));
        state.handle(MonoTime::ZERO, changed, &mut random);
        let request = ConfigRequest {
            site: SiteName::from("site-0"),
            have: 1,
        };
        let answer = state.answer(&request).map(|answer| answer.to_bytes().len());
        let change_bytes = (request.to_bytes().len() + answer.unwrap_or_default()) as f64;
        let reports = ReportCost::measure();
        Self {
            change_bytes,
            full_bytes,
            memory_bytes,
            reports_sent: reports.sent_per_node,
            most_received: reports.most_received,
            report_bytes: reports.bytes,
            report_s: reports.seconds,
        }
    }
}

/// Cost of reporting one change within a failure domain.
struct ReportCost {
    sent_per_node: f64,
    most_received: f64,
    bytes: f64,
    seconds: f64,
}

impl ReportCost {
    fn measure() -> Self {
        const TICK_INTERVAL: Duration = Duration::from_millis(50);
        let count = (FleetRequirements::NODES / FleetRequirements::DOMAINS) as u64;
        let nodes: Vec<_> = (0..count).map(NodeId).collect();
        let mut trees: Vec<_> = nodes.iter().map(|node| ReportTree::new(*node)).collect();
        let mut now = MonoTime::ZERO;
        let (mut sent, mut bytes) = (0, 0);
        let mut received = vec![0; trees.len()];
        let mut summed_at = None;
        for tick in 0..600 {
            now = now + TICK_INTERVAL;
            if tick == 400 {
                // The initial reports have settled. Every node now has the next revision in force.
                sent = 0;
                received.fill(0);
                for tree in &mut trees {
                    tree.set_local(2, "");
                }
            }
            for position in 0..trees.len() {
                match trees[position].tick(now, &nodes) {
                    Some(ReportAction::Send { to, report }) => {
                        sent += 1;
                        bytes = bytes.max(report.to_bytes().len());
                        received[to.0 as usize] += 1;
                        trees[to.0 as usize].on_report(now, nodes[position], report);
                    }
                    Some(ReportAction::Write(report)) => record_sum(&mut summed_at, now, &report),
                    None => {}
                }
            }
        }
        let start = MonoTime::ZERO + TICK_INTERVAL * 401;
        let seconds = summed_at.map_or(f64::INFINITY, |at| at.since(start).as_secs_f64());
        Self {
            sent_per_node: f64::from(sent) / count as f64,
            most_received: f64::from(received.iter().copied().max().unwrap_or(0)),
            bytes: bytes as f64,
            seconds,
        }
    }
}

fn record_sum(summed_at: &mut Option<MonoTime>, now: MonoTime, report: &DomainReport) {
    if report.lowest == 2 && report.unheard == 0 {
        summed_at.get_or_insert(now);
    }
}

/// Returns a configuration of the required size, in which the first service has this deadline.
fn reply(revision: u64, deadline_ms: u64) -> ConfigReply {
    let services = (0..FleetRequirements::SERVICES).map(|service| {
        let deadline_ms = if service == 0 { deadline_ms } else { 900 };
        format!(
            r#""service-{service}": {{ "path_prefixes": ["/service-{service}"],
                "default_route": {{ "deadline_ms": {deadline_ms} }},
                "routes": {{ "read": {{ "method": "GET", "path_prefix": "/", "idempotency": "idempotent" }} }} }}"#
        )
    });
    let services: Vec<_> = services.collect();
    let text = format!(r#"{{ "services": {{ {} }} }}"#, services.join(","));
    let overlays =
        (0..FleetRequirements::SITES).map(|site| format!(r#"{{ "site": "site-{site}" }}"#));
    let overlays: Vec<_> = overlays
        .filter_map(|text| Document::parse("o", &text).ok())
        .collect();
    let base = Document::parse("base.json", &text);
    let config = base
        .ok()
        .and_then(|base| ConfigSet::check(&base, &overlays).ok());
    let values = config.unwrap_or_default().service_values();
    let mut indexes = std::collections::BTreeMap::<SiteName, SiteIndex>::new();
    for ((site, name), value) in &values {
        let index = indexes.entry(site.clone()).or_default();
        index.0.insert(ServiceName::clone(name), value.digest);
    }
    let own = values
        .into_iter()
        .filter(|((site, _), _)| site.as_str() == "site-0");
    ConfigReply {
        head: ConfigHead {
            revision,
            sites: indexes
                .iter()
                .map(|(site, index)| (site.clone(), index.digest()))
                .collect(),
            operator: "an operator".into(),
            operation: "0123456789abcdef0123456789abcdef".into(),
            unix_time_s: 1_800_000_000,
            note: "what this change is for".into(),
        },
        is_full: true,
        values: own
            .map(|((_, name), value)| (name, value.bytes.to_vec()))
            .collect(),
        removed: Vec::new(),
    }
}
