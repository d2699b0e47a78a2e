//! Losses of nodes and of the network between them.

use std::time::Duration;

use fescueway_core::{AccountName, Priority};

use crate::fleet::{Fleet, Load, few_entries, uneven_weights};

const NODES: usize = 68;

/// A fleet with a hot account.
fn hot_fleet(seed: u64, rate_per_s: f64, seconds: (f64, f64)) -> (Fleet, AccountName) {
    let mut fleet = Fleet::new(NODES, seed);
    let account = fleet.set_plan("orchard", rate_per_s, rate_per_s);
    fleet.add_load(&Load {
        account: account.clone(),
        per_s: 7.0 * rate_per_s / 1.6,
        weights: few_entries(NODES, NODES),
        priority: Priority::Normal,
        seconds,
    });
    (fleet, account)
}

/// Guards against more than the bound while the owner is replaced, and against an account that gets nothing
/// after its owner was killed.
#[test]
fn killed_owner_is_replaced_within_the_bound() {
    for (seed, rate_per_s) in [(101, 5.0), (102, 60.0), (103, 300.0)] {
        let (mut fleet, account) = hot_fleet(seed, rate_per_s, (100.0, 130.0));
        fleet.run_until(110.0);
        let owner = fleet.owner_of(&account, 0);
        fleet.kill(owner);
        fleet.run_until(131.0);
        fleet.assert_bound(&account, &fleet.plans[&account]);
        let used = fleet.runs(&account, 116.0, 130.0).len() as f64;
        assert!(used > 0.85 * rate_per_s * 14.0, "{used} at {rate_per_s}/s");
    }
}

/// Guards against a new owner's bucket that is nearly empty for an account that was idle.
#[test]
fn killed_owner_of_a_calm_account_costs_a_few_seconds() {
    let mut fleet = Fleet::new(NODES, 111);
    let account = fleet.set_plan("orchard", 60.0, 60.0);
    fleet.add_load(&Load {
        account: account.clone(),
        per_s: 38.0,
        weights: uneven_weights(NODES),
        priority: Priority::Normal,
        seconds: (100.0, 140.0),
    });
    fleet.run_until(110.0);
    let owner = fleet.owner_of(&account, 0);
    fleet.kill(owner);
    fleet.run_until(141.0);
    let refused = fleet.decided.iter().filter(|one| one.result.is_err());
    let last = refused
        .map(|one| one.at.as_micros())
        .max()
        .unwrap_or_default();
    assert!(last < 116_000_000, "refused at {last}");
    let waited = fleet.decided.iter().map(|one| one.waited).max();
    assert!(waited <= Some(Duration::from_millis(250)), "{waited:?}");
}

/// Guards against both sides of a partition using the full rate, at once, after the failure detection
/// and after the memory of the lost nodes has ended, and when they meet again.
#[test]
fn partitioned_fleet_stays_within_the_bound() {
    // Half and half, two thirds and one third, and one node cut off.
    for (seed, cut) in [(121, 34), (122, 23), (123, 33), (124, 1)] {
        for rate_per_s in [2.0, 60.0, 300.0] {
            let (mut fleet, account) = hot_fleet(seed, rate_per_s, (100.0, 170.0));
            fleet.run_until(110.0);
            fleet.set_group(0..cut, 1);
            fleet.run_until(155.0);
            fleet.set_group(0..cut, 0);
            fleet.run_until(171.0);
            fleet.assert_bound(&account, &fleet.plans[&account]);
            if cut < 34 {
                let used = fleet.runs(&account, 150.0, 155.0).len() as f64;
                assert!(
                    used + 2.0 > 0.8 * rate_per_s * 5.0,
                    "{used} at {rate_per_s}/s, {cut} cut off"
                );
            }
        }
    }
}

/// Guards against a fleet whose nodes each believe to be the only one while they start.
#[test]
fn restart_of_all_nodes_stays_within_the_bound() {
    for (seed, rate_per_s) in [(131, 2.0), (132, 60.0), (133, 300.0)] {
        let (mut fleet, account) = hot_fleet(seed, rate_per_s, (100.0, 110.0));
        fleet.run_until(110.0);
        for index in 0..NODES {
            fleet.kill(index);
        }
        for _ in 0..NODES {
            fleet.start_node();
        }
        let mut weights = vec![0.0; NODES];
        weights.extend(few_entries(NODES, NODES));
        fleet.add_load(&Load {
            account: account.clone(),
            per_s: 7.0 * rate_per_s / 1.6,
            weights,
            priority: Priority::Normal,
            seconds: (110.0, 140.0),
        });
        fleet.run_until(141.0);
        fleet.assert_bound(&account, &fleet.plans[&account]);
        let used = fleet.runs(&account, 125.0, 140.0).len() as f64;
        assert!(used > 0.85 * rate_per_s * 15.0, "{used} at {rate_per_s}/s");
    }
}

/// Guards against an owner that was frozen and grants from a full bucket although another node has
/// replaced it, and against an entry that uses tokens that have expired meanwhile.
#[test]
fn frozen_owner_stays_within_the_bound() {
    for (seed, freeze) in [(141, 300), (142, 1_100), (143, 2_000), (144, 9_000)] {
        for rate_per_s in [10.0, 100.0] {
            let (mut fleet, account) = hot_fleet(seed, rate_per_s, (100.0, 140.0));
            fleet.run_until(110.0);
            let owner = fleet.owner_of(&account, 0);
            fleet.freeze(owner, Duration::from_millis(freeze));
            fleet.freeze((owner + 1) % NODES, Duration::from_millis(freeze));
            fleet.run_until(141.0);
            fleet.assert_bound(&account, &fleet.plans[&account]);
        }
    }
}

/// Guards against two owners that grant at the same time while a node joins, and against refusals
/// of calm accounts then.
#[test]
fn joining_nodes_take_over_without_refusals() {
    let mut fleet = Fleet::new(20, 151);
    let mut accounts = Vec::new();
    for number in 0..100 {
        let account = fleet.set_plan(&format!("account-{number}"), 20.0, 20.0);
        fleet.add_load(&Load {
            account: account.clone(),
            per_s: 12.6,
            weights: uneven_weights(20),
            priority: Priority::Normal,
            seconds: (100.0, 160.0),
        });
        accounts.push(account);
    }
    let hot = fleet.set_plan("hot", 60.0, 60.0);
    fleet.add_load(&Load {
        account: hot.clone(),
        per_s: 260.0,
        weights: few_entries(20, 20),
        priority: Priority::Normal,
        seconds: (100.0, 160.0),
    });
    for second in 0..10 {
        fleet.run_until(105.0 + 4.0 * f64::from(second));
        fleet.start_node();
    }
    fleet.run_until(161.0);
    fleet.assert_bound(&hot, &fleet.plans[&hot]);
    let calm = fleet.decided.iter().filter(|one| one.account != hot);
    let refused = calm.filter(|one| one.result.is_err()).count();
    assert_eq!(refused, 0);
    for account in &accounts {
        fleet.assert_bound(account, &fleet.plans[account]);
    }
}
