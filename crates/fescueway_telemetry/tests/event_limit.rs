//! Events that remote parties can cause at will must not flood the log.

use std::time::Duration;

use fescueway_core::MonoTime;
use fescueway_telemetry::{SourceRateLimit, events::path::PEER_REFUSED};

/// Maximum number of events logged per second, over all sources.
const MAX_LOGGED_PER_S: usize = 32;

fn at_ms(millis: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(millis)
}

#[test]
fn a_source_is_logged_once_a_second_with_its_suppressed_count() {
    let limit = SourceRateLimit::new(&PEER_REFUSED);
    assert_eq!(limit.admit(at_ms(0), 1), Some(0));
    for millis in 1..1_000 {
        assert_eq!(limit.admit(at_ms(millis), 1), None);
    }
    assert_eq!(limit.admit(at_ms(500), 2), Some(0));
    assert_eq!(limit.admit(at_ms(1_000), 1), Some(999));
}

#[test]
fn many_sources_log_no_more_than_the_limit_and_each_event_is_counted() {
    let limit = SourceRateLimit::new(&PEER_REFUSED);
    let sent = 10_000;
    let mut logged = 0;
    let mut total_suppressed = 0;
    for source in 0..sent {
        if let Some(suppressed) = limit.admit(at_ms(source / 100), source % 1_000) {
            logged += 1;
            total_suppressed += suppressed;
        }
    }
    assert_eq!(logged, MAX_LOGGED_PER_S);
    let last = limit.admit(at_ms(5_000), sent);
    let total_suppressed = total_suppressed + last.expect("a second later");
    assert_eq!(total_suppressed, sent - MAX_LOGGED_PER_S as u64);
}
