//! Loads of accounts while no node is lost.

use std::time::Duration;

use fescueway_core::Priority;

use crate::fleet::{Fleet, Load, distinct, few_entries, uneven_weights};

const NODES: usize = 68;

/// Guards against requests refused below the limit: at the wrong entry, or because tokens lie unused at
/// other entries. Covers accounts of 2 to 300 requests a second.
#[test]
fn calm_load_is_never_refused() {
    for (seed, rate_per_s) in [(1, 2.0), (2, 5.0), (3, 20.0), (4, 100.0), (5, 300.0)] {
        let mut fleet = Fleet::new(NODES, seed);
        let account = fleet.set_plan("orchard", rate_per_s, rate_per_s);
        fleet.add_load(&Load {
            account: account.clone(),
            per_s: 0.63 * rate_per_s,
            weights: uneven_weights(NODES),
            priority: Priority::Normal,
            seconds: (100.0, 160.0),
        });
        // The callers move to other entries.
        let mut moved = uneven_weights(NODES);
        moved.reverse();
        fleet.add_load(&Load {
            account: account.clone(),
            per_s: 0.63 * rate_per_s,
            weights: moved,
            priority: Priority::Normal,
            seconds: (160.0, 220.0),
        });
        fleet.run_until(221.0);
        assert_eq!(fleet.refused(), 0, "at {rate_per_s}/s");
        assert!(fleet.decided.len() as f64 > 0.5 * rate_per_s * 120.0);
        let longest = fleet.decided.iter().map(|one| one.waited).max();
        assert!(longest < Some(Duration::from_millis(7)), "{longest:?}");
        fleet.assert_bound(&account, &fleet.plans[&account]);
    }
}

/// Guards against a hot account that gets more than its limit, or less than its rate, at few entries and
/// at all of them, and against a message for each refused request.
#[test]
fn hot_account_gets_its_rate_and_no_more() {
    for (seed, rate_per_s) in [(11, 10.0), (12, 60.0), (13, 300.0)] {
        let mut fleet = Fleet::new(NODES, seed);
        let account = fleet.set_plan("orchard", rate_per_s, rate_per_s);
        let hot_per_s = 7.0 * rate_per_s / 1.6;
        for (weights, seconds) in [
            (few_entries(NODES, 3), (100.0, 120.0)),
            (few_entries(NODES, NODES), (120.0, 140.0)),
        ] {
            fleet.add_load(&Load {
                account: account.clone(),
                per_s: hot_per_s,
                weights,
                priority: Priority::Normal,
                seconds,
            });
        }
        fleet.run_until(141.0);
        fleet.assert_bound(&account, &fleet.plans[&account]);
        for (from_s, to_s) in [(105.0, 120.0), (125.0, 140.0)] {
            let used = fleet.runs(&account, from_s, to_s).len() as f64;
            let part = used / (rate_per_s * (to_s - from_s));
            assert!(part > 0.9, "{part} of {rate_per_s}/s used from {from_s} s");
        }
        let messages: u64 = fleet.received.values().sum();
        let per_s = messages as f64 / 40.0;
        // Without pauses each refused request would be asked for.
        assert!(
            per_s < 400.0 + rate_per_s,
            "{per_s} messages/s at {rate_per_s}/s"
        );
    }
}

/// Guards against refused requests that are all told to come again at the same time, or at once.
#[test]
fn refused_requests_come_again_at_different_times() {
    let mut fleet = Fleet::new(NODES, 21);
    let account = fleet.set_plan("orchard", 60.0, 60.0);
    fleet.add_load(&Load {
        account,
        per_s: 260.0,
        weights: few_entries(NODES, NODES),
        priority: Priority::Normal,
        seconds: (100.0, 110.0),
    });
    fleet.run_until(111.0);
    let late = fleet
        .decided
        .iter()
        .filter(|one| one.at.as_micros() > 105_000_000);
    let times: Vec<_> = late.filter_map(|one| one.result.err()).collect();
    assert!(times.len() > 500);
    assert!(distinct(times.iter().copied()) > times.len() / 2);
    let longest = times.iter().max().copied();
    assert!(longest <= Some(Duration::from_secs(8)), "{longest:?}");
    // More than a second's worth waits already.
    let short = times
        .iter()
        .filter(|time| **time < Duration::from_millis(500))
        .count();
    assert!(short < times.len() / 10, "{short} of {}", times.len());
}

