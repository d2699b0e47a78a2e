//! The time of day jumps back between two boots of a target under the same `Id`.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use super::{unix_ms, DOCUMENT, DRAIN_S, HOST};
use crate::{
    client::Client,
    record::Record,
    site::Site,
    target::{Ending, Target},
    Verdict,
};

/// How far the time of day of the machine is ahead at the first boot.
const STEP_MS: u64 = 2_400;

/// Id of the target that starts again under the same Id.
const SAME_ID: &str = "i-7f3a91c0";

pub fn play(record: &Record, is_troubled: bool) -> Verdict {
    let mut site = Site::start(DOCUMENT);
    let zones = ["tx-central-a", "tx-central-b"];
    let targets: Vec<_> = zones
        .into_iter()
        .enumerate()
        .map(|(node, zone)| {
            site.start_node("booking-svc", zone);
            let (address, reports) = (site.target_address(node), site.backends(node));
            let policy = |_: &Target, _: &crate::http::Message| Ending::Answer;
            Target::new("booking-svc", zone, address, reports, record, policy)
        })
        .collect();
    targets[1].start("i-7f3a91c1", unix_ms());
    if !site.wait_until_ready() {
        return Verdict::NotPlayed("the nodes aren't ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let step_ms = if is_troubled { STEP_MS } else { 0 };
    targets[0].start(SAME_ID, unix_ms() + step_ms);
    thread::sleep(Duration::from_millis(1_000));
    // The time of day jumps back here, and the target crashes and starts again.
    targets[0].crash();
    thread::sleep(Duration::from_millis(800));
    targets[0].start(SAME_ID, unix_ms());
    // Longer than StableWindowMs, and than several reports.
    thread::sleep(Duration::from_secs(6));
    let numbers = Arc::default();
    let clients: Vec<_> = (0..2)
        .map(|node| Client {
            address: site.callers(node),
            host: HOST,
            record: record.clone(),
            numbers: Arc::clone(&numbers),
        })
        .collect();
    finish(send_bookings(&clients, 2.0));
    let Some(acked) = targets[0].drain() else {
        return Verdict::NotPlayed("the leaving target got no acknowledgement".to_owned());
    };
    // The target serves on for DrainMs and a little longer, and ends.
    let sending = send_bookings(&clients, 5.0);
    targets[0].crash();
    let lost = finish(sending);
    let arrivals = targets[0].arrivals();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.at > acked + DRAIN_S);
    let late: Vec<_> = late.collect();
    let is_running = site.is_running();
    targets[1].crash();
    match late.last() {
        Some(last) => Verdict::Broken(format!(
            "DRAIN: {} bookings reached {SAME_ID} later than {DRAIN_S} s after the \
             acknowledgement, the last one {:.2} s after it; {lost} bookings got no success, as it ended",
            late.len(),
            last.at - acked
        )),
        None if !is_running => Verdict::NotPlayed("a node ended".to_owned()),
        None => Verdict::Held,
    }
}

/// Sends 20 bookings a second through the clients in turn, for some seconds.
fn send_bookings(clients: &[Client], seconds: f64) -> Vec<JoinHandle<Option<u16>>> {
    let count = (seconds * 20.0) as usize;
    let bookings = (0..count).map(|number| {
        let client = clients[number % clients.len()].clone();
        let booking = thread::spawn(move || {
            let body = format!("possession {number}");
            client.send("POST", "/book/w300/possessions", body.as_bytes(), 1_500)
        });
        thread::sleep(Duration::from_millis(50));
        booking
    });
    bookings.collect()
}

/// Waits for the answers. Returns how many bookings got no success.
fn finish(bookings: Vec<JoinHandle<Option<u16>>>) -> usize {
    let statuses = bookings.into_iter().map(|booking| booking.join());
    statuses
        .filter(|status| !matches!(status, Ok(Some(200))))
        .count()
}
