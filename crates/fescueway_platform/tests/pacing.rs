//! The rate of calls to the store, in particular that nodes do not overload it when it recovers
//! from an outage.

use std::time::Duration;

use fescueway_core::MonoTime;
use fescueway_platform::StorePacer;
use rand_pcg::Pcg64Mcg;

/// Reads per second that the store serves, for the whole fleet.
const STORE_READS_PER_S: usize = 2_000;

/// Fleet size that the system is designed for.
const FLEET_NODES: usize = 6_000;

/// Simulated nodes.
const TEST_NODES: usize = 600;

/// Returns the calls in each second of an outage of ten minutes and of the ten minutes after it.
/// Every node calls as often as its pacer allows.
fn calls_by_second(seed: u128) -> Vec<usize> {
    let outage = 600;
    let mut random = Pcg64Mcg::new(seed);
    let mut pacers = vec![StorePacer::for_node(MonoTime::ZERO); TEST_NODES];
    let mut per_second = Vec::new();
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
        per_second.push(calls);
    }
    per_second
}

#[test]
fn calls_after_an_outage_stay_below_the_capacity_of_the_store() {
    for seed in 1..4 {
        let per_second = calls_by_second(seed);
        let after = &per_second[600..];
        let peak = after.iter().max().copied().unwrap_or_default();
        let share = STORE_READS_PER_S * TEST_NODES / FLEET_NODES;
        assert!(
            peak <= share,
            "seed {seed}: {peak} calls in one second, of {share}"
        );
        let served: usize = after.iter().sum();
        assert!(served >= TEST_NODES, "seed {seed}: some node made no call");
    }
}

#[test]
fn call_rate_is_limited_while_the_store_answers() {
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
    let retry_at = refused.unwrap();
    assert!(retry_at.since(later) <= Duration::from_secs(5));
}

#[test]
fn backoff_of_a_watcher_is_at_most_one_second() {
    let mut random = Pcg64Mcg::new(9);
    let mut pacer = StorePacer::for_node(MonoTime::ZERO);
    pacer.set_role(&StorePacer::for_watcher(MonoTime::ZERO));
    let mut now = MonoTime::ZERO;
    for _failure in 0..80 {
        match pacer.try_call(now) {
            Ok(()) => pacer.on_failure(now, &mut random),
            Err(retry_at) => {
                assert!(retry_at.since(now) <= Duration::from_secs(1));
                now = retry_at;
            }
        }
    }
    assert!(
        now > MonoTime::from_micros(15_000_000),
        "an outage of {now:?} only"
    );
}

/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after an outage until the store counts as stable again, less the time that a change needs to
/// reach all nodes.
const READ_TIME: Duration = Duration::from_millis(2_500);

#[test]
fn watcher_reads_the_store_in_time_after_a_silent_outage() {
    for seed in 1..500 {
        let mut random = Pcg64Mcg::new(seed);
        let mut pacer = StorePacer::for_watcher(MonoTime::ZERO);
        let outage_end = MonoTime::ZERO + Duration::from_millis(200 * seed as u64);
        let mut now = MonoTime::ZERO;
        // Each call that is made during the outage ends by its timeout.
        while now < outage_end {
            match pacer.try_call(now) {
                Ok(()) => {
                    now = now + CALL_TIMEOUT;
                    pacer.on_failure(now, &mut random);
                }
                Err(opens_at) => now = opens_at,
            }
        }
        while let Err(opens_at) = pacer.try_call(now) {
            now = opens_at;
        }
        let delay = now.since(outage_end);
        assert!(delay <= READ_TIME, "seed {seed}: {delay:?}");
    }
}
