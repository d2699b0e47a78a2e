//! Prints the catalogue of events for `docs/EVENTS.md`.

fn main() {
    print!("{}", fescueway_telemetry::event_page());
}
