//! The catalogue of events as a Markdown page.

use crate::{EventKind, events};

/// Text above the table of events.
const INTRODUCTION: &str = "\
# Events

Every log record of fescueway is a numbered event with fields. A number is never reused.
Numbers from 1000 are of the path of a request, from 2000 of membership, configuration and the store,
from 3000 of settings, start and stop, from 4000 of idempotency keys, suspect requests and probes.

This page is printed by `cargo run -p fescueway_telemetry --example event_catalogue`; a test compares it with the code.

| event | level | what happened | fields | what to do |
|---|---|---|---|---|
";

/// The catalogue as Markdown, as stored in `docs/EVENTS.md`.
#[must_use]
pub fn event_page() -> String {
    let rows = events::all().into_iter().map(event_row);
    INTRODUCTION.to_owned() + &rows.collect::<String>()
}

/// One row of the catalogue.
fn event_row(kind: &EventKind) -> String {
    let fields: Vec<_> = kind.fields.iter().map(|name| format!("`{name}`")).collect();
    format!(
        "| E{:04} | {} | {} | {} | {} |\n",
        kind.number,
        kind.level.as_str().to_lowercase(),
        kind.summary,
        fields.join(", "),
        kind.advice
    )
}
