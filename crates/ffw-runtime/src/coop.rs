//! Cooperative reading: a task whose connection always has bytes gives its worker thread back after
//! some reads, so that other tasks run, and its own time limits are checked.

use {
    futures_lite::{AsyncRead, AsyncWrite},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// Number of reads in a row that find bytes at once, after which the task yields.
const READS_PER_TURN: u32 = 8;

/// A stream that makes its reader yield.
#[derive(Clone, Debug)]
pub struct Coop<S> {
    stream: S,
    /// Reads since the task last had to wait.
    reads: u32,
}

impl<S> Coop<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Coop<S> {
        Coop { stream, reads: 0 }
    }

    /// The stream itself. What is read from it directly is not counted.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Coop<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let is_over = self.reads >= READS_PER_TURN;
        self.reads = if is_over { 0 } else { self.reads + 1 };
        if is_over {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if polled.is_pending() {
            self.reads = 0;
        }
        Poll::Ready(ready!(polled))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Coop<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
