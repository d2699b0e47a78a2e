//! Applies configurations to a store that injects faults.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{SITE, TIMEOUT, accept, client, config, plan, reply};
use fescueway_config::ServiceDigest;
use fescueway_core::{MonoTime, SiteName};
use fescueway_platform::{KeyRange, StoreClient, StoreOp, StoreRevision, StoreTxn};
use fescueway_rollout::{
    ApplyAction, ApplyAttempt, ApplyEvent, ApplyOutcome, DomainReport, RolloutAction, RolloutEvent,
    RolloutState, SiteIndex, driver, store_keys,
};
use fescueway_testkit::{StoreFaults, StoreStub};
use quickcheck::quickcheck;
use rand_pcg::Pcg64Mcg;

async fn head_revision(store: &StoreStub) -> u64 {
    let head = driver::read_head(&client(store), TIMEOUT).await.unwrap();
    head.map_or(0, |head| head.revision)
}

#[tokio::test]
async fn applied_configuration_is_read_back() {
    let store = StoreStub::start().await.unwrap();
    // More values than fit into one transaction.
    let first = config(1_000, 150);
    assert_eq!(accept(&store, &first).await, 1);
    assert_eq!(accept(&store, &config(2_000, 150)).await, 2);
    let site = SiteName::from(SITE);
    let found = driver::fetch_site(&client(&store), &site, &BTreeMap::default(), TIMEOUT).await;
    let found = found.unwrap().unwrap();
    let expected = config(2_000, 150).service_values();
    assert_eq!(found.values.len(), expected.len());
    for (name, bytes) in found.values {
        assert_eq!(*expected[&(site.clone(), name)].bytes, *bytes);
    }
    let history = driver::read_history(&client(&store), 10, TIMEOUT)
        .await
        .unwrap();
    let revisions: Vec<_> = history.iter().map(|head| head.revision).collect();
    assert_eq!(revisions, [2, 1]);
}

#[tokio::test]
async fn unchanged_configuration_is_not_written_again() {
    let store = StoreStub::start().await.unwrap();
    accept(&store, &config(1_000, 0)).await;
    let again = driver::apply(&client(&store), plan("anna", &config(1_000, 0)), TIMEOUT).await;
    assert_eq!(again, ApplyOutcome::Unchanged(1));
    assert_eq!(head_revision(&store).await, 1);
}

#[tokio::test]
async fn concurrent_apply_accepts_one_plan_and_reports_a_conflict_for_the_other() {
    let store = StoreStub::start().await.unwrap();
    accept(&store, &config(1_000, 3)).await;
    for round in 0..10 {
        let (one, two) = (config(2_000 + round, 3), config(3_000 + round, 3));
        let (first_client, second_client) = (client(&store), client(&store));
        let (anna, bryn) = tokio::join!(
            driver::apply(&first_client, plan("anna", &one), TIMEOUT),
            driver::apply(&second_client, plan("bryn", &two), TIMEOUT),
        );
        let winner = match (&anna, &bryn) {
            (ApplyOutcome::Accepted(revision), ApplyOutcome::Conflict(head)) => {
                ("anna", revision, head)
            }
            (ApplyOutcome::Conflict(head), ApplyOutcome::Accepted(revision)) => {
                ("bryn", revision, head)
            }
            // The second attempt started after the first one had ended.
            (ApplyOutcome::Accepted(one), ApplyOutcome::Accepted(two)) if one != two => continue,
            other => panic!("{other:?}"),
        };
        assert_eq!(
            (&*winner.2.operator, winner.2.revision),
            (winner.0, *winner.1)
        );
        assert_eq!(head_revision(&store).await, *winner.1);
    }
}

#[tokio::test]
async fn plan_based_on_an_older_revision_is_a_conflict_and_writes_nothing() {
    let store = StoreStub::start().await.unwrap();
    accept(&store, &config(1_000, 0)).await;
    accept(&store, &config(2_000, 0)).await;
    let before = store.tally().calls.get("/v3/kv/txn").copied();
    let stale_plan = fescueway_rollout::ApplyPlan {
        base: Some(1),
        ..plan("bryn", &config(3_000, 0))
    };
    let outcome = driver::apply(&client(&store), stale_plan, TIMEOUT).await;
    assert!(matches!(outcome, ApplyOutcome::Conflict(head) if head.revision == 2));
    let after = store.tally().calls.get("/v3/kv/txn").copied();
    assert_eq!(after.unwrap() - before.unwrap(), 1, "one read and no write");
}

