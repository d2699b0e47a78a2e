//! Keeps the node's view of the fleet: datagrams, timers and the targets beside the node.

use std::time::Duration;

use fescueway_core::{ServiceName, TargetRecord, TargetState};
use fescueway_membership::{MAX_DATAGRAM_BYTES, MemberEvent};
use fescueway_proxy::ProxyState;
use fescueway_telemetry::{emit, events::control};
use tokio::time::{sleep, sleep_until};

use crate::member_link::MemberLink;

/// Pause after the socket gave an error.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// How often dropped datagrams are told of.
const DROP_REPORT_PERIOD: Duration = Duration::from_mins(1);

/// Starts the tasks.
pub fn run_membership(proxy: &ProxyState, link: &MemberLink) {
    let tasks = proxy.tasks();
    tasks.spawn(receive_datagrams(link.clone()));
    tasks.spawn(keep_time(proxy.clone(), link.clone()));
    tasks.spawn(announce_targets(proxy.clone(), link.clone()));
    tasks.spawn(report_drops(link.clone()));
}

async fn receive_datagrams(link: MemberLink) {
    // One byte more than allowed, so that a longer datagram is seen to be too long.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match link.receive(&mut buffer).await {
            Ok((length, from)) => {
                let bytes = buffer[..length].to_vec();
                link.handle(MemberEvent::Datagram { from, bytes });
            }
            Err(_error) => sleep(ERROR_PAUSE).await,
        }
    }
}

async fn keep_time(proxy: ProxyState, link: MemberLink) {
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
                link.tell_traffic();
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
        let is_ending = is_ending(&before, &targets);
        link.handle(MemberEvent::LocalTargets(targets.clone()));
        if is_ending {
            // Gossip alone may miss an entry for some seconds when datagrams are lost.
            link.handle(MemberEvent::DeliverRecord(proxy.recent_entries()));
        }
        before = targets;
        if announced.changed().await.is_err() {
            return;
        }
    }
}

/// Whether a target takes nothing new from now on that did before.
fn is_ending(before: &[TargetRecord], after: &[TargetRecord]) -> bool {
    let takes_work = |records: &[TargetRecord], service: &ServiceName| {
        let mut records = records.iter();
        records.any(|record| record.service == *service && record.state != TargetState::Draining)
    };
    let working = before
        .iter()
        .filter(|record| record.state != TargetState::Draining);
    let mut services = working.map(|record| &record.service);
    services.any(|service| !takes_work(after, service))
}

async fn report_drops(link: MemberLink) {
    let mut told = link.counts();
    loop {
        sleep(DROP_REPORT_PERIOD).await;
        let counts = link.counts();
        let dropped = [
            counts.forged - told.forged,
            counts.malformed - told.malformed,
            counts.oversize - told.oversize,
            counts.other_version - told.other_version,
        ];
        told = counts;
        if dropped.iter().any(|count| *count > 0) {
            let [forged, malformed, oversize, other] = dropped;
            emit(
                &control::DATAGRAMS_DROPPED,
                &[&forged, &malformed, &oversize, &other],
            );
        }
    }
}
