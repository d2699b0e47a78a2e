//! Checks before a request is handed over to the backend server, and observers of its end.

use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
};

use fescueway_admission::RunEnd;
use fescueway_core::{Outcome, Refusal, RequestTerms};

/// Future of a check.
type CheckFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Decides whether a request may be handed over.
type HandOverCheck =
    Arc<dyn Fn(RequestTerms) -> CheckFuture<Result<RunPermit, RunDenial>> + Send + Sync>;

/// Decides on the answer to a request that the host refuses.
type RefusalCheck = Arc<dyn Fn(RequestTerms, Refusal) -> CheckFuture<RunDenial> + Send + Sync>;

/// Called when a request is handed over.
type HandOverObserver = Box<dyn FnOnce() + Send>;

/// Called when a permitted request ends.
type EndObserver = Box<dyn FnOnce(PermitEnd) + Send>;

/// Reason why a request is not handed over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunDenial {
    /// It did not run and may be offered to another host.
    Refused(Refusal),
    /// An earlier request with the same idempotency key ran or may have run.
    Duplicate {
        /// Outcome of the earlier request: [`Outcome::Ran`] or [`Outcome::Unknown`].
        outcome: Outcome,
        /// Status of the response to the earlier request, if known.
        status: Option<u16>,
    },
}

/// How a permitted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitEnd {
    /// It was not handed over or certainly did not run.
    Unused,
    /// It was handed over, but no complete response head arrived.
    Lost,
    /// The backend server responded. The response body may have been cut off.
    Answered {
        /// Status of the response.
        status: u16,
        /// How the run ended.
        end: RunEnd,
    },
    /// It was handed over, but the caller disconnected before the response.
    Cancelled,
}

/// Permit to hand one request over. Its observer is called exactly once, when the request ends.
pub struct RunPermit {
    /// Called when the request is handed over.
    on_hand_over: Option<HandOverObserver>,
    /// Called when the request ends.
    observer: Option<EndObserver>,
    /// Whether any byte of the request may have been sent.
    is_handed_over: bool,
    /// Status of the response. `None` until its head arrives.
    status: Option<u16>,
}

/// Checks before a request is handed over. Until they are installed, every request is permitted.
/// Cheap to clone.
#[derive(Clone, Default)]
pub struct RunChecks(Arc<Mutex<Option<(HandOverCheck, RefusalCheck)>>>);

impl RunPermit {
    /// Creates a permit that calls `observer` when the request ends.
    #[must_use]
    pub fn new(observer: impl FnOnce(PermitEnd) + Send + 'static) -> Self {
        Self {
            on_hand_over: None,
            observer: Some(Box::new(observer)),
            is_handed_over: false,
            status: None,
        }
    }

    /// Creates a permit without observers.
    #[must_use]
    pub fn unobserved() -> Self {
        Self {
            on_hand_over: None,
            observer: None,
            is_handed_over: false,
            status: None,
        }
    }

    /// Adds an observer that is called before the first byte of the request is sent.
    #[must_use]
    pub fn on_hand_over(mut self, observer: impl FnOnce() + Send + 'static) -> Self {
        self.on_hand_over = Some(Box::new(observer));
        self
    }

    /// Marks the request as handed over. Call this before its first byte is sent.
    pub(super) fn hand_over(&mut self) {
        self.is_handed_over = true;
        if let Some(observer) = self.on_hand_over.take() {
            observer();
        }
    }

    /// Undoes [`Self::hand_over`], for a request that certainly did not run.
    pub(super) fn undo_hand_over(&mut self) {
        self.is_handed_over = false;
    }

    /// Records the status of the response.
    pub(super) fn set_status(&mut self, status: u16) {
        self.status = Some(status);
    }

    /// Ends the request and calls the observer.
    pub(super) fn end(mut self, end: RunEnd) {
        let permit_end = match (self.is_handed_over, self.status) {
            (false, _) => PermitEnd::Unused,
            (true, Some(status)) => PermitEnd::Answered { status, end },
            (true, None) if end == RunEnd::Cancelled => PermitEnd::Cancelled,
            (true, None) => PermitEnd::Lost,
        };
        if let Some(observer) = self.observer.take() {
            observer(permit_end);
        }
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if let Some(observer) = self.observer.take() {
            let is_unused = !self.is_handed_over;
            observer(if is_unused {
                PermitEnd::Unused
            } else {
                PermitEnd::Cancelled
            });
        }
    }
}

impl RunChecks {
    /// Installs the checks: `hand_over` decides whether a request may be handed over, and `refusal`
    /// decides on the answer to a refused request.
    pub fn install<H, R>(
        &self,
        hand_over: impl Fn(RequestTerms) -> H + Send + Sync + 'static,
        refusal: impl Fn(RequestTerms, Refusal) -> R + Send + Sync + 'static,
    ) where
        H: Future<Output = Result<RunPermit, RunDenial>> + Send + 'static,
        R: Future<Output = RunDenial> + Send + 'static,
    {
        let hand_over: HandOverCheck = Arc::new(move |terms| Box::pin(hand_over(terms)));
        let refusal: RefusalCheck = Arc::new(move |terms, reason| Box::pin(refusal(terms, reason)));
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some((hand_over, refusal));
    }

    /// Checks whether a request may be handed over.
    pub(super) async fn hand_over(&self, terms: &RequestTerms) -> Result<RunPermit, RunDenial> {
        match self.installed() {
            Some((check, _)) => check(terms.clone()).await,
            None => Ok(RunPermit::unobserved()),
        }
    }

    /// Decides on the answer to a refused request.
    pub(super) async fn refusal(&self, terms: &RequestTerms, refusal: Refusal) -> RunDenial {
        match self.installed() {
            Some((_, check)) => check(terms.clone(), refusal).await,
            None => RunDenial::Refused(refusal),
        }
    }

    /// Installed checks, if any.
    fn installed(&self) -> Option<(HandOverCheck, RefusalCheck)> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Debug for RunPermit {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("RunPermit")
            .field("is_handed_over", &self.is_handed_over)
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

impl Debug for RunChecks {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("RunChecks").finish_non_exhaustive()
    }
}
