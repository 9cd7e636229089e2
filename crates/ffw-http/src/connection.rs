//! A connection from which HTTP/1.1 messages are read one after the other.
//!
//! Bytes received beyond the end of a message are kept for the next one. Waiting for bytes can be
//! cancelled without losing any. TCP keepalive and the TCP user timeout detect a machine that
//! stopped without closing its connections.

mod body;
mod close;
mod fault;
mod head;
mod memory;
mod reuse;
mod watch;
mod write;

pub use {
    fault::Fault,
    watch::{CloseWatcher, has_ended},
};

use {
    crate::{buffer::Buffer, head::Search},
    ffw_runtime::{
        budget::{Holder, Kind, Side},
        meter::{Metered, Wire},
        timer,
    },
    futures_lite::{AsyncRead as _, future},
    rustix::net::sockopt,
    smol::net::TcpStream,
    std::{io, net::SocketAddr, pin::Pin, time::Duration},
};

/// TCP keepalive: period of the probes on an idle connection, and how many may stay unanswered
/// before the connection fails.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const MAX_UNANSWERED_PROBES: u32 = 2;

/// A connection with the bytes that were received but not yet parsed.
#[derive(Debug)]
pub struct Connection {
    stream: Metered<TcpStream>,
    buffer: Buffer,
    /// Search for the end of the head at the start of the buffer.
    head_search: Search,
    /// Digests of the ids of the requests that were sent, in order.
    sent: Vec<u64>,
    /// Whether the response to the last request began before that request was completely written;
    /// the rest is never written.
    is_request_cut: bool,
    /// Account that is charged with what the connection holds.
    holder: Option<Holder>,
}

impl Connection {
    /// Wraps a stream whose bytes are metered as `wire`. The connection fails when sent bytes stay
    /// unacknowledged for `unacknowledged_timeout`.
    pub fn new(stream: TcpStream, wire: Wire, unacknowledged_timeout: Duration) -> Connection {
        stream.set_nodelay(true).ok();
        let millis = u32::try_from(unacknowledged_timeout.as_millis()).unwrap_or(u32::MAX);
        // If the system refuses an option, only the timeouts of the users of the connection apply.
        sockopt::set_tcp_user_timeout(&stream, millis).ok();
        sockopt::set_tcp_keepidle(&stream, PROBE_PERIOD).ok();
        sockopt::set_tcp_keepintvl(&stream, PROBE_PERIOD).ok();
        sockopt::set_tcp_keepcnt(&stream, MAX_UNANSWERED_PROBES).ok();
        sockopt::set_socket_keepalive(&stream, true).ok();
        let (buffer, head_search) = (Buffer::default(), Search::default());
        let stream = Metered::new(stream, wire);
        let (sent, is_request_cut) = (Vec::new(), false);
        Connection { stream, buffer, head_search, sent, is_request_cut, holder: None }
    }

    /// Connects within `limit`; for the other arguments see [`Connection::new`].
    ///
    /// # Errors
    /// The connection was refused or failed, or was not established within `limit`.
    pub async fn open(
        address: SocketAddr,
        wire: Wire,
        limit: Duration,
        unacknowledged_timeout: Duration,
    ) -> io::Result<Connection> {
        match timer::timeout(limit, TcpStream::connect(address)).await {
            Some(result) => result.map(|tcp| Connection::new(tcp, wire, unacknowledged_timeout)),
            None => Err(io::Error::new(io::ErrorKind::TimedOut, "connecting timed out")),
        }
    }

    /// Whether bytes were received that no message has consumed.
    pub fn has_unparsed_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits until bytes were received. Cancel-safe.
    ///
    /// # Errors
    /// [`Fault::Closed`] if the other side closed the connection, [`Fault::Broken`] if it failed.
    pub async fn wait_readable(&mut self) -> Result<(), Fault> {
        if self.buffer.is_empty() { self.fill().await } else { Ok(()) }
    }

    /// Waits for bytes and appends them to the buffer. Cancel-safe: dropping the call leaves the
    /// buffer unchanged.
    async fn fill(&mut self) -> Result<(), Fault> {
        // A caller's connection is closed by the task that serves it.
        let server = self.holder.as_ref().filter(|holder| holder.side() == Side::Server);
        let is_evicted = server.is_some_and(Holder::is_evicted);
        let evicted = server.map(Holder::evicted);
        if is_evicted || !self.charge(Kind::Buffer, self.buffer.next_capacity()) {
            return Err(Fault::OutOfMemory);
        }
        let (stream, buffer) = (&mut self.stream, &mut self.buffer);
        let reading = future::poll_fn(|cx| Pin::new(&mut *stream).poll_read(cx, buffer.room()));
        let evicting = async {
            match evicted {
                Some(evicted) => evicted.recv().await.ok(),
                None => future::pending().await,
            };
            None
        };
        let read = future::or(async { Some(reading.await) }, evicting).await;
        match read.ok_or(Fault::OutOfMemory)? {
            Ok(0) if self.buffer.is_empty() => Err(Fault::Closed),
            Ok(0) => Err(Fault::Broken(io::ErrorKind::UnexpectedEof.into())),
            Ok(count) => {
                self.buffer.fill(count);
                Ok(())
            }
            Err(err) => Err(Fault::Broken(err)),
        }
    }

    fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
        self.head_search = Search::default();
        if self.buffer.is_empty() {
            self.charge(Kind::Buffer, self.buffer.capacity());
        }
    }
}
