//! The fescueway daemon as a process of its own.

use std::process::ExitCode;

use fescuewayd::NodeAdapter;

fn main() -> ExitCode {
    fescuewayd::run_process("fescuewayd", &NodeAdapter::default())
}
