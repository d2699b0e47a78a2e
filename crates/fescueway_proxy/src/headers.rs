//! Header fields: what is removed, and what is added.

use http::{
    HeaderMap, HeaderName, HeaderValue,
    header::{
        CONNECTION, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRANSFER_ENCODING, UPGRADE,
    },
};

use crate::EdgeProfile;

/// Tells the caller what became of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("fescueway-outcome");

/// Tells the caller why the request was refused.
pub const REASON: HeaderName = HeaderName::from_static("fescueway-reason");

/// Tells the caller of a repeated request with which status the first one was answered.
pub const ORIGINAL_STATUS: HeaderName = HeaderName::from_static("fescueway-original-status");

/// Names the call that a backend server is serving when it calls another service.
pub const CALL: HeaderName = HeaderName::from_static("fescueway-call");

/// The load of a backend server as a binary message, which is not read.
const LOAD_BINARY: HeaderName = HeaderName::from_static("endpoint-load-metrics-bin");

/// Header fields that begin with this are fescueway's own.
pub const OWN_PREFIX: &str = "fescueway-";

/// The value of `TE` of a caller that takes trailers.
const TRAILERS: &str = "trailers";

/// Fields of one connection, not of the message (RFC 9110, section 7.6.1).
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

/// Removes the fields of one connection, those that `Connection` names among them.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed_names = connection_options(headers);
    for name in listed_names {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes what only one connection means and what only fescueway may say.
///
/// That a caller takes trailers is kept, since every hop passes them on (RFC 9110, section 10.1.4).
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

/// Whether the caller takes trailers.
fn takes_trailers(headers: &HeaderMap) -> bool {
    let values = headers.get_all(TE).into_iter();
    let mut texts = values.filter_map(|value| value.to_str().ok());
    texts.any(|text| {
        let mut options = text.split(',');
        options.any(|option| option.trim().eq_ignore_ascii_case(TRAILERS))
    })
}

/// Removes what only one connection means, what only fescueway may say, and what is meant for the
/// host node alone from an answer.
pub fn strip_answer(headers: &mut HeaderMap, profile: &EdgeProfile) {
    strip_hop_by_hop(headers);
    headers.remove(&profile.load);
    headers.remove(LOAD_BINARY);
    if profile.is_answer_stripped {
        strip_internal_fields(headers, profile);
    }
}

/// Removes fescueway's own fields.
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
