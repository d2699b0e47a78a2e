//! Detects that a connection to a peer has gone silent.

use std::time::Duration;

use fescueway_core::MonoTime;

/// Time without a byte from a peer that has something to answer, after which it is pinged. Most answers
/// arrive sooner.
const PING_DELAY: Duration = Duration::from_millis(100);

/// Time without a byte after a ping, after which the connection gets no new streams. A peer answers
/// pings at once, but a lost packet is sent again only after 200 ms.
const SILENCE_TIME: Duration = Duration::from_millis(250);

/// Time without a byte after a ping, after which the connection is closed if another one to the same
/// peer works. Longer than three repetitions of a lost packet take.
const DEATH_TIME: Duration = Duration::from_millis(1_500);

/// How often a dead connection is checked for whether it can be closed.
const DEATH_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Largest delay of a timer that doesn't show that this process itself was held up.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(50);

/// State of a connection to a peer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PeerSilence {
    /// The peer has nothing to answer, or was heard lately.
    #[default]
    None,
    /// The peer doesn't answer a ping. Streams on the connection may still be answered.
    Silent,
    /// The peer hasn't answered a ping for so long that no answer is expected any more.
    Dead,
}

/// What to do next about a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceStep {
    /// Wait until something is sent.
    Rest,
    /// Call [`SilenceDetector::step`] again at this time.
    Wait(MonoTime),
    /// Send a ping, and call [`SilenceDetector::step`] again.
    Ping,
}

/// Detects that a connection to a peer has gone silent: its bytes are lost without an error, while new
/// connections to the same peer work.
///
/// ```text
/// sent --100 ms--> ping --250 ms--> silent --1.25 s--> dead
/// ```
///
/// Any byte that arrives starts this anew. If this process was held up, bytes may have arrived that it
/// has not read, so it waits once more.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceDetector {
    /// Since when the peer has had something to answer and was not heard.
    waiting_since: Option<MonoTime>,
    /// When it was pinged since then.
    pinged_at: Option<MonoTime>,
    /// When the next step is due.
    due_at: Option<MonoTime>,
    /// The state.
    silence: PeerSilence,
}

impl SilenceDetector {
    /// Records that something was sent that the peer answers.
    pub fn sent(&mut self, now: MonoTime) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that bytes arrived. `is_waiting` tells whether the peer still has something to answer.
    pub fn heard(&mut self, now: MonoTime, is_waiting: bool) {
        *self = Self {
            waiting_since: is_waiting.then_some(now),
            ..Self::default()
        };
    }

    /// Records that nothing is left that the peer could answer. A silent connection stays silent until the
    /// peer is heard.
    pub fn finished(&mut self) {
        if self.silence == PeerSilence::None {
            *self = Self::default();
        }
    }

    /// Requests a ping at once, unless one is unanswered.
    pub fn request_ping(&mut self, now: MonoTime) {
        let asked_at = MonoTime::from_micros(
            now.as_micros()
                .saturating_sub(PING_DELAY.as_micros() as u64),
        );
        self.waiting_since = Some(
            self.waiting_since
                .map_or(asked_at, |time| time.min(asked_at)),
        );
    }

    /// Records that the peer did not answer a check of the connection.
    pub fn check_failed(&mut self, now: MonoTime) {
        self.waiting_since.get_or_insert(now);
        self.pinged_at.get_or_insert(now);
        if self.silence == PeerSilence::None {
            self.silence = PeerSilence::Silent;
        }
    }

    /// When the peer was pinged without an answer so far.
    #[must_use]
    pub fn pinged_at(&self) -> Option<MonoTime> {
        self.pinged_at
    }

    /// The state of the connection.
    #[must_use]
    pub fn silence(&self) -> PeerSilence {
        self.silence
    }

    /// Advances the time.
    pub fn step(&mut self, now: MonoTime) -> SilenceStep {
        let Some(waiting_since) = self.waiting_since else {
            return SilenceStep::Rest;
        };
        let was_held_up = self
            .due_at
            .is_some_and(|due_at| now > due_at + MAX_TIMER_DELAY);
        let Some(pinged_at) = self.pinged_at else {
            if now < waiting_since + PING_DELAY {
                return self.wait(waiting_since + PING_DELAY);
            }
            self.pinged_at = Some(now);
            self.due_at = None;
            return SilenceStep::Ping;
        };
        let delay = match self.silence {
            PeerSilence::None => SILENCE_TIME,
            PeerSilence::Silent => DEATH_TIME,
            PeerSilence::Dead => return self.wait(now + DEATH_CHECK_PERIOD),
        };
        if was_held_up {
            return self.wait(now + MAX_TIMER_DELAY);
        }
        if now < pinged_at + delay {
            return self.wait(pinged_at + delay);
        }
        self.silence = match self.silence {
            PeerSilence::None => PeerSilence::Silent,
            PeerSilence::Silent | PeerSilence::Dead => PeerSilence::Dead,
        };
        self.due_at = None;
        self.step(now)
    }

    /// Waits until `time`.
    fn wait(&mut self, time: MonoTime) -> SilenceStep {
        self.due_at = Some(time);
        SilenceStep::Wait(time)
    }
}
