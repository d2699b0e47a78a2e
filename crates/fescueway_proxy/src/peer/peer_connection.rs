//! HTTP/2 connection to a peer.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use fescueway_core::MonoTime;
use fescueway_routing::PeerSilence;
use h2::client::{Builder, Connection, SendRequest};
use tokio::{net::TcpStream, time::timeout};

use super::{
    PeerError, PeerStep,
    connection_pulse::{ConnectionPulse, PulseSocket},
    peer_error::PeerCause,
};
use crate::{
    mono_clock::MonoClock, proxy_limits::ProxyLimits, socket_options::set_socket_options,
    task_group::TaskGroup,
};

/// Flow-control window of a stream, in bytes. Limits the memory that a slow reader uses.
pub const STREAM_WINDOW_BYTES: u32 = 128 * 1_024;

/// Largest number of concurrent streams on a connection.
pub const STREAMS_PER_CONNECTION: u32 = 128;

/// Flow-control window of a connection, in bytes: the sum of the windows of all streams, so that
/// slow readers on the other streams can't stall a stream.
pub const CONNECTION_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES * STREAMS_PER_CONNECTION;

/// Time without an acknowledgement from the other node after which a connection closes.
pub const PEER_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP/2 connection to a peer. Clones share it.
#[derive(Clone, Debug)]
pub struct PeerConnection {
    /// Opens streams.
    sender: SendRequest<Bytes>,
    /// Signs of life on the connection, and the number of its streams.
    pulse: ConnectionPulse,
    /// Whether the connection is closed.
    is_closed: Arc<AtomicBool>,
    /// Time at which the last stream was opened.
    last_use: MonoTime,
}

/// Permit for one stream on a connection, released on drop.
#[derive(Debug)]
pub struct StreamPermit {
    /// Opens the stream.
    pub sender: SendRequest<Bytes>,
    /// Signs of life on the connection.
    pub pulse: ConnectionPulse,
}

impl PeerConnection {
    /// Connects to `peer` within the connect timeout. While the connection is dead, `on_dead` is called
    /// from time to time.
    pub async fn connect(
        peer: SocketAddr,
        limits: &ProxyLimits,
        tasks: &TaskGroup,
        clock: MonoClock,
        on_dead: impl Fn(&ConnectionPulse) + Send + 'static,
    ) -> Result<Self, PeerError> {
        let error = |cause| PeerError::new(PeerStep::Connect, peer, cause);
        let connecting = timeout(limits.connect_timeout, Self::handshake(peer, clock));
        let (pulse, sender, mut connection) = match connecting.await {
            Ok(connected) => connected.map_err(error)?,
            Err(_elapsed) => return Err(error(PeerCause::TimedOut)),
        };
        // A connection has one, which is taken only here.
        let ping_pong = connection
            .ping_pong()
            .ok_or_else(|| error(PeerCause::Malformed))?;
        let is_closed = Arc::new(AtomicBool::new(false));
        let (closed, supervisor) = (Arc::clone(&is_closed), pulse.clone());
        tasks.spawn(async move {
            tokio::select! {
                // An error of the connection is reported to its streams.
                _ended = connection => {}
                () = supervisor.closing() => {}
                () = supervisor.supervise(ping_pong, on_dead) => {}
            }
            closed.store(true, Ordering::Relaxed);
        });
        Ok(Self {
            sender,
            pulse,
            is_closed,
            last_use: clock.now(),
        })
    }

    /// Opens the TCP connection and performs the HTTP/2 handshake.
    async fn handshake(
        peer: SocketAddr,
        clock: MonoClock,
    ) -> Result<(ConnectionPulse, SendRequest<Bytes>, Connection<PulseSocket>), PeerCause> {
        let socket = TcpStream::connect(peer).await?;
        set_socket_options(&socket, PEER_ACK_TIMEOUT)?;
        let pulse = ConnectionPulse::new(clock);
        let (sender, connection) = Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .enable_push(false)
            .handshake(pulse.watch(socket))
            .await?;
        Ok((pulse, sender, connection))
    }

    /// Acquires a permit for a stream, `None` if the connection is closed, silent or at its stream limit.
    pub fn try_acquire(&mut self, now: MonoTime) -> Option<StreamPermit> {
        let is_full = self.pulse.streams() >= STREAMS_PER_CONNECTION as usize;
        if self.is_closed() || is_full || self.pulse.silence() != PeerSilence::None {
            return None;
        }
        self.pulse.stream_opened();
        self.last_use = now;
        Some(StreamPermit {
            sender: self.sender.clone(),
            pulse: self.pulse.clone(),
        })
    }

    /// Signs of life on the connection.
    pub fn pulse(&self) -> &ConnectionPulse {
        &self.pulse
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Whether no stream is open and none was opened after `time`.
    pub fn is_idle_since(&self, time: MonoTime) -> bool {
        self.pulse.streams() == 0 && self.last_use <= time
    }
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        self.pulse.stream_ended();
    }
}
