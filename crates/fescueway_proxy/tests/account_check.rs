//! The decision on a request by the key of its client account.

use std::sync::Arc;

use fescueway_config::{
    AccountDirectory, AccountKey, AccountPlan, ConfigSet, Document, RoutePlan, SitePlan,
};
use fescueway_core::{AccountName, Priority, RefusalReason};
use fescueway_proxy::{AccountCheck, AccountRequest, EdgeProfile, KeyFault, PresentedKey};
use http::{HeaderMap, HeaderValue};

const KEY_FIELD: &str = "fescueway-api-key";
const ACCOUNT_FIELD: &str = "fescueway-account";

/// A site whose account `mill` has the key `mill-key`, or one without accounts.
fn site_plan(has_accounts: bool) -> SitePlan {
    let base = r#"{ "services": { "windows": { "path_prefixes": ["/"], "routes": {
        "health": { "path_prefix": "/health", "idempotency": "idempotent", "is_public": true } } } } }"#;
    let base = Document::parse("base.json", base).expect("a document");
    let overlay = Document::parse("site.json", r#"{ "site": "north" }"#).expect("a document");
    let config = ConfigSet::check(&base, &[overlay]).expect("valid");
    let account = AccountPlan {
        name: AccountName::from("mill"),
        keys: vec![AccountKey::new("mill-key")],
        priority: Some(Priority::High),
        allotment: None,
    };
    let accounts = AccountDirectory::try_new([account]).expect("a directory");
    SitePlan {
        accounts: has_accounts.then(|| Arc::new(accounts)),
        ..config.sites()["north"].clone()
    }
}

/// What a request with these header fields gets, and the fields that are left.
struct CheckCase {
    plan: SitePlan,
    path: &'static str,
    is_call: bool,
    is_plan_current: bool,
    is_key_proven: bool,
}

impl CheckCase {
    fn new() -> Self {
        Self {
            plan: site_plan(true),
            path: "/orders/1",
            is_call: false,
            is_plan_current: true,
            is_key_proven: true,
        }
    }

    fn route(&self) -> &RoutePlan {
        let found = self.plan.route_for("a.example", "GET", self.path);
        found.expect("a route").route
    }

    fn check(&self, fields: &[(&'static str, &'static str)]) -> (AccountCheck, HeaderMap) {
        let profile = EdgeProfile::default();
        let mut headers = HeaderMap::new();
        for (name, value) in fields {
            headers.append(*name, HeaderValue::from_static(value));
        }
        let key = PresentedKey::read(&headers, profile.api_key.as_ref());
        let request = AccountRequest {
            plan: &self.plan,
            route: self.route(),
            key: &key,
            is_call: self.is_call,
            is_plan_current: self.is_plan_current,
            is_key_proven: self.is_key_proven,
        };
        let check = request.check(&profile, &mut headers);
        (check, headers)
    }
}

/// Guards against a key that reaches a backend server, and a name that a caller chose.
#[test]
fn known_key_becomes_the_name_of_its_account() {
    let fields = [(KEY_FIELD, "mill-key"), (ACCOUNT_FIELD, "other")];
    for is_plan_current in [true, false] {
        let case = CheckCase {
            is_plan_current,
            ..CheckCase::new()
        };
        let (check, headers) = case.check(&fields);
        let AccountCheck::Known(account) = check else {
            panic!("{check:?}");
        };
        assert_eq!(account.name.as_str(), "mill");
        assert_eq!(account.priority, Some(Priority::High));
        assert!(!headers.contains_key(KEY_FIELD));
        let names: Vec<_> = headers.get_all(ACCOUNT_FIELD).iter().collect();
        assert_eq!(names, ["mill"]);
    }
}

#[test]
fn unknown_missing_and_repeated_keys_are_rejected() {
    let cases: [(&[(&str, &str)], KeyFault); 4] = [
        (&[(KEY_FIELD, "mill-kez")], KeyFault::Unknown),
        (&[(KEY_FIELD, "")], KeyFault::Unknown),
        (&[], KeyFault::Missing),
        (
            &[(KEY_FIELD, "mill-key"), (KEY_FIELD, "mill-key")],
            KeyFault::Unknown,
        ),
    ];
    for (fields, fault) in cases {
        let (check, headers) = CheckCase::new().check(fields);
        assert_eq!(check, AccountCheck::Unauthorized(fault));
        assert!(headers.is_empty(), "{fault:?}");
    }
}

