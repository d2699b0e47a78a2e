//! Offers a request to one host after another until it is answered or abandoned.

use std::{future::pending, pin::pin, time::Duration};

use fescueway_core::{MonoTime, NodeId, OfferCause, Outcome, Refusal, RefusalReason, RequestTerms};
use fescueway_routing::{HandedOver, OfferPermit, PickResult};
use http::{Response, StatusCode};
use tokio::{
    sync::Notify,
    time::{sleep, timeout_at},
};

use super::{
    final_answer::{incomplete_body_answer, insert_outcome, lost_answer, refused_answer},
    hedge::{is_success, more_conclusive_end},
    offer_attempt::{AttemptEnd, attempt},
};
use crate::{
    body::AnswerBody,
    edge_profile::EdgeProfile,
    final_status::final_status,
    offer_answer::AnswerWithOutcome,
    offer_request::OfferRequest,
    proxy_state::ProxyState,
    request_log::{LastOffer, LogId},
    request_record::RequestRecord,
};

/// Offers one request to one host after another until it is answered or abandoned.
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
    /// Until when an answer meets the objective, if one is set.
    objective_deadline: Option<MonoTime>,
    /// Hosts that received an offer, in order.
    tried: Vec<NodeId>,
    /// The host that lost the answer to the latest offer, if that is how it ended.
    lost_at: Option<NodeId>,
    /// How the latest offer failed; `None` before the first failure.
    last_offer: Option<LastOffer>,
    /// Offers left, hedges included.
    offers_left: u8,
    /// How often the request may still be handed to a backend server.
    runs_left: u8,
    /// Number of offers that were hedges.
    hedges: u32,
    /// Number of hedges that were answered first.
    hedge_wins: u32,
    /// Total time of the offers that were cancelled because another one was answered first.
    hedge_waste: Duration,
    /// The latest refusal by a host.
    refusal: Option<Refusal>,
    /// Whether the answer to an offer was lost, so that the request may have run.
    is_answer_lost: bool,
    /// The latest answer with a retryable server error.
    failed_answer: Option<AnswerWithOutcome>,
}

impl<'a> OfferLoop<'a> {
    /// A loop for a request that was received at `start`.
    #[must_use]
    pub fn new(state: &'a ProxyState, request: OfferRequest, start: MonoTime, id: LogId) -> Self {
        Self {
            state,
            deadline: start + request.terms.time_left,
            objective_deadline: request.terms.objective.map(|objective| start + objective),
            offers_left: request.terms.offers_left,
            runs_left: request.terms.runs_left,
            request,
            id,
            tried: Vec::new(),
            lost_at: None,
            last_offer: None,
            hedges: 0,
            hedge_wins: 0,
            hedge_waste: Duration::ZERO,
            refusal: None,
            is_answer_lost: false,
            failed_answer: None,
        }
    }

    /// Offers the request until it is answered, abandoned or past its deadline, and returns the
    /// answer for the caller, whose body is bounded by the deadline too.
    pub async fn run(mut self, record: &mut RequestRecord) -> Response<AnswerBody> {
        let deadline = self.state.clock().instant(self.deadline);
        let ended = timeout_at(deadline, self.offer_until_answered()).await;
        record.target = self.tried.last().copied();
        record.offers = self.tried.len() as u32;
        record.hedges = self.hedges;
        record.hedge_wins = self.hedge_wins;
        record.hedge_waste = self.hedge_waste;
        let mut response = match ended {
            Ok(Ok(answer)) => backend_answer(self.state.profile(), answer, record),
            Ok(Err(refusal)) => self.give_up(refusal, record),
            Err(_elapsed) => self.give_up_late(record),
        };
        response.body_mut().set_deadline(deadline);
        response
    }

