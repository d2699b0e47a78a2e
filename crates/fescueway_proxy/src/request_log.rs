//! Logs events of single requests.

use std::{fmt::Display, time::Duration};

use fescueway_core::{
    LoadReport, MonoTime, NodeId, Refusal, RefusalReason, RequestTerms, ServiceName,
};
use fescueway_routing::EjectionChange;
use fescueway_telemetry::{EventKind, EventRateLimit, RouteResult, events::request};
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::{
    host::{BackendError, HostTarget},
    offer_request::HostRequest,
    request_record::RequestRecord,
};

/// Header field with a request's id, unless the profile names another one.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Logged in place of an unknown id, route, target, service or reason.
const UNKNOWN: &str = "-";

/// Logs events of single requests, with a rate limit for each kind of event.
#[derive(Debug)]
pub struct RequestLog {
    /// The node.
    node: NodeId,
    /// Header field with a request's id.
    id_name: HeaderName,
    answered: EventRateLimit,
    answered_late: EventRateLimit,
    failed: EventRateLimit,
    refused: EventRateLimit,
    unrouted: EventRateLimit,
    caller_left: EventRateLimit,
    aborted: EventRateLimit,
    account_known: EventRateLimit,
    key_rejected: EventRateLimit,
    offer_lost: EventRateLimit,
    offered_again: EventRateLimit,
    hedged: EventRateLimit,
    run_ended: EventRateLimit,
    host_refused: EventRateLimit,
    run_lost: EventRateLimit,
    run_withdrawn: EventRateLimit,
    target_ejected: EventRateLimit,
    target_restored: EventRateLimit,
}

/// A request's id for the log; `None` when the caller sent none, or the log level is too low for
/// the events of requests.
pub type LogId = Option<HeaderValue>;

/// How the latest offer of a request failed.
#[derive(Clone, Copy, Debug)]
pub struct LastOffer {
    /// The host.
    pub target: NodeId,
    /// Why it failed.
    pub cause: &'static str,
    /// Time from the offer to its end.
    pub took: Duration,
}

/// What the host's log events tell of a request, from its offer on.
#[derive(Clone, Debug)]
pub struct HostTrace {
    /// The request's id.
    id: LogId,
    /// The entry that sent the offer.
    entry: NodeId,
    /// Its service.
    service: ServiceName,
    /// When the offer was received.
    received_at: MonoTime,
    /// Time left until the deadline when the offer was received.
    time_left: Duration,
    /// When the request got a slot and a connection.
    started_at: Option<MonoTime>,
    /// The target's pace of work at `started_at`: 1000 is the usual pace, zero is unknown.
    pace_permille: u32,
}

impl RequestLog {
    /// A log of `node` that writes at most `lines_per_s` lines per second of each kind of event.
    /// The id of a request is read from the header field `id_name`, by default `x-request-id`.
    #[must_use]
    pub fn new(node: NodeId, id_name: Option<HeaderName>, lines_per_s: f64) -> Self {
        let budget = |kind: &'static EventKind| EventRateLimit::new(kind, lines_per_s);
        Self {
            node,
            id_name: id_name.unwrap_or(REQUEST_ID),
            answered: budget(&request::ANSWERED),
            answered_late: budget(&request::ANSWERED_LATE),
            failed: budget(&request::FAILED),
            refused: budget(&request::REFUSED),
            unrouted: budget(&request::UNROUTED),
            caller_left: budget(&request::CALLER_LEFT),
            aborted: budget(&request::ABORTED),
            account_known: budget(&request::ACCOUNT_KNOWN),
            key_rejected: budget(&request::KEY_REJECTED),
            offer_lost: budget(&request::OFFER_LOST),
            offered_again: budget(&request::OFFERED_AGAIN),
            hedged: budget(&request::HEDGED),
            run_ended: budget(&request::RUN_ENDED),
            host_refused: budget(&request::HOST_REFUSED),
            run_lost: budget(&request::RUN_LOST),
            run_withdrawn: budget(&request::RUN_WITHDRAWN),
            target_ejected: budget(&request::TARGET_EJECTED),
            target_restored: budget(&request::TARGET_RESTORED),
        }
    }

