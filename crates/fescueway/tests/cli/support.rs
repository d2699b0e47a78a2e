//! Runs the built command line.

use std::{path::PathBuf, process::Command};

/// What a run came to.
#[derive(Debug)]
pub(crate) struct CliRun {
    pub(crate) status: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs `fescueway` in the root of the repository.
pub(crate) fn fescueway(arguments: &[&str]) -> CliRun {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(env!("CARGO_BIN_EXE_fescueway"))
        .args(arguments)
        .current_dir(root)
        .env("USER", "tester")
        .output()
        .expect("the command line runs");
    CliRun {
        status: output.status.code().expect("an exit status"),
        out: String::from_utf8(output.stdout).expect("UTF-8"),
        err: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}
