//! Converts a caller's request into an offer request.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fescueway_config::{RoutePlan, ServicePlan};
use fescueway_core::{AccountName, Idempotency, RequestTerms};
use http::{
    HeaderMap, HeaderValue, StatusCode, Uri,
    header::{EXPECT, HOST},
    request::Parts,
    uri::{Authority, PathAndQuery},
};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::presented_key::PresentedKey;
use crate::{
    body::{RequestBody, SharedBody},
    call_table::ParentCall,
    edge_profile::EdgeProfile,
    headers,
    offer_request::OfferRequest,
    proxy_limits::ProxyLimits,
    proxy_state::ProxyState,
    request_digest::{fingerprint, key_digest},
};

/// Bodies of at most this many bytes are buffered, so that they can be offered again.
const MAX_BUFFERED_BYTES: u64 = 64 * 1_024;

/// Maximum depth of nested calls between services.
pub const MAX_CALL_DEPTH: u8 = 8;

/// The parts of a request's head that routing and the request's terms depend on.
#[derive(Debug)]
pub struct RequestHead {
    /// HTTP authority.
    pub authority: HeaderValue,
    /// The call that made this one.
    pub parent: Option<ParentCall>,
    /// The key of the caller's account.
    pub api_key: PresentedKey,
    /// How long the caller waits, when it sends its time left.
    pub caller_time: Option<Duration>,
    /// Whether the caller sends the body only after it received 100 (Continue).
    pub is_expecting_continue: bool,
}

impl RequestHead {
    /// Reads the head of a request of `caller`, and removes the header fields that must not be
    /// forwarded.
    pub fn from_parts(state: &ProxyState, parts: &mut Parts, caller: SocketAddr) -> Self {
        let profile = state.profile();
        let head = Self {
            authority: take_authority(&parts.uri, &mut parts.headers),
            parent: parent_call(state, &parts.headers, caller),
            api_key: PresentedKey::read(&parts.headers, profile.api_key.as_ref()),
            caller_time: caller_time(profile, &parts.headers),
            is_expecting_continue: parts.headers.contains_key(EXPECT),
        };
        headers::strip_request(&mut parts.headers, profile);
        if let (Some(name), Some(service)) = (&profile.caller_service, state.caller_service()) {
            parts.headers.insert(name.clone(), service);
        }
        head
    }

    /// The host of the authority, without its port.
    pub fn host_name(&self) -> &str {
        host_name(self.authority.to_str().unwrap_or_default())
    }

    /// The request's terms, from the service's plan, the route and the parent call.
    pub fn terms(&self, plan: &ServicePlan, route: &RoutePlan) -> RequestTerms {
        let parent_time = self.parent.map(|parent| parent.time_left);
        let times = [Some(route.deadline), self.caller_time, parent_time];
        let time_left = times.into_iter().flatten().min().unwrap_or(route.deadline);
        let offers = self.parent.map(|parent| parent.offers_left);
        let max_runs = route.max_runs.unwrap_or(plan.retry.max_offers);
        RequestTerms {
            idempotency: route.idempotency,
            priority: route.priority,
            offers_left: offers.map_or(plan.retry.max_offers, |own| own.min(plan.retry.max_offers)),
            runs_left: max_runs,
            objective: route.objective,
            work_kind: route.work_kind,
            depth: self.parent.map_or(0, |parent| parent.depth + 1),
            ..RequestTerms::new(plan.name.clone(), time_left)
        }
    }
}

/// The host of an authority, without its port.
pub fn host_name(authority: &str) -> &str {
    match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => authority,
    }
}

/// Builds the offer request of `account`. Its host is set anew for each offer.
pub fn offer_request(
    state: &ProxyState,
    head: &RequestHead,
    parts: Parts,
    mut terms: RequestTerms,
    body: RequestBody,
    account: Option<&AccountName>,
) -> OfferRequest {
    let target = parts.uri.path_and_query().cloned();
    let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
    if terms.idempotency == Idempotency::NonIdempotent && state.options().takes_keys {
        terms.key = key_digest(&terms.service, account, &parts.headers);
    }
    terms.body_bytes = body.size_hint().lower();
    terms.fingerprint = fingerprint(&parts.method, target.as_str(), body.buffered_bytes());
    OfferRequest {
        entry: state.node(),
        host: state.node(),
        terms,
        method: parts.method,
        target,
        authority: head.authority.clone(),
        headers: Arc::new(parts.headers),
        notice: None,
        body,
    }
}

/// The request's body: empty, buffered when it is small, or streamed. A body whose caller waits for
/// 100 (Continue) is streamed, since none of it arrives before the backend server reads it.
///
/// # Errors
///
/// The status to answer with, when the body is too large or can't be read.
pub async fn request_body(
    limits: &ProxyLimits,
    max_bytes: u64,
    incoming: Incoming,
    is_expecting_continue: bool,
) -> Result<RequestBody, StatusCode> {
    if incoming.is_end_stream() {
        return Ok(RequestBody::Empty);
    }
    let length = incoming.size_hint().exact();
    if length.is_some_and(|length| length > max_bytes) {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let is_small = length.is_some_and(|length| length <= MAX_BUFFERED_BYTES);
    let shared = SharedBody::new(incoming, max_bytes, limits.body_idle);
    let body = RequestBody::Streaming(shared);
    if !is_small || is_expecting_continue {
        return Ok(body);
    }
    let collected = body.collect().await;
    let collected = collected.map_err(|error| error.caller_status())?;
    Ok(RequestBody::Buffered(collected.to_bytes()))
}

/// The authority from the URI or else from the `Host` field, empty when neither is valid text.
/// Removes the `Host` field.
fn take_authority(uri: &Uri, headers: &mut HeaderMap) -> HeaderValue {
    let host = headers.remove(HOST);
    let named = uri.authority().map(Authority::as_str);
    let named = named.and_then(|named| HeaderValue::from_str(named).ok());
    named
        .or(host)
        .filter(|authority| authority.to_str().is_ok())
        .unwrap_or(HeaderValue::from_static(""))
}

/// The call during which this one was made. Accepted only from a backend server of this node.
fn parent_call(state: &ProxyState, headers: &HeaderMap, caller: SocketAddr) -> Option<ParentCall> {
    let address = caller.ip().to_canonical();
    if !address.is_loopback() && !state.is_local_backend(address) {
        return None;
    }
    let token = headers.get(state.profile().call.as_ref()?)?.to_str().ok()?;
    state.calls().find(token, state.now())
}

/// How long the caller waits, when it sends its time left.
fn caller_time(profile: &EdgeProfile, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&profile.time_left)?.to_str().ok()?;
    Some(Duration::from_millis(text.parse().ok()?))
}
