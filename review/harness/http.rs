//! HTTP/1.1 on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Head and body of a received message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, split at spaces.
    pub start: Vec<String>,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(listed, _)| listed.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        &self.start[0]
    }

    pub fn target(&self) -> &str {
        &self.start[1]
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(listed, _)| *listed == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were received and not consumed.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream, buffer: Vec::new() }
    }

    pub fn try_clone(&self) -> io::Result<Connection> {
        Ok(Connection { stream: self.stream.try_clone()?, buffer: Vec::new() })
    }

    /// Reads more bytes; `false` at the end of the connection.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a line without its end; `None` at the end of the connection.
    pub fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    pub fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let start = loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => {}
                Some(line) => break line,
            }
        };
        let start = start.split(' ').map(str::to_owned).collect();
        let mut message = Message { start, ..Message::default() };
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.fields.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a request with its body.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        let length = message.field("content-length").and_then(|text| text.parse().ok());
        message.body = self.take(length.unwrap_or(0))?;
        Ok(Some(message))
    }

    /// Reads the next chunk; empty for the last one.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(size.trim(), 16);
        let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
        let bytes = self.take(size)?;
        self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(bytes)
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        self.stream.set_nonblocking(true).ok();
        let peeked = self.stream.peek(&mut byte);
        self.stream.set_nonblocking(false).ok();
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn set_read_timeout(&self, limit: Duration) {
        self.stream.set_read_timeout(Some(limit)).ok();
    }
}

/// Bytes of a response with a body of stated length.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
