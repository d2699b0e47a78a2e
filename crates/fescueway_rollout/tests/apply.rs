//! Accepting a configuration, against a store with faults.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{SITE, TIME, accept, client, config, plan, reply};
use fescueway_config::ServiceDigest;
use fescueway_core::{MonoTime, SiteName};
use fescueway_platform::{KeyRange, StoreClient, StoreOp, StoreTxn};
use fescueway_rollout::{
    ApplyAction, ApplyAttempt, ApplyEvent, ApplyOutcome, DomainReport, RolloutAction, RolloutEvent,
    RolloutState, SiteIndex, driver, store_keys,
};
use fescueway_testkit::{StoreFaults, StoreStub};
use quickcheck::quickcheck;
use rand_pcg::Pcg64Mcg;

async fn revision_in(store: &StoreStub) -> u64 {
    let head = driver::read_head(&client(store), TIME).await.unwrap();
    head.map_or(0, |head| head.revision)
}

#[tokio::test]
async fn what_was_applied_is_read_back() {
    let store = StoreStub::start().await.unwrap();
    // More than one transaction holds.
    let first = config(1_000, 150);
    assert_eq!(accept(&store, &first).await, 1);
    assert_eq!(accept(&store, &config(2_000, 150)).await, 2);
    let site = SiteName::from(SITE);
    let found = driver::fetch_site(&client(&store), &site, &BTreeMap::default(), TIME).await;
    let found = found.unwrap().unwrap();
    let expected = config(2_000, 150).service_values();
    assert_eq!(found.values.len(), expected.len());
    for (name, bytes) in found.values {
        assert_eq!(*expected[&(site.clone(), name)].bytes, *bytes);
    }
    let history = driver::read_history(&client(&store), 10, TIME)
        .await
        .unwrap();
    let revisions: Vec<_> = history.iter().map(|head| head.revision).collect();
    assert_eq!(revisions, [2, 1]);
}

#[tokio::test]
async fn the_same_configuration_is_not_written_again() {
    let store = StoreStub::start().await.unwrap();
    accept(&store, &config(1_000, 0)).await;
    let again = driver::apply(&client(&store), plan("anna", &config(1_000, 0)), TIME).await;
    assert_eq!(again, ApplyOutcome::Unchanged(1));
    assert_eq!(revision_in(&store).await, 1);
}

#[tokio::test]
async fn of_two_operators_one_wins_and_the_other_learns_who() {
    let store = StoreStub::start().await.unwrap();
    accept(&store, &config(1_000, 3)).await;
    for round in 0..10 {
        let (one, two) = (config(2_000 + round, 3), config(3_000 + round, 3));
        let (clients, others) = (client(&store), client(&store));
        let (anna, bryn) = tokio::join!(
            driver::apply(&clients, plan("anna", &one), TIME),
            driver::apply(&others, plan("bryn", &two), TIME),
        );
        let winner = match (&anna, &bryn) {
            (ApplyOutcome::Accepted(revision), ApplyOutcome::Conflict(head)) => {
                ("anna", revision, head)
            }
            (ApplyOutcome::Conflict(head), ApplyOutcome::Accepted(revision)) => {
                ("bryn", revision, head)
            }
            // One began after the other had ended.
            (ApplyOutcome::Accepted(one), ApplyOutcome::Accepted(two)) if one != two => continue,
            other => panic!("{other:?}"),
        };
        assert_eq!(
            (&*winner.2.operator, winner.2.revision),
            (winner.0, *winner.1)
        );
        assert_eq!(revision_in(&store).await, *winner.1);
    }
}

#[tokio::test]
async fn a_plan_made_from_an_older_revision_is_a_conflict_and_writes_nothing() {
    let store = StoreStub::start().await.unwrap();
    accept(&store, &config(1_000, 0)).await;
    accept(&store, &config(2_000, 0)).await;
    let before = store.tally().calls.get("/v3/kv/txn").copied();
    let late = fescueway_rollout::ApplyPlan {
        base: Some(1),
        ..plan("bryn", &config(3_000, 0))
    };
    let outcome = driver::apply(&client(&store), late, TIME).await;
    assert!(matches!(outcome, ApplyOutcome::Conflict(head) if head.revision == 2));
    let after = store.tally().calls.get("/v3/kv/txn").copied();
    assert_eq!(after.unwrap() - before.unwrap(), 1, "one read and no write");
}

