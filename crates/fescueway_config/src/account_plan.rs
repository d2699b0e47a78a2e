//! The validated configuration of one client account.

use fescueway_core::{AccountName, Priority};

use crate::AccountKey;

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

/// The rate that an account may use, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllotmentPlan {
    /// Requests per second, above zero.
    pub rate_per_s: f64,
    /// Requests that may come at once after an idle time, in addition to the rate. Not negative.
    pub burst: f64,
}
