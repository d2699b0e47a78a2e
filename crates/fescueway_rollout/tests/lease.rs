//! A holder that was paused past its lease can't act on it.

mod common;

use std::time::Duration;

use common::{TIME, client};
use fescueway_core::MonoTime;
use fescueway_platform::{KeyRange, StoreClient, StoreOp, StoreTxn};
use fescueway_rollout::{LeaseAction, LeaseEvent, LeaseHolder};
use fescueway_testkit::{StoreFaults, StoreStub};

const KEY: &str = "/lease";

/// Lets a holder act until it waits.
async fn settle(holder: &mut LeaseHolder, store: &StoreClient, now: MonoTime) {
    for _action in 0..10 {
        let event = match holder.action(now) {
            LeaseAction::Wait => return,
            LeaseAction::Grant(time) => match store.grant_lease(time, TIME).await {
                Ok(grant) => LeaseEvent::Granted {
                    asked_at: now,
                    grant,
                },
                Err(_) => LeaseEvent::Failed { is_lapsed: false },
            },
            LeaseAction::Claim(txn) => match store.commit(&txn, TIME).await {
                Ok(reply) => LeaseEvent::Claimed(reply),
                Err(_) => LeaseEvent::Failed { is_lapsed: false },
            },
            LeaseAction::KeepAlive(lease) => match store.keep_lease(lease, TIME).await {
                Ok(grant) => LeaseEvent::Granted {
                    asked_at: now,
                    grant,
                },
                Err(_) => LeaseEvent::Failed { is_lapsed: true },
            },
            LeaseAction::Revoke(lease) => {
                let _ = store.revoke_lease(lease, TIME).await;
                LeaseEvent::Failed { is_lapsed: true }
            }
        };
        holder.handle(now, &event);
    }
}

fn holder(name: &str) -> LeaseHolder {
    let mut holder = LeaseHolder::new(KEY, name.into());
    holder.handle(MonoTime::ZERO, &LeaseEvent::Wanted(true));
    holder
}

fn effect(by: &str) -> StoreTxn {
    StoreTxn {
        then: vec![StoreOp::Put {
            key: "/effect".to_owned(),
            value: by.into(),
            lease: None,
        }],
        ..StoreTxn::default()
    }
}

#[tokio::test]
async fn a_holder_paused_between_check_and_act_has_no_effect() {
    let stub = StoreStub::start().await.unwrap();
    let store = client(&stub);
    let now = MonoTime::ZERO;
    let (mut paused, mut next) = (holder("paused"), holder("next"));
    settle(&mut paused, &store, now).await;
    settle(&mut next, &store, now).await;
    assert!(paused.is_held(now) && !next.is_held(now));

    // It checks, and makes ready to act; then it is paused past its lease.
    assert!(paused.is_held(now));
    let late = paused.fence(effect("paused")).unwrap();
    stub.expire_leases();
    let later = now + Duration::from_secs(20);
    settle(&mut next, &store, later).await;
    assert!(next.is_held(later));
    let good = next.fence(effect("next")).unwrap();
    assert!(store.commit(&good, TIME).await.unwrap().is_success);

    // It wakes, and acts without another look.
    assert!(!store.commit(&late, TIME).await.unwrap().is_success);
    let range = KeyRange::Key("/effect".to_owned());
    assert_eq!(
        store.range(&range, TIME).await.unwrap().values[0].value,
        b"next"
    );

    // Its next look at the clock tells it too.
    paused.handle(later, &LeaseEvent::Tick);
    assert!(!paused.is_held(later) && paused.fence(effect("paused")).is_none());
}

#[tokio::test]
async fn a_claim_whose_answer_was_lost_is_recognized() {
    let stub = StoreStub::start().await.unwrap();
    let store = client(&stub);
    let mut holder = holder("one");
    stub.set_faults(StoreFaults {
        lost_answers: 1,
        ..StoreFaults::default()
    });
    settle(&mut holder, &store, MonoTime::ZERO).await;
    assert!(!holder.is_held(MonoTime::ZERO));
    let later = MonoTime::ZERO + Duration::from_secs(6);
    settle(&mut holder, &store, later).await;
    assert!(holder.is_held(later));
    let txn = holder.fence(effect("one")).unwrap();
    assert!(store.commit(&txn, TIME).await.unwrap().is_success);
}

#[tokio::test]
async fn a_lease_that_is_not_wanted_any_more_is_free_at_once() {
    let stub = StoreStub::start().await.unwrap();
    let store = client(&stub);
    let now = MonoTime::ZERO;
    let mut first = holder("first");
    settle(&mut first, &store, now).await;
    first.handle(now, &LeaseEvent::Wanted(false));
    settle(&mut first, &store, now).await;
    let mut second = holder("second");
    settle(&mut second, &store, now).await;
    assert!(second.is_held(now));
}