#[tokio::test]
async fn a_lost_answer_to_the_swap_is_settled_as_accepted() {
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
            // Only the swap compares anything. Its answer is the first that is lost.
            if !txn.compares.is_empty()
                && let Some(faults) = faults.take()
            {
                store.set_faults(faults);
            }
            attempt.handle(&match client.commit(&txn, TIME).await {
                Ok(reply) => ApplyEvent::Reply(reply),
                Err(error) => ApplyEvent::Failed {
                    is_effect_unknown: error.is_effect_unknown(),
                },
            });
        };
        assert_eq!(outcome, ApplyOutcome::Accepted(2), "{lost} answers lost");
        assert_eq!(revision_in(&store).await, 2);
    }
}

#[tokio::test]
async fn a_store_that_is_down_all_the_time_applies_nothing() {
    let store = StoreStub::start().await.unwrap();
    store.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    let short = Duration::from_millis(300);
    let outcome = driver::apply(&client(&store), plan("anna", &config(1_000, 0)), short).await;
    assert_eq!(outcome, ApplyOutcome::NotApplied);
    store.set_faults(StoreFaults::default());
    assert_eq!(revision_in(&store).await, 0);
}

#[tokio::test]
async fn what_nobody_reads_any_more_is_deleted() {
    let store = StoreStub::start().await.unwrap();
    for change in 0..40 {
        accept(&store, &config(1_000 + change, 1)).await;
    }
    let values = KeyRange::Prefix("/fescueway/config/value/".to_owned());
    let kept = client(&store)
        .range(&values, TIME)
        .await
        .unwrap()
        .values
        .len();
    // `other-0` never changed; of `bands` the last 32 replaced values and the one in force stay.
    assert!((32..=34).contains(&kept), "{kept} values");
    let site = SiteName::from(SITE);
    let found = driver::fetch_site(&client(&store), &site, &BTreeMap::default(), TIME).await;
    assert!(found.unwrap().is_some());
}

/// Writes that a failure domain has `highest` in force.
async fn report(store: &StoreStub, highest: u64) {
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
    client(store).commit(&txn, TIME).await.unwrap();
}

#[tokio::test]
async fn a_store_that_lost_its_head_goes_on_above_what_nodes_have_in_force() {
    let store = StoreStub::start().await.unwrap();
    report(&store, 41).await;
    let late = fescueway_rollout::ApplyPlan {
        base: Some(41),
        ..plan("bryn", &config(3_000, 0))
    };
    let outcome = driver::apply(&client(&store), late, TIME).await;
    assert_eq!(outcome, ApplyOutcome::BaseLost(41));
    assert_eq!(revision_in(&store).await, 0);
    assert_eq!(accept(&store, &config(1_000, 0)).await, 1_041);

    // Applied before the nodes had reported, it is applied again above what they have.
    let store = StoreStub::start().await.unwrap();
    assert_eq!(accept(&store, &config(1_000, 0)).await, 1);
    report(&store, 41).await;
    assert_eq!(accept(&store, &config(1_000, 0)).await, 1_041);
    let again = driver::apply(&client(&store), plan("anna", &config(1_000, 0)), TIME).await;
    assert_eq!(again, ApplyOutcome::Unchanged(1_041));
}

#[tokio::test]
async fn a_node_that_could_not_apply_a_lost_revision_takes_the_next_one() {
    let mut node = RolloutState::new(SiteName::from(SITE));
    let mut random = Pcg64Mcg::new(1);
    let mut handle = |event| node.handle(MonoTime::ZERO, event, &mut random);
    handle(RolloutEvent::Fetched(reply(41, &config(1_000, 0))));
    // Revision 42 makes no sense to the node, and the store loses it.
    let mut bad = reply(42, &config(1_000, 0));
    let bytes = br#"{"name":"bands","plan":{"from_the_future":1}}"#.to_vec();
    let digest = ServiceDigest::of(&bytes);
    bad.values[0].1 = bytes;
    let index = SiteIndex([("bands".into(), digest)].into());
    bad.head.sites.insert(SiteName::from(SITE), index.digest());
    handle(RolloutEvent::Fetched(bad));

    let store = StoreStub::start().await.unwrap();
    report(&store, 41).await;
    accept(&store, &config(3_000, 0)).await;
    let head = driver::read_head(&client(&store), TIME).await.unwrap();
    let actions = handle(RolloutEvent::StoreHead(head.unwrap()));
    assert!(matches!(actions[..], [RolloutAction::Fetch { .. }]));
}

