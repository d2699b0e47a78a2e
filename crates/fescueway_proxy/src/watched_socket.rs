//! A socket that tells whether bytes wait to be written.

use std::{
    io::{IoSlice, Result},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A socket that tells whether bytes wait to be written since the other side takes none.
#[derive(Debug)]
pub struct WatchedSocket<S> {
    /// The socket.
    socket: S,
    /// Whether the last write had to wait.
    is_blocked: Arc<AtomicBool>,
}

impl<S> WatchedSocket<S> {
    /// Watches `socket`.
    #[must_use]
    pub fn new(socket: S) -> Self {
        Self {
            socket,
            is_blocked: Arc::default(),
        }
    }

    /// Whether the last write had to wait, for those who don't own the socket.
    #[must_use]
    pub fn blocked(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.is_blocked)
    }

    /// Notes whether a write has to wait.
    fn record_write<T>(&self, written: Poll<T>) -> Poll<T> {
        let is_blocked = written.is_pending();
        self.is_blocked.store(is_blocked, Ordering::Relaxed);
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
