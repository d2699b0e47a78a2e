//! Runs the decisions of this crate against a store.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use fescueway_config::ServiceDigest;
use fescueway_core::{DomainName, SiteName};
use fescueway_platform::{
    KeyRange, StoreClient, StoreError, StoreFault, StoreOp, StoreStep, StoreTxn, StoreValue,
};
use serde::de::DeserializeOwned;

use crate::{
    ApplyAction, ApplyAttempt, ApplyEvent, ApplyOutcome, ApplyPlan, ConfigHead, ConfigReply,
    DomainReport, HistoryEntry, SiteIndex, store_keys,
};

/// Time that one call to the store has.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Keys that one transaction reads.
const READS_AT_ONCE: usize = 100;

/// Puts a configuration in force, within `time_left`.
///
/// Never says that it is not in force when it may be: see [`ApplyOutcome`].
pub async fn apply(store: &StoreClient, plan: ApplyPlan, time_left: Duration) -> ApplyOutcome {
    let end = Instant::now() + time_left;
    let mut attempt = ApplyAttempt::new(plan);
    loop {
        let txn = match attempt.action() {
            ApplyAction::Commit(txn) => txn,
            ApplyAction::Done(outcome) => return outcome,
        };
        let rest = end.saturating_duration_since(Instant::now());
        if rest.is_zero() {
            attempt.handle(&ApplyEvent::TimedOut);
            continue;
        }
        match store.commit(&txn, rest.min(CALL_TIMEOUT)).await {
            Ok(reply) => attempt.handle(&ApplyEvent::Reply(reply)),
            Err(error) => {
                let is_effect_unknown = error.is_effect_unknown();
                attempt.handle(&ApplyEvent::Failed { is_effect_unknown });
                tokio::time::sleep(FAILURE_PAUSE.min(rest)).await;
            }
        }
    }
}

/// Reads the head, `None` before the first configuration.
///
/// # Errors
/// When the store didn't answer or holds no head at the head's key.
pub async fn read_head(
    store: &StoreClient,
    time_left: Duration,
) -> Result<Option<ConfigHead>, StoreError> {
    let range = KeyRange::Key(store_keys::HEAD.to_owned());
    let reply = store.range(&range, time_left).await?;
    reply
        .values
        .first()
        .map(|value| parse(store, value))
        .transpose()
}

/// Reads the newest `count` entries of the history, the newest first.
///
/// # Errors
/// When the store didn't answer or holds what is no entry.
pub async fn read_history(
    store: &StoreClient,
    count: u64,
    time_left: Duration,
) -> Result<Vec<ConfigHead>, StoreError> {
    let Some(head) = read_head(store, time_left).await? else {
        return Ok(Vec::new());
    };
    let oldest = head.revision.saturating_sub(count) + 1;
    let keys: Vec<_> = (oldest..=head.revision)
        .rev()
        .map(store_keys::history)
        .collect();
    let mut heads = Vec::new();
    for value in read_keys(store, &keys, time_left).await? {
        let entry: HistoryEntry = parse(store, &value)?;
        heads.push(entry.head);
    }
    Ok(heads)
}

/// Reads what is in force in each failure domain.
///
/// # Errors
/// When the store didn't answer or holds what is no report.
pub async fn read_in_force(
    store: &StoreClient,
    time_left: Duration,
) -> Result<BTreeMap<DomainName, DomainReport>, StoreError> {
    let range = KeyRange::Prefix(store_keys::IN_FORCE.to_owned());
    let reply = store.range(&range, time_left).await?;
    let mut reports = BTreeMap::new();
    for value in &reply.values {
        let domain = value.key.trim_start_matches(store_keys::IN_FORCE);
        reports.insert(DomainName::from(domain), parse(store, value)?);
    }
    Ok(reports)
}

/// Fetches the newest configuration of a site; of its values only those that aren't in `known`.
/// `None` when there is no configuration.
///
/// # Errors
/// When the store didn't answer, or a value that the head names isn't there (any more).
pub async fn fetch_site(
    store: &StoreClient,
    site: &SiteName,
    known: &BTreeMap<ServiceDigest, Arc<[u8]>>,
    time_left: Duration,
) -> Result<Option<ConfigReply>, StoreError> {
    let Some(head) = read_head(store, time_left).await? else {
        return Ok(None);
    };
    let index = read_index(store, &head, site, time_left).await?;
    let wanted: BTreeSet<_> = index.0.values().collect();
    let missing = wanted
        .into_iter()
        .filter(|digest| !known.contains_key(digest));
    let keys: Vec<_> = missing.map(store_keys::value).collect();
    let found = read_keys(store, &keys, time_left).await?;
    let fetched: BTreeMap<_, _> = found
        .into_iter()
        .map(|value| (ServiceDigest::of(&value.value), value.value))
        .collect();
    let mut values = Vec::new();
    for (name, digest) in index.0 {
        let own = known.get(&digest).map(|bytes| bytes.to_vec());
        let bytes = own.or_else(|| fetched.get(&digest).cloned());
        let bytes = bytes.ok_or_else(|| unexpected(store, &store_keys::value(&digest)))?;
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
    time_left: Duration,
) -> Result<SiteIndex, StoreError> {
    let Some(digest) = head.sites.get(site) else {
        return Ok(SiteIndex::default());
    };
    let key = store_keys::index(digest);
    let values = read_keys(store, std::slice::from_ref(&key), time_left).await?;
    let index = values
        .first()
        .and_then(|value| SiteIndex::from_bytes(&value.value));
    index.ok_or_else(|| unexpected(store, &key))
}

/// Reads keys; those that aren't there are left out.
async fn read_keys(
    store: &StoreClient,
    keys: &[String],
    time_left: Duration,
) -> Result<Vec<StoreValue>, StoreError> {
    let mut values = Vec::new();
    for part in keys.chunks(READS_AT_ONCE) {
        let ranges = part
            .iter()
            .map(|key| StoreOp::Range(KeyRange::Key(key.clone())));
        let txn = StoreTxn {
            then: ranges.collect(),
            ..StoreTxn::default()
        };
        let reply = store.commit(&txn, time_left).await?;
        values.extend(reply.reads.into_iter().flatten());
    }
    Ok(values)
}

fn parse<T: DeserializeOwned>(store: &StoreClient, value: &StoreValue) -> Result<T, StoreError> {
    serde_json::from_slice(&value.value).map_err(|_error| unexpected(store, &value.key))
}

fn unexpected(store: &StoreClient, key: &str) -> StoreError {
    StoreError {
        step: StoreStep::Range,
        peer: store.peer(),
        fault: StoreFault::Unexpected(format!("no valid value at {key}")),
    }
}
