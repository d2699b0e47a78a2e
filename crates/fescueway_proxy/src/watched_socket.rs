//! A socket wrapper that tracks whether writes are blocked.

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

/// A socket wrapper that tracks whether writes are blocked because the other side doesn't read.
#[derive(Debug)]
pub struct WatchedSocket<S> {
    /// The socket.
    socket: S,
    /// Whether the last write had to wait.
    is_blocked: Arc<AtomicBool>,
}

impl<S> WatchedSocket<S> {
    /// Wraps `socket`.
    #[must_use]
    pub fn new(socket: S) -> Self {
        Self {
            socket,
            is_blocked: Arc::default(),
        }
    }

    /// A shared flag: whether the last write had to wait.
    #[must_use]
    pub fn blocked(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.is_blocked)
    }

    /// Records whether a write has to wait.
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
