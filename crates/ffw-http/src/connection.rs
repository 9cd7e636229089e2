//! A connection from which HTTP/1.1 messages are read one after the other.
//!
//! Bytes received beyond the end of a message are kept for the next one. Waiting for bytes can be
//! cancelled without losing any. TCP keepalive and the TCP user timeout detect a machine that
//! stopped without closing its connections.

use {
    crate::{
        buffer::Buffer,
        framing::{Decoder, Step},
        head::Search,
        message::{Malformed, Request, Response},
    },
    ffw_runtime::{
        budget::{Holder, Kind, Side},
        meter::{Metered, Wire},
        timer,
    },
    futures_lite::{AsyncRead as _, AsyncReadExt as _, AsyncWriteExt as _, future},
    rustix::net::sockopt,
    smol::net::TcpStream,
    std::{
        fmt,
        hash::{DefaultHasher, Hash as _, Hasher as _},
        io,
        net::SocketAddr,
        pin::Pin,
        time::Duration,
    },
};

/// Size of the buffer in which bytes are read that are discarded.
const DISCARD_BYTES: usize = 8 << 10;

/// TCP keepalive: period of the probes on an idle connection, and how many may stay unanswered
/// before the connection fails.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Largest number of interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Largest number of requests that are sent on one connection. It bounds the memory of their
/// digests, 8 bytes each, which idle connections keep.
const SENT_MAX: usize = 1_024;

/// Pause between two checks whether the other side closed, while unread bytes hide the end.
const CLOSE_CHECK_PAUSE: Duration = Duration::from_millis(50);

/// Time in which a process must accept the connection of [`has_ended`].
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which that connection must then stay open.
const CHECK_OPEN_TIME: Duration = Duration::from_millis(50);

/// Why a message could not be read.
#[derive(Debug)]
pub enum Fault {
    /// The other side closed the connection before the first byte of the message.
    Closed,
    /// The connection ended or failed within the message.
    Broken(io::Error),
    /// The bytes are not a valid message.
    Malformed(Malformed),
    /// The head or the body is larger than allowed.
    TooLarge,
    /// The memory budget has no room for more received bytes.
    OutOfMemory,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Closed => f.write_str("the connection was closed"),
            Fault::Broken(err) => write!(f, "the connection failed: {err}"),
            Fault::Malformed(malformed) => write!(f, "{malformed}"),
            Fault::TooLarge => f.write_str("the head is too large"),
            Fault::OutOfMemory => f.write_str("no memory for more received bytes"),
        }
    }
}

impl std::error::Error for Fault {}

impl From<Malformed> for Fault {
    fn from(malformed: Malformed) -> Fault {
        Fault::Malformed(malformed)
    }
}

