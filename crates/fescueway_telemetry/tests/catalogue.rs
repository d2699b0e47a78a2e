//! Checks the catalogue of events and its page.

use std::{collections::BTreeSet, fs};

use fescueway_telemetry::{EventKind, events};

#[test]
fn events_page_matches_the_catalogue() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    let page = fs::read_to_string(path).expect("docs/EVENTS.md");
    assert!(
        page == fescueway_telemetry::event_page(),
        "docs/EVENTS.md is stale: replace it with the output of \
         `cargo run -p fescueway_telemetry --example event_catalogue`"
    );
}

#[test]
fn numbers_are_unique_and_within_their_area() {
    let areas: [(u16, &[&EventKind]); 5] = [
        (1000, events::path::ALL),
        (1000, events::request::ALL),
        (2000, events::control::ALL),
        (3000, events::operator::ALL),
        (4000, events::claim::ALL),
    ];
    let mut seen = BTreeSet::new();
    for (first, kinds) in areas {
        for kind in kinds {
            assert!(seen.insert(kind.number), "E{} is used twice", kind.number);
            assert!(
                (first..first + 1000).contains(&kind.number),
                "E{}",
                kind.number
            );
            assert!(
                !kind.summary.is_empty() && !kind.advice.is_empty(),
                "E{}",
                kind.number
            );
        }
    }
    assert_eq!(seen.len(), events::all().len());
}