#[tokio::test]
async fn lost_reply_to_the_swap_is_resolved_as_accepted() {
    for lost in 1..4 {
        let store = StoreStub::start().await.unwrap();
        accept(&store, &config(1_000, 2)).await;
        let client = client(&store);
        let mut attempt = ApplyAttempt::new(plan("anna", &config(2_000, 2)));
        let mut faults = Some(StoreFaults {
            lost_answers: lost,
            ..StoreFaults::default()
        });
        let outcome = loop {
            let txn = match attempt.action() {
                ApplyAction::Commit(txn) => txn,
                ApplyAction::Done(outcome) => break outcome,
            };
            // Only the swap has compares. Its reply is the first one that is lost.
            if !txn.compares.is_empty()
                && let Some(faults) = faults.take()
            {
                store.set_faults(faults);
            }
            attempt.handle(&match client.commit(&txn, TIMEOUT).await {
                Ok(reply) => ApplyEvent::Reply(reply),
                Err(error) => ApplyEvent::Failed {
                    is_effect_unknown: error.is_effect_unknown(),
                },
            });
        };
        assert_eq!(outcome, ApplyOutcome::Accepted(2), "{lost} answers lost");
        assert_eq!(head_revision(&store).await, 2);
    }
}

#[tokio::test]
async fn apply_to_an_unavailable_store_times_out_without_effect() {
    let store = StoreStub::start().await.unwrap();
    store.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    let timeout = Duration::from_millis(300);
    let outcome = driver::apply(&client(&store), plan("anna", &config(1_000, 0)), timeout).await;
    assert_eq!(outcome, ApplyOutcome::NotApplied);
    store.set_faults(StoreFaults::default());
    assert_eq!(head_revision(&store).await, 0);
}

#[tokio::test]
async fn values_past_their_retention_are_deleted() {
    let store = StoreStub::start().await.unwrap();
    for change in 0..40 {
        accept(&store, &config(1_000 + change, 1)).await;
    }
    let values = KeyRange::Prefix("/fescueway/config/value/".to_owned());
    let kept = client(&store)
        .range(&values, TIMEOUT)
        .await
        .unwrap()
        .values
        .len();
    // `other-0` never changed; of `bands`, the last 32 replaced values and the current one are
    // kept.
    assert!((32..=34).contains(&kept), "{kept} values");
    let site = SiteName::from(SITE);
    let found = driver::fetch_site(&client(&store), &site, &BTreeMap::default(), TIMEOUT).await;
    assert!(found.unwrap().is_some());
}

/// Writes a failure domain's report that `highest` is in force.
async fn write_report(store: &StoreStub, highest: u64) {
    let report = DomainReport {
        highest,
        ..DomainReport::default()
    };
    let put = StoreOp::Put {
        key: store_keys::in_force(&"texas-a".into()),
        value: serde_json::to_vec(&report).unwrap(),
        lease: None,
    };
    let txn = StoreTxn {
        then: vec![put],
        ..StoreTxn::default()
    };
    client(store).commit(&txn, TIMEOUT).await.unwrap();
}

#[tokio::test]
async fn revisions_continue_above_reported_ones_after_the_store_lost_its_head() {
    let store = StoreStub::start().await.unwrap();
    write_report(&store, 41).await;
    let stale_plan = fescueway_rollout::ApplyPlan {
        base: Some(41),
        ..plan("bryn", &config(3_000, 0))
    };
    let outcome = driver::apply(&client(&store), stale_plan, TIMEOUT).await;
    assert_eq!(outcome, ApplyOutcome::BaseLost(41));
    assert_eq!(head_revision(&store).await, 0);
    assert_eq!(accept(&store, &config(1_000, 0)).await, 1_041);

    // A configuration that was applied before the nodes reported is applied again, above the
    // reported revision.
    let store = StoreStub::start().await.unwrap();
    assert_eq!(accept(&store, &config(1_000, 0)).await, 1);
    write_report(&store, 41).await;
    assert_eq!(accept(&store, &config(1_000, 0)).await, 1_041);
    let again = driver::apply(&client(&store), plan("anna", &config(1_000, 0)), TIMEOUT).await;
    assert_eq!(again, ApplyOutcome::Unchanged(1_041));
}