/// Whether the process behind an address seems to have ended: it accepts no connection, or ends a
/// new one at once. A process that has lost one connection only, or refuses work, accepts another.
pub async fn has_ended(address: SocketAddr) -> bool {
    let opening = Connection::open(address, Wire::Request, CHECK_TIMEOUT, CHECK_TIMEOUT);
    let Ok(mut connection) = opening.await else { return true };
    let ended = timer::timeout(CHECK_OPEN_TIME, connection.wait_readable()).await;
    ended.is_some_and(|readable| readable.is_err())
}

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

    /// Charges what the connection holds to an account, and bounds the sizes of the socket's
    /// buffers, which the system counts to the machine's memory.
    pub fn charge_to(mut self, holder: Holder, socket_bytes: usize) -> Connection {
        // If the system refuses a size, its own default applies.
        sockopt::set_socket_recv_buffer_size(self.stream.get_ref(), socket_bytes).ok();
        sockopt::set_socket_send_buffer_size(self.stream.get_ref(), socket_bytes).ok();
        self.holder = Some(holder);
        self
    }

    /// Charges a response that is to be read to an account. Returns `false` if there is no memory
    /// for its first bytes.
    pub fn charge_response_to(&mut self, holder: Holder) -> bool {
        self.holder = Some(holder);
        self.charge(Kind::Buffer, self.buffer.next_capacity())
    }

    /// Bounds the size of the socket's receive buffer, whose bytes count to the machine's memory.
    pub fn bound_unread(&self, socket_bytes: usize) {
        // If the system refuses a size, its own default applies.
        sockopt::set_socket_recv_buffer_size(self.stream.get_ref(), socket_bytes).ok();
    }

    /// Releases the memory of the receive buffer if it holds nothing, and ends the charges of the
    /// connection; returns the account.
    pub fn take_holder(&mut self) -> Option<Holder> {
        self.release_buffer();
        self.holder.take()
    }

    /// Charges what is held of a kind; returns `false` if there is no memory for more.
    pub fn charge(&mut self, kind: Kind, bytes: usize) -> bool {
        self.holder.as_mut().is_none_or(|holder| holder.set(kind, bytes))
    }

    /// Marks that a request is served from now on; returns `false` if the connection is about to
    /// be closed to reclaim its memory.
    pub fn begin_request(&self) -> bool {
        self.holder.as_ref().is_none_or(Holder::begin_request)
    }

    /// Marks that no request is served any more, and releases the request's charges.
    pub fn end_request(&mut self) {
        if let Some(holder) = &mut self.holder {
            holder.end_request();
        }
    }

    /// Releases the memory of the receive buffer if it holds nothing.
    pub fn release_buffer(&mut self) {
        self.buffer.release();
        self.charge(Kind::Buffer, self.buffer.capacity());
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

    /// Whether an idle connection can be used for another request: no bytes are unread, and the
    /// other side did not close it.
    pub async fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let peeked = future::poll_once(self.stream.get_ref().peek(&mut byte)).await;
        self.buffer.is_empty() && peeked.is_none()
    }

    /// Records that a request with this id is sent.
    pub fn record_sent(&mut self, id: &str) {
        let digest = digest(id);
        if let Err(index) = self.sent.binary_search(&digest) {
            self.sent.insert(index, digest);
        }
    }

    /// Whether a request was sent on this connection.
    pub fn was_used(&self) -> bool {
        !self.sent.is_empty()
    }

    /// Whether a request with this id can be told from all that were sent before: a late answer to
    /// an earlier one would have another id. A connection that was used very often can't be used
    /// again.
    pub fn can_carry(&self, id: &str) -> bool {
        self.sent.len() < SENT_MAX && self.sent.binary_search(&digest(id)).is_err()
    }

    /// Waits until bytes were received. Cancel-safe.
    ///
    /// # Errors
    /// [`Fault::Closed`] if the other side closed the connection, [`Fault::Broken`] if it failed.
    pub async fn wait_readable(&mut self) -> Result<(), Fault> {
        if self.buffer.is_empty() { self.fill().await } else { Ok(()) }
    }

    /// A watcher that detects when the other side closes the connection.
    pub fn close_watcher(&self) -> CloseWatcher {
        CloseWatcher { stream: self.stream.get_ref().clone() }
    }

    /// Makes closing send a TCP reset, so that the other side does not take what was sent for
    /// complete.
    pub fn reset_on_close(&self) {
        sockopt::set_socket_linger(self.stream.get_ref(), Some(Duration::ZERO)).ok();
    }

    /// Undoes [`Connection::reset_on_close`].
    pub fn end_on_close(&self) {
        sockopt::set_socket_linger(self.stream.get_ref(), None).ok();
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

    /// Consumes the empty lines at the start of the buffer; returns their bytes.
    fn skip_empty_lines(&mut self) -> usize {
        let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
        let count = self.buffer.bytes().iter().take_while(is_line_end).count();
        if count > 0 {
            self.stream.wire().record_examined(count);
            self.consume(count);
        }
        count
    }

    /// Parses the head at the start of the buffer, and consumes it; `None` if it is not complete.
    fn parse_head<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, Malformed>,
    ) -> Result<Option<(T, usize)>, Malformed> {
        let bytes = self.buffer.bytes();
        let (parses, looked_at) = self.head_search.advance(bytes);
        let parsed_bytes = if parses { bytes.len() } else { 0 };
        self.stream.wire().record_examined(looked_at + parsed_bytes);
        if !parses {
            return Ok(None);
        }
        let Some((head, length)) = parse(bytes)? else { return Ok(None) };
        self.consume(length);
        Ok(Some((head, length)))
    }

    /// Reads the head of a request of at most `limit` bytes.
    ///
    /// # Errors
    /// See [`Fault`].
    pub async fn read_request(&mut self, limit: usize) -> Result<Request, Fault> {
        let mut skipped = 0;
        loop {
            // RFC 9112 recommends that a server ignore empty lines before a request.
            skipped += self.skip_empty_lines();
            if let Some((head, length)) = self.parse_head(Request::parse)? {
                return if length > limit { Err(Fault::TooLarge) } else { Ok(head) };
            }
            if skipped + self.buffer.len() > limit {
                return Err(Fault::TooLarge);
            }
            self.fill().await?;
        }
    }

    /// Reads the head of a response of at most `limit` bytes; up to eight interim responses are
    /// skipped. No request asks for another protocol, so that a switch to one is malformed.
    ///
    /// # Errors
    /// See [`Fault`].
    pub async fn read_response(&mut self, limit: usize) -> Result<Response, Fault> {
        let (mut interim, mut skipped) = (0, 0);
        loop {
            skipped += self.skip_empty_lines();
            if let Some((head, _)) = self.parse_head(Response::parse)? {
                match head.status {
                    101 => return Err(Malformed("the server switches protocols").into()),
                    100..=199 => interim += 1,
                    _ => return Ok(head),
                }
                if interim > MAX_INTERIM_RESPONSES {
                    return Err(Fault::TooLarge);
                }
                continue;
            }
            if skipped + self.buffer.len() > limit {
                return Err(Fault::TooLarge);
            }
            self.fill().await?;
        }
    }

    /// Writes a request and reads the head of the response, which may arrive before the request is
    /// completely written. Returns the head, and whether the request was completely written.
    ///
    /// # Errors
    /// See [`Fault`].
    pub async fn exchange(
        &mut self,
        bytes: &[u8],
        limit: usize,
    ) -> Result<(Response, bool), Fault> {
        let mut writer = Metered::new(self.stream.get_ref().clone(), self.stream.wire());
        let mut is_written = false;
        let writing = async {
            // A server that responds early may stop reading. A failed write is therefore no error
            // here: the response, or the failure to read one, decides.
            is_written = writer.write_all(bytes).await.is_ok();
            future::pending().await
        };
        let head = smol::future::or(self.read_response(limit), writing).await?;
        self.is_request_cut = !is_written;
        Ok((head, is_written))
    }

    /// Checks that the end of the connection is that of a body. A failed write takes the error of a
    /// reset from the socket, and a reset after a regular end does not show in what is read; both
    /// concern a request that the other side has not read whole.
    fn check_end(&self) -> Result<(), Fault> {
        if self.is_request_cut {
            return Err(Fault::Broken(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "the connection ended before the request was sent whole",
            )));
        }
        match sockopt::socket_error(self.stream.get_ref()) {
            Ok(Err(errno)) => Err(Fault::Broken(errno.into())),
            // If the system does not tell, the end that was read applies.
            Ok(Ok(())) | Err(_) => Ok(()),
        }
    }

    /// Reads the next part of a body, which is not empty; `None` at the end of the body. A part is
    /// all that has been received, of however many chunks. The end of the connection is that of a
    /// body only if the request was completely written and no reset was received.
    ///
    /// # Errors
    /// The connection ended or failed within the body, or the framing is malformed.
    pub async fn read_part(&mut self, decoder: &mut Decoder) -> Result<Option<Vec<u8>>, Fault> {
        let mut part = Vec::new();
        loop {
            let step = decoder.step(self.buffer.bytes());
            self.stream.wire().record_examined(decoder.take_examined());
            let step = match step {
                Ok(step) => step,
                Err(_) if !part.is_empty() => return Ok(Some(part)),
                Err(malformed) => return Err(malformed.into()),
            };
            match step {
                Step::End { skip } => {
                    self.consume(skip);
                    return Ok((!part.is_empty()).then_some(part));
                }
                Step::More if !part.is_empty() => return Ok(Some(part)),
                Step::Part { skip, length } => {
                    part.extend_from_slice(&self.buffer.bytes()[skip..skip + length]);
                    self.stream.wire().record_examined(length);
                    self.consume(skip + length);
                }
                Step::More => match self.fill().await {
                    Err(Fault::Closed) if decoder.ends_with_connection() => {
                        return self.check_end().map(|()| None);
                    }
                    Err(Fault::Closed) => {
                        return Err(Fault::Broken(io::ErrorKind::UnexpectedEof.into()));
                    }
                    other => other?,
                },
            }
        }
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// As [`Connection::read_part`], or [`Fault::TooLarge`].
    pub async fn read_body(
        &mut self,
        decoder: &mut Decoder,
        limit: usize,
    ) -> Result<Vec<u8>, Fault> {
        let mut body = Vec::new();
        while let Some(part) = self.read_part(decoder).await? {
            if body.len() + part.len() > limit {
                return Err(Fault::TooLarge);
            }
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    /// Reads and discards a whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// As [`Connection::read_body`].
    pub async fn skip_body(&mut self, decoder: &mut Decoder, limit: usize) -> Result<(), Fault> {
        let mut skipped = 0;
        while let Some(part) = self.read_part(decoder).await? {
            skipped += part.len();
            if skipped > limit {
                return Err(Fault::TooLarge);
            }
        }
        Ok(())
    }

    /// Writes bytes to the socket within `limit`.
    ///
    /// # Errors
    /// The connection failed, or the other side did not read enough within `limit`.
    pub async fn write(&mut self, bytes: &[u8], limit: Duration) -> io::Result<()> {
        match timer::timeout(limit, self.stream.write_all(bytes)).await {
            Some(written) => written,
            None => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the other side does not read what is sent",
            )),
        }
    }

    /// Closes the connection after a whole response. Lingers for at most `limit` if the other side
    /// has sent more already.
    pub async fn close(self, limit: Duration) {
        if !self.is_reusable().await {
            self.linger(limit).await;
        }
    }

    /// Closes the sending half, then reads and discards what the other side still sends, for at
    /// most `limit`. Closing a socket with unread bytes sends a TCP reset, which can destroy the
    /// response before the other side has read it.
    pub async fn linger(mut self, limit: Duration) {
        // Nothing of what was received is read any more.
        self.buffer = Buffer::default();
        self.charge(Kind::Buffer, DISCARD_BYTES);
        let draining = async {
            self.stream.get_ref().shutdown(std::net::Shutdown::Write)?;
            let mut buffer = vec![0; DISCARD_BYTES];
            while self.stream.read(&mut buffer).await? > 0 {}
            Ok::<(), io::Error>(())
        };
        // The response is already written, so that a failure or a timeout here has no effect.
        drop(timer::timeout(limit, draining).await);
    }
}

fn digest(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Detects that the other side of a connection has closed it.
#[derive(Clone, Debug)]
pub struct CloseWatcher {
    stream: TcpStream,
}

impl CloseWatcher {
    /// Waits until the other side has closed the connection or it has failed. Consumes no bytes.
    pub async fn closed(&self) {
        let mut byte = [0];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // A further request is unread and hides the end of the connection behind it.
                Ok(_) => timer::sleep(CLOSE_CHECK_PAUSE).await,
            }
        }
    }
}
