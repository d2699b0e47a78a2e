//! Checks that the reference page and the shipped configurations match the code.

use std::{fs, path::PathBuf};

use fescueway_config::{
    ACCOUNT_RULES, ConfigSet, Document, RawAccount, RawService, SERVICE_RULES, StoredService,
};
use fescueway_core::ServiceName;
use serde_json::Value;

fn repository_file(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn load_shipped_document(name: &str) -> Document {
    Document::parse(name, &repository_file(name)).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn configuration_page_contains_the_generated_table() {
    let page = repository_file("docs/CONFIGURATION.md");
    assert!(
        page.contains(&fescueway_config::service_table()),
        "docs/CONFIGURATION.md is stale: put in what \
         `cargo run -p fescueway_config --example field_table` prints"
    );
}

#[test]
fn every_field_of_a_service_has_a_rule() {
    // Sets the fields that the canonical form omits when they have their default.
    let route = r#"{"name":"a","plan":{"path_prefixes":["/"],"routes":{"NAME":
        {"method":"GET","path_prefix":"/","idempotency":"idempotent","objective_ms":50,"max_runs":2,
        "is_public":true,"hedge_share":0.05,"hedge_per_s":3,"weights":{"SERVICE":1}}},
        "limit":{"slot_share":0.8},"locality":{"far_cost_us_per_kib":700},"retry":{"refusal_share":0.5,"hedge_share":0.05,"hedge_per_s":30}}}"#;
    let stored: StoredService = serde_json::from_str(route).expect("a raw service");
    let mut fields = Vec::new();
    collect_fields(
        "",
        &serde_json::to_value::<RawService>(stored.plan).expect("JSON"),
        &mut fields,
    );
    let table = fescueway_config::service_table();
    let missing: Vec<_> = fields
        .iter()
        .filter(|field| !table.contains(&format!("| `{field}` |")))
        .collect();
    assert!(missing.is_empty(), "fields without a rule: {missing:?}");
    assert_eq!(fields.len(), SERVICE_RULES.len(), "rules without a field");
}

fn collect_fields(path: &str, value: &Value, fields: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map {
                collect_fields(
                    format!("{path}.{name}").trim_start_matches('.'),
                    inner,
                    fields,
                );
            }
        }
        _ => fields.push(path.to_owned()),
    }
}

#[test]
fn shipped_configurations_are_accepted() {
    let deployments = [
        (
            "configs/caprock",
            vec!["texas"],
            [
                "bookings",
                "grinding-history",
                "grinding-windows",
                "rail-profiles",
            ],
        ),
        (
            "configs/pwll",
            vec!["wales"],
            [
                "bookings-payments",
                "cap-bands",
                "registers-results",
                "timetables",
            ],
        ),
    ];
    for (folder, sites, services) in deployments {
        let base = load_shipped_document(&format!("{folder}/base.json"));
        let overlays: Vec<_> = sites
            .iter()
            .map(|site| load_shipped_document(&format!("{folder}/{site}.json")))
            .collect();
        let config = ConfigSet::check(&base, &overlays).unwrap_or_else(|errors| {
            panic!("{folder}: {}", errors[0]);
        });
        for site in sites {
            let plan = &config.sites()[site];
            let names: Vec<_> = plan.services.keys().map(ServiceName::as_str).collect();
            assert_eq!(names, services);
        }
    }
}

#[test]
fn every_field_of_an_account_has_a_rule() {
    let account = r#"{"keys":["k"],"key_digests":["0"],"priority":"low","rate_per_s":1,"burst":2}"#;
    let raw: RawAccount = serde_json::from_str(account).expect("a raw account");
    let fields = serde_json::to_value(raw).expect("JSON");
    let names: Vec<_> = fields.as_object().expect("an object").keys().collect();
    let table = fescueway_config::account_table();
    assert!(
        names
            .iter()
            .all(|name| table.contains(&format!("| `{name}` |")))
    );
    assert_eq!(names.len(), ACCOUNT_RULES.len(), "rules without a field");
    let page = repository_file("docs/CONFIGURATION.md");
    assert!(page.contains(&table), "docs/CONFIGURATION.md is stale");
}
