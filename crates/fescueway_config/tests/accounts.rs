//! Client accounts in base and overlay, in stored values and in differences.

use std::collections::BTreeMap;

use fescueway_config::{
    AccountDirectory, AccountKey, AccountPlan, AllotmentPlan, ConfigError, ConfigSet,
    DirectoryError, Document, ServicePlan,
};
use fescueway_core::{AccountName, Priority, ServiceName, SiteName};
use serde_json::json;

const BASE: &str = r#"{
  "services": { "bands": { "path_prefixes": ["/bands"], "routes": {
    "open": { "path_prefix": "/bands/open", "idempotency": "idempotent", "is_public": true } } } },
  "accounts": {
    "mill": { "keys": ["secret-mill", "secret-old"], "priority": "high", "rate_per_s": 12.5, "burst": 20 },
    "quarry": { "keys": ["secret-quarry"] }
  }
}"#;

const OVERLAY: &str = r#"{ "site": "bala" }"#;

fn check(base: &str, overlay: &str) -> Result<ConfigSet, Vec<ConfigError>> {
    let document = |file, text| Document::parse(file, text).expect("a document");
    ConfigSet::check(
        &document("base.json", base),
        &[document("site.json", overlay)],
    )
}

fn accounts(config: &ConfigSet) -> &AccountDirectory {
    config.sites()["bala"].accounts.as_ref().expect("accounts")
}

fn account(name: &str, key: &str) -> AccountPlan {
    AccountPlan {
        name: AccountName::from(name),
        keys: vec![AccountKey::new(key)],
        priority: None,
        allotment: None,
    }
}

fn read_back(config: &ConfigSet) -> ConfigSet {
    let values = config.service_values();
    let stored = values
        .iter()
        .map(|((site, _), value)| (site.clone(), &*value.bytes));
    ConfigSet::from_values(stored).expect("read back")
}

#[test]
fn overlay_changes_adds_and_removes_accounts() {
    let overlay = r#"{ "site": "bala", "accounts": {
        "mill": { "keys": ["secret-new"], "rate_per_s": 0 }, "quarry": null,
        "kiln": { "key_digests": ["4a61a5dbd3a54d3d47ba0ae07e1d1ad6"] } } }"#;
    let config = check(BASE, overlay).expect("accepted");
    let accounts = accounts(&config);
    let names: Vec<_> = accounts
        .accounts()
        .keys()
        .map(AccountName::as_str)
        .collect();
    assert_eq!(names, ["kiln", "mill"]);
    let mill = accounts.find(b"secret-new").expect("an account");
    assert_eq!(mill.plan.priority, Some(Priority::High));
    assert_eq!(mill.plan.allotment, None);
    assert_eq!(mill.name_value, "mill");
    assert!(accounts.find(b"secret-mill").is_none());
    assert!(accounts.find(b"secret-quarry").is_none());
    let open = config.sites()["bala"].route_for("any", "GET", "/bands/open/1");
    assert!(open.expect("a route").route.is_public);
    let other = config.sites()["bala"].route_for("any", "GET", "/bands/1");
    assert!(!other.expect("a route").route.is_public);
}

