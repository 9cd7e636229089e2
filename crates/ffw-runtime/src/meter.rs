//! Counts the bytes on each kind of connection, so that the traffic of control can be distinguished
//! from that of requests, and the bytes that parsers look at, which shows whether bytes in small
//! pieces cost more than others.

use {
    crate::coop::Coop,
    futures_lite::{AsyncRead, AsyncWrite},
    std::{
        io,
        pin::Pin,
        sync::atomic::{AtomicU64, Ordering},
        task::{Context, Poll},
    },
};

/// Purpose of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Wire {
    /// Requests: connections from callers of routes, and calls to backend servers for requests,
    /// including cancels.
    #[default]
    Request,
    /// Reports read from engines, orders to engines, and readiness and metrics probes of routes.
    Report,
    /// Calls to the platform's object API.
    Platform,
    /// Calls between daemons.
    Peer,
}

impl Wire {
    /// All kinds, in the order of declaration.
    pub const ALL: [Wire; 4] = [Wire::Request, Wire::Report, Wire::Platform, Wire::Peer];

    /// Value of the label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Wire::Request => "request",
            Wire::Report => "report",
            Wire::Platform => "platform",
            Wire::Peer => "peer",
        }
    }

    /// Bytes received and sent by the process so far.
    pub fn bytes(self) -> u64 {
        BYTES[self as usize].load(Ordering::Relaxed)
    }

    /// Bytes that the parsers of messages have looked at so far; one that is looked at twice counts
    /// twice.
    pub fn examined(self) -> u64 {
        EXAMINED[self as usize].load(Ordering::Relaxed)
    }

    /// Records that a parser has looked at `count` bytes.
    pub fn record_examined(self, count: usize) {
        EXAMINED[self as usize].fetch_add(count as u64, Ordering::Relaxed);
    }
}

static BYTES: [AtomicU64; 4] = [const { AtomicU64::new(0) }; 4];
static EXAMINED: [AtomicU64; 4] = [const { AtomicU64::new(0) }; 4];

/// A connection whose bytes are counted, in both directions together, and whose reader yields.
#[derive(Debug)]
pub struct Metered<S> {
    stream: Coop<S>,
    wire: Wire,
}

impl<S> Metered<S> {
    /// Wraps a connection to count its bytes under `wire`.
    pub fn new(stream: S, wire: Wire) -> Metered<S> {
        Metered { stream: Coop::new(stream), wire }
    }

    /// The connection itself. What is read or written there directly is not counted.
    pub fn get_ref(&self) -> &S {
        self.stream.get_ref()
    }

    /// Purpose of the connection.
    pub fn wire(&self) -> Wire {
        self.wire
    }

    fn record_bytes(&self, result: &Poll<io::Result<usize>>) {
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
        self.record_bytes(&result);
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
        self.record_bytes(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
