//! The scripts of the review.

pub mod clock_step;
pub mod lost_answer;
pub mod same_read;
pub mod silent_answers;
pub mod silent_bookings;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

/// How many requests of a kind were sent, and how many got a success.
#[derive(Default)]
struct KindCount {
    asked: AtomicU64,
    served: AtomicU64,
}

impl KindCount {
    fn count(&self, status: Option<u16>) {
        self.asked.fetch_add(1, Ordering::SeqCst);
        if status == Some(200) {
            self.served.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Share of the requests of all these kinds that were served.
fn served_share(kinds: &[&KindCount]) -> f64 {
    let sum = |count: fn(&KindCount) -> &AtomicU64| {
        let values = kinds.iter().map(|kind| count(kind).load(Ordering::SeqCst));
        values.sum::<u64>() as f64
    };
    sum(|kind| &kind.served) / sum(|kind| &kind.asked).max(1.0)
}

/// `DrainMs` of the small deployments, in seconds.
const DRAIN_S: f64 = 2.0;

/// Host of all routes.
const HOST: &str = "hulo84.example";

/// A configuration with the routes `/hist/` to `history-svc`, `/win/` to `window-svc`, and `/book/` to
/// `booking-svc`.
const DOCUMENT: &str = r#"{"Version":7,
"Routes":{
"history-read":{"Host":"hulo84.example","Prefix":"/hist/","Kind":"idempotent","TimeoutMs":3000,"AimMs":1500,"Priority":2,"Service":"history-svc","MaxAttempts":3},
"shift-window-read":{"Host":"hulo84.example","Prefix":"/win/","Kind":"idempotent","TimeoutMs":1200,"AimMs":500,"Priority":2,"Service":"window-svc","MaxAttempts":3},
"possession-booking":{"Host":"hulo84.example","Prefix":"/book/","Kind":"non_idempotent","TimeoutMs":1500,"AimMs":600,"Priority":1,"Service":"booking-svc","MaxAttempts":2}},
"Services":{
"history-svc":{"HealthPath":"/health","MaxConnections":260,"Protocol":"h1","Tls":false},
"booking-svc":{"HealthPath":"/health","MaxConnections":260,"Protocol":"h1","Tls":false},
"window-svc":{"HealthPath":"/health","MaxConnections":260,"Protocol":"h1","Tls":false}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
