//! Prints the tables of the fields of a service and of a client account for `docs/CONFIGURATION.md`.

fn main() {
    print!("{}", fescueway_config::service_table());
    println!();
    print!("{}", fescueway_config::account_table());
}
