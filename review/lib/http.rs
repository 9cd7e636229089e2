//! HTTP/1.1 messages on a TCP connection, as far as the stand-ins need them.

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// First line and header fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Value of a header field; empty if there is none.
    pub fn get(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        TcpStream::connect_timeout(&address, limit).map(Connection::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn need(&mut self) -> io::Result<()> {
        if self.fill()? == 0 { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.need()?;
        }
    }

    /// Reads the head of a message; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let mut head = Head { first: self.line()?, fields: Vec::new() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { return Ok(Some(head)) };
            head.fields.push((name.to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a body to its end. The parts of a chunked one go to `seen` as they arrive.
    pub fn read_body(&mut self, head: &Head, seen: &mut Vec<u8>) -> io::Result<()> {
        if head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                while self.buffer.len() < size + 2 {
                    self.need()?;
                }
                seen.extend(self.buffer.drain(..size));
                self.buffer.drain(..2);
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = head.get("content-length").parse().unwrap_or(0);
        while self.buffer.len() < length {
            self.need()?;
        }
        seen.extend(self.buffer.drain(..length));
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other side has closed the connection. Bytes that came are kept.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        self.stream.set_nonblocking(true).ok();
        let peeked = self.stream.peek(&mut byte);
        self.stream.set_nonblocking(false).ok();
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn close(&self) {
        self.stream.shutdown(Shutdown::Both).ok();
    }
}

/// A request with its body.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Head and body of an answer with a length.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Serves each connection of a listener on a thread of its own. The handler returns whether the
/// connection stays open.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Request, &mut Connection) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(head)) = connection.read_head() {
                    let mut body = Vec::new();
                    if connection.read_body(&head, &mut body).is_err() {
                        return;
                    }
                    if !handle(&Request { head, body }, &mut connection) {
                        return;
                    }
                }
            });
        }
    });
}

/// A listener on a free loopback port.
pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}