#[tokio::test]
async fn node_fetches_the_revision_after_a_rejected_one_that_the_store_lost() {
    let mut node = RolloutState::new(SiteName::from(SITE));
    let mut random = Pcg64Mcg::new(1);
    let mut handle = |event| node.handle(MonoTime::ZERO, event, &mut random);
    handle(RolloutEvent::Fetched(reply(41, &config(1_000, 0))));
    // The node rejects revision 42, and the store loses it.
    let mut bad = reply(42, &config(1_000, 0));
    let bytes = br#"{"name":"bands","plan":{"from_the_future":1}}"#.to_vec();
    let digest = ServiceDigest::of(&bytes);
    bad.values[0].1 = bytes;
    let index = SiteIndex([("bands".into(), digest)].into());
    bad.head.sites.insert(SiteName::from(SITE), index.digest());
    handle(RolloutEvent::Fetched(bad));

    let store = StoreStub::start().await.unwrap();
    write_report(&store, 41).await;
    accept(&store, &config(3_000, 0)).await;
    let head = driver::read_head(&client(&store), TIMEOUT).await.unwrap();
    let actions = handle(RolloutEvent::StoreHead(head.unwrap()));
    assert!(matches!(actions[..], [RolloutAction::Fetch { .. }]));
}

#[tokio::test]
async fn concurrent_attempts_conflict_despite_different_reported_revisions() {
    let store = StoreStub::start().await.unwrap();
    let client = client(&store);
    let mut stale = ApplyAttempt::new(plan("bryn", &config(2_000, 0)));
    let ApplyAction::Commit(read) = stale.action() else {
        panic!("an attempt reads first");
    };
    stale.handle(&ApplyEvent::Reply(
        client.commit(&read, TIMEOUT).await.unwrap(),
    ));
    write_report(&store, 41).await;
    assert_eq!(accept(&store, &config(1_000, 0)).await, 1_041);
    let outcome = run_to_end(&client, &mut stale).await;
    assert!(matches!(outcome, ApplyOutcome::Conflict(head) if head.revision == 1_041));
}

/// Runs an attempt until it ends, in at most 20 steps.
async fn run_to_end(client: &StoreClient, attempt: &mut ApplyAttempt) -> ApplyOutcome {
    for _ in 0..20 {
        let txn = match attempt.action() {
            ApplyAction::Commit(txn) => txn,
            ApplyAction::Done(outcome) => return outcome,
        };
        let reply = client.commit(&txn, TIMEOUT).await.unwrap();
        attempt.handle(&ApplyEvent::Reply(reply));
    }
    panic!("the attempt does not end");
}

/// Counts the values, indexes and lists of pending keys in the store.
async fn count_written(store: &StoreStub) -> usize {
    let mut count = 0;
    for kind in ["value", "index", "pending"] {
        let range = KeyRange::Prefix(format!("/fescueway/config/{kind}/"));
        count += client(store)
            .range(&range, TIMEOUT)
            .await
            .unwrap()
            .values
            .len();
    }
    count
}

#[tokio::test]
async fn values_of_an_abandoned_attempt_are_deleted_by_later_attempts() {
    let store = StoreStub::start().await.unwrap();
    accept(&store, &config(1_000, 1)).await;
    let expected = count_written(&store).await;
    let client = client(&store);
    // 250 values are written in three transactions. A rival's swap precedes the attempt's own one.
    let mut abandoned = ApplyAttempt::new(plan("bryn", &config(2_000, 250)));
    let mut rival = None;
    while let ApplyAction::Commit(txn) = abandoned.action() {
        if !txn.compares.is_empty() && rival.is_none() {
            assert!(count_written(&store).await > 200);
            rival = Some(accept(&store, &config(1_500, 1)).await);
        }
        let reply = client.commit(&txn, TIMEOUT).await.unwrap();
        abandoned.handle(&ApplyEvent::Reply(reply));
    }
    assert!(matches!(
        abandoned.action(),
        ApplyAction::Done(ApplyOutcome::Conflict(_))
    ));
    for change in 0..3 {
        accept(&store, &config(3_000 + change, 1)).await;
    }
    // One more value and index for each change, which are kept for 32 revisions.
    assert_eq!(count_written(&store).await, expected + 2 * 4);
}

