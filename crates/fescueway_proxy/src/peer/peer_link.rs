//! One connection to a peer and the streams that use it.

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

/// Bytes of one stream that may be on their way unread. A slow reader holds no more.
pub const STREAM_WINDOW_BYTES: u32 = 128 * 1_024;

/// Streams of one connection at once.
pub const STREAMS_PER_LINK: u32 = 128;

/// Bytes of one connection that may be on their way unread: every stream's whole window, so that
/// slow readers on all other streams can't stall one.
pub const LINK_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES * STREAMS_PER_LINK;

/// A connection between nodes closes when the other side acknowledges nothing for this long.
pub const PEER_SILENCE: Duration = Duration::from_secs(5);

/// One connection to a peer. Clones share it.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// Opens streams.
    sender: SendRequest<Bytes>,
    /// Streams that are open.
    streams: Arc<AtomicUsize>,
    /// Whether the connection ended.
    is_closed: Arc<AtomicBool>,
    /// When its last stream was opened.
    last_use: MonoTime,
}

/// A stream's place on a link, given back when it is dropped.
#[derive(Debug)]
pub struct LinkLease {
    /// Opens the stream.
    pub sender: SendRequest<Bytes>,
    /// The link's count of open streams.
    streams: Arc<AtomicUsize>,
}

impl PeerLink {
    /// Connects to `peer`.
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
            // How it ended is told to the streams that it carried.
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

    /// Opens the connection and agrees on HTTP/2.
    async fn handshake(
        peer: SocketAddr,
    ) -> Result<(SendRequest<Bytes>, h2::client::Connection<TcpStream>), PeerCause> {
        let socket = TcpStream::connect(peer).await?;
        set_socket_options(&socket, PEER_SILENCE)?;
        let connected = Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(LINK_WINDOW_BYTES)
            .enable_push(false)
            .handshake(socket)
            .await?;
        Ok(connected)
    }

    /// A place for another stream, `None` when it is closed or full.
    pub fn lease(&mut self, now: MonoTime) -> Option<LinkLease> {
        let count = self.streams.load(Ordering::Relaxed);
        if self.is_closed() || count >= STREAMS_PER_LINK as usize {
            return None;
        }
        self.streams.fetch_add(1, Ordering::Relaxed);
        self.last_use = now;
        Some(LinkLease {
            sender: self.sender.clone(),
            streams: Arc::clone(&self.streams),
        })
    }

    /// Whether the connection ended.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Whether no stream uses it and none did since `time`.
    pub fn is_idle_since(&self, time: MonoTime) -> bool {
        self.streams.load(Ordering::Relaxed) == 0 && self.last_use <= time
    }
}

impl Drop for LinkLease {
    fn drop(&mut self) {
        self.streams.fetch_sub(1, Ordering::Relaxed);
    }
}
