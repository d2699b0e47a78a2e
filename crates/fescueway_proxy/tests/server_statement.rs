//! Header fields by which a backend server states its limit and that it is leaving.

use std::time::Duration;

use fescueway_core::RateLimit;
use fescueway_proxy::{EdgeProfile, ServerStatement};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

const LIMIT: HeaderName = HeaderName::from_static("fescueway-rate-limit");
const LEAVING: HeaderName = HeaderName::from_static("fescueway-leaving");
const WARMUP_LEFT: HeaderName = HeaderName::from_static("fescueway-warmup-left-ms");

fn fields(name: &HeaderName, values: &[&[u8]]) -> HeaderMap {
    let mut fields = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).expect("a header value");
        fields.append(name, value);
    }
    fields
}

fn read(fields: &HeaderMap) -> ServerStatement {
    let statement = ServerStatement::read(&EdgeProfile::default(), StatusCode::OK, fields);
    statement.expect("a statement")
}

#[test]
fn an_answer_without_the_fields_states_no_limit() {
    let statement = read(&HeaderMap::new());
    assert_eq!(statement.rate_limit, Ok(None));
    assert_eq!(statement.is_leaving, Ok(false));
    assert_eq!(statement.invalid_field(), None);
}

#[test]
fn valid_limits_are_read() {
    let cases: [(&[&[u8]], f64); 9] = [
        (&[b"28.2"], 28.2),
        (&[b" 14 "], 14.0),
        (&[b"0"], 0.0),
        (&[b"0.0004"], 0.0),
        (&[b"1e3"], 1_000.0),
        (&[b"1e300"], RateLimit::MAX_PER_S),
        // The lowest of several, and what is invalid beside them doesn't count.
        (&[b"7", b"5"], 5.0),
        (&[b"5, 7"], 5.0),
        (&[b"many", b"9"], 9.0),
    ];
    for (values, per_s) in cases {
        let limit = read(&fields(&LIMIT, values)).rate_limit;
        let limit = limit.expect("valid").expect("a limit");
        assert!((limit.per_s() - per_s).abs() < 1e-9, "{values:?}: {limit}");
    }
}

#[test]
fn invalid_limits_state_nothing() {
    let cases: [(&[u8], &str); 8] = [
        (b"", "not a decimal number"),
        (b"many", "not a decimal number"),
        (b"12/s", "not a decimal number"),
        (b"0x10", "not a decimal number"),
        (b"\xff", "not a decimal number"),
        (b"-1", "below zero"),
        (b"NaN", "not a finite number"),
        (b"inf", "not a finite number"),
    ];
    for (value, reason) in cases {
        let statement = read(&fields(&LIMIT, &[value]));
        let field = statement.invalid_field().expect("an invalid field");
        assert_eq!(field.reason, reason, "{value:?}");
        assert!(statement.rate_limit.is_err(), "{value:?}");
    }
    let long = read(&fields(&LIMIT, &[&[b'9', b'x'].repeat(5_000)]));
    let shown = long.invalid_field().expect("an invalid field").to_string();
    assert!(shown.len() < 120, "{shown}");
}

#[test]
fn only_one_means_leaving() {
    let cases: [(&[&[u8]], bool); 4] = [
        (&[b"1"], true),
        (&[b"0"], false),
        (&[b"0", b"1"], true),
        (&[b"soon", b"1"], true),
    ];
    for (values, is_leaving) in cases {
        assert_eq!(read(&fields(&LEAVING, values)).is_leaving, Ok(is_leaving));
    }
    for value in [&b"true"[..], b"", b"2", b"01"] {
        let statement = read(&fields(&LEAVING, &[value]));
        assert!(statement.is_leaving.is_err(), "{value:?}");
        assert_eq!(statement.rate_limit, Ok(None));
    }
}

#[test]
fn longest_valid_cold_time_counts() {
    let cases: [(&[&[u8]], u64); 6] = [
        (&[b"0"], 0),
        (&[b" 2950 "], 2_950),
        (&[b"12.0"], 12),
        (&[b"100, 2000"], 2_000),
        (&[b"soon", b"300"], 300),
        (&[b"1e300"], 600_000),
    ];
    for (values, millis) in cases {
        let left = read(&fields(&WARMUP_LEFT, values)).warmup_left;
        assert_eq!(left, Ok(Some(Duration::from_millis(millis))), "{values:?}");
    }
    for value in [&b"-1"[..], b"", b"NaN", b"inf", b"3 s", b"\xff"] {
        let statement = read(&fields(&WARMUP_LEFT, &[value]));
        assert!(statement.warmup_left.is_err(), "{value:?}");
        assert_eq!(
            statement.invalid_field(),
            statement.warmup_left.as_ref().err()
        );
    }
    assert_eq!(read(&HeaderMap::new()).warmup_left, Ok(None));
}

/// 421 comes from a server that isn't the expected one.
#[test]
fn an_answer_of_another_server_states_nothing() {
    let profile = EdgeProfile::default();
    let fields = fields(&LIMIT, &[b"5"]);
    let status = StatusCode::MISDIRECTED_REQUEST;
    assert_eq!(ServerStatement::read(&profile, status, &fields), None);
}
