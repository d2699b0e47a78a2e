//! Counts the bytes of the connections to a server that it stands in front of.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Bytes of a piece that is passed on.
const PIECE_BYTES: usize = 16 * 1_024;

/// Passes connections on to a server and counts their bytes. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct ByteCounter {
    /// Bytes both ways.
    bytes: Arc<AtomicU64>,
    /// Pieces that were passed on, both ways.
    pieces: Arc<AtomicU64>,
    /// Connections that were opened.
    connections: Arc<AtomicU64>,
}

impl ByteCounter {
    /// Bytes so far, both ways, without the headers of TCP and IP.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Pieces so far, both ways; each was sent by one write.
    #[must_use]
    pub fn pieces(&self) -> u64 {
        self.pieces.load(Ordering::Relaxed)
    }

    /// Connections so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Takes connections for `server` on a port of loopback, on the current runtime.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(&self, server: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        tokio::spawn(self.clone().accept(listener, server));
        Ok(address)
    }

    /// Takes connections until the runtime ends.
    async fn accept(self, listener: TcpListener, server: SocketAddr) {
        while let Ok((socket, _)) = listener.accept().await {
            self.connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().join(socket, server));
        }
    }

    /// Joins one connection with one to the server.
    async fn join(self, near: TcpStream, server: SocketAddr) {
        let Ok(far) = TcpStream::connect(server).await else {
            return;
        };
        // Without it the counter would add a wait of its own.
        if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
            return;
        }
        let (near_reader, near_writer) = near.into_split();
        let (far_reader, far_writer) = far.into_split();
        tokio::join!(
            self.pass(near_reader, far_writer),
            self.pass(far_reader, near_writer)
        );
    }

    /// Passes one direction on until its end.
    async fn pass(&self, mut reader: impl AsyncRead + Unpin, mut writer: impl AsyncWrite + Unpin) {
        let mut piece = vec![0; PIECE_BYTES];
        while let Ok(length) = reader.read(&mut piece).await
            && length > 0
        {
            self.bytes.fetch_add(length as u64, Ordering::Relaxed);
            self.pieces.fetch_add(1, Ordering::Relaxed);
            if writer.write_all(&piece[..length]).await.is_err() {
                return;
            }
        }
        // The other side may be gone already.
        let _ = writer.shutdown().await;
    }
}
