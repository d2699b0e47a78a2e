//! Runs the membership protocol: datagrams, timers and announcements of local targets.

use std::time::Duration;

use fescueway_core::{ServiceName, TargetRecord, TargetState};
use fescueway_membership::{MAX_DATAGRAM_BYTES, MemberEvent};
use fescueway_proxy::ProxyState;
use fescueway_telemetry::{emit, events::control};
use tokio::time::{sleep, sleep_until};

use crate::member_link::MemberLink;

/// Delay after a socket error.
const ERROR_DELAY: Duration = Duration::from_millis(100);

/// How often dropped datagrams are logged.
const DROP_REPORT_PERIOD: Duration = Duration::from_mins(1);

/// Starts the membership tasks.
pub fn run_membership(proxy: &ProxyState, link: &MemberLink) {
    let tasks = proxy.tasks();
    tasks.spawn(receive_datagrams(link.clone()));
    tasks.spawn(run_timer(proxy.clone(), link.clone()));
    tasks.spawn(announce_targets(proxy.clone(), link.clone()));
    tasks.spawn(report_drops(link.clone()));
}

async fn receive_datagrams(link: MemberLink) {
    // One byte more than allowed, so that an oversized datagram is detected.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match link.receive(&mut buffer).await {
            Ok((length, from)) => {
                let bytes = buffer[..length].to_vec();
                link.handle(MemberEvent::Datagram { from, bytes });
            }
            Err(_error) => sleep(ERROR_DELAY).await,
        }
    }
}

async fn run_timer(proxy: ProxyState, link: MemberLink) {
    let mut is_joined = false;
    loop {
        if !is_joined && link.is_joined() {
            is_joined = true;
            emit(&control::FLEET_JOINED, &[&link.live_count()]);
        }
        let wake = proxy.clock().instant(link.next_wake());
        tokio::select! {
            () = sleep_until(wake) => {
                link.handle(MemberEvent::Tick);
                link.publish_traffic();
            }
            () = link.wake_changed() => {}
        }
    }
}

async fn announce_targets(proxy: ProxyState, link: MemberLink) {
    let mut announced = proxy.announced();
    let mut before = Vec::new();
    loop {
        let targets = announced.borrow_and_update().clone();
        let has_ended_target = has_ended_target(&before, &targets);
        link.handle(MemberEvent::LocalTargets(targets.clone()));
        if has_ended_target {
            // When datagrams are lost, gossip alone may reach an entry only after some seconds.
            link.handle(MemberEvent::DeliverRecord(proxy.recent_entries()));
        }
        before = targets;
        if announced.changed().await.is_err() {
            return;
        }
    }
}

/// Whether a target that took new work before no longer does.
fn has_ended_target(before: &[TargetRecord], after: &[TargetRecord]) -> bool {
    let takes_work = |records: &[TargetRecord], service: &ServiceName| {
        let mut records = records.iter();
        records.any(|record| record.service == *service && record.state != TargetState::Draining)
    };
    let active = before
        .iter()
        .filter(|record| record.state != TargetState::Draining);
    let mut services = active.map(|record| &record.service);
    services.any(|service| !takes_work(after, service))
}

async fn report_drops(link: MemberLink) {
    let mut reported = link.counts();
    loop {
        sleep(DROP_REPORT_PERIOD).await;
        let counts = link.counts();
        let dropped = [
            counts.forged - reported.forged,
            counts.malformed - reported.malformed,
            counts.oversize - reported.oversize,
            counts.other_version - reported.other_version,
        ];
        reported = counts;
        if dropped.iter().any(|count| *count > 0) {
            let [forged, malformed, oversize, other_version] = dropped;
            emit(
                &control::DATAGRAMS_DROPPED,
                &[&forged, &malformed, &oversize, &other_version],
            );
        }
    }
}
