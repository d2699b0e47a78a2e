//! Proxy that counts the bytes of the connections to a server.

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

/// Largest size of a forwarded chunk.
const CHUNK_BYTES: usize = 16 * 1_024;

/// Forwards connections to a server and counts their bytes. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct CountingProxy {
    /// Bytes forwarded in both directions.
    bytes: Arc<AtomicU64>,
    /// Chunks forwarded in both directions.
    chunks: Arc<AtomicU64>,
    /// Connections accepted.
    connections: Arc<AtomicU64>,
}

impl CountingProxy {
    /// Returns the bytes forwarded so far in both directions, without TCP and IP headers.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the chunks forwarded so far in both directions; each was sent by one write.
    #[must_use]
    pub fn chunks(&self) -> u64 {
        self.chunks.load(Ordering::Relaxed)
    }

    /// Returns the connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Starts to accept connections for `server` on a loopback port, on the current runtime.
    /// Returns the address of the port.
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

    /// Accepts connections until the runtime ends.
    async fn accept(self, listener: TcpListener, server: SocketAddr) {
        while let Ok((socket, _)) = listener.accept().await {
            self.connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().forward_connection(socket, server));
        }
    }

    /// Forwards one connection to the server.
    async fn forward_connection(self, downstream: TcpStream, server: SocketAddr) {
        let Ok(upstream) = TcpStream::connect(server).await else {
            return;
        };
        // Nagle's algorithm would add a delay of its own.
        if downstream.set_nodelay(true).is_err() || upstream.set_nodelay(true).is_err() {
            return;
        }
        let (downstream_reader, downstream_writer) = downstream.into_split();
        let (upstream_reader, upstream_writer) = upstream.into_split();
        tokio::join!(
            self.copy(downstream_reader, upstream_writer),
            self.copy(upstream_reader, downstream_writer)
        );
    }

    /// Copies one direction until its end.
    async fn copy(&self, mut reader: impl AsyncRead + Unpin, mut writer: impl AsyncWrite + Unpin) {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(length) = reader.read(&mut chunk).await
            && length > 0
        {
            self.bytes.fetch_add(length as u64, Ordering::Relaxed);
            self.chunks.fetch_add(1, Ordering::Relaxed);
            if writer.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
        // The peer may have closed the connection already.
        let _ = writer.shutdown().await;
    }
}