    /// Offers the request until it is answered or can't be offered again.
    ///
    /// # Errors
    ///
    /// Why the entry stopped offering it.
    async fn offer_until_answered(&mut self) -> Result<AnswerWithOutcome, Refusal> {
        let mut terms = self.request.terms.clone();
        loop {
            let permit = self.pick(terms)?;
            let (target, start) = (permit.node(), self.state.now());
            let end = self.attempt_hedged(permit).await;
            self.last_offer = Some(LastOffer {
                target,
                cause: failure_cause(&end),
                took: self.state.now().since(start),
            });
            self.lost_at = matches!(end, AttemptEnd::Lost { .. }).then_some(target);
            terms = match end {
                AttemptEnd::Refused(refusal, terms) => {
                    self.refusal = Some(refusal);
                    terms
                }
                AttemptEnd::Lost {
                    handed_over,
                    is_target_suspect,
                } => {
                    self.is_answer_lost = true;
                    self.runs_left = self.runs_left.saturating_sub(1);
                    let mut terms = retry_terms(handed_over)?;
                    let lost_runs = u8::from(is_target_suspect);
                    terms.lost_runs = terms.lost_runs.saturating_add(lost_runs);
                    terms
                }
                AttemptEnd::Answered(answer, handed_over) => {
                    if !is_retryable(answer.response.status()) {
                        return Ok(answer);
                    }
                    self.failed_answer = Some(answer);
                    self.runs_left = self.runs_left.saturating_sub(1);
                    retry_terms(handed_over)?
                }
            };
            if !self.request.body.is_unconsumed() || self.runs_left == 0 {
                return Err(budget_spent());
            }
        }
    }

    /// Picks the host of the next offer.
    ///
    /// # Errors
    ///
    /// The router's refusal, when no further offer is allowed.
    fn pick(&mut self, mut terms: RequestTerms) -> Result<OfferPermit, Refusal> {
        let now = self.state.now();
        terms.time_left = self.deadline.since(now);
        terms.objective = self.objective_deadline.map(|end| end.since(now));
        terms.offers_left = terms.offers_left.min(self.offers_left);
        match self.pick_target(now, terms) {
            PickResult::Refuse(refusal) => {
                if refusal.reason == RefusalReason::DomainEvacuated {
                    let service = &self.request.terms.service;
                    self.state.log_evacuated_service(service);
                }
                Err(refusal)
            }
            PickResult::Offer(permit) => {
                if let Some(last_offer) = &self.last_offer {
                    let (log, terms) = (self.state.log(), permit.terms());
                    log.offered_again(
                        now,
                        &self.id,
                        permit.node(),
                        last_offer,
                        terms,
                        self.runs_left,
                    );
                }
                self.tried.push(permit.node());
                self.offers_left = permit.terms().offers_left;
                Ok(permit)
            }
        }
    }

    /// Picks a target that was not tried. Without one, a retry may return to the target that lost the
    /// answer: it may only have closed an idle connection.
    fn pick_target(&self, now: MonoTime, terms: RequestTerms) -> PickResult {
        let routes = self.state.routes();
        let is_retry = terms.cause == OfferCause::Retried;
        let last_resort = self.lost_at.filter(|_| is_retry);
        let last_resort = last_resort.map(|lost_at| (lost_at, terms.clone()));
        let picked = routes.pick(now, terms, &self.tried);
        match (&picked, last_resort) {
            (PickResult::Refuse(refusal), Some((lost_at, terms)))
                if refusal.reason == RefusalReason::NoTarget =>
            {
                let others = self.tried.iter().filter(|node| **node != lost_at);
                let others: Vec<_> = others.copied().collect();
                routes.pick(now, terms, &others)
            }
            _ => picked,
        }
    }

    /// Makes an offer, and hedges it with a second one when the first is slow, or when the connection to
    /// its host goes silent.
    async fn attempt_hedged(&mut self, permit: OfferPermit) -> AttemptEnd {
        let (state, deadline) = (self.state, self.deadline);
        let request = self.request.clone();
        let hedge = self.hedge_plan(&permit);
        let (id, late_target, start) = (self.id.clone(), permit.node(), state.now());
        let (on_silence, unused) = (Notify::new(), Notify::new());
        let mut first = pin!(attempt(state, permit, &request, &id, deadline, &on_silence));
        let Some((delay, mut terms)) = hedge else {
            return first.await;
        };
        let late = async {
            match delay {
                Some(delay) => sleep(delay).await,
                None => pending().await,
            }
        };
        tokio::select! {
            end = first.as_mut() => return end,
            () = late => {}
            // Unlike a hedge, it doesn't wait for a sign that the target is slow.
            () = on_silence.notified() => terms.cause = OfferCause::Retried,
        }
        let Ok(permit) = self.pick(terms) else {
            return first.await;
        };
        let (log, now) = (state.log(), state.now());
        log.hedged(now, &id, permit.node(), late_target, now.since(start));
        self.hedges += 1;
        self.runs_left = self.runs_left.saturating_sub(1);
        let hedge_start = now;
        // Boxed since hedges are rare, to keep the future of every other request small.
        let mut second = Box::pin(attempt(state, permit, &request, &id, deadline, &unused));
        // On return the offer that is still in flight is dropped, which cancels it at once, whether it
        // waits or runs.
        tokio::select! {
            end = first.as_mut() => {
                if is_success(&end) {
                    self.hedge_waste += state.now().since(hedge_start);
                    end
                } else {
                    more_conclusive_end(end, second.await)
                }
            }
            end = second.as_mut() => {
                if is_success(&end) {
                    self.count_hedge_win(start);
                    end
                } else {
                    more_conclusive_end(end, first.await)
                }
            }
        }
    }

