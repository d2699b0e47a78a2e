//! Calls of the store client against a stub of the store that injects faults.

use std::time::Duration;

use fescueway_platform::{
    Compare, ETCD_MAPPING, KeyRange, StoreClient, StoreFault, StoreMapping, StoreOp, StoreRevision,
    StoreSettings, StoreTxn, WatchEvent,
};
use fescueway_testkit::{StoreFaults, StoreStub};

const TIME_LEFT: Duration = Duration::from_secs(2);

async fn start() -> (StoreStub, StoreClient) {
    let store = StoreStub::start().await.expect("a free port");
    let settings = StoreSettings::try_from(vec![store.address()]).expect("one address");
    (store, StoreClient::new(settings))
}

fn put(key: &str, value: &str) -> StoreOp {
    StoreOp::Put {
        key: key.into(),
        value: value.into(),
        lease: None,
    }
}

fn create_txn(key: &str, value: &str) -> StoreTxn {
    StoreTxn {
        compares: vec![Compare::Absent(key.into())],
        then: vec![put(key, value)],
        otherwise: vec![StoreOp::Range(KeyRange::Key(key.into()))],
    }
}

#[tokio::test]
async fn only_one_of_two_creations_succeeds_and_the_other_reads_its_value() {
    let (_store, client) = start().await;
    let first = client
        .commit(&create_txn("k", "one"), TIME_LEFT)
        .await
        .expect("up");
    let second = client
        .commit(&create_txn("k", "two"), TIME_LEFT)
        .await
        .expect("up");
    assert!(first.is_success);
    assert!(!second.is_success);
    assert_eq!(second.reads[0][0].value, b"one");
}

#[tokio::test]
async fn effect_is_unknown_after_a_lost_answer_to_an_applied_write() {
    let (store, client) = start().await;
    store.set_faults(StoreFaults {
        lost_answers: 1,
        ..StoreFaults::default()
    });
    let error = client
        .commit(&create_txn("k", "one"), TIME_LEFT)
        .await
        .expect_err("lost");
    assert!(error.is_effect_unknown(), "{error}");
    let reply = client
        .range(&KeyRange::Key("k".into()), TIME_LEFT)
        .await
        .expect("up");
    assert_eq!(reply.values[0].value, b"one");
}

#[tokio::test]
async fn failed_connection_is_reported_as_unreachable() {
    let (store, client) = start().await;
    drop(store);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let error = client
        .commit(&create_txn("k", "one"), TIME_LEFT)
        .await
        .expect_err("gone");
    assert!(matches!(error.fault, StoreFault::Unreachable(_)), "{error}");
}

#[tokio::test]
async fn call_times_out_at_its_deadline() {
    let (store, client) = start().await;
    store.set_faults(StoreFaults {
        delay: Duration::from_secs(30),
        ..StoreFaults::default()
    });
    let timeout = Duration::from_millis(50);
    let error = client
        .range(&KeyRange::Key("k".into()), timeout)
        .await
        .expect_err("late");
    assert!(matches!(error.fault, StoreFault::AnswerLost(_)), "{error}");
}

#[tokio::test]
async fn watch_resumes_without_a_gap_and_reports_compaction() {
    let (store, client) = start().await;
    let range = KeyRange::Prefix("a/".into());
    let start_revision = client.range(&range, TIME_LEFT).await.expect("up").revision;
    let mut watch = client
        .watch(&range, start_revision.next(), TIME_LEFT)
        .await
        .expect("up");
    client
        .commit(&create_txn("a/1", "one"), TIME_LEFT)
        .await
        .expect("up");
    client
        .commit(&create_txn("b/1", "other"), TIME_LEFT)
        .await
        .expect("up");
    let batch = watch
        .next(TIME_LEFT)
        .await
        .expect("open")
        .expect("a change");
    assert!(matches!(&*batch.events, [WatchEvent::Put(value)] if value.key == "a/1"));

    store.close_watches();
    watch.next(TIME_LEFT).await.expect_err("cut");
    client
        .commit(&create_txn("a/2", "two"), TIME_LEFT)
        .await
        .expect("up");
    let mut resumed = client
        .watch(&range, batch.revision.next(), TIME_LEFT)
        .await
        .expect("up");
    let missed = resumed
        .next(TIME_LEFT)
        .await
        .expect("open")
        .expect("the missed change");
    assert!(matches!(&*missed.events, [WatchEvent::Put(value)] if value.key == "a/2"));

    store.compact();
    let mut late = client
        .watch(&range, start_revision.next(), TIME_LEFT)
        .await
        .expect("up");
    let error = late.next(TIME_LEFT).await.expect_err("compacted");
    assert!(matches!(error.fault, StoreFault::Compacted(_)), "{error}");
}

