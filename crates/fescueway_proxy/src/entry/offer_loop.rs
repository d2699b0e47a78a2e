//! Offers a request until it is answered or given up.

use std::{pin::pin, time::Duration};

use fescueway_core::{MonoTime, NodeId, Outcome, Refusal, RefusalReason, RequestTerms};
use fescueway_routing::{HandedOver, OfferPermit, PickResult};
use http::{Response, StatusCode};
use tokio::time::{sleep, timeout_at};

use super::{
    final_answer::{broken_answer, insert_outcome, lost_answer, refused_answer},
    hedge::{better_end, is_success},
    offer_attempt::{AttemptEnd, attempt},
};
use crate::{
    body::AnswerBody,
    edge_profile::EdgeProfile,
    offer_answer::KnownAnswer,
    offer_request::OfferRequest,
    proxy_state::ProxyState,
    request_log::{LastOffer, LogId},
    request_record::RequestRecord,
};

/// Offers one request until it is answered or given up.
#[derive(Debug)]
pub struct OfferLoop<'a> {
    /// The node.
    state: &'a ProxyState,
    /// The request.
    request: OfferRequest,
    /// Its id in the log.
    id: LogId,
    /// When the caller stops waiting.
    deadline: MonoTime,
    /// Until when an answer is in time, when an objective is set.
    objective_end: Option<MonoTime>,
    /// Hosts that had an offer.
    tried: Vec<NodeId>,
    /// How the latest offer came to nothing; `None` while none did.
    last: Option<LastOffer>,
    /// Offers that are left, hedges counted.
    offers_left: u8,
    /// Backend servers that the request may still be handed to.
    runs_left: u8,
    /// How many of the offers were hedges.
    hedges: u32,
    /// The latest refusal by a host.
    refusal: Option<Refusal>,
    /// Whether the answer to an offer was lost, so that the request may have run.
    is_lost: bool,
    /// The latest answer that tells of a failure.
    failure: Option<KnownAnswer>,
}

impl<'a> OfferLoop<'a> {
    /// A loop for a request that came at `start`.
    #[must_use]
    pub fn new(state: &'a ProxyState, request: OfferRequest, start: MonoTime, id: LogId) -> Self {
        Self {
            state,
            deadline: start + request.terms.time_left,
            objective_end: request.terms.objective.map(|objective| start + objective),
            offers_left: request.terms.offers_left,
            runs_left: request.terms.runs_left,
            request,
            id,
            tried: Vec::new(),
            last: None,
            hedges: 0,
            refusal: None,
            is_lost: false,
            failure: None,
        }
    }

    /// Offers the request until it is answered, given up or late. Each end has its answer at once.
    pub async fn run(mut self, record: &mut RequestRecord) -> Response<AnswerBody> {
        let deadline = self.state.clock().instant(self.deadline);
        let ended = timeout_at(deadline, self.offer_on()).await;
        record.target = self.tried.last().copied();
        record.offers = self.tried.len() as u32;
        record.hedges = self.hedges;
        match ended {
            Ok(Ok(answer)) => answered(self.state.profile(), answer, record),
            Ok(Err(refusal)) => self.give_up(refusal, record),
            Err(_elapsed) => self.give_up_late(record),
        }
    }

    /// Offers the request until it is answered, or refused for good.
    async fn offer_on(&mut self) -> Result<KnownAnswer, Refusal> {
        let mut terms = self.request.terms.clone();
        loop {
            let permit = self.pick(terms)?;
            let (target, begin) = (permit.node(), self.state.now());
            let end = self.attempt_hedged(permit).await;
            self.last = Some(LastOffer {
                target,
                cause: cause_of(&end),
                took: self.state.now().since(begin),
            });
            terms = match end {
                AttemptEnd::Refused(refusal, terms) => {
                    self.refusal = Some(refusal);
                    terms
                }
                AttemptEnd::Lost(handed_over) => {
                    self.is_lost = true;
                    self.runs_left = self.runs_left.saturating_sub(1);
                    let mut terms = retry_terms(handed_over)?;
                    terms.lost_runs = terms.lost_runs.saturating_add(1);
                    terms
                }
                AttemptEnd::Answered(answer, handed_over) => {
                    if !is_retryable(answer.response.status()) {
                        return Ok(answer);
                    }
                    self.failure = Some(answer);
                    self.runs_left = self.runs_left.saturating_sub(1);
                    retry_terms(handed_over)?
                }
            };
            if !self.request.body.is_unconsumed() || self.runs_left == 0 {
                return Err(spent());
            }
        }
    }

    /// The permit for the next offer.
    fn pick(&mut self, mut terms: RequestTerms) -> Result<OfferPermit, Refusal> {
        let now = self.state.now();
        terms.time_left = self.deadline.since(now);
        terms.objective = self.objective_end.map(|end| end.since(now));
        terms.offers_left = terms.offers_left.min(self.offers_left);
        match self.state.routes().pick(now, terms, &self.tried) {
            PickResult::Refuse(refusal) => Err(refusal),
            PickResult::Offer(permit) => {
                if let Some(last) = &self.last {
                    let (log, terms) = (self.state.log(), permit.terms());
                    log.offered_again(now, &self.id, permit.node(), last, terms, self.runs_left);
                }
                self.tried.push(permit.node());
                self.offers_left = permit.terms().offers_left;
                Ok(permit)
            }
        }
    }