/// Guards against a rejection that a caller takes as final, while its key was added a moment ago.
#[test]
fn no_key_is_rejected_while_the_configuration_may_be_old() {
    let case = CheckCase {
        is_plan_current: false,
        ..CheckCase::new()
    };
    let refused = AccountCheck::Refused(RefusalReason::NoConfiguration);
    assert_eq!(case.check(&[(KEY_FIELD, "added-key")]).0, refused);
    assert_eq!(case.check(&[]).0, refused);
}

/// Guards against a key that runs after it was withdrawn, and against the rejection of one that was
/// added, on a node without a young proof of its configuration.
#[test]
fn keys_are_refused_without_a_proof_of_the_configuration() {
    let case = CheckCase {
        is_key_proven: false,
        ..CheckCase::new()
    };
    for key in ["mill-key", "unknown"] {
        let (check, headers) = case.check(&[(KEY_FIELD, key)]);
        assert_eq!(check, AccountCheck::Refused(RefusalReason::KeyUnproven));
        assert!(headers.is_empty(), "{key}");
    }
    let public = CheckCase {
        path: "/health/1",
        ..case
    };
    assert_eq!(public.check(&[]).0, AccountCheck::Anonymous);
}

#[test]
fn public_route_needs_no_key_and_belongs_to_no_account() {
    let case = CheckCase {
        path: "/health/1",
        is_plan_current: false,
        ..CheckCase::new()
    };
    for key in ["mill-key", "unknown"] {
        let (check, headers) = case.check(&[(KEY_FIELD, key), (ACCOUNT_FIELD, "mill")]);
        assert_eq!(check, AccountCheck::Anonymous);
        assert!(headers.is_empty(), "{key}");
    }
    assert_eq!(case.check(&[]).0, AccountCheck::Anonymous);
}

/// Guards against failed parent requests, whose calls carry no key.
#[test]
fn call_of_a_backend_server_needs_no_key() {
    let case = CheckCase {
        is_call: true,
        ..CheckCase::new()
    };
    let (check, headers) = case.check(&[(ACCOUNT_FIELD, "mill")]);
    assert_eq!(check, AccountCheck::Anonymous);
    assert!(headers.is_empty());
    let (check, _) = case.check(&[(KEY_FIELD, "unknown")]);
    assert_eq!(check, AccountCheck::Unauthorized(KeyFault::Unknown));
}

/// Guards against a key that runs, or reaches a backend server, after the last account was withdrawn.
#[test]
fn no_key_is_valid_in_an_empty_directory() {
    let case = CheckCase {
        plan: SitePlan {
            accounts: Some(Arc::default()),
            ..site_plan(true)
        },
        ..CheckCase::new()
    };
    for (fields, fault) in [
        (&[(KEY_FIELD, "mill-key")][..], KeyFault::Unknown),
        (&[], KeyFault::Missing),
    ] {
        let (check, headers) = case.check(fields);
        assert_eq!(check, AccountCheck::Unauthorized(fault));
        assert!(headers.is_empty());
    }
}

/// Guards against a withdrawn key that runs under a configuration that states no accounts, and against
/// the rejection of requests that need no key there.
#[test]
fn without_accounts_a_key_is_unknown_and_none_is_needed() {
    let case = CheckCase {
        plan: SitePlan {
            accounts: Some(Arc::new(AccountDirectory::without_accounts())),
            ..site_plan(true)
        },
        ..CheckCase::new()
    };
    let (check, headers) = case.check(&[(KEY_FIELD, "mill-key")]);
    assert_eq!(check, AccountCheck::Unauthorized(KeyFault::Unknown));
    assert!(headers.is_empty());
    let (check, headers) = case.check(&[(ACCOUNT_FIELD, "mill")]);
    assert_eq!(check, AccountCheck::Anonymous);
    assert!(headers.is_empty());
}

/// Guards against changes at sites that have no accounts.
#[test]
fn site_without_accounts_leaves_requests_as_they_are() {
    let case = CheckCase {
        plan: site_plan(false),
        ..CheckCase::new()
    };
    let (check, headers) = case.check(&[(KEY_FIELD, "a"), (ACCOUNT_FIELD, "b")]);
    assert_eq!(check, AccountCheck::Anonymous);
    assert_eq!(headers[KEY_FIELD], "a");
    assert_eq!(headers[ACCOUNT_FIELD], "b");
}

#[test]
fn presented_key_is_not_shown() {
    let mut headers = HeaderMap::new();
    headers.insert(KEY_FIELD, HeaderValue::from_static("mill-key"));
    let name = EdgeProfile::default().api_key;
    let key = PresentedKey::read(&headers, name.as_ref());
    assert_eq!(format!("{key:?}"), "One");
}
