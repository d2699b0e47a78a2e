//! The targets of a service crash at once while clients read the same path.

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

/// Time with traffic, and the time of the crash in it.
const LENGTH: Duration = Duration::from_secs(85);
const CRASH_AT: Duration = Duration::from_secs(8);
const DOWN_TIME: Duration = Duration::from_secs(4);

/// Targets of `window-svc`, the first ones.
const WINDOW_TARGETS: usize = 4;

/// Time between two requests of a kind.
const PERIOD: Duration = Duration::from_millis(33);

pub fn play(record: &Record, is_troubled: bool) -> Verdict {
    let mut site = Site::start(DOCUMENT);
    let machines = [
        ("window-svc", "tx-central-a"),
        ("window-svc", "tx-central-a"),
        ("window-svc", "tx-central-b"),
        ("window-svc", "tx-central-c"),
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
    let windows = Arc::new(KindCount::default());
    let histories = Arc::new(KindCount::default());
    let start = Instant::now();
    let mut reads = Vec::new();
    let mut crashed_at = None;
    let mut is_back = false;
    let mut number = 0;
    while start.elapsed() < LENGTH {
        let client = &clients[number % clients.len()];
        // All crews read the windows of their shift; each history read is another one.
        reads.push(read(client, &windows, "/win/w400/shift".to_owned(), 1_200));
        reads.push(read(
            client,
            &histories,
            format!("/hist/w400/{number}"),
            5_000,
        ));
        number += 1;
        if is_troubled && crashed_at.is_none() && start.elapsed() >= CRASH_AT {
            for target in &targets[..WINDOW_TARGETS] {
                target.crash();
            }
            crashed_at = Some(Instant::now());
        }
        if !is_back && crashed_at.is_some_and(|at| at.elapsed() >= DOWN_TIME) {
            is_back = true;
            for (node, target) in targets[..WINDOW_TARGETS].iter().enumerate() {
                target.start(&format!("i-7f3a91d{node}"), unix_ms());
            }
        }
        let next = start + PERIOD * number as u32;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    for read in reads {
        let _ = read.join();
    }
    let is_running = site.is_running();
    for target in &targets {
        target.crash();
    }
    let window_share = served_share(&[&windows]);
    let all_share = served_share(&[&windows, &histories]);
    let text = format!(
        "of shift-window-read {window_share:.2} were served, of all requests {all_share:.2}"
    );
    record.line(&text);
    if !is_running {
        return Verdict::NotPlayed("a node ended".to_owned());
    }
    if window_share < all_share / 4.0 {
        Verdict::Broken(format!("Starved: {text}"))
    } else {
        Verdict::Held
    }
}

fn read(
    client: &Client,
    kind: &Arc<KindCount>,
    path: String,
    limit_ms: u64,
) -> thread::JoinHandle<()> {
    let (client, kind) = (client.clone(), Arc::clone(kind));
    thread::spawn(move || {
        let status = client.get(&path, limit_ms);
        kind.count(status);
    })
}
