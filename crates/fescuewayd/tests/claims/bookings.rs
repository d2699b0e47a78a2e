//! A booking sent again runs once.

use std::time::Duration;

use fescueway_testkit::{BackendFault, BackendPlan, StoreFaults};
use fescuewayd::Daemon;
use tokio::time::sleep;

use crate::fleet::Fleet;

#[tokio::test]
async fn a_booking_sent_again_through_another_entry_runs_once() {
    let fleet = Fleet::start(BackendPlan::default()).await;
    for number in 0..20 {
        let key = format!("booking-{number}");
        assert_eq!(fleet.book(number % 3, &key).await.status, 200);
        let again = fleet.book((number + 1) % 3, &key).await;
        assert_eq!(again.status, 409, "{again:?}");
        assert_eq!((again.outcome.as_str(), again.reason.as_str()), ("ran", ""));
        assert_eq!(again.original_status, "200");
        assert_eq!(fleet.runs(&key), 1);
    }
}

#[tokio::test]
async fn a_node_tells_which_partitions_are_still_closed() {
    let mut fleet = Fleet::start(BackendPlan::default()).await;
    fleet.add(0, BackendPlan::default()).await;
    assert_eq!(fleet.nodes[3].unsettled_partitions(), 4);
    fleet.settle().await;
    let open = fleet.nodes.iter().map(Daemon::unsettled_partitions);
    assert_eq!(open.sum::<u32>(), 0);
}

#[tokio::test]
async fn a_booking_whose_answer_was_lost_is_not_run_again() {
    let fleet = Fleet::start(BackendPlan::default()).await;
    for backend in &fleet.backends {
        backend.change(|plan| plan.fault = Some(BackendFault::LoseAnswers));
    }
    let first = fleet.book(0, "lost").await;
    assert_eq!((first.status, first.outcome.as_str()), (502, "unknown"));
    for backend in &fleet.backends {
        backend.change(|plan| plan.fault = None);
    }
    let again = fleet.book(1, "lost").await;
    assert_eq!((again.status, again.outcome.as_str()), (409, "unknown"));
    assert_eq!(fleet.runs("lost"), 1);
}

#[tokio::test]
async fn a_booking_runs_once_though_a_node_is_lost_or_leaves_between_two_sends() {
    for is_killed in [true, false] {
        let mut fleet = Fleet::start(BackendPlan::default()).await;
        let keys: Vec<_> = (0..12).map(|number| format!("replaced-{number}")).collect();
        for key in &keys {
            assert_eq!(fleet.book(2, key).await.status, 200);
        }
        let gone = fleet.nodes.remove(0);
        if is_killed {
            gone.kill();
        } else {
            gone.stop().await;
        }
        fleet.add(0, BackendPlan::default()).await;
        for round in 0..8 {
            for key in &keys {
                let again = fleet.book(round % 3, key).await;
                assert_ne!(again.outcome, "not-run", "{again:?}");
                assert_eq!(fleet.runs(key), 1);
            }
            sleep(Duration::from_millis(250)).await;
        }
        fleet.settle().await;
        let again = fleet.book(0, &keys[0]).await;
        assert_eq!(again.status, 409, "{again:?}");
    }
}

#[tokio::test]
async fn bookings_run_on_while_the_store_is_down() {
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
