//! Checks made before a request is handed over: whether it is suspected of crashing backend
//! servers, and whether its idempotency key was already used.

use std::time::Duration;

use fescueway_admission::{RunEnd, SuspectEnd};
use fescueway_core::{Outcome, Refusal, RefusalReason, RequestTerms};
use fescueway_idempotency::{ClaimAttemptId, ClaimPurpose, ClaimVerdict, RunState};
use fescueway_proxy::{PermitEnd, ProxyState, RunDenial, RunPermit};
use fescueway_telemetry::{emit, events::claim::DUPLICATE_ANSWERED};

use crate::{claim_task::ClaimTask, probe_task::ProbeTask, suspect_task::SuspectTask};

/// Retry delay told to the caller of a request whose key could not be claimed.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay told to the caller of a suspect; a trial on another host may have cleared it by
/// then.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Checks made before a request is handed over. Cheap to clone.
#[derive(Clone, Debug)]
pub struct RunRules {
    /// Claims of idempotency keys; `None` when the node ignores keys.
    pub claims: Option<ClaimTask>,
    /// Requests suspected of crashing backend servers.
    pub suspects: SuspectTask,
    /// Receives the results of requests as health signals.
    pub probes: ProbeTask,
}

impl RunRules {
    /// Makes `proxy` apply these rules to every request.
    pub fn install(self, proxy: &ProxyState) {
        let refusal_rules = self.clone();
        proxy.checks().install(
            move |terms| self.clone().hand_over(terms),
            move |terms, refusal| refusal_rules.clone().refuse(terms, refusal),
        );
    }

    /// Decides whether a request may be handed over.
    async fn hand_over(self, terms: RequestTerms) -> Result<RunPermit, RunDenial> {
        if !self.suspects.begin(&terms).await {
            let refusal = refusal(RefusalReason::SuspectRequest, SUSPECT_RETRY_AFTER);
            return Err(self.refuse(terms, refusal).await);
        }
        // From here on, ending or dropping the guard ends the run that `begin` registered.
        let mut guard = RunGuard {
            rules: self,
            terms,
            attempt_id: None,
            is_ended: false,
        };
        if let (Some(key), Some(claims)) = (guard.terms.key, &guard.rules.claims) {
            let verdict = claims
                .claim(&guard.terms.service, key, ClaimPurpose::Run)
                .await;
            match verdict {
                ClaimVerdict::Run(attempt_id) => guard.attempt_id = Some(attempt_id),
                other => {
                    guard.end(PermitEnd::Unused);
                    return Err(run_stop(&guard.terms, other, unavailable()));
                }
            }
        }
        // A crash on another host may have struck it while its key was being claimed.
        let (service, fingerprint) = (&guard.terms.service, guard.terms.fingerprint);
        if !guard.rules.suspects.may_run(service, fingerprint) {
            guard.end(PermitEnd::Unused);
            let refusal = refusal(RefusalReason::SuspectRequest, SUSPECT_RETRY_AFTER);
            return Err(RunDenial::Refused(refusal));
        }
        let suspects = guard.rules.suspects.clone();
        let (service, fingerprint) = (guard.terms.service.clone(), guard.terms.fingerprint);
        let permit = RunPermit::new(move |end| guard.end(end));
        Ok(permit.on_hand_over(move || suspects.hand_over(&service, fingerprint)))
    }

    /// Decides the response to a refused request. If it has a key, an earlier request with this key
    /// may have run, so the replicas are queried.
    async fn refuse(self, terms: RequestTerms, refusal: Refusal) -> RunDenial {
        let (Some(key), Some(claims)) = (terms.key, &self.claims) else {
            return RunDenial::Refused(refusal);
        };
        let verdict = claims.claim(&terms.service, key, ClaimPurpose::Peek).await;
        run_stop(&terms, verdict, refusal)
    }
}

/// Ends the checks of a request that may be handed over, at the latest on drop.
struct RunGuard {
    /// The rules to notify of its end.
    rules: RunRules,
    /// The request's terms.
    terms: RequestTerms,
    /// The claim attempt of its key.
    attempt_id: Option<ClaimAttemptId>,
    /// Whether its end was recorded.
    is_ended: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.is_ended {
            // The caller disconnected during the checks.
            self.end(PermitEnd::Unused);
        }
    }
}

impl RunGuard {
    /// Records the end of the request.
    fn end(&mut self, end: PermitEnd) {
        self.is_ended = true;
        let service = &self.terms.service;
        let suspects = &self.rules.suspects;
        suspects.finish(service, self.terms.fingerprint, suspect_end(end));
        if let Some(is_success) = traffic_result(end) {
            self.rules.probes.record_traffic(service, is_success);
        }
        let claims = self.rules.claims.as_ref();
        let (Some(attempt_id), Some(key), Some(claims)) = (self.attempt_id, self.terms.key, claims)
        else {
            return;
        };
        match end {
            PermitEnd::Unused => claims.cancel_run(service, key, attempt_id),
            PermitEnd::Lost | PermitEnd::Cancelled => {
                claims.finish(service, attempt_id, None);
            }
            PermitEnd::Answered { status, .. } => {
                claims.finish(service, attempt_id, Some(status));
            }
        }
    }
}

/// The end as evidence of whether the request crashes backend servers.
fn suspect_end(end: PermitEnd) -> SuspectEnd {
    match end {
        PermitEnd::Lost => SuspectEnd::Lost,
        PermitEnd::Answered { end, .. } => match end {
            RunEnd::Answered | RunEnd::Failed => SuspectEnd::Answered,
            RunEnd::Lost => SuspectEnd::Lost,
            RunEnd::Cancelled | RunEnd::Released => SuspectEnd::Unused,
        },
        PermitEnd::Unused | PermitEnd::Cancelled => SuspectEnd::Unused,
    }
}

/// Whether an end counts as a success for the backend server's health; `None` when it doesn't
/// count.
fn traffic_result(end: PermitEnd) -> Option<bool> {
    match end {
        PermitEnd::Lost => Some(false),
        PermitEnd::Answered { status, .. } => Some(status < 500),
        PermitEnd::Unused | PermitEnd::Cancelled => None,
    }
}

/// The reason not to run a request with a key; `refusal` applies if the key is free.
fn run_stop(terms: &RequestTerms, verdict: ClaimVerdict, refusal: Refusal) -> RunDenial {
    let (outcome, status) = match verdict {
        ClaimVerdict::Duplicate(RunState::Ended(status)) => (Outcome::Ran, Some(status)),
        ClaimVerdict::Duplicate(_) => (Outcome::Unknown, None),
        ClaimVerdict::Free => return RunDenial::Refused(refusal),
        ClaimVerdict::Run(_) | ClaimVerdict::Unavailable => {
            return RunDenial::Refused(unavailable());
        }
    };
    emit(&DUPLICATE_ANSWERED, &[&terms.service, &outcome.as_str()]);
    RunDenial::Duplicate { outcome, status }
}

/// The refusal of a request whose key can't be claimed at present.
fn unavailable() -> Refusal {
    refusal(RefusalReason::ClaimUnavailable, CLAIM_RETRY_AFTER)
}

/// Builds a refusal.
fn refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after,
    }
}