#[test]
fn null_in_an_overlay_makes_requests_need_no_key() {
    let config = check(BASE, r#"{ "site": "bala", "accounts": null }"#).expect("accepted");
    assert!(config.sites()["bala"].accounts.is_none());
}

/// Guards against keys in the output of `fescueway check` and in logs.
#[test]
fn errors_name_file_line_and_field_but_no_key() {
    let mill = r#"{ "keys": ["secret-mill", "secret-old"], "priority": "high", "rate_per_s": 12.5, "burst": 20 }"#;
    let cases = [
        (
            mill,
            r#"{ "keys": "secret-mill" }"#,
            "accounts.mill.keys",
            "a text",
        ),
        (
            mill,
            r#"{ "keys": [5, 77881] }"#,
            "accounts.mill.keys[0]",
            "a number",
        ),
        (
            mill,
            r#"{ "keys": ["secret mill"] }"#,
            "accounts.mill.keys[0]",
            "a text of 11 bytes",
        ),
        (
            mill,
            r#"{ "keys": [""] }"#,
            "accounts.mill.keys[0]",
            "a text of 0 bytes",
        ),
        (
            mill,
            r#"{ "keys": { "secret-mill": 1 } }"#,
            "accounts.mill.keys",
            "an object",
        ),
        (mill, r#"["secret-mill"]"#, "accounts.mill", "a list"),
        (mill, r#""secret-mill""#, "accounts.mill", "a text"),
        (mill, "{}", "accounts.mill.keys", "none"),
        (
            mill,
            r#"{ "key_digests": ["secret-mill"] }"#,
            "accounts.mill.key_digests[0]",
            "a text of 11",
        ),
        (
            mill,
            r#"{ "keys": ["secret-quarry"] }"#,
            "accounts.quarry.keys",
            "account mill has",
        ),
        ("12.5", "-1", "accounts.mill.rate_per_s", "-1"),
        ("\"high\"", "\"top\"", "accounts.mill.priority", "top"),
        (
            "\"burst\"",
            "\"bursts\"",
            "accounts.mill.bursts",
            "unknown field",
        ),
        ("\"mill\"", "\"Mill\"", "accounts.Mill", "the name"),
    ];
    for (from, to, field, found) in cases {
        let base = BASE.replacen(from, to, 1);
        assert_ne!(base, BASE, "{from}");
        let errors = check(&base, OVERLAY).expect_err(to);
        let error = &errors[0];
        assert_eq!(
            (&*error.file, error.fault.field.as_str()),
            ("base.json", field)
        );
        assert!(matches!(error.line, 5 | 6), "{error}");
        let text = error.to_string();
        assert!(text.contains(found), "{text}");
        assert!(!text.contains("secret") && !text.contains("7788"), "{text}");
    }
    let whole = r#"{ "site": "bala", "accounts": "secret-mill" }"#;
    let errors = check(BASE, whole).expect_err("refused");
    assert_eq!(
        (&*errors[0].file, errors[0].fault.field.as_str()),
        ("site.json", "accounts")
    );
    assert!(!errors[0].to_string().contains("secret"), "{}", errors[0]);
}

/// Guards against a typing error that makes a whole site need no keys.
#[test]
fn empty_accounts_are_rejected() {
    for (base, overlay) in [
        (r#"{ "accounts": {} }"#, OVERLAY),
        (
            BASE,
            r#"{ "site": "bala", "accounts": { "mill": null, "quarry": null } }"#,
        ),
    ] {
        let errors = check(base, overlay).expect_err("refused");
        assert_eq!(errors[0].fault.field, "accounts");
        assert!(errors[0].fault.allowed.contains("or null"), "{}", errors[0]);
    }
}

#[test]
fn accounts_round_trip_through_stored_values_without_their_keys() {
    let config = check(BASE, OVERLAY).expect("accepted");
    let values = config.service_values();
    let texts = values
        .values()
        .map(|value| String::from_utf8_lossy(&value.bytes));
    assert!(texts.into_iter().all(|text| !text.contains("secret")));
    let names: Vec<_> = values.keys().map(|(_, name)| name.as_str()).collect();
    // No service can have such a name.
    assert!(
        names.iter().any(|name| name.starts_with("@accounts-")),
        "{names:?}"
    );
    let again = read_back(&config);
    assert_eq!(again, config);
    assert_eq!(again.service_values(), values);
    let allotment = AllotmentPlan {
        rate_per_s: 12.5,
        burst: 20.0,
    };
    let mill = accounts(&again).find(b"secret-old").expect("an account");
    assert_eq!(mill.plan.allotment, Some(allotment));
}

/// Guards against digests that change for fleets without accounts, and against versions that would take
/// accounts for a service and put a configuration in force that needs no keys.
#[test]
fn stored_services_are_the_same_with_and_without_accounts() {
    let with = check(BASE, OVERLAY).expect("accepted");
    let without = check(BASE, r#"{ "site": "bala", "accounts": null }"#).expect("accepted");
    let key = (SiteName::new("bala"), ServiceName::new("bands"));
    assert_eq!(without.service_values().keys().collect::<Vec<_>>(), [&key]);
    assert_eq!(with.service_values()[&key], without.service_values()[&key]);
    for ((_, name), value) in with.service_values() {
        let is_service = ServicePlan::try_from(&*value.bytes).is_ok();
        assert_eq!(is_service, name.as_str() == "bands", "{name}");
    }
}

#[test]
fn shared_key_in_stored_values_is_rejected() {
    let text = |name: &str| {
        let digest = AccountKey::new("secret").to_hex();
        json!({ "accounts": { name: { "key_digests": [digest] } } }).to_string()
    };
    let texts = [text("kiln"), text("mill")];
    let values = texts
        .iter()
        .map(|text| (SiteName::new("bala"), text.as_bytes()));
    let fault = ConfigSet::from_values(values).expect_err("refused");
    assert_eq!(fault.field, "bala: accounts.mill.keys");
    assert!(fault.found.contains("kiln"), "{fault}");
}

/// Guards against keys in the output of `fescueway diff`, digests included.
#[test]
fn diff_counts_keys_and_shows_none() {
    let before = check(BASE, OVERLAY).expect("accepted");
    let overlay = r#"{ "site": "bala", "accounts": { "quarry": null,
        "mill": { "keys": ["secret-mill", "secret-1", "secret-2"], "burst": 30 },
        "kiln": { "keys": ["secret-kiln"] } } }"#;
    let after = check(BASE, overlay).expect("accepted");
    assert!(before.diff(&before).is_empty());
    let changes = before.diff(&after);
    assert!(
        changes
            .iter()
            .all(|change| change.service.as_str() == "(accounts)")
    );
    let shown = format!("{changes:?}");
    assert!(!shown.contains("secret"), "{shown}");
    assert!(
        !shown.contains(&AccountKey::new("secret-1").to_hex()),
        "{shown}"
    );
    let fields: BTreeMap<_, _> = changes
        .into_iter()
        .map(|change| (change.field, (change.before, change.after)))
        .collect();
    let pair = |before: Option<&str>, after: Option<&str>| {
        (before.map(String::from), after.map(String::from))
    };
    assert_eq!(fields["kiln.keys"], pair(None, Some("1")));
    assert_eq!(fields["quarry.keys"], pair(Some("1"), None));
    assert_eq!(
        fields["mill.keys"],
        pair(Some("2 (1 removed)"), Some("3 (2 added)"))
    );
    assert_eq!(fields["mill.burst"], pair(Some("20.0"), Some("30.0")));
    assert_eq!(fields.len(), 4);
}

/// Guards against a replaced key that looks like no change.
#[test]
fn diff_shows_that_a_key_was_replaced() {
    let before = check(BASE, OVERLAY).expect("accepted");
    let after = check(&BASE.replace("secret-quarry", "secret-next"), OVERLAY).expect("accepted");
    let changes = before.diff(&after);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].field, "quarry.keys");
}

#[test]
fn directory_finds_each_key_and_no_other() {
    let accounts = (0..2_000).map(|number| AccountPlan {
        keys: ["a", "b"]
            .map(|part| AccountKey::new(&format!("key-{part}-{number}")))
            .into(),
        ..account(&format!("account-{number}"), "")
    });
    let directory = AccountDirectory::try_new(accounts).expect("distinct keys");
    for number in 0..2_000 {
        for part in ["a", "b"] {
            let key = format!("key-{part}-{number}");
            let found = directory.find(key.as_bytes()).expect("an account");
            assert_eq!(found.plan.name.as_str(), format!("account-{number}"));
        }
        assert!(
            directory
                .find(format!("key-c-{number}").as_bytes())
                .is_none()
        );
    }
    assert!(AccountDirectory::default().find(b"key").is_none());
}

#[test]
fn directory_rejects_shared_keys_and_names_that_cannot_be_sent() {
    let shared = AccountDirectory::try_new([account("b", "key"), account("a", "key")]);
    let error = DirectoryError::SharedKey {
        first: AccountName::from("a"),
        second: AccountName::from("b"),
    };
    assert_eq!(shared, Err(error));
    for name in ["", "a\nb"] {
        let error = AccountDirectory::try_new([account(name, "key")]).expect_err("refused");
        assert_eq!(error, DirectoryError::InvalidName(AccountName::from(name)));
    }
}

#[test]
fn debug_output_shows_no_key() {
    let document = Document::parse("base.json", BASE).expect("a document");
    let config = check(BASE, OVERLAY).expect("accepted");
    for shown in [format!("{document:?}"), format!("{config:?}")] {
        assert!(!shown.contains("secret"), "{shown}");
        assert!(
            !shown.contains(&AccountKey::new("secret-mill").to_hex()),
            "{shown}"
        );
    }
}
