//! A connection on which messages are read one after the other.

use {
    crate::{
        framing::{Decoder, Step},
        message::{Malformed, Request, Response},
    },
    ffw_runtime::{
        meter::{Metered, Wire},
        timer,
    },
    futures_lite::{AsyncRead as _, AsyncReadExt as _, AsyncWriteExt as _, future},
    rustix::net::sockopt,
    smol::net::TcpStream,
    std::{fmt, io, net::SocketAddr, pin::Pin, task::Poll, time::Duration},
};

/// Bytes that are read at once.
const READ_BYTES: usize = 8 << 10;

/// Period of the probes on an idle connection, and how many may stay unanswered.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// Pause between two looks at a caller that has sent more than its request.
const PEEK_PAUSE: Duration = Duration::from_millis(50);

/// Why a message could not be read.
#[derive(Debug)]
pub enum Fault {
    /// The other side closed the connection before the first byte of the message.
    Closed,
    /// The connection ended or failed within the message.
    Broken(io::Error),
    /// The bytes are no message.
    Malformed(Malformed),
    /// The head is larger than allowed.
    TooLarge,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Closed => f.write_str("the connection was closed"),
            Fault::Broken(err) => write!(f, "the connection failed: {err}"),
            Fault::Malformed(malformed) => write!(f, "{malformed}"),
            Fault::TooLarge => f.write_str("the head is too large"),
        }
    }
}

impl std::error::Error for Fault {}

impl From<Malformed> for Fault {
    fn from(malformed: Malformed) -> Fault {
        Fault::Malformed(malformed)
    }
}

/// A connection with the bytes that were received and not used yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    wire: Wire,
    buffer: Vec<u8>,
}

impl Connection {
    /// Takes a connection over; `silence` is the time after which unacknowledged bytes break it.
    pub fn new(stream: TcpStream, wire: Wire, silence: Duration) -> Connection {
        stream.set_nodelay(true).ok();
        let millis = u32::try_from(silence.as_millis()).unwrap_or(u32::MAX);
        // Options that a system refuses leave the connection to the time-outs of its users.
        sockopt::set_tcp_user_timeout(&stream, millis).ok();
        sockopt::set_tcp_keepidle(&stream, PROBE_PERIOD).ok();
        sockopt::set_tcp_keepintvl(&stream, PROBE_PERIOD).ok();
        sockopt::set_tcp_keepcnt(&stream, PROBES).ok();
        sockopt::set_socket_keepalive(&stream, true).ok();
        Connection { stream, wire, buffer: Vec::new() }
    }

    /// Connects within a time.
    ///
    /// # Errors
    /// Nothing listens, or no answer came in time.
    pub async fn open(
        address: SocketAddr,
        wire: Wire,
        limit: Duration,
        silence: Duration,
    ) -> io::Result<Connection> {
        match timer::timeout(limit, TcpStream::connect(address)).await {
            Some(connected) => connected.map(|stream| Connection::new(stream, wire, silence)),
            None => Err(io::Error::new(io::ErrorKind::TimedOut, "connecting timed out")),
        }
    }

    /// Whether bytes were received that belong to no message yet.
    pub fn has_pending(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether an idle connection can take another request: nothing was received on it, and it was
    /// not closed.
    pub async fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let peeked = future::poll_once(self.stream.peek(&mut byte)).await;
        self.buffer.is_empty() && peeked.is_none()
    }

    /// Waits until bytes can be read.
    ///
    /// # Errors
    /// [`Fault::Closed`] if the other side closed the connection.
    pub async fn wait_readable(&mut self) -> Result<(), Fault> {
        if self.buffer.is_empty() { self.fill().await } else { Ok(()) }
    }

    /// Something that tells when the other side closes the connection.
    pub fn watcher(&self) -> Watcher {
        Watcher { stream: self.stream.clone() }
    }

