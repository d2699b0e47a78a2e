//! Silence of a connection to a peer is told from slow answers, lost packets and a process that was held
//! up.

use std::time::Duration;

use fescueway_core::MonoTime;
use fescueway_routing::{PeerSilence, SilenceDetector, SilenceStep};

fn at(ms: u64) -> MonoTime {
    MonoTime::from_micros(ms * 1_000)
}

/// A connection on which the peer answers pings after `ping_ms`, and the request after `answer_ms`;
/// `None` for never.
struct Connection {
    detector: SilenceDetector,
    ping_ms: Option<u64>,
    answer_ms: Option<u64>,
}

impl Connection {
    /// Sends a request at zero, and returns the states that the connection takes until `until_ms`, with
    /// the time of each.
    fn play(mut self, until_ms: u64) -> Vec<(u64, PeerSilence)> {
        self.detector.sent(at(0));
        let mut states = vec![(0, PeerSilence::None)];
        let (mut due, mut pong) = (0, None);
        for ms in 0..=until_ms {
            if pong == Some(ms) || self.answer_ms == Some(ms) {
                let is_waiting = self.answer_ms.is_none_or(|answer_ms| ms < answer_ms);
                self.detector.heard(at(ms), is_waiting);
                due = ms;
            }
            while due <= ms {
                match self.detector.step(at(ms)) {
                    SilenceStep::Rest => due = u64::MAX,
                    SilenceStep::Wait(time) => due = time.as_micros() / 1_000,
                    SilenceStep::Ping => pong = self.ping_ms.map(|ping_ms| ms + ping_ms),
                }
            }
            let silence = self.detector.silence();
            if states.last().is_none_or(|(_, last)| *last != silence) {
                states.push((ms, silence));
            }
        }
        states
    }
}

fn connection(ping_ms: Option<u64>, answer_ms: Option<u64>) -> Connection {
    Connection {
        detector: SilenceDetector::default(),
        ping_ms,
        answer_ms,
    }
}

#[test]
fn slow_answer_of_a_peer_that_answers_pings_is_no_silence() {
    for answer_ms in [Some(40), Some(900), Some(4_800), None] {
        let states = connection(Some(3), answer_ms).play(6_000);
        assert_eq!(states, [(0, PeerSilence::None)]);
    }
}

#[test]
fn connection_without_a_sign_of_life_gets_no_new_requests_within_half_a_second() {
    let states = connection(None, None).play(6_000);
    let silent_ms = states[1].0;
    assert_eq!(states[1].1, PeerSilence::Silent);
    assert!(silent_ms < 500, "{silent_ms}");
    assert_eq!(states[2].1, PeerSilence::Dead);
    assert!(states[2].0 < 2_000, "{states:?}");
}

/// A packet that is lost three times in a row comes after 0.2 + 0.4 + 0.8 s.
#[test]
fn connection_whose_packets_are_repeated_is_used_again_and_never_dead() {
    for delay_ms in [200, 600, 1_400] {
        let states = connection(Some(delay_ms), Some(4_000)).play(6_000);
        let last = states.last().map(|(_, silence)| *silence);
        assert_eq!(last, Some(PeerSilence::None), "{states:?}");
        assert!(
            states
                .iter()
                .all(|(_, silence)| *silence != PeerSilence::Dead)
        );
    }
}

/// A process that was paused reads what arrived meanwhile only after its timers have fired.
#[test]
fn connection_is_not_silent_because_this_process_was_paused() {
    let mut detector = SilenceDetector::default();
    detector.sent(at(0));
    assert_eq!(detector.step(at(0)), SilenceStep::Wait(at(100)));
    assert_eq!(detector.step(at(100)), SilenceStep::Ping);
    assert_eq!(detector.step(at(100)), SilenceStep::Wait(at(350)));
    // The timer fires 2 s late.
    let SilenceStep::Wait(again) = detector.step(at(2_350)) else {
        panic!("it waits once more");
    };
    assert_eq!(detector.silence(), PeerSilence::None);
    detector.heard(at(2_351), false);
    assert_eq!(detector.step(again), SilenceStep::Rest);
}

#[test]
fn silent_connection_stays_silent_until_the_peer_is_heard() {
    let mut detector = SilenceDetector::default();
    detector.check_failed(at(10));
    detector.finished();
    assert_eq!(detector.silence(), PeerSilence::Silent);
    detector.heard(at(20), false);
    assert_eq!(detector.silence(), PeerSilence::None);
    assert_eq!(detector.step(at(30)), SilenceStep::Rest);
}

#[test]
fn check_pings_at_once() {
    let mut detector = SilenceDetector::default();
    let now = at(5_000);
    detector.request_ping(now);
    assert_eq!(detector.step(now), SilenceStep::Ping);
    let waiting = detector.step(now);
    assert_eq!(waiting, SilenceStep::Wait(now + Duration::from_millis(250)));
}