#[tokio::test]
async fn of_two_attempts_on_a_lost_store_one_wins_though_they_know_different_revisions() {
    let store = StoreStub::start().await.unwrap();
    let client = client(&store);
    let mut late = ApplyAttempt::new(plan("bryn", &config(2_000, 0)));
    let ApplyAction::Commit(read) = late.action() else {
        panic!("an attempt reads first");
    };
    late.handle(&ApplyEvent::Reply(
        client.commit(&read, TIME).await.unwrap(),
    ));
    report(&store, 41).await;
    assert_eq!(accept(&store, &config(1_000, 0)).await, 1_041);
    let outcome = finish(&client, &mut late).await;
    assert!(matches!(outcome, ApplyOutcome::Conflict(head) if head.revision == 1_041));
}

/// Runs an attempt to its end, in at most 20 steps.
async fn finish(client: &StoreClient, attempt: &mut ApplyAttempt) -> ApplyOutcome {
    for _ in 0..20 {
        let txn = match attempt.action() {
            ApplyAction::Commit(txn) => txn,
            ApplyAction::Done(outcome) => return outcome,
        };
        let reply = client.commit(&txn, TIME).await.unwrap();
        attempt.handle(&ApplyEvent::Reply(reply));
    }
    panic!("the attempt does not end");
}

/// Values and indexes in the store.
async fn written(store: &StoreStub) -> usize {
    let mut count = 0;
    for kind in ["value", "index", "pending"] {
        let range = KeyRange::Prefix(format!("/fescueway/config/{kind}/"));
        count += client(store)
            .range(&range, TIME)
            .await
            .unwrap()
            .values
            .len();
    }
    count
}

#[tokio::test]
async fn what_a_lost_attempt_wrote_ahead_is_deleted_by_later_ones() {
    let store = StoreStub::start().await.unwrap();
    accept(&store, &config(1_000, 1)).await;
    let expected = written(&store).await;
    let client = client(&store);
    // 250 values are written in three transactions; the attempt ends before its swap.
    let mut lost = ApplyAttempt::new(plan("bryn", &config(2_000, 250)));
    let mut rival = None;
    while let ApplyAction::Commit(txn) = lost.action() {
        if !txn.compares.is_empty() && rival.is_none() {
            assert!(written(&store).await > 200);
            rival = Some(accept(&store, &config(1_500, 1)).await);
        }
        let reply = client.commit(&txn, TIME).await.unwrap();
        lost.handle(&ApplyEvent::Reply(reply));
    }
    assert!(matches!(
        lost.action(),
        ApplyAction::Done(ApplyOutcome::Conflict(_))
    ));
    for change in 0..3 {
        accept(&store, &config(3_000 + change, 1)).await;
    }
    // A value and an index more for each of the changes, which stay for 32 revisions.
    assert_eq!(written(&store).await, expected + 2 * 4);
}

/// A store of one writer's view, on which each transaction may fail before or after its effect.
#[derive(Default)]
struct FaultyStore {
    values: BTreeMap<String, fescueway_platform::StoreValue>,
    revision: i64,
    head_writes: u32,
}

impl FaultyStore {
    fn commit(&mut self, txn: &StoreTxn) -> fescueway_platform::TxnReply {
        use fescueway_platform::{Compare, StoreValue, TxnReply};
        let holds = |compare: &Compare| match compare {
            Compare::Absent(key) => !self.values.contains_key(key),
            Compare::ModRevision(key, at) => self
                .values
                .get(key)
                .is_some_and(|value| value.mod_revision == *at),
            Compare::Value(key, value) => self
                .values
                .get(key)
                .is_some_and(|held| held.value == *value),
        };
        let is_success = txn.compares.iter().all(holds);
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
                    let held = StoreValue {
                        key: key.clone(),
                        value: value.clone(),
                        mod_revision: self.revision,
                        version: 1,
                        lease: *lease,
                    };
                    self.values.insert(key.clone(), held);
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
            revision: self.revision,
            reads,
        }
    }
}

quickcheck! {
    /// Whatever fails where, an attempt writes at most one head, and tells the truth.
    fn an_attempt_tells_the_truth(faults: Vec<u8>, more: u8, rival_at: u8) -> bool {
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
