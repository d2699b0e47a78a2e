//! Configurations, plans, store clients and replies for the rollout tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fescueway_config::{ConfigSet, Document};
use fescueway_core::SiteName;
use fescueway_platform::{StoreClient, StoreSettings};
use fescueway_rollout::{ApplyOutcome, ApplyPlan, ConfigHead, ConfigReply, SiteIndex, driver};
use fescueway_testkit::StoreStub;

pub const SITE: &str = "bala";
pub const TIMEOUT: Duration = Duration::from_secs(5);

/// A configuration of one site whose service `bands` has this deadline, with `other_count` other
/// services.
pub fn config(deadline_ms: u64, other_count: usize) -> ConfigSet {
    let others = (0..other_count)
        .map(|other| format!(r#", "other-{other}": {{ "path_prefixes": ["/other-{other}"] }}"#));
    let text = format!(
        r#"{{ "services": {{ "bands": {{ "path_prefixes": ["/bands"],
            "default_route": {{ "deadline_ms": {deadline_ms} }} }} {} }} }}"#,
        others.collect::<String>()
    );
    let base = Document::parse("base.json", &text).unwrap();
    let overlay = Document::parse("bala.json", r#"{ "site": "bala" }"#).unwrap();
    ConfigSet::check(&base, &[overlay]).unwrap()
}

pub fn plan(operator: &str, config: &ConfigSet) -> ApplyPlan {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let operation = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    ApplyPlan {
        values: config.service_values(),
        operator: operator.into(),
        operation: format!("{operator}-{operation}").into(),
        unix_time_s: 0,
        note: "".into(),
        base: None,
    }
}

pub fn client(store: &StoreStub) -> StoreClient {
    StoreClient::new(StoreSettings::try_from(vec![store.address()]).unwrap())
}

/// Applies a configuration that must be accepted, and returns its revision.
pub async fn accept(store: &StoreStub, config: &ConfigSet) -> u64 {
    match driver::apply(&client(store), plan("anna", config), TIMEOUT).await {
        ApplyOutcome::Accepted(revision) => revision,
        other => panic!("not accepted: {other:?}"),
    }
}

/// The full reply of a peer that has this configuration in force as `revision`.
pub fn reply(revision: u64, config: &ConfigSet) -> ConfigReply {
    let values = config.service_values();
    let digests = values
        .iter()
        .map(|((_, name), value)| (name.clone(), value.digest));
    let index = SiteIndex(digests.collect());
    let values = values
        .into_iter()
        .map(|((_, name), value)| (name, value.bytes.to_vec()));
    ConfigReply {
        head: ConfigHead {
            revision,
            sites: BTreeMap::from([(SiteName::from(SITE), index.digest())]),
            operator: Arc::from("anna"),
            operation: format!("operation-{revision}").into(),
            unix_time_s: 0,
            note: "".into(),
        },
        is_full: true,
        values: values.collect(),
        removed: Vec::new(),
    }
}
