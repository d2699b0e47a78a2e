//! Tests parsing, merging and validation of documents through the public API.

use std::collections::BTreeMap;

use fescueway_config::{
    ConfigError, ConfigSet, Document, ServicePlan, ServiceValue, ValidationStage,
};
use fescueway_core::{Idempotency, ServiceName, SiteName};
use quickcheck::{Gen, QuickCheck, TestResult};

const BASE: &str = r#"{
  // All sites.
  "services": {
    "bookings": {
      "path_prefixes": ["/bookings"],
      "routes": {
        "book": { "method": "POST", "path_prefix": "/bookings", "idempotency": "non-idempotent" },
        "look": { "method": "GET", "path_prefix": "/bookings", "idempotency": "idempotent" },
      },
    },
  },
}"#;

fn document(file: &str, text: &str) -> Document {
    Document::parse(file, text).expect("a document")
}

fn check(base: &str, overlay: &str) -> Result<ConfigSet, Vec<ConfigError>> {
    ConfigSet::check(
        &document("base.json", base),
        &[document("site.json", overlay)],
    )
}

fn first_error(base: &str, overlay: &str) -> ConfigError {
    let errors = check(base, overlay).expect_err("refused");
    errors.into_iter().next().expect("an error")
}

#[test]
fn overlay_changes_one_field_of_one_route() {
    let overlay = r#"{ "site": "bala", "services": { "bookings": {
        "routes": { "book": { "deadline_ms": 900 } } } } }"#;
    let config = check(BASE, overlay).expect("accepted");
    let plan = &config.sites()["bala"].services["bookings"];
    let book = plan.route_for("POST", "/bookings/7");
    assert_eq!(book.deadline.as_millis(), 900);
    assert_eq!(book.idempotency, Idempotency::NonIdempotent);
    let look = plan.route_for("GET", "/bookings/7");
    assert_eq!(look.deadline.as_millis(), 2_000);
    let other = plan.route_for("DELETE", "/bookings/7");
    assert_eq!(other.idempotency, Idempotency::NonIdempotent);
}

#[test]
fn null_in_an_overlay_removes_a_service() {
    let overlay = r#"{ "site": "bala", "services": { "bookings": null } }"#;
    let config = check(BASE, overlay).expect("accepted");
    assert!(config.sites()["bala"].services.is_empty());
}

#[test]
fn route_objective_max_runs_and_weights_are_applied() {
    let overlay = r#"{ "site": "bala", "services": {
        "canary": {},
        "bookings": { "hosts": ["book.example"], "routes": { "look": {
            "objective_ms": 40, "max_runs": 2, "weights": { "bookings": 9, "canary": 1 } } } } } }"#;
    let config = check(BASE, overlay).expect("accepted");
    let site = &config.sites()["bala"];
    let found = site.route_for("book.example", "GET", "/bookings/7");
    let found = found.expect("a route");
    assert_eq!(found.owner.expect("its service").name.as_str(), "bookings");
    let route = found.route;
    assert_eq!(route.objective.map(|own| own.as_millis()), Some(40));
    assert_eq!(route.max_runs, Some(2));
    let weighted_services = route.split.iter();
    let weighted_services: Vec<_> = weighted_services
        .map(|part| (part.service.as_str(), part.weight))
        .collect();
    assert_eq!(weighted_services, [("bookings", 9), ("canary", 1)]);
    let other = site.route_for("book.example", "POST", "/bookings/7");
    let other = other.expect("a route").route;
    assert_ne!(route.work_kind, other.work_kind);
    assert!(
        site.route_for("other.example", "GET", "/bookings/7")
            .is_none()
    );
    let values = config.service_values();
    let stored = values
        .iter()
        .map(|((site, _), value)| (site.clone(), &*value.bytes));
    assert_eq!(ConfigSet::from_values(stored).expect("read back"), config);
}

