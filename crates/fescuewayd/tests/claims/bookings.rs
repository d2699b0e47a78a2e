//! A booking that is sent again with its idempotency key runs once.

use std::{sync::Arc, time::Duration};

use fescueway_config::{AccountDirectory, AccountKey, AccountPlan, SitePlan};
use fescueway_core::AccountName;
use fescueway_testkit::{BackendFault, BackendPlan, StoreFaults};
use fescuewayd::Daemon;
use tokio::time::sleep;

use crate::fleet::Fleet;

#[tokio::test]
async fn a_booking_resent_through_another_entry_runs_once() {
    let fleet = Fleet::start(BackendPlan::default()).await;
    for number in 0..20 {
        let key = format!("booking-{number}");
        assert_eq!(fleet.book(number % 3, &key).await.status, 200);
        let repeated = fleet.book((number + 1) % 3, &key).await;
        assert_eq!(repeated.status, 409, "{repeated:?}");
        assert_eq!(
            (repeated.outcome.as_str(), repeated.reason.as_str()),
            ("ran", "")
        );
        assert_eq!(repeated.original_status, "200");
        assert_eq!(fleet.runs(&key), 1);
    }
}

#[tokio::test]
async fn a_node_counts_its_unsettled_partitions() {
    let mut fleet = Fleet::start(BackendPlan::default()).await;
    fleet.add(0, BackendPlan::default()).await;
    assert_eq!(fleet.nodes[3].unsettled_partitions(), 4);
    fleet.wait_until_settled().await;
    let unsettled = fleet.nodes.iter().map(Daemon::unsettled_partitions);
    assert_eq!(unsettled.sum::<u32>(), 0);
}

#[tokio::test]
async fn a_booking_with_a_lost_response_is_not_run_again() {
    let fleet = Fleet::start(BackendPlan::default()).await;
    for backend in &fleet.backends {
        backend.change(|plan| plan.fault = Some(BackendFault::DropResponses));
    }
    let first = fleet.book(0, "lost").await;
    assert_eq!((first.status, first.outcome.as_str()), (502, "unknown"));
    for backend in &fleet.backends {
        backend.change(|plan| plan.fault = None);
    }
    let repeated = fleet.book(1, "lost").await;
    assert_eq!(
        (repeated.status, repeated.outcome.as_str()),
        (409, "unknown")
    );
    assert_eq!(fleet.runs("lost"), 1);
}

#[tokio::test]
async fn a_resent_booking_runs_once_after_a_node_is_killed_or_stopped() {
    for is_killed in [true, false] {
        let mut fleet = Fleet::start(BackendPlan::default()).await;
        let keys: Vec<_> = (0..12).map(|number| format!("replaced-{number}")).collect();
        for key in &keys {
            assert_eq!(fleet.book(2, key).await.status, 200);
        }
        let removed = fleet.nodes.remove(0);
        if is_killed {
            removed.kill();
        } else {
            removed.stop().await;
        }
        fleet.add(0, BackendPlan::default()).await;
        for round in 0..8 {
            for key in &keys {
                let repeated = fleet.book(round % 3, key).await;
                assert_ne!(repeated.outcome, "not-run", "{repeated:?}");
                assert_eq!(fleet.runs(key), 1);
            }
            sleep(Duration::from_millis(250)).await;
        }
        fleet.wait_until_settled().await;
        let repeated = fleet.book(0, &keys[0]).await;
        assert_eq!(repeated.status, 409, "{repeated:?}");
    }
}

#[tokio::test]
async fn bookings_run_once_during_a_store_outage() {
    let fleet = Fleet::start(BackendPlan::default()).await;
    fleet.store.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    for number in 0..20 {
        let key = format!("outage-{number}");
        assert_eq!(fleet.book(number % 3, &key).await.status, 200);
        assert_eq!(fleet.book((number + 1) % 3, &key).await.status, 409);
    }
}

/// Guards against an account that is told of the booking of another one with the same idempotency key.
#[tokio::test]
async fn bookings_of_two_accounts_with_the_same_key_both_run() {
    let fleet = Fleet::start(BackendPlan::default()).await;
    let accounts = ["mill", "quarry"].map(|name| AccountPlan {
        name: AccountName::from(name),
        keys: vec![AccountKey::new(&format!("key-of-{name}"))],
        priority: None,
        allotment: None,
    });
    let accounts = AccountDirectory::try_new(accounts).expect("distinct keys");
    let accounts = Some(Arc::new(accounts));
    for node in &fleet.nodes {
        let plan = (*node.state().plan()).clone();
        let accounts = accounts.clone();
        let plan = Arc::new(SitePlan { accounts, ..plan });
        node.state().apply_plan(plan);
    }
    let book = |node, account_key| fleet.book_as(node, "order-1", account_key);
    assert_eq!(book(0, "key-of-mill").await.status, 200);
    assert_eq!(book(1, "key-of-quarry").await.status, 200);
    assert_eq!(fleet.runs("order-1"), 2);
    for key in ["key-of-mill", "key-of-quarry"] {
        let repeated = book(2, key).await;
        assert_eq!((repeated.status, &*repeated.outcome), (409, "ran"));
    }
    assert_eq!(book(0, "unknown").await.status, 401);
    assert_eq!(fleet.runs("order-1"), 2);
}
