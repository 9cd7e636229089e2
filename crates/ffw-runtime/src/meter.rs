//! Counts the bytes on each kind of connection, so that the cost of control can be told apart from
//! that of requests.

use {
    futures_lite::{AsyncRead, AsyncWrite},
    std::{
        io,
        pin::Pin,
        sync::atomic::{AtomicU64, Ordering},
        task::{Context, Poll},
    },
};

/// What a connection is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Wire {
    /// Calls of backend servers on behalf of a request.
    #[default]
    Request,
    /// Reports read from engines, and cancels of the sweep.
    Report,
    /// The platform's object API.
    Platform,
    /// Other daemons.
    Peer,
}

impl Wire {
    /// All kinds, in order.
    pub const ALL: [Wire; 4] = [Wire::Request, Wire::Report, Wire::Platform, Wire::Peer];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Wire::Request => "request",
            Wire::Report => "report",
            Wire::Platform => "platform",
            Wire::Peer => "peer",
        }
    }

    /// Bytes received and sent so far.
    pub fn bytes(self) -> u64 {
        BYTES[self as usize].load(Ordering::Relaxed)
    }
}

static BYTES: [AtomicU64; 4] = [const { AtomicU64::new(0) }; 4];

/// A connection whose bytes are counted, in both directions together.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    wire: Wire,
}

impl<S> Metered<S> {
    /// Counts the bytes of a connection.
    pub fn new(stream: S, wire: Wire) -> Metered<S> {
        Metered { stream, wire }
    }

    fn note(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = result {
            BYTES[self.wire as usize].fetch_add(*count as u64, Ordering::Relaxed);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.note(&result);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
