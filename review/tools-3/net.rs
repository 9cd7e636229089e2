//! HTTP/1.1 on sockets of the standard library.

use std::{
    collections::BTreeMap,
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Head of a message: its first line and its fields.
#[derive(Clone, Debug)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Connection::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line).trim_end().to_owned();
                return Ok(text);
            }
            self.fill()?;
        }
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let first = self.line()?;
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Head { first, fields });
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads exactly so many bytes.
    pub fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the next chunk of a chunked body; an empty one is the last.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.bytes(size)?;
        self.line()?;
        Ok(chunk)
    }

    /// Reads a body of a request or a response.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.bytes(length)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a body of known length.
    pub fn respond(&mut self, status: &str, fields: &str, body: &str) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
        self.write(format!("{head}{body}").as_bytes())
    }

    /// Whether the other side has closed the connection, or it has failed.
    pub fn is_closed(&self) -> bool {
        self.stream.set_nonblocking(true).ok();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).ok();
        match peeked {
            Ok(count) => count == 0,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// A server whose process can end and come back: it then closes its listener and all connections.
pub struct Server {
    pub address: SocketAddr,
    is_up: Arc<AtomicBool>,
    connections: Connections,
}

/// Open connections by their numbers.
type Connections = Arc<Mutex<BTreeMap<u64, TcpStream>>>;

impl Server {
    /// Listens on a free port of loopback, and serves each connection on a thread of its own.
    pub fn start(serve: Arc<dyn Fn(Connection) + Send + Sync>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server =
            Server { address, is_up: Arc::new(AtomicBool::new(true)), connections: Arc::default() };
        let (is_up, connections) = (server.is_up.clone(), server.connections.clone());
        thread::spawn(move || {
            let (mut listener, mut number) = (Some(listener), 0);
            loop {
                if !is_up.load(Ordering::SeqCst) {
                    listener = None;
                    thread::sleep(Duration::from_millis(2));
                    continue;
                }
                let open = listener.get_or_insert_with(|| bind_again(address));
                open.set_nonblocking(true).unwrap();
                match open.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        number += 1;
                        let of_this = number;
                        let copy = stream.try_clone().unwrap();
                        connections.lock().unwrap().insert(of_this, copy);
                        let (serve, connections) = (serve.clone(), connections.clone());
                        thread::spawn(move || {
                            serve(Connection::new(stream));
                            // The copy is the last owner of the socket.
                            connections.lock().unwrap().remove(&of_this);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        server
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// Ends the process: the listener and all connections close.
    pub fn stop(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().values() {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Starts it again at the same address.
    pub fn restart(&self) {
        self.is_up.store(true, Ordering::SeqCst);
    }
}

fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// A free port of loopback, below those that the system gives to outgoing connections.
pub fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 61 + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (number % 18_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