    /// The id of the request with these header fields.
    #[must_use]
    pub fn id_of(&self, headers: &HeaderMap) -> LogId {
        // No other event of requests has a higher level than failures.
        if !request::FAILED.is_logged() {
            return None;
        }
        headers.get(&self.id_name).cloned()
    }
}

/// Events of the entry.
impl RequestLog {
    /// The head of a request's answer is ready.
    pub fn request_ended(&self, now: MonoTime, record: &RequestRecord) {
        let id = id_text(&record.id);
        let route = record.route.as_deref().unwrap_or(UNKNOWN);
        let latency_us = record.latency.as_micros();
        let status = &record.status;
        if let Some(fault) = record.key_fault {
            let fault = fault.as_str();
            let fields: [&dyn Display; 5] = [&id, &self.node, &route, &fault, status];
            return self.key_rejected.emit(now, &fields);
        }
        if let Some(account) = &record.account {
            let fields: [&dyn Display; 5] = [&id, &self.node, account, &route, status];
            self.account_known.emit(now, &fields);
        }
        let Some(service) = &record.service else {
            return self.unrouted.emit(now, &[&id, &self.node, &record.status]);
        };
        let target = record.target.map(|node| node.to_string());
        let target = target.as_deref().unwrap_or(UNKNOWN);
        match record.result() {
            RouteResult::Refused => {
                let reason = record.reason.map_or(UNKNOWN, RefusalReason::as_str);
                let stop_reason = record.stopped_by.map_or(reason, RefusalReason::as_str);
                self.refused.emit(
                    now,
                    &[
                        &id,
                        &self.node,
                        &route,
                        service,
                        &record.status,
                        &reason,
                        &stop_reason,
                        &record.offers,
                        &latency_us,
                    ],
                );
            }
            RouteResult::Failed => self.failed.emit(
                now,
                &[
                    &id,
                    &self.node,
                    &route,
                    service,
                    &target,
                    &record.status,
                    &record.end().outcome.as_str(),
                    &record.offers,
                    &record.hedges,
                    &latency_us,
                ],
            ),
            result @ (RouteResult::Answered | RouteResult::Late) => {
                let budget = if result == RouteResult::Late {
                    &self.answered_late
                } else {
                    &self.answered
                };
                budget.emit(
                    now,
                    &[
                        &id,
                        &self.node,
                        &route,
                        service,
                        &target,
                        &record.status,
                        &record.offers,
                        &record.hedges,
                        &latency_us,
                        &record.objective.as_micros(),
                    ],
                );
            }
        }
    }

    /// A caller left before the head of its answer.
    pub fn caller_left(&self, now: MonoTime, record: &RequestRecord) {
        let service = record.service.as_ref().map_or(UNKNOWN, ServiceName::as_str);
        self.caller_left.emit(
            now,
            &[
                &id_text(&record.id),
                &self.node,
                &record.route.as_deref().unwrap_or(UNKNOWN),
                &service,
                &record.latency.as_micros(),
            ],
        );
    }

    /// The stop of this node, which began `stopping_for` ago, aborted a request.
    pub fn request_aborted(&self, now: MonoTime, record: &RequestRecord, stopping_for: Duration) {
        let service = record.service.as_ref().map_or(UNKNOWN, ServiceName::as_str);
        self.aborted.emit(
            now,
            &[
                &id_text(&record.id),
                &self.node,
                &record.route.as_deref().unwrap_or(UNKNOWN),
                &service,
                &record.latency.as_micros(),
                &stopping_for.as_micros(),
            ],
        );
    }

    /// The answer to an offer that was sent `took` ago is lost.
    pub fn offer_lost(
        &self,
        now: MonoTime,
        id: &LogId,
        target: NodeId,
        error: &str,
        took: Duration,
    ) {
        let took_us = took.as_micros();
        self.offer_lost
            .emit(now, &[&id_text(id), &self.node, &target, &error, &took_us]);
    }

    /// A request whose latest offer failed is offered to another target, on these terms.
    pub fn offered_again(
        &self,
        now: MonoTime,
        id: &LogId,
        target: NodeId,
        last: &LastOffer,
        terms: &RequestTerms,
        runs_left: u8,
    ) {
        self.offered_again.emit(
            now,
            &[
                &id_text(id),
                &self.node,
                &target,
                &last.target,
                &last.cause,
                &last.took.as_micros(),
                &terms.offers_left,
                &runs_left,
                &terms.time_left.as_micros(),
            ],
        );
    }

