//! Open connections to targets go silent while they carry bookings.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{served_share, unix_ms, KindCount, DOCUMENT, HOST};
use crate::{
    client::Client,
    record::Record,
    site::Site,
    target::{Ending, Target},
    Verdict,
};

/// Time with traffic, and when the connections go silent in it.
const LENGTH: Duration = Duration::from_secs(70);
const SILENT_AT: [Duration; 2] = [Duration::from_secs(8), Duration::from_secs(14)];

/// Time after which what was in flight then has ended.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time between two bookings: nine tenths of what the targets can do.
const BOOKING_PERIOD: Duration = Duration::from_millis(32);

/// History reads for each booking.
const READS: usize = 2;

pub fn play(record: &Record, is_troubled: bool) -> Verdict {
    let mut site = Site::start(DOCUMENT);
    let machines = [
        ("booking-svc", "tx-central-a"),
        ("booking-svc", "tx-central-b"),
        ("booking-svc", "tx-central-c"),
        ("history-svc", "tx-central-a"),
        ("history-svc", "tx-central-b"),
        ("history-svc", "tx-central-c"),
    ];
    let targets: Vec<_> = machines
        .into_iter()
        .enumerate()
        .map(|(node, (service, zone))| {
            site.start_node(service, zone);
            let (address, reports) = (site.target_address(node), site.backends(node));
            let policy = |_: &Target, _: &crate::http::Message| Ending::Answer;
            let target = Target::new(service, zone, address, reports, record, policy);
            target.start(&format!("i-7f3a91c{node}"), unix_ms());
            target
        })
        .collect();
    if !site.wait_until_ready() {
        return Verdict::NotPlayed("the nodes aren't ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let numbers = Arc::default();
    let clients: Vec<_> = (0..machines.len())
        .map(|node| Client {
            address: site.callers(node),
            host: HOST,
            record: record.clone(),
            numbers: Arc::clone(&numbers),
        })
        .collect();
    let (bookings, reads) = (
        Arc::new(KindCount::default()),
        Arc::new(KindCount::default()),
    );
    let after = Arc::new(KindCount::default());
    let start = Instant::now();
    let mut sending = Vec::new();
    let mut number = 0;
    let mut silences = 0;
    while start.elapsed() < LENGTH {
        let since = start.elapsed();
        if is_troubled && SILENT_AT.get(silences).is_some_and(|at| since >= *at) {
            silences += 1;
            for target in &targets {
                target.silence_connections();
            }
        }
        let is_over = since >= SILENT_AT[1] + SETTLE_TIME;
        let (client, kind) = (
            clients[number % clients.len()].clone(),
            Arc::clone(&bookings),
        );
        let after = is_over.then(|| Arc::clone(&after));
        sending.push(thread::spawn(move || {
            let body = format!("possession {number}");
            let path = format!("/book/w600/{number}");
            let status = client.send("POST", &path, body.as_bytes(), 1_500);
            kind.count(status);
            if let Some(after) = after {
                after.count(status);
            }
        }));
        for read in 0..READS {
            let client = clients[(number + read) % clients.len()].clone();
            let kind = Arc::clone(&reads);
            sending.push(thread::spawn(move || {
                let path = format!("/hist/w100/{number}-{read}");
                kind.count(client.get(&path, 5_000));
            }));
        }
        number += 1;
        let next = start + BOOKING_PERIOD * number as u32;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    for request in sending {
        let _ = request.join();
    }
    let is_running = site.is_running();
    for target in &targets {
        target.crash();
    }
    let booking_share = served_share(&[&bookings]);
    let all_share = served_share(&[&bookings, &reads]);
    let text = format!(
        "of possession-booking {booking_share:.2} were served ({:.2} of those sent 2 s after the \
         second silence or later), of all requests {all_share:.2}",
        served_share(&[&after])
    );
    record.line(&text);
    if !is_running {
        return Verdict::NotPlayed("a node ended".to_owned());
    }
    if booking_share < all_share / 4.0 {
        Verdict::Broken(format!("Starved: {text}"))
    } else {
        Verdict::Held
    }
}
