//! Prints the table of the numbers in a node's settings for `docs/CONFIGURATION.md`.

use fescueway_config::{FieldRule, field_table};

fn main() {
    let rules = fescuewayd::SETTINGS_RULES.iter().copied();
    print!("{}", field_table(rules.map(FieldRule::Number)));
}
