//! Bytes of a configuration on its way, and in memory.

use std::time::Duration;

use fescueway_config::{ConfigSet, Document};
use fescueway_core::{MonoTime, NodeId, ServiceName, SiteName};
use fescueway_rollout::{
    ConfigHead, ConfigReply, ConfigRequest, DomainReport, ReportAction, ReportTree, RolloutEvent,
    RolloutState, SiteIndex,
};
use rand_pcg::Pcg64Mcg;

use super::{CountingAllocator, FleetTarget};

/// What a change of configuration costs, and what holding one does.
#[derive(Clone, Copy, Debug)]
pub struct ConfigCost {
    /// Bytes of a request with the reply that brings one changed service of all.
    pub change_bytes: f64,
    /// Bytes of the reply that brings all services of a site.
    pub full_bytes: f64,
    /// Bytes in use for the configuration of one site.
    pub memory_bytes: f64,
    /// Reports that one node sends for one change.
    pub reports_sent: f64,
    /// Reports that the busiest node receives for one change.
    pub most_received: f64,
    /// Bytes of a report that names the most laggards.
    pub report_bytes: f64,
    /// Time until the root has summed up a change that all have in force, in seconds.
    pub report_s: f64,
}

impl ConfigCost {
    /// Measures a configuration of the target's size.
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
        let reports = ReportRun::measure();
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

/// One change summed up over a failure domain.
struct ReportRun {
    sent_per_node: f64,
    most_received: f64,
    bytes: f64,
    seconds: f64,
}

impl ReportRun {
    fn measure() -> Self {
        const LOOK: Duration = Duration::from_millis(50);
        let count = (FleetTarget::NODES / FleetTarget::DOMAINS) as u64;
        let nodes: Vec<_> = (0..count).map(NodeId).collect();
        let mut trees: Vec<_> = nodes.iter().map(|node| ReportTree::new(*node)).collect();
        let mut now = MonoTime::ZERO;
        let (mut sent, mut bytes) = (0, 0);
        let mut received = vec![0; trees.len()];
        let mut summed_at = None;
        for look in 0..600 {
            now = now + LOOK;
            if look == 400 {
                // All is quiet; then each node has the next revision in force.
                sent = 0;
                received.fill(0);
                for tree in &mut trees {
                    tree.set_local(2, "");
                }
            }
            for place in 0..trees.len() {
                match trees[place].tick(now, &nodes) {
                    Some(ReportAction::Send { to, report }) => {
                        sent += 1;
                        bytes = bytes.max(report.to_bytes().len());
                        received[to.0 as usize] += 1;
                        trees[to.0 as usize].on_report(now, nodes[place], report);
                    }
                    Some(ReportAction::Write(report)) => note_sum(&mut summed_at, now, &report),
                    None => {}
                }
            }
        }
        let start = MonoTime::ZERO + LOOK * 401;
        let seconds = summed_at.map_or(f64::INFINITY, |at| at.since(start).as_secs_f64());
        Self {
            sent_per_node: f64::from(sent) / count as f64,
            most_received: f64::from(received.iter().copied().max().unwrap_or(0)),
            bytes: bytes as f64,
            seconds,
        }
    }
}

fn note_sum(summed_at: &mut Option<MonoTime>, now: MonoTime, report: &DomainReport) {
    if report.lowest == 2 && report.unheard == 0 {
        summed_at.get_or_insert(now);
    }
}

/// A configuration of the target's size, in which the first service has this deadline.
fn reply(revision: u64, deadline_ms: u64) -> ConfigReply {
    let services = (0..FleetTarget::SERVICES).map(|service| {
        let deadline_ms = if service == 0 { deadline_ms } else { 900 };
        format!(
            r#""service-{service}": {{ "path_prefixes": ["/service-{service}"],
                "default_route": {{ "deadline_ms": {deadline_ms} }},
                "routes": {{ "read": {{ "method": "GET", "path_prefix": "/", "idempotency": "idempotent" }} }} }}"#
        )
    });
    let services: Vec<_> = services.collect();
    let text = format!(r#"{{ "services": {{ {} }} }}"#, services.join(","));
    let overlays = (0..FleetTarget::SITES).map(|site| format!(r#"{{ "site": "site-{site}" }}"#));
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
