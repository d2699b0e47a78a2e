//! A holder that was paused until its lease expired must not write any more.

mod common;

use std::time::Duration;

use common::{TIMEOUT, client};
use fescueway_core::MonoTime;
use fescueway_platform::{KeyRange, StoreClient, StoreOp, StoreTxn};
use fescueway_rollout::{LeaseAction, LeaseEvent, LeaseHolder};
use fescueway_testkit::{StoreFaults, StoreStub};

const KEY: &str = "/lease";

/// Runs a holder's actions until none is due.
async fn run_until_waiting(holder: &mut LeaseHolder, store: &StoreClient, now: MonoTime) {
    for _action in 0..10 {
        let event = match holder.action(now) {
            LeaseAction::Wait => return,
            LeaseAction::Grant(ttl) => match store.grant_lease(ttl, TIMEOUT).await {
                Ok(grant) => LeaseEvent::Granted {
                    asked_at: now,
                    grant,
                },
                Err(_) => LeaseEvent::Failed { is_lapsed: false },
            },
            LeaseAction::Claim(txn) => match store.commit(&txn, TIMEOUT).await {
                Ok(reply) => LeaseEvent::Claimed(reply),
                Err(_) => LeaseEvent::Failed { is_lapsed: false },
            },
            LeaseAction::KeepAlive(lease) => match store.keep_lease_alive(lease, TIMEOUT).await {
                Ok(grant) => LeaseEvent::Granted {
                    asked_at: now,
                    grant,
                },
                Err(_) => LeaseEvent::Failed { is_lapsed: true },
            },
            LeaseAction::Revoke(lease) => {
                let _ = store.revoke_lease(lease, TIMEOUT).await;
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

fn write_txn(writer: &str) -> StoreTxn {
    StoreTxn {
        then: vec![StoreOp::Put {
            key: "/effect".to_owned(),
            value: writer.into(),
            lease: None,
        }],
        ..StoreTxn::default()
    }
}

#[tokio::test]
async fn write_by_a_holder_paused_past_its_lease_is_rejected() {
    let stub = StoreStub::start().await.unwrap();
    let store = client(&stub);
    let now = MonoTime::ZERO;
    let (mut paused, mut next) = (holder("paused"), holder("next"));
    run_until_waiting(&mut paused, &store, now).await;
    run_until_waiting(&mut next, &store, now).await;
    assert!(paused.is_held(now) && !next.is_held(now));

    // The holder checks its lease and builds the transaction; then it is paused until the lease
    // expires.
    assert!(paused.is_held(now));
    let stale_txn = paused.fence(write_txn("paused")).unwrap();
    stub.expire_leases();
    let later = now + Duration::from_secs(20);
    run_until_waiting(&mut next, &store, later).await;
    assert!(next.is_held(later));
    let next_txn = next.fence(write_txn("next")).unwrap();
    assert!(store.commit(&next_txn, TIMEOUT).await.unwrap().is_success);

    // It resumes and sends the transaction without checking its lease again.
    assert!(!store.commit(&stale_txn, TIMEOUT).await.unwrap().is_success);
    let range = KeyRange::Key("/effect".to_owned());
    assert_eq!(
        store.range(&range, TIMEOUT).await.unwrap().values[0].value,
        b"next"
    );

    // Its own clock shows the expiry on the next tick.
    paused.handle(later, &LeaseEvent::Tick);
    assert!(!paused.is_held(later) && paused.fence(write_txn("paused")).is_none());
}

#[tokio::test]
async fn claim_with_a_lost_reply_is_recognized() {
    let stub = StoreStub::start().await.unwrap();
    let store = client(&stub);
    let mut holder = holder("one");
    stub.set_faults(StoreFaults {
        lost_answers: 1,
        ..StoreFaults::default()
    });
    run_until_waiting(&mut holder, &store, MonoTime::ZERO).await;
    assert!(!holder.is_held(MonoTime::ZERO));
    let later = MonoTime::ZERO + Duration::from_secs(6);
    run_until_waiting(&mut holder, &store, later).await;
    assert!(holder.is_held(later));
    let txn = holder.fence(write_txn("one")).unwrap();
    assert!(store.commit(&txn, TIMEOUT).await.unwrap().is_success);
}

#[tokio::test]
async fn released_lease_is_available_at_once() {
    let stub = StoreStub::start().await.unwrap();
    let store = client(&stub);
    let now = MonoTime::ZERO;
    let mut first = holder("first");
    run_until_waiting(&mut first, &store, now).await;
    first.handle(now, &LeaseEvent::Wanted(false));
    run_until_waiting(&mut first, &store, now).await;
    let mut second = holder("second");
    run_until_waiting(&mut second, &store, now).await;
    assert!(second.is_held(now));
}
