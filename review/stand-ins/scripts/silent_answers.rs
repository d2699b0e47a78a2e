//! Open connections to targets go silent while they carry answers.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{unix_ms, DOCUMENT, HOST};
use crate::{
    client::Client,
    record::Record,
    site::Site,
    target::{Ending, Target},
    Verdict,
};

/// Reads whose answers are on their way.
const READS: usize = 10;

/// `TimeoutMs` of history-read, and how long its clients wait.
const TIMEOUT_MS: u64 = 3_000;
const LIMIT_MS: u64 = 5_000;

/// When the connections go silent, after the reads were sent. From StableWindowMs (3 s) later on the
/// machines are in touch again, which is before the final answers are due.
const SILENT_AT: Duration = Duration::from_millis(350);

/// Time after the route's timeout in which the final answer has to come.
const LATE_MS: u64 = 500;

/// How many such requests without a final answer break the rule, if they are over a quarter.
const ALLOWED: usize = 7;

pub fn play(record: &Record, is_troubled: bool) -> Verdict {
    let mut site = Site::start(DOCUMENT);
    let zones = ["tx-central-a", "tx-central-b"];
    let targets: Vec<_> = zones
        .into_iter()
        .enumerate()
        .map(|(node, zone)| {
            site.start_node("history-svc", zone);
            let (address, reports) = (site.target_address(node), site.backends(node));
            let policy = |_: &Target, _: &crate::http::Message| Ending::Answer;
            let target = Target::new("history-svc", zone, address, reports, record, policy);
            target.start(&format!("i-7f3a91c{node}"), unix_ms());
            target
        })
        .collect();
    if !site.wait_until_ready() {
        return Verdict::NotPlayed("the nodes aren't ready".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    let numbers = Arc::default();
    let reads: Vec<_> = (0..READS)
        .map(|number| {
            let client = Client {
                address: site.callers(number % zones.len()),
                host: HOST,
                record: record.clone(),
                numbers: Arc::clone(&numbers),
            };
            thread::spawn(move || {
                let sent = Instant::now();
                // 0.1 s of work, and a body that takes 2 s.
                let status = client.get(&format!("/hist/w100/s2000/{number}"), LIMIT_MS);
                (status, sent.elapsed())
            })
        })
        .collect();
    thread::sleep(SILENT_AT);
    if is_troubled {
        for target in &targets {
            target.silence_connections();
        }
    }
    let ended: Vec<_> = reads
        .into_iter()
        .filter_map(|read| read.join().ok())
        .collect();
    let is_running = site.is_running();
    for target in &targets {
        target.crash();
    }
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let last = timeout + Duration::from_millis(LATE_MS);
    let long = ended.iter().filter(|(_, took)| *took > timeout).count();
    let late: Vec<_> = ended.iter().filter(|(_, took)| *took > last).collect();
    let longest = ended.iter().map(|(_, took)| took.as_secs_f64());
    let text = format!(
        "{long} of {READS} reads lasted longer than TimeoutMs, {} of them had no final answer \
         {LATE_MS} ms later; the longest took {:.1} s",
        late.len(),
        longest.fold(0.0, f64::max)
    );
    record.line(&text);
    if !is_running || ended.len() < READS {
        return Verdict::NotPlayed("a node or a client ended".to_owned());
    }
    if late.len() > ALLOWED && late.len() * 4 > long {
        Verdict::Broken(format!("CONFIG: {text}"))
    } else {
        Verdict::Held
    }
}
