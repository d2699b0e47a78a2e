//! Validation rules of a client account's fields.

use crate::{FieldRule, NumberRule, TextRule};

pub(crate) const KEYS: TextRule = TextRule {
    field: "keys",
    default: "none, required without `key_digests`",
    allowed: "a list of texts of visible ASCII characters; no other account has one of them",
    meaning: "The API keys that identify the account's requests.",
};

pub(crate) const KEY_DIGESTS: TextRule = TextRule {
    field: "key_digests",
    default: "[]",
    allowed: "a list of texts of 32 hexadecimal digits in lower case",
    meaning: "The first 32 digits of the SHA-256 of API keys, for documents that hold no keys.",
};

pub(crate) const PRIORITY: TextRule = TextRule {
    field: "priority",
    default: "as the request's route",
    allowed: "\"high\", \"normal\" or \"low\"",
    meaning: "The priority of the account's requests, on all routes.",
};

pub(crate) const RATE: NumberRule = NumberRule {
    field: "rate_per_s",
    unit: "requests per second",
    default: 0.0,
    min: 0.0,
    max: 1_000_000.0,
    is_whole: false,
    meaning: "Rate that the account may use, over all nodes together. 0 sets no limit.",
};

pub(crate) const BURST: NumberRule = NumberRule {
    field: "burst",
    unit: "requests",
    default: 0.0,
    min: 0.0,
    max: 1_000_000.0,
    is_whole: false,
    meaning: "Requests that may come at once after an idle time, in addition to the rate.",
};

/// What is allowed for `accounts` as a whole.
pub(crate) const ACCOUNTS: &str = "an object with one or more accounts by name, or null";

/// Every field of a client account, in the order of the reference page.
pub const ACCOUNT_RULES: &[FieldRule] = &[
    FieldRule::Text(&KEYS),
    FieldRule::Text(&KEY_DIGESTS),
    FieldRule::Text(&PRIORITY),
    FieldRule::Number(&RATE),
    FieldRule::Number(&BURST),
];