/// An in-memory store for a test that fails transactions before or after they take effect.
#[derive(Default)]
struct FaultyStore {
    values: BTreeMap<String, fescueway_platform::StoreValue>,
    revision: i64,
    head_writes: u32,
}

impl FaultyStore {
    fn commit(&mut self, txn: &StoreTxn) -> fescueway_platform::TxnReply {
        use fescueway_platform::{Compare, StoreValue, TxnReply};
        let is_met = |compare: &Compare| match compare {
            Compare::Absent(key) => !self.values.contains_key(key),
            Compare::ModRevision(key, at) => self
                .values
                .get(key)
                .is_some_and(|value| value.mod_revision == *at),
            Compare::Value(key, value) => self
                .values
                .get(key)
                .is_some_and(|stored| stored.value == *value),
        };
        let is_success = txn.compares.iter().all(is_met);
        self.revision += 1;
        let mut reads = Vec::new();
        for op in if is_success {
            &txn.then
        } else {
            &txn.otherwise
        } {
            match op {
                StoreOp::Put { key, value, lease } => {
                    self.head_writes += u32::from(key == store_keys::HEAD);
                    let stored = StoreValue {
                        key: key.clone(),
                        value: value.clone(),
                        mod_revision: StoreRevision::new(self.revision),
                        version: 1,
                        lease: *lease,
                    };
                    self.values.insert(key.clone(), stored);
                }
                StoreOp::Delete(KeyRange::Key(key)) => drop(self.values.remove(key)),
                StoreOp::Range(KeyRange::Key(key)) => {
                    reads.push(self.values.get(key).cloned().into_iter().collect());
                }
                StoreOp::Range(KeyRange::Prefix(prefix)) => {
                    let found = self.values.values();
                    let found = found.filter(|value| value.key.starts_with(prefix));
                    reads.push(found.cloned().collect());
                }
                StoreOp::Delete(KeyRange::Prefix(_)) => {}
            }
        }
        TxnReply {
            is_success,
            revision: StoreRevision::new(self.revision),
            reads,
        }
    }
}

quickcheck! {
    /// Whichever calls fail, an attempt writes at most one head and reports the correct outcome.
    fn attempt_outcome_matches_the_store(faults: Vec<u8>, more: u8, rival_at: u8) -> bool {
        let mut store = FaultyStore::default();
        let mut attempt = ApplyAttempt::new(plan("anna", &config(1_000, usize::from(more))));
        let mut faults = faults.into_iter();
        let mut steps = 0;
        let outcome = loop {
            let txn = match attempt.action() {
                ApplyAction::Commit(txn) => txn,
                ApplyAction::Done(outcome) => break outcome,
            };
            steps += 1;
            if steps == rival_at {
                let mut rival = ApplyAttempt::new(plan("bryn", &config(9_000, 0)));
                while let ApplyAction::Commit(txn) = rival.action() {
                    rival.handle(&ApplyEvent::Reply(store.commit(&txn)));
                }
            }
            let event = match faults.next().map(|fault| fault % 4) {
                Some(0) => ApplyEvent::Failed { is_effect_unknown: false },
                Some(1) => ApplyEvent::Failed { is_effect_unknown: true },
                Some(2) => {
                    store.commit(&txn);
                    ApplyEvent::Failed { is_effect_unknown: true }
                }
                None if more.is_multiple_of(3) => ApplyEvent::TimedOut,
                _ => ApplyEvent::Reply(store.commit(&txn)),
            };
            attempt.handle(&event);
        };
        let history = store.values.iter().filter(|(key, _)| key.starts_with(store_keys::HISTORY));
        let by_anna = history.filter(|(_, value)| {
            let text = String::from_utf8_lossy(&value.value);
            text.contains(r#""operator":"anna""#)
        });
        let written = by_anna.count();
        match outcome {
            ApplyOutcome::Accepted(_) => written == 1,
            ApplyOutcome::NotApplied | ApplyOutcome::Conflict(_) => written == 0,
            ApplyOutcome::Unknown => written <= 1,
            ApplyOutcome::BaseLost(_) | ApplyOutcome::Corrupt(_) | ApplyOutcome::Unchanged(_) => false,
        }
    }
}