    /// Counts a hedge that was answered before the first offer, which began at `start` and is
    /// cancelled. Without the time that the first one took so far, the latencies known of the route
    /// would lack the longest, and hedges would begin sooner and sooner.
    fn count_hedge_win(&mut self, start: MonoTime) {
        let elapsed = self.state.now().since(start);
        self.hedge_wins += 1;
        self.hedge_waste += elapsed;
        let terms = &self.request.terms;
        let routes = self.state.routes();
        routes.observe_latency(&terms.service, terms.work_kind, elapsed);
    }

    /// The terms of a hedge, and the delay before the offer is hedged unless its connection goes silent;
    /// without a delay it is hedged only then. Only idempotent requests without a body are hedged.
    fn hedge_plan(&self, permit: &OfferPermit) -> Option<(Option<Duration>, RequestTerms)> {
        if !self.request.body.is_empty() || self.runs_left < 2 {
            return None;
        }
        let terms = permit.hedge()?;
        let routes = self.state.routes();
        let delay = routes.hedge_after(self.state.now(), &terms, permit.node());
        Some((delay, terms))
    }

    /// The answer to a request that is not offered again.
    fn give_up(self, refusal: Refusal, record: &mut RequestRecord) -> Response<AnswerBody> {
        if let Some(failed_answer) = self.failed_answer {
            return backend_answer(self.state.profile(), failed_answer, record);
        }
        if self.is_answer_lost {
            record.outcome = Some(Outcome::Unknown);
            return match self.request.body.failure_status() {
                Some(status) => incomplete_body_answer(self.state.profile(), status),
                None => lost_answer(self.state.profile(), StatusCode::BAD_GATEWAY),
            };
        }
        let stop_reason = refusal.reason;
        // A host's refusal gives a more exact reason than the entry's own.
        let outcome = self.refused_outcome();
        let refusal = self.refusal.unwrap_or(refusal);
        record.outcome = Some(outcome);
        record.reason = Some(refusal.reason);
        record.stopped_by = Some(stop_reason);
        refused_answer(self.state.profile(), &refusal, outcome)
    }

    /// The outcome of a request that every host refused.
    ///
    /// A request with an idempotency key may have been sent before, through another entry. Then
    /// only a host that asked the key's replicas knows that the request did not run.
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
            let late_refusal = entry_refusal(RefusalReason::DeadlineTooShort);
            return self.give_up(late_refusal, record);
        }
        // The last offer is still in flight: its host may have handed the request over.
        record.outcome = Some(Outcome::Unknown);
        lost_answer(self.state.profile(), StatusCode::GATEWAY_TIMEOUT)
    }
}

/// The backend server's answer with the outcome added for the caller.
fn backend_answer(
    profile: &EdgeProfile,
    answer: AnswerWithOutcome,
    record: &mut RequestRecord,
) -> Response<AnswerBody> {
    let AnswerWithOutcome {
        mut response,
        outcome,
    } = answer;
    if final_status(response.status().as_u16()).is_none() {
        // Each way by which answers come in checks this; no caller gets one by a way added later.
        record.outcome = Some(Outcome::Unknown);
        return lost_answer(profile, StatusCode::BAD_GATEWAY);
    }
    record.outcome = Some(outcome);
    insert_outcome(profile, response.headers_mut(), outcome);
    response
}

/// The cause to log for an offer that failed with `end`.
fn failure_cause(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered(..) => "failed answer",
        AttemptEnd::Refused(refusal, _) => refusal.reason.as_str(),
        AttemptEnd::Lost { .. } => "answer lost",
    }
}

/// Whether the request may succeed on another backend server.
fn is_retryable(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}

/// The terms for another offer after a hand-over.
///
/// # Errors
///
/// When the request is not idempotent.
fn retry_terms(handed_over: HandedOver) -> Result<RequestTerms, Refusal> {
    handed_over.retry().ok_or_else(budget_spent)
}

/// The refusal of a request that can't be offered again.
fn budget_spent() -> Refusal {
    entry_refusal(RefusalReason::BudgetSpent)
}

/// A refusal by this entry for `reason`.
fn entry_refusal(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        retry_after: Duration::from_secs(1),
    }
}
