//! Events that strangers can cause at will don't flood the log.

use std::time::Duration;

use fescueway_core::MonoTime;
use fescueway_telemetry::{SourceRateLimit, events::path::PEER_REFUSED};

/// Events of one second at most, whoever causes them.
const MOST_A_SECOND: usize = 32;

fn at_ms(millis: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(millis)
}

#[test]
fn a_source_is_logged_once_a_second_with_what_was_left_out() {
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
    let mut left_out = 0;
    for source in 0..sent {
        if let Some(suppressed) = limit.admit(at_ms(source / 100), source % 1_000) {
            logged += 1;
            left_out += suppressed;
        }
    }
    assert_eq!(logged, MOST_A_SECOND);
    let last = limit.admit(at_ms(5_000), sent);
    let left_out = left_out + last.expect("a second later");
    assert_eq!(left_out, sent - MOST_A_SECOND as u64);
}
