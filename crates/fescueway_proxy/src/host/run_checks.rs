//! What is settled before a request is handed over, and who is told how it ended.

use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
};

use fescueway_admission::RunEnd;
use fescueway_core::{Outcome, Refusal, RequestTerms};

/// A check in progress.
type CheckFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Settles whether a request may be handed over.
type HandOverCheck =
    Arc<dyn Fn(RequestTerms) -> CheckFuture<Result<RunPermit, RunDenial>> + Send + Sync>;

/// Settles what a caller hears whose request the host refuses.
type RefusalCheck = Arc<dyn Fn(RequestTerms, Refusal) -> CheckFuture<RunDenial> + Send + Sync>;

/// Hears that a request is handed over.
type HandOverObserver = Box<dyn FnOnce() + Send>;

/// Hears how a request ended.
type EndObserver = Box<dyn FnOnce(PermitEnd) + Send>;

/// Why a request is not handed over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunDenial {
    /// It did not run and may be offered elsewhere.
    Refused(Refusal),
    /// An earlier request with its idempotency key has run, or may have.
    Duplicate {
        /// What became of the earlier request: [`Outcome::Ran`] or [`Outcome::Unknown`].
        outcome: Outcome,
        /// The status that the backend server answered it with, when known.
        status: Option<u16>,
    },
}

/// How a request ended that was permitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitEnd {
    /// No byte of it was sent.
    Unused,
    /// It was handed over, and its answer's head never came whole.
    Lost,
    /// The backend server answered with this status; the body may have been cut.
    Answered {
        /// The status.
        status: u16,
        /// How the run ended.
        end: RunEnd,
    },
    /// It was handed over, and its caller left before the answer.
    Cancelled,
}

/// The right to hand one request over. Whoever gave it hears how the request ended, once.
pub struct RunPermit {
    /// Hears of the hand-over.
    on_hand_over: Option<HandOverObserver>,
    /// Hears the end.
    observer: Option<EndObserver>,
    /// Whether a byte of the request may have been sent.
    is_handed_over: bool,
    /// The status of the answer, once its head came.
    status: Option<u16>,
}

/// What is settled before a request is handed over. Without checks every request may be. Cheap
/// to clone.
#[derive(Clone, Default)]
pub struct RunChecks(Arc<Mutex<Option<(HandOverCheck, RefusalCheck)>>>);

impl RunPermit {
    /// A permit whose end `observer` hears.
    #[must_use]
    pub fn new(observer: impl FnOnce(PermitEnd) + Send + 'static) -> Self {
        Self {
            on_hand_over: None,
            observer: Some(Box::new(observer)),
            is_handed_over: false,
            status: None,
        }
    }

    /// A permit whose end nobody hears.
    #[must_use]
    pub fn unwatched() -> Self {
        Self {
            on_hand_over: None,
            observer: None,
            is_handed_over: false,
            status: None,
        }
    }

    /// Lets `observer` hear of the moment from which a byte of the request may have been sent.
    #[must_use]
    pub fn on_hand_over(mut self, observer: impl FnOnce() + Send + 'static) -> Self {
        self.on_hand_over = Some(Box::new(observer));
        self
    }

    /// From now on a byte of the request may have been sent.
    pub(super) fn hand_over(&mut self) {
        self.is_handed_over = true;
        if let Some(observer) = self.on_hand_over.take() {
            observer();
        }
    }

    /// No byte of the request was sent after all.
    pub(super) fn take_back(&mut self) {
        self.is_handed_over = false;
    }

    /// The head of the answer came.
    pub(super) fn answered(&mut self, status: u16) {
        self.status = Some(status);
    }

    /// The run ended.
    pub(super) fn end(mut self, end: RunEnd) {
        let heard = match (self.is_handed_over, self.status) {
            (false, _) => PermitEnd::Unused,
            (true, Some(status)) => PermitEnd::Answered { status, end },
            (true, None) if end == RunEnd::Cancelled => PermitEnd::Cancelled,
            (true, None) => PermitEnd::Lost,
        };
        if let Some(observer) = self.observer.take() {
            observer(heard);
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
    /// From now on `hand_over` settles whether a request may be handed over, and `refusal` what
    /// the caller of a refused one hears.
    pub fn install<H, R>(
        &self,
        hand_over: impl Fn(RequestTerms) -> H + Send + Sync + 'static,
        refusal: impl Fn(RequestTerms, Refusal) -> R + Send + Sync + 'static,
    ) where
        H: Future<Output = Result<RunPermit, RunDenial>> + Send + 'static,
        R: Future<Output = RunDenial> + Send + 'static,
    {
        let hand_over: HandOverCheck = Arc::new(move |terms| Box::pin(hand_over(terms)));
        let refusal: RefusalCheck = Arc::new(move |terms, why| Box::pin(refusal(terms, why)));
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some((hand_over, refusal));
    }

    /// Settles whether a request may be handed over.
    pub(super) async fn hand_over(&self, terms: &RequestTerms) -> Result<RunPermit, RunDenial> {
        match self.installed() {
            Some((check, _)) => check(terms.clone()).await,
            None => Ok(RunPermit::unwatched()),
        }
    }

    /// Settles what the caller of a refused request hears.
    pub(super) async fn refusal(&self, terms: &RequestTerms, refusal: Refusal) -> RunDenial {
        match self.installed() {
            Some((_, check)) => check(terms.clone(), refusal).await,
            None => RunDenial::Refused(refusal),
        }
    }

    /// The checks in use.
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
