//! What is settled before a request is handed over: whether it is a suspect, and whether its
//! idempotency key was used.

use std::time::Duration;

use fescueway_admission::{RunEnd, SuspectEnd};
use fescueway_core::{Outcome, Refusal, RefusalReason, RequestTerms};
use fescueway_idempotency::{ClaimAttemptId, ClaimPurpose, ClaimVerdict, RunState};
use fescueway_proxy::{PermitEnd, ProxyState, RunDenial, RunPermit};
use fescueway_telemetry::{emit, events::claim::DUPLICATE_ANSWERED};

use crate::{claim_task::ClaimTask, probe_task::ProbeTask, suspect_task::SuspectTask};

/// When a request is worth sending again whose key could not be claimed.
const CLAIM_PAUSE: Duration = Duration::from_secs(1);

/// When a suspect is worth sending again: its trial elsewhere may have cleared it.
const SUSPECT_PAUSE: Duration = Duration::from_secs(1);

/// What is settled before a request is handed over. Cheap to clone.
#[derive(Clone, Debug)]
pub struct RunRules {
    /// Idempotency keys, unless the node takes none.
    pub claims: Option<ClaimTask>,
    /// Requests that crash backend servers.
    pub suspects: SuspectTask,
    /// Hears how the traffic fares.
    pub probes: ProbeTask,
}

impl RunRules {
    /// From now on the path of `proxy` goes by these rules.
    pub fn install(self, proxy: &ProxyState) {
        let refusing = self.clone();
        proxy.checks().install(
            move |terms| self.clone().hand_over(terms),
            move |terms, refusal| refusing.clone().refuse(terms, refusal),
        );
    }

    /// Settles whether a request may be handed over.
    async fn hand_over(self, terms: RequestTerms) -> Result<RunPermit, RunDenial> {
        if !self.suspects.begin(&terms).await {
            let refusal = refusal(RefusalReason::SuspectRequest, SUSPECT_PAUSE);
            return Err(self.refuse(terms, refusal).await);
        }
        // From here on the permit's end, or its drop, ends what was begun.
        let mut watch = RunWatch {
            rules: self,
            terms,
            ask: None,
            is_ended: false,
        };
        if let (Some(key), Some(claims)) = (watch.terms.key, &watch.rules.claims) {
            let verdict = claims
                .claim(&watch.terms.service, key, ClaimPurpose::Run)
                .await;
            match verdict {
                ClaimVerdict::Run(ask) => watch.ask = Some(ask),
                stop => {
                    watch.end(PermitEnd::Unused);
                    return Err(stop_of(&watch.terms, stop, unclaimed()));
                }
            }
        }
        // A crash elsewhere may have struck it while its key was claimed.
        let (service, fingerprint) = (&watch.terms.service, watch.terms.fingerprint);
        if !watch.rules.suspects.may_run(service, fingerprint) {
            watch.end(PermitEnd::Unused);
            let refusal = refusal(RefusalReason::SuspectRequest, SUSPECT_PAUSE);
            return Err(RunDenial::Refused(refusal));
        }
        let suspects = watch.rules.suspects.clone();
        let (service, fingerprint) = (watch.terms.service.clone(), watch.terms.fingerprint);
        let permit = RunPermit::new(move |end| watch.end(end));
        Ok(permit.on_hand_over(move || suspects.hand_over(&service, fingerprint)))
    }

    /// Settles what the caller of a refused request hears. With a key, an earlier request may
    /// have run, so that its replicas have to be asked.
    async fn refuse(self, terms: RequestTerms, refusal: Refusal) -> RunDenial {
        let (Some(key), Some(claims)) = (terms.key, &self.claims) else {
            return RunDenial::Refused(refusal);
        };
        let verdict = claims.claim(&terms.service, key, ClaimPurpose::Peek).await;
        stop_of(&terms, verdict, refusal)
    }
}

/// A request that may be handed over.
struct RunWatch {
    /// Who hears of its end.
    rules: RunRules,
    /// What it needs.
    terms: RequestTerms,
    /// The claim of its key.
    ask: Option<ClaimAttemptId>,
    /// Whether its end was told.
    is_ended: bool,
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        if !self.is_ended {
            // Its caller left while it was settled.
            self.end(PermitEnd::Unused);
        }
    }
}

impl RunWatch {
    /// The request ended.
    fn end(&mut self, end: PermitEnd) {
        self.is_ended = true;
        let service = &self.terms.service;
        let suspects = &self.rules.suspects;
        suspects.finish(service, self.terms.fingerprint, suspect_end(end));
        if let Some(is_success) = traffic_result(end) {
            self.rules.probes.traffic(service, is_success);
        }
        let claims = self.rules.claims.as_ref();
        let (Some(ask), Some(key), Some(claims)) = (self.ask, self.terms.key, claims) else {
            return;
        };
        match end {
            PermitEnd::Unused => claims.give_up(service, key, ask),
            PermitEnd::Lost | PermitEnd::Cancelled => {
                claims.finish(service, ask, None);
            }
            PermitEnd::Answered { status, .. } => {
                claims.finish(service, ask, Some(status));
            }
        }
    }
}

/// What an end says about whether the request crashes backend servers.
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

/// What an end says about the health of the backend server, if anything.
fn traffic_result(end: PermitEnd) -> Option<bool> {
    match end {
        PermitEnd::Lost => Some(false),
        PermitEnd::Answered { status, .. } => Some(status < 500),
        PermitEnd::Unused | PermitEnd::Cancelled => None,
    }
}

/// Why a request with a key does not run, when it would otherwise be refused with `refusal`.
fn stop_of(terms: &RequestTerms, verdict: ClaimVerdict, refusal: Refusal) -> RunDenial {
    let (outcome, status) = match verdict {
        ClaimVerdict::Duplicate(RunState::Ended(status)) => (Outcome::Ran, Some(status)),
        ClaimVerdict::Duplicate(_) => (Outcome::Unknown, None),
        ClaimVerdict::Free => return RunDenial::Refused(refusal),
        ClaimVerdict::Run(_) | ClaimVerdict::Unavailable => return RunDenial::Refused(unclaimed()),
    };
    emit(&DUPLICATE_ANSWERED, &[&terms.service, &outcome.as_str()]);
    RunDenial::Duplicate { outcome, status }
}

/// The refusal of a request whose key can't be claimed now.
fn unclaimed() -> Refusal {
    refusal(RefusalReason::ClaimUnavailable, CLAIM_PAUSE)
}

/// A refusal.
fn refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after,
    }
}
