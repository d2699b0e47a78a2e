//! Decides whether a request is within the allotment of its client account.

use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use fescueway_config::AccountPlan;
use fescueway_core::Priority;

/// Future of a check. The error is the time after which the request may come again.
type CheckFuture = Pin<Box<dyn Future<Output = Result<AllotmentPermit, Duration>> + Send>>;

/// Decides on a request of an account with an allotment.
type Check = Arc<dyn Fn(Arc<AccountPlan>, Priority) -> CheckFuture + Send + Sync>;

/// Permit for one request of an account with an allotment.
#[derive(Default)]
pub struct AllotmentPermit {
    /// Called if the request did not run.
    on_unused: Option<Box<dyn FnOnce() + Send>>,
}

/// Decides whether requests are within the allotments of their accounts. Until a check is installed,
/// every request is permitted. Cheap to clone.
#[derive(Clone, Default)]
pub struct AllotmentCheck(Arc<Mutex<Option<Check>>>);

impl AllotmentPermit {
    /// Creates a permit that calls `on_unused` if the request did not run.
    #[must_use]
    pub fn new(on_unused: impl FnOnce() + Send + 'static) -> Self {
        Self {
            on_unused: Some(Box::new(on_unused)),
        }
    }

    /// Gives the permit back, since the request did not run.
    pub(crate) fn give_back(self) {
        if let Some(on_unused) = self.on_unused {
            on_unused();
        }
    }
}

impl AllotmentCheck {
    /// Installs the check, replacing an earlier one. Its error is the time after which the request may
    /// come again.
    pub fn install<F>(
        &self,
        check: impl Fn(Arc<AccountPlan>, Priority) -> F + Send + Sync + 'static,
    ) where
        F: Future<Output = Result<AllotmentPermit, Duration>> + Send + 'static,
    {
        let boxed: Check = Arc::new(move |account, priority| Box::pin(check(account, priority)));
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(boxed);
    }

    /// Decides on a request of `account`.
    pub(crate) async fn decide(
        &self,
        account: &Arc<AccountPlan>,
        priority: Priority,
    ) -> Result<AllotmentPermit, Duration> {
        if account.allotment.is_none() {
            return Ok(AllotmentPermit::default());
        }
        let installed = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        match installed {
            Some(check) => check(Arc::clone(account), priority).await,
            None => Ok(AllotmentPermit::default()),
        }
    }
}

impl Debug for AllotmentPermit {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("AllotmentPermit").finish_non_exhaustive()
    }
}

impl Debug for AllotmentCheck {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("AllotmentCheck").finish_non_exhaustive()
    }
}
