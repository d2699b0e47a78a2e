//! Nodes that lost the store don't storm it when it is back.

use std::time::Duration;

use fescueway_core::MonoTime;
use fescueway_platform::StorePacer;
use rand_pcg::Pcg64Mcg;

/// Reads that the store takes each second, for all nodes.
const STORE_READS_PER_S: usize = 2_000;

/// Nodes at the target size.
const FLEET: usize = 6_000;

/// Nodes of the test.
const NODES: usize = 600;

/// Calls in each second from an outage of ten minutes to ten minutes after it, when every node
/// wants to call all the time.
fn calls_by_second(seed: u128) -> Vec<usize> {
    let outage = 600;
    let mut random = Pcg64Mcg::new(seed);
    let mut pacers = vec![StorePacer::for_node(MonoTime::ZERO); NODES];
    let mut seconds = Vec::new();
    for second in 0..2 * outage {
        let mut calls = 0;
        for part in 0..10 {
            let now = MonoTime::from_micros((second * 10 + part) * 100_000);
            for pacer in &mut pacers {
                while pacer.try_call(now).is_ok() {
                    calls += 1;
                    if second < outage {
                        pacer.on_failure(now, &mut random);
                    } else {
                        pacer.on_success();
                    }
                }
            }
        }
        seconds.push(calls);
    }
    seconds
}

#[test]
fn nodes_reconnect_below_what_the_store_takes() {
    for seed in 1..4 {
        let seconds = calls_by_second(seed);
        let after = &seconds[600..];
        let peak = after.iter().max().copied().unwrap_or_default();
        let share = STORE_READS_PER_S * NODES / FLEET;
        assert!(
            peak <= share,
            "seed {seed}: {peak} calls in one second, of {share}"
        );
        let served: usize = after.iter().sum();
        assert!(served >= NODES, "seed {seed}: some node never got through");
    }
}

#[test]
fn the_budget_holds_while_the_store_answers() {
    let mut pacer = StorePacer::for_node(MonoTime::ZERO);
    let mut calls = 0;
    for tenth in 0..10 * 600 {
        let now = MonoTime::from_micros(tenth * 100_000);
        while pacer.try_call(now).is_ok() {
            calls += 1;
            pacer.on_success();
        }
    }
    assert!(calls <= 5 + 600 / 5, "{calls} calls in ten minutes");
    let later = MonoTime::from_micros(600_000_000);
    let refused = (0..2).find_map(|_call| pacer.try_call(later).err());
    let opens_at = refused.unwrap();
    assert!(opens_at.since(later) <= Duration::from_secs(5));
}

#[test]
fn a_watcher_is_back_within_two_seconds_of_the_stores_return() {
    let mut random = Pcg64Mcg::new(9);
    let mut pacer = StorePacer::for_node(MonoTime::ZERO);
    pacer.set_role(&StorePacer::for_watcher(MonoTime::ZERO));
    let mut now = MonoTime::ZERO;
    for _failure in 0..40 {
        match pacer.try_call(now) {
            Ok(()) => pacer.on_failure(now, &mut random),
            Err(opens_at) => {
                assert!(opens_at.since(now) <= Duration::from_secs(2));
                now = opens_at;
            }
        }
    }
    assert!(
        now > MonoTime::from_micros(15_000_000),
        "an outage of {now:?} only"
    );
}
