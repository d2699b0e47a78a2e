//! Field tables of the reference page, generated from the validation rules.

use crate::{ACCOUNT_RULES, FieldRule, SERVICE_RULES};

/// The Markdown table of a service's fields for `docs/CONFIGURATION.md`.
#[must_use]
pub fn service_table() -> String {
    field_table(SERVICE_RULES.iter().copied())
}

/// The Markdown table of a client account's fields for `docs/CONFIGURATION.md`.
#[must_use]
pub fn account_table() -> String {
    field_table(ACCOUNT_RULES.iter().copied())
}

/// A Markdown table of fields.
#[must_use]
pub fn field_table(rules: impl IntoIterator<Item = FieldRule>) -> String {
    let heading = "| field | unit | default | allowed | meaning |\n|---|---|---|---|---|\n";
    let rows = rules.into_iter().map(rule_row);
    heading.to_owned() + &rows.collect::<String>()
}

/// The row of one rule.
fn rule_row(rule: FieldRule) -> String {
    match rule {
        FieldRule::Number(rule) => {
            let kind = if rule.is_whole { "whole, " } else { "" };
            let range = format!("{kind}{} to {}", rule.min, rule.max);
            let default = rule.default.to_string();
            format_row(rule.field, rule.unit, &default, &range, rule.meaning)
        }
        FieldRule::Text(rule) => {
            format_row(rule.field, "", rule.default, rule.allowed, rule.meaning)
        }
    }
}

/// A row with these cells.
fn format_row(field: &str, unit: &str, default: &str, allowed: &str, meaning: &str) -> String {
    format!("| `{field}` | {unit} | {default} | {allowed} | {meaning} |\n")
}
