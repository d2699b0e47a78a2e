//! Converts raw client accounts to validated plans, and back to the raw form.

use std::collections::BTreeMap;

use fescueway_core::AccountName;
use serde_json::Value;

use crate::{
    AccountDirectory, AccountKey, AccountPlan, AllotmentPlan, DirectoryError, FieldFault,
    NumberRule, RawAccount, TextRule, account_rules as rules, document,
    stored_service::checked_name,
};

/// A client account with its name, before validation.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct NamedAccount {
    /// The name.
    pub name: String,
    /// The account's configuration.
    pub plan: RawAccount,
}

/// Path of an account in a document.
pub(crate) fn account_path(name: &str) -> String {
    format!("accounts.{name}")
}

/// Decodes the fields of the account `name`. The keys are validated later.
pub(crate) fn decode_account(name: String, value: &Value) -> Result<NamedAccount, FieldFault> {
    let plan = match value {
        Value::Object(_) => document::decode_value::<RawAccount>(value),
        // The value may be a key in the wrong place.
        other => Err(hidden_fault(String::new(), other, "an object")),
    };
    let plan = plan.map_err(|mut fault| {
        let scope = account_path(&name);
        fault.field = match fault.field.as_str() {
            "" => scope,
            field => format!("{scope}.{field}"),
        };
        fault
    })?;
    Ok(NamedAccount { name, plan })
}

/// The directory of a site's accounts.
pub(crate) fn directory(
    accounts: impl IntoIterator<Item = AccountPlan>,
) -> Result<AccountDirectory, FieldFault> {
    AccountDirectory::try_new(accounts).map_err(|error| match error {
        DirectoryError::SharedKey { first, second } => FieldFault::new(
            format!("{}.{}", account_path(second.as_str()), rules::KEYS.field),
            format!("a key that account {first} has"),
            "each key once",
        ),
        DirectoryError::InvalidName(name) => FieldFault::new(
            account_path(name.as_str()),
            format!("the name {name:?}"),
            "a name that can be sent in a header field",
        ),
    })
}

/// A fault whose message tells the type of the value that was found, not the value.
pub(crate) fn hidden_fault(field: String, found: &Value, allowed: &str) -> FieldFault {
    let kind = match found {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    };
    FieldFault::new(field, kind, allowed)
}

impl TryFrom<NamedAccount> for AccountPlan {
    type Error = FieldFault;

    fn try_from(named: NamedAccount) -> Result<Self, FieldFault> {
        let scope = account_path(&named.name);
        let name = checked_name(scope.clone(), &named.name)?;
        let raw = named.plan;
        let mut keys = texts(&scope, &rules::KEYS, &raw.keys, |text| {
            is_key(text).then(|| AccountKey::new(text))
        })?;
        let digests = &raw.key_digests;
        let digests = texts(&scope, &rules::KEY_DIGESTS, digests, AccountKey::from_hex)?;
        keys.extend(digests);
        if keys.is_empty() {
            let path = format!("{scope}.{}", rules::KEYS.field);
            return Err(FieldFault::new(path, "none", rules::KEYS.allowed));
        }
        let number = |rule: &NumberRule, raw| rule.check(&scope, raw);
        let rate_per_s = number(&rules::RATE, raw.rate_per_s.as_ref())?;
        let burst = number(&rules::BURST, raw.burst.as_ref())?;
        Ok(Self {
            name: AccountName::new(name.as_str()),
            keys: sorted(keys),
            priority: raw.priority,
            allotment: (rate_per_s > 0.0).then_some(AllotmentPlan { rate_per_s, burst }),
        })
    }
}

impl From<&AccountPlan> for RawAccount {
    fn from(plan: &AccountPlan) -> Self {
        let digests = sorted(plan.keys.clone())
            .into_iter()
            .map(AccountKey::to_hex);
        let allotment = plan.allotment;
        Self {
            keys: Value::Null,
            key_digests: digests.collect(),
            priority: plan.priority,
            rate_per_s: allotment.and_then(|allotment| rules::RATE.raw(allotment.rate_per_s)),
            burst: allotment.and_then(|allotment| rules::BURST.raw(allotment.burst)),
        }
    }
}

/// The keys in the order of their digests, each once, so that equal plans have the same canonical
/// form.
fn sorted(keys: Vec<AccountKey>) -> Vec<AccountKey> {
    let keys = keys.into_iter().map(|key| (key.to_hex(), key));
    keys.collect::<BTreeMap<_, _>>().into_values().collect()
}

/// Validates a list of texts by `read`. No fault shows a text.
fn texts(
    scope: &str,
    rule: &TextRule,
    raw: &Value,
    read: impl Fn(&str) -> Option<AccountKey>,
) -> Result<Vec<AccountKey>, FieldFault> {
    let path = format!("{scope}.{}", rule.field);
    let elements = match raw {
        Value::Null => return Ok(Vec::new()),
        Value::Array(elements) => elements,
        other => return Err(hidden_fault(path, other, rule.allowed)),
    };
    let keys = elements.iter().enumerate().map(|(index, element)| {
        let path = format!("{path}[{index}]");
        match element {
            Value::String(text) => read(text).ok_or_else(|| {
                let found = format!("a text of {} bytes that is not allowed", text.len());
                FieldFault::new(path, found, rule.allowed)
            }),
            other => Err(hidden_fault(path, other, rule.allowed)),
        }
    });
    keys.collect()
}

/// Whether a caller can send the key in a header field as it is.
fn is_key(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}
