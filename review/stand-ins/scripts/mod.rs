//! The scripts of the review.

pub mod clock_step;
pub mod lost_answer;
pub mod same_read;

use std::time::{SystemTime, UNIX_EPOCH};

/// `DrainMs` of the small deployments, in seconds.
const DRAIN_S: f64 = 2.0;

/// Host of all routes.
const HOST: &str = "hulo84.example";

/// A configuration with the routes `/hist/` to `history-svc` and `/win/` to `window-svc`.
const DOCUMENT: &str = r#"{"Version":7,
"Routes":{
"history-read":{"Host":"hulo84.example","Prefix":"/hist/","Kind":"idempotent","TimeoutMs":3000,"AimMs":1500,"Priority":2,"Service":"history-svc","MaxAttempts":3},
"shift-window-read":{"Host":"hulo84.example","Prefix":"/win/","Kind":"idempotent","TimeoutMs":1200,"AimMs":500,"Priority":2,"Service":"window-svc","MaxAttempts":3}},
"Services":{
"history-svc":{"HealthPath":"/health","MaxConnections":260,"Protocol":"h1","Tls":false},
"window-svc":{"HealthPath":"/health","MaxConnections":260,"Protocol":"h1","Tls":false}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
