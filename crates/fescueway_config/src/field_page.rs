//! The field tables of the reference page, made from the rules that check the fields.

use crate::{FieldRule, SERVICE_RULES};

/// The table of a service's fields as Markdown, as it stands in `docs/CONFIGURATION.md`.
#[must_use]
pub fn service_table() -> String {
    field_table(SERVICE_RULES.iter().copied())
}

/// A table of fields as Markdown.
#[must_use]
pub fn field_table(rules: impl IntoIterator<Item = FieldRule>) -> String {
    let heading = "| field | unit | default | allowed | meaning |\n|---|---|---|---|---|\n";
    let rows = rules.into_iter().map(row);
    heading.to_owned() + &rows.collect::<String>()
}

/// One row.
fn row(rule: FieldRule) -> String {
    match rule {
        FieldRule::Number(rule) => {
            let kind = if rule.is_whole { "whole, " } else { "" };
            let range = format!("{kind}{} to {}", rule.min, rule.max);
            let default = rule.default.to_string();
            cells(rule.field, rule.unit, &default, &range, rule.meaning)
        }
        FieldRule::Text(rule) => cells(rule.field, "", rule.default, rule.allowed, rule.meaning),
    }
}

/// One row of these cells.
fn cells(field: &str, unit: &str, default: &str, allowed: &str, meaning: &str) -> String {
    format!("| `{field}` | {unit} | {default} | {allowed} | {meaning} |\n")
}
