//! Connections that give other tasks a turn.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// How many bytes are read before other tasks have a turn.
const TURN: usize = 16 << 10;

/// The largest buffer that an HTTP connection reads into at once, and so the largest head of a message.
pub(crate) const MAX_READ: usize = 64 << 10;

/// A connection that lets other tasks run after it has read for a while.
///
/// An HTTP connection reads on as long as there is something to read and no message is complete. A peer that sends
/// interim heads or the digits of a chunk's size without end would otherwise keep the thread that serves everybody.
#[derive(Debug)]
pub(crate) struct PacedStream<S> {
    stream: S,
    /// How many bytes were read in this turn.
    read: usize,
}

impl<S> PacedStream<S> {
    /// Wraps a connection.
    pub(crate) fn new(stream: S) -> Self {
        Self { stream, read: 0 }
    }

    /// Returns a reference to the connection.
    pub(crate) fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Returns the connection.
    pub(crate) fn into_inner(self) -> S {
        self.stream
    }
}

impl<S> AsyncRead for PacedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read >= TURN {
            self.read = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        match read {
            Poll::Pending => self.read = 0,
            Poll::Ready(_) => self.read += buffer.filled().len() - before,
        }
        read
    }
}

impl<S> AsyncWrite for PacedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
