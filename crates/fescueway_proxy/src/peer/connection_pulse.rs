//! Supervises a connection to a peer for signs of life.

use std::{
    io::Result as IoResult,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use fescueway_core::MonoTime;
use fescueway_routing::{PeerSilence, SilenceDetector, SilenceStep};
use h2::{Ping, PingPong};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::{Notify, watch},
    time::{sleep_until, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::mono_clock::MonoClock;

/// Age of the last byte from the peer above which a connection is checked before a request is sent on it
/// that can't be repeated.
const PROOF_AGE: Duration = Duration::from_millis(200);

/// Time for the peer to answer such a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Supervises a connection to a peer for signs of life. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ConnectionPulse(Arc<PulseState>);

/// State shared by the clones of a [`ConnectionPulse`].
#[derive(Debug)]
struct PulseState {
    /// Clock of the detector.
    clock: MonoClock,
    /// When the connection was opened.
    opened_at: MonoTime,
    /// The detector, and when the peer was heard last.
    state: Mutex<PulseReading>,
    /// Number of open streams.
    streams: AtomicUsize,
    /// Wakes the task that supervises the connection.
    wake: Notify,
    /// The state of the connection.
    silence: watch::Sender<PeerSilence>,
    /// Notifies checks of bytes that arrive.
    heard: Notify,
    /// Closes the connection.
    closing: CancellationToken,
}

/// What is known of a connection's signs of life.
#[derive(Debug, Default)]
struct PulseReading {
    /// Detects silence.
    detector: SilenceDetector,
    /// When the peer was heard last; `None` before the first byte.
    heard_at: Option<MonoTime>,
}

/// A socket that tells a [`ConnectionPulse`] of each byte that arrives.
#[derive(Debug)]
pub struct PulseSocket {
    /// The socket.
    socket: TcpStream,
    /// Is told of each byte.
    pulse: ConnectionPulse,
}

impl ConnectionPulse {
    /// Supervises a connection that was just opened.
    #[must_use]
    pub fn new(clock: MonoClock) -> Self {
        Self(Arc::new(PulseState {
            clock,
            opened_at: clock.now(),
            state: Mutex::default(),
            streams: AtomicUsize::new(0),
            wake: Notify::new(),
            silence: watch::Sender::default(),
            heard: Notify::new(),
            closing: CancellationToken::new(),
        }))
    }

    /// Wraps the socket of the connection.
    #[must_use]
    pub fn watch(&self, socket: TcpStream) -> PulseSocket {
        PulseSocket {
            socket,
            pulse: self.clone(),
        }
    }

    /// Number of open streams.
    #[must_use]
    pub fn streams(&self) -> usize {
        self.0.streams.load(Ordering::Relaxed)
    }

    /// Records that a stream was opened.
    pub fn stream_opened(&self) {
        self.0.streams.fetch_add(1, Ordering::Relaxed);
        self.state().detector.sent(self.0.clock.now());
        self.0.wake.notify_one();
    }

    /// Records that a stream ended.
    pub fn stream_ended(&self) {
        if self.0.streams.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.state().detector.finished();
        }
    }

    /// The state of the connection.
    #[must_use]
    pub fn silence(&self) -> PeerSilence {
        self.state().detector.silence()
    }

    /// Waits until the connection is silent. Never returns while it isn't.
    pub async fn silent(&self) {
        let mut silence = self.0.silence.subscribe();
        // The sender lives as long as this pulse.
        let _ = silence
            .wait_for(|silence| *silence != PeerSilence::None)
            .await;
    }

    /// Whether the peer was heard on this connection after it was pinged on `other` without an answer.
    #[must_use]
    pub fn is_heard_after_ping_on(&self, other: &Self) -> bool {
        // One lock at a time, since both may be the same connection.
        let pinged_at = other.state().detector.pinged_at();
        let heard_at = self.state().heard_at;
        pinged_at.is_some_and(|pinged_at| heard_at > Some(pinged_at))
    }

    /// Closes the connection. Its streams fail.
    pub fn close(&self) {
        self.0.closing.cancel();
    }

    /// Whether [`Self::close`] was called.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.0.closing.is_cancelled()
    }

    /// Waits until [`Self::close`] is called.
    pub async fn closing(&self) {
        self.0.closing.cancelled().await;
    }

    /// Checks that the peer is heard on the connection, unless it was lately. Returns whether it is; if
    /// not, the connection counts as silent.
    pub async fn check(&self) -> bool {
        let now = self.0.clock.now();
        let heard = self.0.heard.notified();
        let last_sign = self.state().heard_at.unwrap_or(self.0.opened_at);
        if now.since(last_sign) <= PROOF_AGE {
            return true;
        }
        self.state().detector.request_ping(now);
        self.0.wake.notify_one();
        let is_heard = timeout(CHECK_TIMEOUT, heard).await.is_ok();
        if !is_heard {
            self.state().detector.check_failed(self.0.clock.now());
            self.publish();
        }
        is_heard
    }

    /// Supervises the connection for as long as it is polled. Calls `on_dead` from time to time while no
    /// answer is expected any more.
    pub async fn supervise(&self, mut ping_pong: PingPong, on_dead: impl Fn(&Self)) {
        loop {
            let step = self.state().detector.step(self.0.clock.now());
            self.publish();
            if self.silence() == PeerSilence::Dead {
                on_dead(self);
            }
            match step {
                SilenceStep::Rest => self.0.wake.notified().await,
                SilenceStep::Wait(time) => {
                    tokio::select! {
                        () = sleep_until(self.0.clock.instant(time)) => {}
                        () = self.0.wake.notified() => {}
                    }
                }
                SilenceStep::Ping => {
                    // Takes the answer to the former ping; the library allows one at a time.
                    let _former = poll_once(|cx| ping_pong.poll_pong(cx)).await;
                    // Fails while a former ping is unanswered, which serves as well.
                    let _sent = ping_pong.send_ping(Ping::opaque());
                }
            }
        }
    }

    /// Records that bytes arrived.
    fn heard(&self) {
        let now = self.0.clock.now();
        let is_waiting = self.streams() > 0;
        let mut state = self.state();
        state.detector.heard(now, is_waiting);
        state.heard_at = Some(now);
        drop(state);
        self.0.heard.notify_waiters();
        self.publish();
    }

    /// Tells waiters of a change of the state.
    fn publish(&self) {
        let silence = self.silence();
        self.0.silence.send_if_modified(|known| {
            let is_changed = *known != silence;
            *known = silence;
            is_changed
        });
    }

    /// Locks the detector and the time of the last byte.
    fn state(&self) -> MutexGuard<'_, PulseReading> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Polls once.
async fn poll_once<T>(mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>) -> Poll<T> {
    std::future::poll_fn(|cx| Poll::Ready(poll(cx))).await
}

impl AsyncRead for PulseSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        if read.is_ready() && buf.filled().len() > filled {
            self.pulse.heard();
        }
        read
    }
}

impl AsyncWrite for PulseSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
