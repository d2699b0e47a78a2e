//! A target that leaves loses the answer to a request that it ran.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{unix_ms, DOCUMENT, DRAIN_S, HOST};
use crate::{
    client::Client,
    record::Record,
    site::Site,
    target::{Ending, Target},
    Verdict,
};

/// Path of the request whose answer is lost. It works for 2.6 s.
const LOST_PATH: &str = "/hist/w2600/last-pass";

pub fn play(record: &Record, is_troubled: bool) -> Verdict {
    let mut site = Site::start(DOCUMENT);
    let zones = ["tx-central-a", "tx-central-b"];
    let targets: Vec<_> = zones
        .into_iter()
        .enumerate()
        .map(|(node, zone)| {
            site.start_node("history-svc", zone);
            let (address, reports) = (site.target_address(node), site.backends(node));
            let policy = move |_: &Target, request: &crate::http::Message| {
                if is_troubled && request.target() == LOST_PATH {
                    Ending::CloseConnection
                } else {
                    Ending::Answer
                }
            };
            let target = Target::new("history-svc", zone, address, reports, record, policy);
            target.start(&format!("i-7f3a91c{node}"), unix_ms());
            target
        })
        .collect();
    if !site.wait_until_ready() {
        return Verdict::NotPlayed("the nodes aren't ready".to_owned());
    }
    // Longer than StableWindowMs.
    thread::sleep(Duration::from_secs(5));
    let client = Client {
        address: site.callers(0),
        host: HOST,
        record: record.clone(),
        numbers: Arc::default(),
    };
    // Ordinary reads, at several targets at the same time.
    let reads = (0..12).map(|number| {
        let client = client.clone();
        thread::spawn(move || client.get(&format!("/hist/w300/{number}"), 5_000))
    });
    let reads: Vec<_> = reads.collect();
    for read in reads {
        let _ = read.join();
    }
    if targets.iter().any(|target| target.arrivals().is_empty()) {
        return Verdict::NotPlayed("a target got no request".to_owned());
    }
    let reading = client.clone();
    let long_read = thread::spawn(move || reading.get(LOST_PATH, 5_000));
    let runs_it = |target: &&Target| {
        let arrivals = target.arrivals();
        arrivals.iter().any(|arrival| arrival.path == LOST_PATH)
    };
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end && !targets.iter().any(|target| runs_it(&target)) {
        thread::sleep(Duration::from_millis(5));
    }
    let Some(leaving) = targets.iter().find(runs_it) else {
        return Verdict::NotPlayed("the long read reached no target".to_owned());
    };
    thread::sleep(Duration::from_millis(150));
    let Some(acked) = leaving.drain() else {
        return Verdict::NotPlayed("the leaving target got no acknowledgement".to_owned());
    };
    // The target serves on for DrainMs and a little longer.
    thread::sleep(Duration::from_secs(5));
    let _ = long_read.join();
    let arrivals = leaving.arrivals();
    let late = arrivals.iter().find(|arrival| arrival.at > acked + DRAIN_S);
    let is_running = site.is_running();
    leaving.crash();
    match late {
        Some(late) => Verdict::Broken(format!(
            "DRAIN: {} reached {} {:.2} s after the acknowledgement",
            late.id,
            leaving.id(),
            late.at - acked
        )),
        None if !is_running => Verdict::NotPlayed("a node ended".to_owned()),
        None => Verdict::Held,
    }
}