    /// A request is also offered to `target`, since `late_target` has not answered for `after`.
    pub fn hedged(
        &self,
        now: MonoTime,
        id: &LogId,
        target: NodeId,
        late_target: NodeId,
        after: Duration,
    ) {
        let after_us = after.as_micros();
        self.hedged.emit(
            now,
            &[&id_text(id), &self.node, &target, &late_target, &after_us],
        );
    }

    /// A target was ejected or restored.
    pub fn ejection_changed(
        &self,
        now: MonoTime,
        target: NodeId,
        service: &ServiceName,
        change: EjectionChange,
        cause: &str,
    ) {
        match change {
            EjectionChange::Ejected => self
                .target_ejected
                .emit(now, &[&self.node, &target, service, &cause]),
            EjectionChange::Restored => self
                .target_restored
                .emit(now, &[&self.node, &target, service]),
        }
    }
}

/// Events of the host.
impl RequestLog {
    /// An offer was received: starts its trace.
    #[must_use]
    pub fn offer_received(&self, now: MonoTime, request: &HostRequest) -> HostTrace {
        HostTrace {
            id: self.id_of(&request.headers),
            entry: request.entry,
            service: request.terms.service.clone(),
            received_at: now,
            time_left: request.terms.time_left,
            started_at: None,
            pace_permille: 0,
        }
    }

    /// The head of the backend server's answer was received. `load` is the target's current load.
    pub fn run_ended(&self, now: MonoTime, trace: &HostTrace, status: u16, load: &LoadReport) {
        self.run_ended.emit(
            now,
            &[
                &id_text(&trace.id),
                &self.node,
                &trace.entry,
                &trace.service,
                &status,
                &trace.waited(now).as_micros(),
                &trace.took(now).as_micros(),
                &trace.pace_permille,
                &load.in_flight,
                &load.limit,
            ],
        );
    }

    /// The request was not handed over. `load` is the target's current load.
    pub fn host_refused(
        &self,
        now: MonoTime,
        trace: &HostTrace,
        refusal: &Refusal,
        load: &LoadReport,
    ) {
        self.host_refused.emit(
            now,
            &[
                &id_text(&trace.id),
                &self.node,
                &trace.entry,
                &trace.service,
                &refusal.reason.as_str(),
                &refusal.retry_after.as_micros(),
                &trace.waited(now).as_micros(),
                &trace.time_left.as_micros(),
                &load.in_flight,
                &load.limit,
                &load.queued,
                &load.wait_us,
                &load.service_time_us,
                &load.work_permille,
            ],
        );
    }

    /// The request was handed over and its answer is lost.
    pub fn run_lost(&self, now: MonoTime, trace: &HostTrace, error: &BackendError) {
        self.run_lost.emit(
            now,
            &[
                &id_text(&trace.id),
                &self.node,
                &trace.entry,
                &trace.service,
                error,
                &trace.waited(now).as_micros(),
                &trace.took(now).as_micros(),
            ],
        );
    }

    /// The entry withdrew the request.
    pub fn run_withdrawn(&self, now: MonoTime, trace: &HostTrace) {
        self.run_withdrawn.emit(
            now,
            &[
                &id_text(&trace.id),
                &self.node,
                &trace.entry,
                &trace.service,
                &trace.waited(now).as_micros(),
                &trace.took(now).as_micros(),
            ],
        );
    }
}

impl HostTrace {
    /// The request has a slot and a connection at `target`.
    pub fn run_started(&mut self, now: MonoTime, target: &HostTarget) {
        self.started_at = Some(now);
        let pace = target.last_pace().map_or(0.0, |(pace, _age)| pace);
        self.pace_permille = (pace * 1_000.0) as u32;
    }

    /// How long the request waited for its slot and its connection.
    fn waited(&self, now: MonoTime) -> Duration {
        self.started_at.unwrap_or(now).since(self.received_at)
    }

    /// How long the request has run; zero before it starts.
    fn took(&self, now: MonoTime) -> Duration {
        now.since(self.started_at.unwrap_or(now))
    }
}

/// The id as text, or [`UNKNOWN`].
fn id_text(id: &LogId) -> &str {
    let text = id.as_ref().and_then(|id| id.to_str().ok());
    text.unwrap_or(UNKNOWN)
}
