//! Events at the entries.

use std::{collections::VecDeque, time::Duration};

use fescueway_core::{Idempotency, NodeId, Priority, RequestTerms};
use fescueway_routing::{OfferEnd, OfferPermit, PickResult, RouteEvent};
use rand_pcg::Pcg64;

use super::{
    SimRun,
    request_state::{ReplyKind, RequestEnd, SimOffer, SimReply},
};
use crate::simulation::{scenario::CALLER_TRIP_US, sim_event::SimEvent, sim_policy::PickView};

impl SimRun<'_> {
    /// Handles a request that arrives at its entry, or at another one when its domain is lost.
    pub(super) fn arrive(&mut self, request: usize) {
        let request_spec = &self.requests[request];
        let terms = RequestTerms {
            idempotency: request_spec.idempotency,
            priority: Priority::High,
            ..RequestTerms::new("reads".into(), Duration::ZERO)
        };
        self.dispatch(request, terms);
    }

    /// Makes the next offer of a request, or ends the request if no offer is possible.
    pub(super) fn dispatch(&mut self, request: usize, terms: RequestTerms) {
        match self.policy.pick {
            Some(pick) => self.dispatch_simple(request, pick),
            None => self.dispatch_router(request, terms),
        }
    }

    /// Dispatches a request by fescueway's router.
    pub(super) fn dispatch_router(&mut self, request: usize, mut terms: RequestTerms) {
        let request_spec = &self.requests[request];
        let elapsed_us = self.now_us - request_spec.sent_us;
        let remaining_us = request_spec
            .timeout_us
            .saturating_sub(elapsed_us + CALLER_TRIP_US);
        terms.time_left = Duration::from_micros(remaining_us);
        let now = self.now();
        let entry = self.entry_of(request);
        let tried = &self.states[request].tried;
        match self.routers[entry].pick(now, terms, tried, &mut self.random) {
            PickResult::Offer(permit) => {
                let target = permit.node().0 as usize;
                let hedge = self.routers[entry].hedge_after(now, permit.terms(), permit.node());
                let offer = self.send_offer(request, target, Some(permit));
                if let Some(after) = hedge {
                    let at_us = self.now_us + after.as_micros() as u64;
                    self.events.push(at_us, SimEvent::Hedge { offer });
                }
            }
            PickResult::Refuse(_) if self.states[request].open.is_empty() => {
                let end = if self.states[request].runs == 0 {
                    RequestEnd::Refused
                } else {
                    RequestEnd::Failed
                };
                self.end_request(request, end);
            }
            PickResult::Refuse(_) => {}
        }
    }

    /// Dispatches a request by a simple policy.
    pub(super) fn dispatch_simple(
        &mut self,
        request: usize,
        pick: fn(&PickView<'_>, &mut Pcg64) -> usize,
    ) {
        let tried = &self.states[request].tried;
        let is_eligible =
            |index: &usize| self.is_known[*index] && !tried.contains(&NodeId(*index as u64));
        let open: Vec<_> = (0..self.targets.len()).filter(is_eligible).collect();
        if open.is_empty() {
            self.end_request(request, RequestEnd::Failed);
            return;
        }
        let entry = self.entry_of(request);
        let queued: Vec<_> = self.queues.iter().map(VecDeque::len).collect();
        let view = PickView {
            deployment: self.deployment,
            domain: entry % self.deployment.domains,
            entry: &self.entries[entry],
            targets: &self.targets,
            queued: &queued,
            on_wire: &self.on_wire,
            open: &open,
        };
        let target = pick(&view, &mut self.random);
        self.entries[entry].offered += 1;
        self.entries[entry].open[target] += 1;
        self.send_offer(request, target, None);
    }

    /// Sends an offer to a target. Returns its index.
    pub(super) fn send_offer(
        &mut self,
        request: usize,
        target: usize,
        permit: Option<OfferPermit>,
    ) -> usize {
        let offer = self.offers.len();
        self.offers.push(SimOffer {
            request,
            target,
            sent_us: self.now_us,
            permit,
        });
        self.states[request].tried.push(NodeId(target as u64));
        self.states[request].open.push(offer);
        self.on_wire[target] += 1;
        if self.is_measured(request) {
            self.results.offers += 1;
        }
        let at_us = self.now_us + self.trip_us(offer);
        self.events.push(at_us, SimEvent::Offer { offer });
        offer
    }

    /// Handles a host's reply that arrives at the entry.
    pub(super) fn receive_reply(&mut self, reply: SimReply) {
        let SimOffer {
            request,
            target,
            sent_us,
            ..
        } = self.offers[reply.offer];
        let entry = self.entry_of(request);
        self.states[request]
            .open
            .retain(|&open| open != reply.offer);
        let permit = self.offers[reply.offer].permit.take();
        if permit.is_some() {
            self.report_to_router(entry, target, sent_us, reply);
        } else {
            self.entries[entry].open[target] -= 1;
            if let Some(report) = reply.report {
                self.entries[entry].reported[target] = report.in_flight + report.queued;
            }
        }
        if self.states[request].end.is_none() {
            self.continue_request(request, reply.kind, permit);
        }
    }

    /// Reports the load and the outcome in a reply to a router.
    pub(super) fn report_to_router(
        &mut self,
        entry: usize,
        target: usize,
        sent_us: u64,
        reply: SimReply,
    ) {
        let now = self.now();
        let node = NodeId(target as u64);
        let router = &mut self.routers[entry];
        if let Some(report) = reply.report {
            router.handle(now, RouteEvent::LoadReported { node, report });
        }
        let latency = Duration::from_micros(self.now_us - sent_us);
        let end = match reply.kind {
            ReplyKind::Answered => OfferEnd::Answered {
                latency,
                is_failure: false,
            },
            ReplyKind::Failed => OfferEnd::Answered {
                latency,
                is_failure: true,
            },
            ReplyKind::Refused(refusal) => OfferEnd::Refused(refusal),
            ReplyKind::Lost => OfferEnd::Lost,
        };
        router.handle(now, RouteEvent::OfferEnded { node, end });
    }

    /// Continues or ends a request after a reply.
    pub(super) fn continue_request(
        &mut self,
        request: usize,
        kind: ReplyKind,
        permit: Option<OfferPermit>,
    ) {
        match kind {
            ReplyKind::Answered => {
                let at_us = self.now_us + CALLER_TRIP_US;
                self.end_request(request, RequestEnd::Answered(at_us));
                self.cancel_open(request);
            }
            _ if !self.states[request].open.is_empty() => {}
            ReplyKind::Refused(refusal) => match permit {
                Some(permit) => self.dispatch(request, permit.refused(&refusal)),
                None => self.end_request(request, RequestEnd::Refused),
            },
            ReplyKind::Failed | ReplyKind::Lost => self.retry(request, kind, permit),
        }
    }

    /// Retries a request that was handed over, if its terms allow another attempt.
    pub(super) fn retry(&mut self, request: usize, kind: ReplyKind, permit: Option<OfferPermit>) {
        if let Some(permit) = permit {
            match permit.hand_over().retry() {
                Some(terms) => self.dispatch(request, terms),
                None => self.end_request(request, RequestEnd::Failed),
            }
            return;
        }
        let is_idempotent = self.requests[request].idempotency == Idempotency::Idempotent;
        if is_idempotent && matches!(kind, ReplyKind::Lost) {
            let terms = RequestTerms::new("reads".into(), Duration::ZERO);
            self.dispatch(request, terms);
        } else {
            self.end_request(request, RequestEnd::Failed);
        }
    }

    /// Hedges a request that is still unanswered.
    pub(super) fn hedge(&mut self, offer: usize) {
        let request = self.offers[offer].request;
        if self.states[request].end.is_some() {
            return;
        }
        let permit = self.offers[offer].permit.as_ref();
        if let Some(terms) = permit.and_then(OfferPermit::hedge) {
            self.dispatch(request, terms);
        }
    }

    /// Cancels the open offers of an answered request.
    pub(super) fn cancel_open(&mut self, request: usize) {
        for offer in self.states[request].open.clone() {
            let at_us = self.now_us + self.trip_us(offer);
            self.events.push(at_us, SimEvent::Cancel { offer });
        }
    }
}
