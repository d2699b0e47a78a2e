//! The reference page and the example settings match the settings that the daemon reads.

use std::{fs, path::PathBuf};

use fescueway_config::{Document, FieldRule, field_table};
use fescuewayd::{RawLimits, RawListen, RawPlanFiles, RawSettings, SETTINGS_RULES, read_settings};
use serde::de::DeserializeOwned;

fn repository_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(name)
}

/// The field names of a settings type, from the error for an unknown field.
fn fields<T: DeserializeOwned>() -> Vec<String> {
    let document = Document::parse("any.json", r#"{ "no such field": 0 }"#).expect("JSON");
    let error = document.decode::<T>().err().expect("an unknown field");
    let quoted = error.fault.allowed.split('`').skip(1).step_by(2);
    quoted.map(ToOwned::to_owned).collect()
}

#[test]
fn page_lists_every_setting() {
    let page = fs::read_to_string(repository_file("docs/CONFIGURATION.md")).expect("the page");
    let rules = SETTINGS_RULES.iter().copied().map(FieldRule::Number);
    assert!(
        page.contains(&field_table(rules)),
        "docs/CONFIGURATION.md is out of date: paste the output of \
         `cargo run -p fescuewayd --example settings_table`"
    );
    let groups = [
        ("", fields::<RawSettings>()),
        ("listen.", fields::<RawListen>()),
        ("plan_files.", fields::<RawPlanFiles>()),
        ("limits.", fields::<RawLimits>()),
    ];
    for (group, names) in groups {
        assert!(!names.is_empty(), "{group}");
        for name in names {
            let is_listed = page.contains(&format!("| `{group}{name}` |"))
                || page.contains(&format!("| `{name}."));
            assert!(is_listed, "{group}{name} is not on the page");
        }
    }
}

#[test]
fn example_settings_are_accepted() {
    for (file, site) in [("caprock", "texas"), ("pwll", "wales")] {
        let file = repository_file(&format!("configs/{file}/node.example.json"));
        let settings = read_settings(&file).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(settings.site.as_str(), site);
        assert!(!settings.seed_peers.is_empty() && !settings.store.is_empty());
    }
}