#[tokio::test]
async fn expired_lease_deletes_its_keys_and_cannot_be_renewed() {
    let (store, client) = start().await;
    let grant = client
        .grant_lease(Duration::from_secs(5), TIME_LEFT)
        .await
        .expect("up");
    let bound = StoreOp::Put {
        key: "k".into(),
        value: vec![1],
        lease: Some(grant.lease),
    };
    let txn = StoreTxn {
        then: vec![bound],
        ..StoreTxn::default()
    };
    client.commit(&txn, TIME_LEFT).await.expect("up");
    client
        .keep_lease_alive(grant.lease, TIME_LEFT)
        .await
        .expect("alive");
    store.expire_leases();
    let error = client
        .keep_lease_alive(grant.lease, TIME_LEFT)
        .await
        .expect_err("lapsed");
    assert_eq!(error.fault, StoreFault::LeaseExpired);
    let reply = client
        .range(&KeyRange::Key("k".into()), TIME_LEFT)
        .await
        .expect("up");
    assert!(reply.values.is_empty());
}

#[tokio::test]
async fn rate_limited_call_has_no_effect() {
    let (store, client) = start().await;
    store.set_faults(StoreFaults {
        calls_per_second: Some(0),
        ..StoreFaults::default()
    });
    let error = client
        .commit(&create_txn("k", "one"), TIME_LEFT)
        .await
        .expect_err("limited");
    assert_eq!(error.fault, StoreFault::RateLimited);
    store.set_faults(StoreFaults::default());
    let reply = client
        .range(&KeyRange::Key("k".into()), TIME_LEFT)
        .await
        .expect("up");
    assert!(reply.values.is_empty());
}

#[tokio::test]
async fn what_was_derived_before_a_revision_fell_is_not_used_any_more() {
    let (store, client) = start().await;
    client
        .commit(&create_txn("k", "one"), TIME_LEFT)
        .await
        .expect("up");
    store.copy();
    let grant = client
        .grant_lease(Duration::from_secs(5), TIME_LEFT)
        .await
        .expect("up");
    for count in 0..3 {
        let txn = StoreTxn {
            then: vec![put("k", &count.to_string())],
            ..StoreTxn::default()
        };
        client.commit(&txn, TIME_LEFT).await.expect("up");
    }
    let key = KeyRange::Key("k".into());
    let before = client.range(&key, TIME_LEFT).await.expect("up");
    let mut watch = client
        .watch(&key, before.revision.next(), TIME_LEFT)
        .await
        .expect("open");
    store.restore();
    let fallen = client.range(&key, TIME_LEFT).await.expect_err("fallen");
    assert_eq!(fallen.fault, StoreFault::Restored);
    let after = client.range(&key, TIME_LEFT).await.expect("up");
    assert_eq!(after.values[0].value, b"one");
    assert!(after.revision.era > before.revision.era);
    let ended = watch.next(TIME_LEFT).await.expect_err("ended");
    assert_eq!(ended.fault, StoreFault::Restored);
    let renewal = client.keep_lease_alive(grant.lease, TIME_LEFT).await;
    assert_eq!(renewal.expect_err("ended").fault, StoreFault::LeaseExpired);
    let fenced = StoreTxn {
        compares: vec![Compare::ModRevision(
            "k".into(),
            before.values[0].mod_revision,
        )],
        then: vec![put("k", "fenced")],
        ..StoreTxn::default()
    };
    let refused = client.commit(&fenced, TIME_LEFT).await.expect_err("unsent");
    assert_eq!(refused.fault, StoreFault::Restored);
}

#[tokio::test]
async fn answer_without_a_revision_does_not_begin_an_era() {
    let (store, _client) = start().await;
    let settings = StoreSettings::try_from(vec![store.address()]).expect("one address");
    let mapping = StoreMapping {
        read_range: |answer| {
            let (mut reply, has_more) = (ETCD_MAPPING.read_range)(answer)?;
            if reply.values.is_empty() {
                reply.revision = StoreRevision::default();
            }
            Ok((reply, has_more))
        },
        ..ETCD_MAPPING
    };
    let client = StoreClient::with_mapping(settings, mapping);
    let created = client.commit(&create_txn("k", "one"), TIME_LEFT).await;
    let era = created.expect("up").revision.era;
    let absent = KeyRange::Key("absent".into());
    client.range(&absent, TIME_LEFT).await.expect("no key");
    let key = KeyRange::Key("k".into());
    let found = client.range(&key, TIME_LEFT).await.expect("up");
    assert_eq!(found.revision.era, era);
}