/// Guards against urgent requests of a hot account that are refused while others run.
#[test]
fn urgent_requests_run_first() {
    let mut fleet = Fleet::new(NODES, 31);
    let account = fleet.set_plan("orchard", 100.0, 100.0);
    for (priority, per_s) in [(Priority::High, 60.0), (Priority::Low, 400.0)] {
        fleet.add_load(&Load {
            account: account.clone(),
            per_s,
            weights: uneven_weights(NODES),
            priority,
            seconds: (100.0, 130.0),
        });
    }
    fleet.run_until(131.0);
    fleet.assert_bound(&account, &fleet.plans[&account]);
    let late = fleet
        .decided
        .iter()
        .filter(|one| one.at.as_micros() > 105_000_000);
    let urgent: Vec<_> = late.filter(|one| one.priority == Priority::High).collect();
    let refused = urgent.iter().filter(|one| one.result.is_err()).count();
    assert!(
        refused * 100 <= urgent.len(),
        "{refused} of {} urgent refused",
        urgent.len()
    );
    let used = fleet.runs(&account, 105.0, 130.0).len();
    assert!(used > 2_250, "{used} of 2500 tokens used");
}

/// Guards against tokens of a higher limit that are used after it was lowered.
#[test]
fn lowered_limit_binds_after_one_window() {
    let mut fleet = Fleet::new(NODES, 41);
    let account = fleet.set_plan("orchard", 200.0, 200.0);
    fleet.add_load(&Load {
        account: account.clone(),
        per_s: 900.0,
        weights: uneven_weights(NODES),
        priority: Priority::Normal,
        seconds: (100.0, 130.0),
    });
    fleet.run_until(110.0);
    fleet.assert_bound(&account, &fleet.plans[&account]);
    fleet.set_plan("orchard", 20.0, 20.0);
    fleet.run_until(131.0);
    let most = fleet.most_in_window(&account, 110.0);
    // (20 x 5 + 20) x 1.1 + 20, and the tokens that were granted before.
    assert!(most <= 152 + 60, "{most}");
    let most = fleet.most_in_window(&account, 111.0);
    assert!(most <= 152, "{most}");
}

/// Guards against state or messages that grow with the number of accounts rather than with their use.
#[test]
fn ten_thousand_accounts_hold_state_only_while_in_use() {
    let mut fleet = Fleet::new(12, 51);
    for number in 0..10_000 {
        let account = fleet.set_plan(&format!("account-{number}"), 2.0, 2.0);
        let second = 100.0 + f64::from(number) / 500.0;
        fleet.add_load(&Load {
            account,
            per_s: 1.2,
            weights: uneven_weights(12),
            priority: Priority::Normal,
            seconds: (second, second + 2.0),
        });
    }
    fleet.run_until(115.0);
    let most = (0..12)
        .map(|index| fleet.entry(index).account_count())
        .max();
    assert!(most < Some(4_000), "{most:?} accounts at an entry");
    fleet.run_until(160.0);
    for index in 0..12 {
        assert_eq!(fleet.entry(index).account_count(), 0);
    }
    assert_eq!(fleet.owned_accounts(), 0);
    let refused = fleet.refused();
    assert_eq!(refused, 0, "of {}", fleet.decided.len());
    let messages: u64 = fleet.received.values().sum();
    assert!(messages as usize <= 2 * fleet.decided.len());
}