    /// Lets the connection end with a reset, so that what was sent does not look complete.
    pub fn reset_on_close(&self) {
        sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).ok();
    }

    /// Reads what is there into the buffer. A call that is dropped leaves the buffer as it was.
    async fn fill(&mut self) -> Result<(), Fault> {
        let used = self.buffer.len();
        let (buffer, wire) = (&mut self.buffer, self.wire);
        let mut stream = Metered::new(&mut self.stream, wire);
        let count = future::poll_fn(|cx| {
            buffer.resize(used + READ_BYTES, 0);
            let polled = Pin::new(&mut stream).poll_read(cx, &mut buffer[used..]);
            let count = if let Poll::Ready(Ok(count)) = &polled { *count } else { 0 };
            buffer.truncate(used + count);
            polled
        });
        match count.await {
            Ok(0) if used == 0 => Err(Fault::Closed),
            Ok(0) => Err(Fault::Broken(io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(err) => Err(Fault::Broken(err)),
        }
    }

    /// Reads the head of a request of at most `limit` bytes.
    ///
    /// # Errors
    /// See [`Fault`].
    pub async fn read_request(&mut self, limit: usize) -> Result<Request, Fault> {
        loop {
            // Empty lines before a request are to be passed over.
            let blank = self.buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            self.buffer.drain(..blank);
            if let Some((head, length)) = Request::parse(&self.buffer)? {
                self.buffer.drain(..length);
                return if length > limit { Err(Fault::TooLarge) } else { Ok(head) };
            }
            if self.buffer.len() > limit {
                return Err(Fault::TooLarge);
            }
            self.fill().await?;
        }
    }

    /// Reads the head of an answer of at most `limit` bytes, passing over interim ones.
    ///
    /// # Errors
    /// See [`Fault`].
    pub async fn read_response(&mut self, limit: usize) -> Result<Response, Fault> {
        loop {
            if let Some((head, length)) = Response::parse(&self.buffer)? {
                self.buffer.drain(..length);
                if !matches!(head.status, 100 | 102 | 103) {
                    return Ok(head);
                }
                continue;
            }
            if self.buffer.len() > limit {
                return Err(Fault::TooLarge);
            }
            self.fill().await?;
        }
    }

    /// Writes a request and reads the head of the answer, which may come before the request was
    /// written whole; gives the head and whether it was.
    ///
    /// # Errors
    /// See [`Fault`].
    pub async fn exchange(
        &mut self,
        bytes: &[u8],
        limit: usize,
    ) -> Result<(Response, bool), Fault> {
        let mut writer = Metered::new(self.stream.clone(), self.wire);
        let mut is_written = false;
        let writing = async {
            // A server that has answered early may stop reading: its answer decides.
            is_written = writer.write_all(bytes).await.is_ok();
            future::pending().await
        };
        let head = smol::future::or(self.read_response(limit), writing).await?;
        Ok((head, is_written))
    }

    /// Reads the next part of a body; `None` at its end.
    ///
    /// # Errors
    /// The connection ended within the body, or its framing is broken.
    pub async fn read_part(&mut self, decoder: &mut Decoder) -> Result<Option<Vec<u8>>, Fault> {
        loop {
            match decoder.step(&self.buffer)? {
                Step::End { skip } => {
                    self.buffer.drain(..skip);
                    return Ok(None);
                }
                Step::Part { skip, length } => {
                    let part = self.buffer[skip..skip + length].to_vec();
                    self.buffer.drain(..skip + length);
                    if !part.is_empty() {
                        return Ok(Some(part));
                    }
                }
                Step::More => match self.fill().await {
                    Err(Fault::Closed) if decoder.ends_with_connection() => return Ok(None),
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

    /// Writes bytes, waiting at most `limit` for the other side to take them.
    ///
    /// # Errors
    /// The connection failed, or the other side does not read.
    pub async fn write(&mut self, bytes: &[u8], limit: Duration) -> io::Result<()> {
        let mut stream = Metered::new(&mut self.stream, self.wire);
        match timer::timeout(limit, stream.write_all(bytes)).await {
            Some(written) => written,
            None => Err(io::Error::new(io::ErrorKind::TimedOut, "the other side does not read")),
        }
    }

    /// Closes the sending half and reads what the other side still sends, for at most `limit`, so
    /// that it can read its answer before the connection is reset.
    pub async fn linger(mut self, limit: Duration) {
        let draining = async {
            self.stream.shutdown(std::net::Shutdown::Write)?;
            let mut buffer = vec![0; READ_BYTES];
            while self.stream.read(&mut buffer).await? > 0 {}
            Ok::<(), io::Error>(())
        };
        // The answer was written; what happens to the connection afterwards concerns nobody.
        drop(timer::timeout(limit, draining).await);
    }
}

/// Tells when the other side of a connection has closed it.
#[derive(Clone, Debug)]
pub struct Watcher {
    stream: TcpStream,
}

impl Watcher {
    /// Waits until the other side has closed the connection.
    pub async fn closed(&self) {
        let mut byte = [0];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // A further request waits in the buffer; look again for the end behind it.
                Ok(_) => timer::sleep(PEEK_PAUSE).await,
            }
        }
    }
}