#[test]
fn weight_must_name_a_service_of_the_site_and_be_in_range() {
    let error_for = |weights: &str| {
        let overlay = format!(
            r#"{{ "site": "bala", "services": {{ "bookings": {{ "routes": {{ "look": {{
                "weights": {weights} }} }} }} }} }}"#
        );
        first_error(BASE, &overlay).to_string()
    };
    let unknown = error_for(r#"{ "bookinsg": 1 }"#);
    assert!(unknown.contains("the service \"bookinsg\""), "{unknown}");
    let zero = error_for(r#"{ "bookings": 0 }"#);
    assert!(zero.contains("weights.bookings: found 0"), "{zero}");
    let unreachable = r#"{ "site": "bala", "services": { "canary": {} } }"#;
    let error = first_error(BASE, unreachable);
    assert_eq!(error.fault.field, "services.canary.path_prefixes");
}

#[test]
fn unknown_field_names_file_line_and_nearest_name() {
    let overlay = "{ \"site\": \"bala\",\n \"services\": { \"bookings\": {\n \"prob\": {} } } }";
    let error = first_error(BASE, overlay);
    assert_eq!(error.stage, ValidationStage::Schema);
    assert_eq!((&*error.file, error.line), ("site.json", 3));
    assert_eq!(error.fault.field, "services.bookings.prob");
    assert_eq!(error.suggestion.as_deref(), Some("probe"));
}

#[test]
fn value_out_of_range_names_the_file_that_sets_it() {
    let overlay = "{ \"site\": \"bala\", \"services\": { \"bookings\": {\n\n \"retry\": { \"max_offers\": 99 } } } }";
    let error = first_error(BASE, overlay);
    assert_eq!((&*error.file, error.line), ("site.json", 3));
    assert_eq!(
        error.to_string(),
        "site.json:3: field services.bookings.retry.max_offers: found 99; allowed: a whole \
         number from 1 to 16 (offers)"
    );
    let base = BASE.replace("\"/bookings\"]", "\"bookings\"]");
    let error = first_error(&base, r#"{ "site": "bala" }"#);
    assert_eq!((&*error.file, error.line), ("base.json", 5));
    assert_eq!(error.fault.field, "services.bookings.path_prefixes[0]");
}

#[test]
fn route_without_idempotency_is_rejected() {
    let overlay = "{ \"site\": \"bala\", \"services\": { \"bookings\": { \"routes\": {\n \"pay\": { \"path_prefix\": \"/pay\" } } } } }";
    let error = first_error(BASE, overlay);
    assert_eq!((&*error.file, error.line), ("site.json", 2));
    assert!(
        error.fault.found.contains("missing field `idempotency`"),
        "{error}"
    );
}

#[test]
fn list_is_rejected_where_an_object_is_expected() {
    let overlay = "{ \"site\": \"bala\", \"services\": { \"bookings\": {\n \"probe\": [5, \"/load\", 100] } } }";
    let error = first_error(BASE, overlay);
    assert_eq!((&*error.file, error.line), ("site.json", 2));
    assert_eq!(error.fault.field, "services.bookings.probe");
    assert_eq!(error.fault.allowed, "an object");
    let list = ConfigSet::check(&document("base.json", "[null, {}]"), &[]);
    assert_eq!(list.expect_err("refused")[0].fault.allowed, "an object");
}

#[test]
fn conflicting_and_duplicate_entries_are_rejected() {
    let twin = r#"{ "site": "bala", "services": { "twin": { "path_prefixes": ["/bookings"] } } }"#;
    assert!(
        first_error(BASE, twin)
            .fault
            .found
            .contains("which service bookings has")
    );
    let route = r#"{ "site": "bala", "services": { "bookings": { "routes": { "again":
        { "method": "GET", "path_prefix": "/bookings", "idempotency": "idempotent" } } } } }"#;
    assert!(
        first_error(BASE, route)
            .fault
            .found
            .contains("of route \"again\"")
    );
    let twice = Document::parse("base.json", "{ \"site\": \"a\",\n \"site\": \"b\" }");
    assert_eq!(twice.expect_err("refused").line, 2);
    let base = document("base.json", BASE);
    let overlays = ["one.json", "two.json"].map(|file| document(file, r#"{ "site": "bala" }"#));
    let errors = ConfigSet::check(&base, &overlays).expect_err("refused");
    assert_eq!((errors.len(), &*errors[0].file), (1, "two.json"));
}

#[test]
fn configuration_round_trips_through_stored_values() {
    let config = check(BASE, r#"{ "site": "bala" }"#).expect("accepted");
    let values = config.service_values();
    let stored = values
        .iter()
        .map(|((site, _), value)| (site.clone(), &*value.bytes));
    assert_eq!(ConfigSet::from_values(stored).expect("read back"), config);
    let newer = br#"{"name":"bookings","plan":{"path_prefixes":["/"],"colour":"blue"}}"#;
    let fault = ServicePlan::try_from(&newer[..]).expect_err("refused");
    assert_eq!(fault.field, "plan.colour");
}

#[test]
fn digest_of_a_configuration_is_pinned() {
    let config = check(BASE, r#"{ "site": "bala" }"#).expect("accepted");
    let key = (SiteName::new("bala"), ServiceName::new("bookings"));
    let digest = config.service_values()[&key].digest.to_string();
    // Nodes of one fleet compare digests across versions, so the canonical form must stay
    // compatible.
    assert_eq!(
        digest,
        "21297fc9663750c8c448b803563b56aec7bc365b5fab683beadbbe44a7dbdba3"
    );
}

#[test]
fn diff_names_the_fields_that_change() {
    let before = check(BASE, r#"{ "site": "bala" }"#).expect("accepted");
    let overlay = r#"{ "site": "bala", "services": { "bookings": {
        "probe": { "budget_ms_per_s": 2.5 }, "routes": { "look": null } } } }"#;
    let after = check(BASE, overlay).expect("accepted");
    assert!(before.diff(&before).is_empty());
    let changes: BTreeMap<_, _> = before
        .diff(&after)
        .into_iter()
        .map(|change| (change.field, (change.before, change.after)))
        .collect();
    let budget = (Some(String::from("5.0")), Some(String::from("2.5")));
    assert_eq!(changes["probe.budget_ms_per_s"], budget);
    assert!(
        changes
            .keys()
            .any(|field| field.starts_with("routes.look."))
    );
    assert!(changes.values().all(|(old, new)| old != new));
}

#[test]
fn prefixes_match_whole_segments() {
    let config = check(BASE, r#"{ "site": "bala" }"#).expect("accepted");
    let plan = &config.sites()["bala"];
    assert!(plan.service_for("any", "/bookings/7").is_some());
    assert!(plan.service_for("any", "/bookingsheet").is_none());
}

/// A property checker with a fixed seed, so that each run tries the same inputs.
fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 0x00fe_5c0e))
}

