//! Performs the store I/O of applying and reading configurations.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use fescueway_config::ServiceDigest;
use fescueway_core::{DomainName, SiteName};
use fescueway_platform::{
    KeyRange, StoreCallKind, StoreClient, StoreError, StoreFault, StoreOp, StoreTxn, StoreValue,
};
use serde::de::DeserializeOwned;

use crate::{
    ApplyAction, ApplyAttempt, ApplyEvent, ApplyOutcome, ApplyPlan, ConfigHead, ConfigReply,
    DomainReport, HistoryEntry, SiteIndex, store_keys,
};

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of keys that one transaction reads.
const MAX_READS_PER_TXN: usize = 100;

/// Applies a configuration, within `timeout`.
///
/// Returns [`ApplyOutcome::Unknown`] when the configuration may or may not be in force.
pub async fn apply(store: &StoreClient, plan: ApplyPlan, timeout: Duration) -> ApplyOutcome {
    let deadline = Instant::now() + timeout;
    let mut attempt = ApplyAttempt::new(plan);
    loop {
        let txn = match attempt.action() {
            ApplyAction::Commit(txn) => txn,
            ApplyAction::Done(outcome) => return outcome,
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            attempt.handle(&ApplyEvent::TimedOut);
            continue;
        }
        match store.commit(&txn, remaining.min(CALL_TIMEOUT)).await {
            Ok(reply) => attempt.handle(&ApplyEvent::Reply(reply)),
            Err(error) => {
                let is_effect_unknown = error.is_effect_unknown();
                attempt.handle(&ApplyEvent::Failed { is_effect_unknown });
                tokio::time::sleep(RETRY_DELAY.min(remaining)).await;
            }
        }
    }
}

/// Reads the head, `None` before the first configuration.
///
/// # Errors
/// When the call to the store failed or the stored head is invalid.
pub async fn read_head(
    store: &StoreClient,
    timeout: Duration,
) -> Result<Option<ConfigHead>, StoreError> {
    let range = KeyRange::Key(store_keys::HEAD.to_owned());
    let reply = store.range(&range, timeout).await?;
    reply
        .values
        .first()
        .map(|value| parse(store, value))
        .transpose()
}

/// Reads the newest `count` entries of the history, the newest first.
///
/// # Errors
/// When a call to the store failed or a stored head or entry is invalid.
pub async fn read_history(
    store: &StoreClient,
    count: u64,
    timeout: Duration,
) -> Result<Vec<ConfigHead>, StoreError> {
    let Some(head) = read_head(store, timeout).await? else {
        return Ok(Vec::new());
    };
    let oldest = head.revision.saturating_sub(count) + 1;
    let keys: Vec<_> = (oldest..=head.revision)
        .rev()
        .map(store_keys::history)
        .collect();
    let mut heads = Vec::new();
    for value in read_keys(store, &keys, timeout).await? {
        let entry: HistoryEntry = parse(store, &value)?;
        heads.push(entry.head);
    }
    Ok(heads)
}

/// Reads the report of each failure domain.
///
/// # Errors
/// When the call to the store failed or a stored report is invalid.
pub async fn read_in_force(
    store: &StoreClient,
    timeout: Duration,
) -> Result<BTreeMap<DomainName, DomainReport>, StoreError> {
    let range = KeyRange::Prefix(store_keys::IN_FORCE.to_owned());
    let reply = store.range(&range, timeout).await?;
    let mut reports = BTreeMap::new();
    for value in &reply.values {
        let domain = value.key.trim_start_matches(store_keys::IN_FORCE);
        reports.insert(DomainName::from(domain), parse(store, value)?);
    }
    Ok(reports)
}

/// Reads the newest configuration of a site. Values that are in `known` are not read from the
/// store. `None` when there is no configuration.
///
/// # Errors
/// When a call to the store failed, or a value that the head refers to is missing, for example
/// because it was deleted in the meantime.
pub async fn fetch_site(
    store: &StoreClient,
    site: &SiteName,
    known: &BTreeMap<ServiceDigest, Arc<[u8]>>,
    timeout: Duration,
) -> Result<Option<ConfigReply>, StoreError> {
    let Some(head) = read_head(store, timeout).await? else {
        return Ok(None);
    };
    let index = read_index(store, &head, site, timeout).await?;
    let wanted: BTreeSet<_> = index.0.values().collect();
    let missing = wanted
        .into_iter()
        .filter(|digest| !known.contains_key(digest));
    let keys: Vec<_> = missing.map(store_keys::value).collect();
    let found = read_keys(store, &keys, timeout).await?;
    let fetched: BTreeMap<_, _> = found
        .into_iter()
        .map(|value| (ServiceDigest::of(&value.value), value.value))
        .collect();
    let mut values = Vec::new();
    for (name, digest) in index.0 {
        let known_bytes = known.get(&digest).map(|bytes| bytes.to_vec());
        let bytes = known_bytes.or_else(|| fetched.get(&digest).cloned());
        let bytes = bytes.ok_or_else(|| invalid_value(store, &store_keys::value(&digest)))?;
        values.push((name, bytes));
    }
    Ok(Some(ConfigReply {
        head,
        is_full: true,
        values,
        removed: Vec::new(),
    }))
}

async fn read_index(
    store: &StoreClient,
    head: &ConfigHead,
    site: &SiteName,
    timeout: Duration,
) -> Result<SiteIndex, StoreError> {
    let Some(digest) = head.sites.get(site) else {
        return Ok(SiteIndex::default());
    };
    let key = store_keys::index(digest);
    let values = read_keys(store, std::slice::from_ref(&key), timeout).await?;
    let index = values
        .first()
        .and_then(|value| SiteIndex::from_bytes(&value.value));
    index.ok_or_else(|| invalid_value(store, &key))
}

/// Reads the values of `keys`, without those that don't exist.
async fn read_keys(
    store: &StoreClient,
    keys: &[String],
    timeout: Duration,
) -> Result<Vec<StoreValue>, StoreError> {
    let mut values = Vec::new();
    for chunk in keys.chunks(MAX_READS_PER_TXN) {
        let ranges = chunk
            .iter()
            .map(|key| StoreOp::Range(KeyRange::Key(key.clone())));
        let txn = StoreTxn {
            then: ranges.collect(),
            ..StoreTxn::default()
        };
        let reply = store.commit(&txn, timeout).await?;
        values.extend(reply.reads.into_iter().flatten());
    }
    Ok(values)
}

fn parse<T: DeserializeOwned>(store: &StoreClient, value: &StoreValue) -> Result<T, StoreError> {
    serde_json::from_slice(&value.value).map_err(|_error| invalid_value(store, &value.key))
}

fn invalid_value(store: &StoreClient, key: &str) -> StoreError {
    StoreError {
        kind: StoreCallKind::Range,
        peer: store.peer(),
        fault: StoreFault::Unexpected(format!("no valid value at {key}")),
    }
}
