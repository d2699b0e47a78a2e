//! HTTP/2 connection to a peer.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use fescueway_core::MonoTime;
use h2::client::{Builder, SendRequest};
use tokio::{net::TcpStream, time::timeout};

use super::{PeerError, PeerStep, peer_error::PeerCause};
use crate::{proxy_limits::ProxyLimits, socket_options::set_socket_options, task_group::TaskGroup};

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
    /// Number of open streams.
    streams: Arc<AtomicUsize>,
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
    /// Number of open streams of the connection.
    streams: Arc<AtomicUsize>,
}

impl PeerConnection {
    /// Connects to `peer` within the connect timeout.
    pub async fn connect(
        peer: SocketAddr,
        limits: &ProxyLimits,
        tasks: &TaskGroup,
        now: MonoTime,
    ) -> Result<Self, PeerError> {
        let error = |cause| PeerError::new(PeerStep::Connect, peer, cause);
        let connecting = timeout(limits.connect_timeout, Self::handshake(peer));
        let (sender, connection) = match connecting.await {
            Ok(connected) => connected.map_err(error)?,
            Err(_elapsed) => return Err(error(PeerCause::TimedOut)),
        };
        let is_closed = Arc::new(AtomicBool::new(false));
        let closed = Arc::clone(&is_closed);
        tasks.spawn(async move {
            // An error of the connection is reported to its streams.
            let _ = connection.await;
            closed.store(true, Ordering::Relaxed);
        });
        Ok(Self {
            sender,
            streams: Arc::default(),
            is_closed,
            last_use: now,
        })
    }

    /// Opens the TCP connection and performs the HTTP/2 handshake.
    async fn handshake(
        peer: SocketAddr,
    ) -> Result<(SendRequest<Bytes>, h2::client::Connection<TcpStream>), PeerCause> {
        let socket = TcpStream::connect(peer).await?;
        set_socket_options(&socket, PEER_ACK_TIMEOUT)?;
        let connected = Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .enable_push(false)
            .handshake(socket)
            .await?;
        Ok(connected)
    }

    /// Acquires a permit for a stream, `None` if the connection is closed or at its stream limit.
    pub fn try_acquire(&mut self, now: MonoTime) -> Option<StreamPermit> {
        let count = self.streams.load(Ordering::Relaxed);
        if self.is_closed() || count >= STREAMS_PER_CONNECTION as usize {
            return None;
        }
        self.streams.fetch_add(1, Ordering::Relaxed);
        self.last_use = now;
        Some(StreamPermit {
            sender: self.sender.clone(),
            streams: Arc::clone(&self.streams),
        })
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Whether no stream is open and none was opened after `time`.
    pub fn is_idle_since(&self, time: MonoTime) -> bool {
        self.streams.load(Ordering::Relaxed) == 0 && self.last_use <= time
    }
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        self.streams.fetch_sub(1, Ordering::Relaxed);
    }
}
