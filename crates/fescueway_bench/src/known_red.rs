//! Bounds and tests that are known to fail.

/// One known failure per line, starting with its name.
const KNOWN_RED: &str = include_str!("../../../KNOWN-RED.txt");

/// Whether `KNOWN-RED.txt` lists the bound `name`.
#[must_use]
pub fn is_known_red(name: &str) -> bool {
    KNOWN_RED.lines().any(|line| line.starts_with(name))
}
