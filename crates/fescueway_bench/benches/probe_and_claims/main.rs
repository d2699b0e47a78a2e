//! What probes take of a backend server, and what a claimed idempotency key costs.
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

/// Prints a figure beside its bound. Returns 1 when it is broken, else 0.
fn bounded(name: &str, figure: f64, bound: f64) -> u32 {
    let is_kept = figure <= bound;
    let mark = if is_kept { "" } else { "  BROKEN" };
    println!("{name:<56} {figure:>12.4}  bound {bound:>10.4}{mark}");
    u32::from(!is_kept)
}
