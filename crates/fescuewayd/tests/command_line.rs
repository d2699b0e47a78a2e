//! The command line of the daemon as a process.

use std::process::{Command, Output};

/// Runs the daemon with `args` until it exits.
fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fescuewayd"));
    command.args(args).output().expect("the daemon runs")
}

#[test]
fn help_shows_the_usage() {
    for flag in ["--help", "-h"] {
        let output = run(&[flag]);
        assert_eq!(output.status.code(), Some(0), "{flag}");
        let text = String::from_utf8(output.stdout).expect("UTF-8");
        let usage = "\nUsage: fescuewayd --settings FILE\n";
        assert!(text.contains(usage), "{text}");
        for option in ["--settings FILE", "--check", "--version", "--help"] {
            assert!(text.contains(&format!("\n  {option}  ")), "{text}");
        }
    }
}

#[test]
fn version_follows_the_name() {
    let output = run(&["--version"]);
    let version = format!("fescuewayd {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8_lossy(&output.stdout), version);
}

#[test]
fn wrong_usage_exits_with_a_reason() {
    let cases: [(&[&str], &str); 3] = [
        (&[], "--settings FILE is missing"),
        (&["--setting", "a.json"], "--setting"),
        (&["--settings", "no/such/file.json"], "no/such/file.json"),
    ];
    for (args, reason) in cases {
        let output = run(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(text.starts_with("fescuewayd: "), "{text}");
        assert!(text.contains(reason), "{text}");
    }
}