    /// Makes an offer, and a second one when the first takes long.
    async fn attempt_hedged(&mut self, permit: OfferPermit) -> AttemptEnd {
        let (state, deadline) = (self.state, self.deadline);
        let request = self.request.clone();
        let hedge = self.hedge_plan(&permit);
        let (id, late_target) = (self.id.clone(), permit.node());
        let mut first = pin!(attempt(state, permit, &request, &id, deadline));
        let Some((delay, terms)) = hedge else {
            return first.await;
        };
        tokio::select! {
            end = first.as_mut() => return end,
            () = sleep(delay) => {}
        }
        let Ok(permit) = self.pick(terms) else {
            return first.await;
        };
        let log = state.log();
        log.hedged(state.now(), &id, permit.node(), late_target, delay);
        self.hedges += 1;
        self.runs_left = self.runs_left.saturating_sub(1);
        // Rare, so that it takes no room in the future of each request.
        let mut second = Box::pin(attempt(state, permit, &request, &id, deadline));
        tokio::select! {
            end = first.as_mut() => {
                if is_success(&end) { end } else { better_end(end, second.await) }
            }
            end = second.as_mut() => {
                if is_success(&end) { end } else { better_end(end, first.await) }
            }
        }
    }

    /// When to hedge the offer, and the terms of the second one. Only idempotent requests without
    /// a body are hedged.
    fn hedge_plan(&self, permit: &OfferPermit) -> Option<(Duration, RequestTerms)> {
        if !self.request.body.is_empty() || self.runs_left < 2 {
            return None;
        }
        let terms = permit.hedge()?;
        let routes = self.state.routes();
        let delay = routes.hedge_after(self.state.now(), &terms, permit.node())?;
        Some((delay, terms))
    }

    /// The answer to a request that won't be offered again.
    fn give_up(self, refusal: Refusal, record: &mut RequestRecord) -> Response<AnswerBody> {
        if let Some(failure) = self.failure {
            return answered(self.state.profile(), failure, record);
        }
        if self.is_lost {
            record.outcome = Some(Outcome::Unknown);
            return match self.request.body.failure_status() {
                Some(status) => broken_answer(self.state.profile(), status),
                None => lost_answer(self.state.profile(), StatusCode::BAD_GATEWAY),
            };
        }
        let stop = refusal.reason;
        // A host knows better than the entry why there is no place for the request.
        let outcome = self.refused_outcome();
        let refusal = self.refusal.unwrap_or(refusal);
        record.outcome = Some(outcome);
        record.reason = Some(refusal.reason);
        record.stopped_by = Some(stop);
        refused_answer(self.state.profile(), &refusal, outcome)
    }

    /// What became of a request that every host refused.
    ///
    /// With an idempotency key it may have been sent before, through another entry. Then only a
    /// host that asked the key's replicas can tell that nothing ran.
    fn refused_outcome(&self) -> Outcome {
        let is_keyed = self.request.terms.key.is_some();
        let reason = self.refusal.map(|refusal| refusal.reason);
        match reason {
            _ if !is_keyed => Outcome::NotRun,
            None
            | Some(
                RefusalReason::ClaimUnavailable
                | RefusalReason::HostUnreachable
                | RefusalReason::UnknownService,
            ) => Outcome::Unknown,
            Some(_) => Outcome::NotRun,
        }
    }

    /// The answer to a request whose deadline passed.
    fn give_up_late(self, record: &mut RequestRecord) -> Response<AnswerBody> {
        if self.tried.is_empty() {
            let late = refusal(RefusalReason::DeadlineTooShort);
            return self.give_up(late, record);
        }
        // An offer is open: the host may have handed it over.
        record.outcome = Some(Outcome::Unknown);
        lost_answer(self.state.profile(), StatusCode::GATEWAY_TIMEOUT)
    }
}

/// The backend server's answer as the caller gets it.
fn answered(
    profile: &EdgeProfile,
    answer: KnownAnswer,
    record: &mut RequestRecord,
) -> Response<AnswerBody> {
    let KnownAnswer {
        mut response,
        outcome,
    } = answer;
    record.outcome = Some(outcome);
    insert_outcome(profile, response.headers_mut(), outcome);
    response
}

/// Why an offer that ended so came to nothing, if it did.
fn cause_of(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered(..) => "failed answer",
        AttemptEnd::Refused(refusal, _) => refusal.reason.as_str(),
        AttemptEnd::Lost(_) => "answer lost",
    }
}

/// Whether another backend server may do better.
fn is_retryable(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}

/// The terms for another offer after a hand-over; only an idempotent request has them.
fn retry_terms(handed_over: HandedOver) -> Result<RequestTerms, Refusal> {
    handed_over.retry().ok_or_else(spent)
}

/// The request can't be offered again.
fn spent() -> Refusal {
    refusal(RefusalReason::BudgetSpent)
}

/// A refusal by this entry.
fn refusal(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        retry_after: Duration::from_secs(1),
    }
}