#[test]
fn arbitrary_bytes_never_panic() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck gives owned values"
    )]
    fn property(bytes: Vec<u8>) -> bool {
        let document = Document::parse_bytes("any.json", &bytes);
        if let Ok(document) = document {
            let _ = ConfigSet::check(&document, &[]);
        }
        let _ = ServicePlan::try_from(&*bytes);
        true
    }
    checker().quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn broken_documents_never_panic() {
    fn property(at: usize, letter: char) -> bool {
        let at = at % BASE.len();
        let text = format!("{}{letter}{}", &BASE[..at], &BASE[at + 1..]);
        match Document::parse("any.json", &text) {
            Ok(document) => {
                let _ = ConfigSet::check(&document, &[]);
                true
            }
            Err(error) => error.line <= text.lines().count(),
        }
    }
    checker().quickcheck(property as fn(usize, char) -> bool);
}

#[test]
fn merge_is_idempotent_and_digest_stable() {
    fn property(deadline: u32, budget: u16, hedging: bool) -> TestResult {
        if deadline == 0 || deadline > 3_600_000 || budget > 1_000 {
            return TestResult::discard();
        }
        let overlay = format!(
            r#"{{ "site": "bala", "services": {{ "bookings": {{
                "default_route": {{ "deadline_ms": {deadline} }},
                "probe": {{ "budget_ms_per_s": {budget} }},
                "retry": {{ "is_hedging": {hedging} }} }} }} }}"#
        );
        let once = check(BASE, &overlay).expect("accepted");
        let mut merged = document("base.json", BASE).root().clone();
        let again = document("site.json", &overlay);
        json_patch::merge(&mut merged, again.root());
        merged.as_object_mut().expect("an object").remove("site");
        let twice = check(&merged.to_string(), &overlay).expect("accepted");
        let values = once.service_values();
        let is_stable = values.values().all(|value| {
            let plan = ServicePlan::try_from(&*value.bytes).expect("read back");
            ServiceValue::from(&plan) == *value
        });
        TestResult::from_bool(once == twice && values == twice.service_values() && is_stable)
    }
    checker().quickcheck(property as fn(u32, u16, bool) -> TestResult);
}

#[test]
fn limits_on_hedges_are_optional_and_keep_the_canonical_form() {
    let overlay = |retry: &str| {
        format!(
            r#"{{ "site": "bala", "services": {{ "bookings": {{ "retry": {{ {retry} }} }} }} }}"#
        )
    };
    let value = |overlay: &str| {
        let config = check(BASE, overlay).expect("accepted");
        let values = config.service_values();
        let mut values = values.values();
        let value = values.find(|value| String::from_utf8_lossy(&value.bytes).contains("bookings"));
        value.expect("the service").clone()
    };
    // Nodes compare digests; one that is upgraded must find the same for the same configuration.
    let without = value(r#"{ "site": "bala" }"#);
    assert!(!String::from_utf8_lossy(&without.bytes).contains("hedge_"));
    let limited = value(&overlay(r#""hedge_share": 0.05, "hedge_per_s": 30"#));
    assert_ne!(limited.digest, without.digest);
    let plan = ServicePlan::try_from(&*limited.bytes).expect("read back");
    let hedge = plan.retry.hedge.expect("a limit");
    assert_eq!((hedge.share, hedge.per_s), (Some(0.05), Some(30.0)));
    assert_eq!(ServiceValue::from(&plan), limited);
    for (retry, field) in [
        (r#""hedge_share": 1.5"#, "retry.hedge_share"),
        (r#""hedge_share": -0.1"#, "retry.hedge_share"),
        (r#""hedge_per_s": -1"#, "retry.hedge_per_s"),
    ] {
        let errors = check(BASE, &overlay(retry)).expect_err("out of range");
        let error = errors[0].to_string();
        assert!(error.contains(field), "{error}");
    }
}
