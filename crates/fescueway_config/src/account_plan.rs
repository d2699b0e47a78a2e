//! The validated configuration of one client account.

use std::{
    fmt::{Debug, Formatter, Result as FormatResult},
    sync::Arc,
};

use fescueway_core::{AccountName, Priority};

/// The validated configuration of one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountPlan {
    /// The account.
    pub name: AccountName,
    /// The keys that identify its requests. No other account of the site has one of them.
    pub keys: Vec<AccountKey>,
    /// Priority of its requests, `None` for that of their routes.
    pub priority: Option<Priority>,
    /// The rate that it may use, `None` for no limit.
    pub allotment: Option<AllotmentPlan>,
}

/// An API key. `Debug` does not show it, so that it can't get into a log.
#[derive(Clone, Eq, PartialEq)]
pub struct AccountKey(Arc<str>);

/// The rate that an account may use, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllotmentPlan {
    /// Requests per second, above zero.
    pub rate_per_s: f64,
    /// Requests that may come at once after an idle time, in addition to the rate. Not negative.
    pub burst: f64,
}

impl AccountKey {
    /// Creates a key.
    #[must_use]
    pub fn new(key: impl Into<Arc<str>>) -> Self {
        Self(key.into())
    }

    /// The key. Must not be logged or shown.
    #[must_use]
    pub fn secret(&self) -> &str {
        &self.0
    }
}

impl Debug for AccountKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.write_str("AccountKey")
    }
}
