//! A stopping entry takes what it can finish.

use std::time::Duration;

use fescueway_admission::StopSchedule;
use fescueway_core::MonoTime;

const LINGER: Duration = Duration::from_millis(2_200);

/// Time limits of the routes, from short calls of backend servers to long reads.
const TIME_LIMITS_MS: [u64; 5] = [200, 500, 1_200, 2_000, 5_000];

#[test]
fn every_request_is_taken_while_callers_can_not_know_of_the_stop() {
    let schedule = StopSchedule::new(MonoTime::ZERO, LINGER, Duration::from_millis(5_500));
    for at_ms in (0..2_200).step_by(10) {
        let now = MonoTime::ZERO + Duration::from_millis(at_ms);
        for time_ms in TIME_LIMITS_MS {
            assert!(schedule.is_taken(now, Duration::from_millis(time_ms)));
        }
    }
}

/// Guards against requests that are taken late in a planned stop and cut off at its end.
#[test]
fn no_request_that_is_taken_late_outlives_the_stop() {
    for timeout_ms in [2_000, 2_200, 3_000, 5_500, 9_166] {
        let timeout = Duration::from_millis(timeout_ms);
        let schedule = StopSchedule::new(MonoTime::ZERO, LINGER, timeout);
        for at_ms in (2_200..12_000).step_by(10) {
            let now = MonoTime::ZERO + Duration::from_millis(at_ms);
            for time_ms in TIME_LIMITS_MS {
                let is_taken = schedule.is_taken(now, Duration::from_millis(time_ms));
                assert_eq!(is_taken, at_ms + time_ms <= timeout_ms);
            }
        }
    }
}
