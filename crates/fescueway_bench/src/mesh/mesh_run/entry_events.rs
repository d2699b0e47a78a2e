//! Events at callers and entries.

use std::time::Duration;

use fescueway_core::{Idempotency, NodeId, OfferCause, Refusal, RequestTerms};
use fescueway_routing::{CallerWaitEstimator, OfferEnd, PickResult, RouteEvent};

use super::{
    MeshEvent, MeshRun,
    mesh_state::{MeshOffer, MeshReply, MeshRequest, ReplyKind, RequestEnd, RunState},
};

/// Largest share of its time left that a caller waits before it tries again.
const MAX_RETRY_WAIT_SHARE: u64 = 3;

/// Time after which a caller gives up to connect to an entry that has no power.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

impl MeshRun<'_> {
    /// Handles a request that arrives at its entry.
    pub(super) fn arrive(&mut self, index: usize) {
        let request = &self.requests[index];
        if request.end.is_some() {
            return;
        }
        if self.is_down {
            return self.end_request(index, RequestEnd::Unconnected);
        }
        let (kind_index, entry) = (request.kind, request.entry);
        let kind = &self.deployment.kinds[kind_index];
        let ledger = &mut self.ledgers[kind.service];
        ledger.count_request(self.now_us);
        if request.is_repeat {
            ledger.count_repeat(self.now_us);
        }
        let time_left = self.time_left(request.deadline_us);
        let key = (entry, kind_index);
        let estimator = self.estimators.entry(key);
        let estimator = estimator.or_insert_with(|| CallerWaitEstimator::new(kind.deadline));
        let waited = estimator.waited(time_left);
        let objective = kind.objective.saturating_sub(waited);
        self.requests[index].objective_us = self.now_us + objective.as_micros() as u64;
        let terms = RequestTerms {
            idempotency: if kind.is_idempotent {
                Idempotency::Idempotent
            } else {
                Idempotency::NonIdempotent
            },
            priority: kind.priority,
            work_kind: kind_index as u64 + 1,
            offers_left: self.plan.max_offers,
            ..RequestTerms::new(self.service_name(kind.service), time_left)
        };
        self.dispatch(index, terms);
    }

    /// Makes the next offer of a request, or gives it up.
    fn dispatch(&mut self, index: usize, mut terms: RequestTerms) {
        let request = &self.requests[index];
        terms.time_left = self.time_left(request.deadline_us);
        terms.objective = Some(self.time_left(request.objective_us));
        terms.runs_left = request.runs_left;
        let service = self.deployment.kinds[request.kind].service;
        let now = self.now();
        let router = &mut self.routers[request.entry][service];
        match router.pick(now, terms, &request.tried, &mut self.random) {
            PickResult::Offer(permit) => {
                let target = permit.node().0 as usize;
                let entry = request.entry;
                let offer = self.offers.len();
                self.requests[index].tried.push(permit.node());
                self.requests[index].open = Some(offer);
                self.results.offers += u64::from(self.is_measured());
                let is_repeat = permit.terms().cause == OfferCause::Retried;
                self.results.repeats += u64::from(is_repeat && self.is_measured());
                self.offers.push(MeshOffer {
                    request: index,
                    target,
                    epoch: self.epoch,
                    sent_us: self.now_us,
                    permit: Some(permit),
                    started_us: 0,
                    run: RunState::Waiting,
                });
                let at_us = self.now_us + self.trip_us(entry, target);
                self.events.push(at_us, MeshEvent::Offer { offer });
            }
            PickResult::Refuse(refusal) => self.give_up(index, refusal),
        }
    }

    /// Ends a request that is not offered again.
    fn give_up(&mut self, index: usize, refusal: Refusal) {
        let request = &self.requests[index];
        if request.runs > 0 {
            return self.end_request(index, RequestEnd::Failed);
        }
        let refusal = request.refusal.unwrap_or(refusal);
        if self.is_measured() {
            *self.results.given_up.entry(refusal.reason).or_default() += 1;
        }
        self.end_request(index, RequestEnd::Refused(refusal));
    }

    /// Handles a host's reply that arrives at the entry.
    pub(super) fn receive_reply(&mut self, reply: MeshReply) {
        let offer = &mut self.offers[reply.offer];
        if offer.epoch != self.epoch {
            return;
        }
        let (index, node) = (offer.request, NodeId(offer.target as u64));
        let (target, sent_us) = (offer.target, offer.sent_us);
        let Some(permit) = offer.permit.take() else {
            return;
        };
        let entry = self.requests[index].entry;
        let service = self.nodes[target].service;
        let now = self.now();
        let router = &mut self.routers[entry][service];
        let report = reply.report;
        router.handle(now, RouteEvent::LoadReported { node, report });
        let latency = Duration::from_micros(self.now_us - sent_us);
        let end = match reply.kind {
            ReplyKind::Answered | ReplyKind::Failed => OfferEnd::Answered {
                latency,
                is_failure: matches!(reply.kind, ReplyKind::Failed),
            },
            ReplyKind::Refused(refusal) => OfferEnd::Refused(refusal),
        };
        router.handle(now, RouteEvent::OfferEnded { node, end });
        if self.requests[index].end.is_some() {
            return;
        }
        self.requests[index].open = None;
        match reply.kind {
            ReplyKind::Answered => {
                let request = &self.requests[index];
                let trip = self.caller_trip(request);
                let at_us = self.now_us + trip.as_micros() as u64;
                self.end_request(index, RequestEnd::Answered(at_us));
            }
            ReplyKind::Refused(refusal) => {
                self.requests[index].refusal = Some(refusal);
                self.dispatch(index, permit.refused(&refusal));
            }
            ReplyKind::Failed => match permit.hand_over().retry() {
                Some(terms) if self.spend_run(index) => self.dispatch(index, terms),
                _ => self.end_request(index, RequestEnd::Failed),
            },
        }
    }

    /// Counts a hand-over to a backend server. Returns whether another is allowed.
    fn spend_run(&mut self, index: usize) -> bool {
        let request = &mut self.requests[index];
        request.runs_left = request.runs_left.saturating_sub(1);
        request.runs_left > 0
    }

    /// Handles the deadline of a request.
    pub(super) fn expire(&mut self, index: usize) {
        if self.requests[index].end.is_some() {
            return;
        }
        let open = self.requests[index].open;
        self.end_request(index, RequestEnd::Failed);
        if let Some(offer) = open {
            self.lose_offer(index, offer);
            self.cancel(offer);
        }
    }

    /// Tells the router of an entry that an offer was not answered before its deadline.
    fn lose_offer(&mut self, index: usize, offer: usize) {
        if self.offers[offer].permit.take().is_none() || self.offers[offer].epoch != self.epoch {
            return;
        }
        let target = self.offers[offer].target;
        let (entry, service) = (self.requests[index].entry, self.nodes[target].service);
        let event = RouteEvent::OfferEnded {
            node: NodeId(target as u64),
            end: OfferEnd::Lost,
        };
        let now = self.now();
        self.routers[entry][service].handle(now, event);
    }

    /// Ends a request and lets its caller continue.
    pub(super) fn end_request(&mut self, index: usize, end: RequestEnd) {
        let request = &mut self.requests[index];
        request.end = Some(end);
        if let Some(parent) = request.parent {
            let is_answered = matches!(end, RequestEnd::Answered(_));
            return self.end_call(parent, is_answered);
        }
        let kind = &self.deployment.kinds[request.kind];
        let told_us = self.now_us + self.deployment.caller_trip.as_micros() as u64;
        let left_us = request.deadline_us.saturating_sub(told_us);
        let wait_us = match end {
            RequestEnd::Unconnected => CONNECT_TIMEOUT.as_micros() as u64,
            RequestEnd::Refused(refusal) => {
                let wait_us = refusal.retry_after.as_micros() as u64;
                wait_us.min(left_us / MAX_RETRY_WAIT_SHARE)
            }
            RequestEnd::Failed if kind.is_idempotent => 0,
            RequestEnd::Answered(_) | RequestEnd::Failed => return,
        };
        if request.tries >= kind.retries || wait_us >= left_us {
            return;
        }
        request.is_last = false;
        let again = request.again(told_us + wait_us);
        self.push_request(again, self.deployment.caller_trip);
    }

    /// Makes the nested calls of a run. Returns their number.
    pub(super) fn make_calls(&mut self, offer: usize) -> usize {
        let MeshOffer {
            request, target, ..
        } = self.offers[offer];
        let parent = &self.requests[request];
        let (kind, parent_deadline_us) = (parent.kind, parent.deadline_us);
        let is_repeat = parent.is_repeat || parent.arrivals > 1;
        let Some(nested) = self.deployment.kinds[kind].nested else {
            return 0;
        };
        if self.uniform() >= nested.share {
            return 0;
        }
        let spec = &self.deployment.kinds[nested.kind];
        for _ in 0..nested.times {
            let mut call = MeshRequest::first(nested.kind, target, self.now_us, spec.deadline);
            call.parent = Some(offer);
            call.is_repeat = is_repeat;
            call.deadline_us = call.deadline_us.min(parent_deadline_us);
            self.push_request(call, Duration::ZERO);
        }
        nested.times
    }

    /// One-way network delay between a request's caller and its entry.
    fn caller_trip(&self, request: &MeshRequest) -> Duration {
        if request.parent.is_some() {
            Duration::ZERO
        } else {
            self.deployment.caller_trip
        }
    }

    /// Time until `end_us`.
    fn time_left(&self, end_us: u64) -> Duration {
        Duration::from_micros(end_us.saturating_sub(self.now_us))
    }

    /// Whether the current time is in the measured part of the run.
    pub(super) fn is_measured(&self) -> bool {
        let now = Duration::from_micros(self.now_us);
        self.scenario.measured.0 <= now && now < self.scenario.measured.1
    }
}
