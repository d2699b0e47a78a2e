//! Names of fescueway's header fields, and removal of fields that must not be forwarded.

use http::{
    HeaderMap, HeaderName, HeaderValue,
    header::{
        CONNECTION, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRANSFER_ENCODING, UPGRADE,
    },
};

use crate::EdgeProfile;

/// In an answer to a caller: the request's outcome.
pub const OUTCOME: HeaderName = HeaderName::from_static("fescueway-outcome");

/// In an answer to a caller: why the request was refused.
pub const REASON: HeaderName = HeaderName::from_static("fescueway-reason");

/// In the answer to a repeated request: the status that the first one was answered with.
pub const ORIGINAL_STATUS: HeaderName = HeaderName::from_static("fescueway-original-status");

/// Token of the call that a backend server is serving, which it sends with its nested calls.
pub const CALL: HeaderName = HeaderName::from_static("fescueway-call");

/// In a backend server's answer: the requests per second that it accepts.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("fescueway-rate-limit");

/// In a backend server's answer: whether it is leaving.
pub const LEAVING: HeaderName = HeaderName::from_static("fescueway-leaving");

/// In a request from a caller: the key of its client account.
pub const API_KEY: HeaderName = HeaderName::from_static("fescueway-api-key");

/// In a request to a backend server: the name of the client account.
pub const ACCOUNT: HeaderName = HeaderName::from_static("fescueway-account");

/// In a backend server's answer: for how many milliseconds it stays cold.
pub const WARMUP_LEFT: HeaderName = HeaderName::from_static("fescueway-warmup-left-ms");

/// A backend server's load as a binary message: removed, but not parsed.
const LOAD_BINARY: HeaderName = HeaderName::from_static("endpoint-load-metrics-bin");

/// Prefix of fescueway's own header fields.
pub const OWN_PREFIX: &str = "fescueway-";

/// The value of `TE` from a caller that accepts trailers.
const TRAILERS: &str = "trailers";

/// Fields that apply to one connection only and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop fields, including those that `Connection` lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed_names = connection_options(headers);
    for name in listed_names {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes hop-by-hop fields and fields that only fescueway may set from a request.
///
/// `TE: trailers` is kept, since every hop forwards trailers (RFC 9110, section 10.1.4).
pub fn strip_request(headers: &mut HeaderMap, profile: &EdgeProfile) {
    let takes_trailers = takes_trailers(headers);
    strip_hop_by_hop(headers);
    headers.remove(EXPECT);
    headers.remove(&profile.time_left);
    strip_internal_fields(headers, profile);
    if takes_trailers {
        headers.insert(TE, HeaderValue::from_static(TRAILERS));
    }
}

/// Whether the caller accepts trailers.
fn takes_trailers(headers: &HeaderMap) -> bool {
    let values = headers.get_all(TE).into_iter();
    let mut texts = values.filter_map(|value| value.to_str().ok());
    texts.any(|text| {
        let mut options = text.split(',');
        options.any(|option| option.trim().eq_ignore_ascii_case(TRAILERS))
    })
}

/// Removes hop-by-hop fields and the load report from an answer, and, if the profile says so, the
/// fields that only fescueway may set.
pub fn strip_answer(headers: &mut HeaderMap, profile: &EdgeProfile) {
    strip_hop_by_hop(headers);
    headers.remove(&profile.load);
    headers.remove(LOAD_BINARY);
    if profile.is_answer_stripped {
        strip_internal_fields(headers, profile);
    }
}

/// Removes the fields with the profile's own prefix, except the request id.
fn strip_internal_fields(headers: &mut HeaderMap, profile: &EdgeProfile) {
    let is_internal = |name: &&HeaderName| {
        name.as_str().starts_with(profile.own_prefix) && Some(*name) != profile.request_id.as_ref()
    };
    let internal_names: Vec<_> = headers.keys().filter(is_internal).cloned().collect();
    for name in internal_names {
        headers.remove(name);
    }
}

/// The field names that `Connection` lists.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .filter_map(|option| option.trim().parse().ok())
        .collect()
}
