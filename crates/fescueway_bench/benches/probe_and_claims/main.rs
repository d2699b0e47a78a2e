//! Measures the time that probes take of a backend server, and the cost of a claimed idempotency
//! key.
//!
//! Times are printed; only counts, bytes and shares in virtual time are bounded.

mod claims;
#[path = "../common/live_bytes.rs"]
mod live_bytes;
mod probes;

use std::process::ExitCode;

fn main() -> ExitCode {
    let broken = probes::report() + claims::report();
    if broken > 0 {
        println!("{broken} bounds broken");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Prints a value and its upper bound. Returns 1 if the bound is broken, else 0.
fn bounded(name: &str, figure: f64, bound: f64) -> u32 {
    let is_met = figure <= bound;
    let mark = if is_met { "" } else { "  BROKEN" };
    println!("{name:<56} {figure:>12.4}  bound {bound:>10.4}{mark}");
    u32::from(!is_met)
}
