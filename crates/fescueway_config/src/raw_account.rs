//! A client account as written in a document, before validation.

use std::fmt::{Debug, Formatter, Result as FormatResult};

use fescueway_core::Priority;
use serde::{Deserialize, Serialize};
use serde_json::{Number, Value};

/// A client account as written in a document. `Debug` shows no key.
///
/// Keys are decoded by [`AccountPlan`](crate::AccountPlan)'s validation, since errors of the decoder
/// quote the value that they found.
#[derive(Clone, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub struct RawAccount {
    /// The keys. The canonical form has their digests only.
    #[serde(skip_serializing_if = "Value::is_null")]
    pub keys: Value,
    /// Digests of further keys.
    #[serde(skip_serializing_if = "Value::is_null")]
    pub key_digests: Value,
    /// Priority of its requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Requests per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<Number>,
    /// Requests that may come at once after an idle time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<Number>,
}

impl Debug for RawAccount {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.debug_struct("RawAccount")
            .field("priority", &self.priority)
            .field("rate_per_s", &self.rate_per_s)
            .field("burst", &self.burst)
            .finish_non_exhaustive()
    }
}
