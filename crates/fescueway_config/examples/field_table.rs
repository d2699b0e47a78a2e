//! Prints the table of a service's fields for `docs/CONFIGURATION.md`.

fn main() {
    print!("{}", fescueway_config::service_table());
}
