//! Client accounts in the output of the command line, which shows no key.

use std::{env, fs, path::PathBuf, process};

use serde_json::Value;

use crate::support::{CliRun, fescueway};

const BASE: &str = r#"{
  "services": { "bands": { "path_prefixes": ["/bands"] } },
  "accounts": {
    "mill": { "keys": ["secret-mill"], "rate_per_s": 40 },
    "quarry": { "keys": ["secret-quarry"] } }
}"#;

/// Files of a test, removed at its end.
struct TestFiles(Vec<PathBuf>);

impl TestFiles {
    fn write(test: &str, texts: &[&str]) -> Self {
        let files = texts.iter().enumerate().map(|(index, text)| {
            let name = format!("fescueway-{test}-{}-{index}.json", process::id());
            let path = env::temp_dir().join(name);
            fs::write(&path, text).expect("a writable directory");
            path
        });
        Self(files.collect())
    }

    fn path(&self, index: usize) -> &str {
        self.0[index].to_str().expect("UTF-8")
    }
}

impl Drop for TestFiles {
    fn drop(&mut self) {
        for path in &self.0 {
            // A file that is gone already needs no removal.
            let _removed = fs::remove_file(path);
        }
    }
}

fn assert_no_key(run: &CliRun) {
    assert!(!run.stdout.contains("secret"), "{run:?}");
    assert!(!run.stderr.contains("secret"), "{run:?}");
}

#[test]
fn check_counts_accounts_and_reports_faults_without_keys() {
    let shared = BASE.replace("secret-quarry", "secret-mill");
    let files = TestFiles::write("check", &[BASE, r#"{ "site": "bala" }"#, &shared]);
    let run = fescueway(&["check", files.path(0), files.path(1)]);
    let expected = "valid: 1 services and 2 client accounts over the sites bala\n";
    assert_eq!((run.status, &*run.stdout), (0, expected));
    let run = fescueway(&["check", files.path(2), files.path(1)]);
    assert_eq!(run.status, 2, "{run:?}");
    let expected = ":5: field accounts.quarry.keys: found a key that account mill has";
    assert!(run.stderr.contains(expected), "{run:?}");
    assert_no_key(&run);
    let run = fescueway(&["check", "--json", files.path(2), files.path(1)]);
    assert_no_key(&run);
}

#[test]
fn diff_and_render_show_no_key() {
    let next = BASE
        .replace("secret-mill", "secret-next")
        .replace("40", "50");
    let files = TestFiles::write("diff", &[BASE, r#"{ "site": "bala" }"#, &next]);
    let run = fescueway(&[
        "diff",
        "--from",
        files.path(0),
        "--from",
        files.path(1),
        files.path(2),
        files.path(1),
    ]);
    assert_eq!(run.status, 0, "{run:?}");
    for part in [
        "(accounts)",
        "mill.keys",
        "1 (1 removed)",
        "1 (1 added)",
        "mill.rate_per_s",
    ] {
        assert!(run.stdout.contains(part), "{part:?} is not in {run:?}");
    }
    assert!(!run.stdout.contains("quarry"), "{run:?}");
    assert_no_key(&run);
    let run = fescueway(&["render", "--site", "bala", files.path(0), files.path(1)]);
    assert_no_key(&run);
    let site: Value = serde_json::from_str(&run.stdout).expect("JSON");
    let digests = site["accounts"]["mill"]["key_digests"].as_array();
    assert_eq!(digests.map(Vec::len), Some(1));
    // What is rendered is a document of the same configuration.
    let mut rendered = site;
    rendered.as_object_mut().expect("an object").remove("site");
    let again = TestFiles::write("render", &[&rendered.to_string()]);
    let run = fescueway(&[
        "diff",
        "--from",
        files.path(0),
        "--from",
        files.path(1),
        again.path(0),
        files.path(1),
    ]);
    assert_eq!((run.status, &*run.stdout), (0, "nothing changes\n"));
}
