//! A caller: sends one request on a connection of its own and reads the answer.

use {
    crate::http::{Connection, Message},
    std::{
        io,
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// How an answer ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub is_signed: bool,
    pub retry_after: Option<String>,
    /// Bytes of the body.
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub is_complete: bool,
    /// Longest time without a byte, in milliseconds.
    pub longest_pause_ms: u128,
    pub total_ms: u128,
    pub fault: Option<String>,
    /// When the caller closes the connection.
    leaves_at: Option<Instant>,
}

impl Answer {
    /// Ids of the events of a stream.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }

    /// One line for the record.
    pub fn summary(&self) -> String {
        let events = self.events();
        format!(
            "status={} signed={} complete={} events={} last_event={:?} longest_pause_ms={} \
             total_ms={} retry_after={:?} fault={:?}",
            self.status,
            self.is_signed,
            self.is_complete,
            events.len(),
            events.last(),
            self.longest_pause_ms,
            self.total_ms,
            self.retry_after,
            self.fault
        )
    }
}

/// A request of a stream of a model.
pub fn stream_request(path: &str, id: &str, tokens: (u32, u32), deadline_ms: u64) -> Request {
    let (prompt, output) = tokens;
    let fields = vec![
        ("Model".to_owned(), "m".to_owned()),
        ("Token-Count".to_owned(), format!("{prompt},{output}")),
        ("Prefix-Hash".to_owned(), format!("5c1e07a2:{},{}:{}", prompt / 2, hex(id), prompt / 2)),
    ];
    let body = vec![b'x'; 400];
    Request { method: "POST", path: path.into(), id: id.into(), deadline_ms, fields, body }
}

/// The last eight digits of an id, as that of the part that the request alone has.
fn hex(id: &str) -> &str {
    &id[id.len().saturating_sub(8)..]
}

/// A request without a body or a model.
pub fn plain_request(method: &'static str, path: &str, id: &str, deadline_ms: u64) -> Request {
    let body = if method == "POST" { vec![b'x'; 300] } else { Vec::new() };
    Request { method, path: path.into(), id: id.into(), deadline_ms, fields: Vec::new(), body }
}

impl Request {
    pub fn to_bytes(&self, host: &str) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        for (name, value) in &self.fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends a request on a new connection and reads the whole answer.
pub fn send(address: SocketAddr, host: &str, request: &Request) -> Answer {
    send_until(address, host, request, Duration::MAX)
}

/// Sends a request on a new connection, and closes the connection after a time.
pub fn send_until(address: SocketAddr, host: &str, request: &Request, until: Duration) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    let limit = Duration::from_millis(request.deadline_ms + 500);
    answer.leaves_at = began.checked_add(until);
    let outcome = exchange(address, host, request, limit, &mut answer);
    answer.fault = outcome.err().map(|err| err.to_string());
    answer.total_ms = began.elapsed().as_millis();
    answer
}

fn exchange(
    address: SocketAddr,
    host: &str,
    request: &Request,
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let mut connection = Connection::new(stream);
    connection.set_read_timeout(limit);
    connection.write(&request.to_bytes(host))?;
    let mut last = Instant::now();
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.longest_pause_ms = last.elapsed().as_millis();
    last = Instant::now();
    answer.status = head.status();
    answer.is_signed = head.field("server-signature").is_some();
    answer.retry_after = head.field("retry-after").map(str::to_owned);
    read_body(&mut connection, &head, answer, &mut last)
}

fn read_body(
    connection: &mut Connection,
    head: &Message,
    answer: &mut Answer,
    last: &mut Instant,
) -> io::Result<()> {
    if let Some(length) = head.field("content-length").and_then(|text| text.parse().ok()) {
        answer.body = connection.take(length)?;
        answer.is_complete = true;
        return Ok(());
    }
    if head.field("transfer-encoding").is_none() {
        while connection.fill()? {}
        return Err(io::ErrorKind::InvalidData.into());
    }
    loop {
        let chunk = connection.chunk()?;
        answer.longest_pause_ms = answer.longest_pause_ms.max(last.elapsed().as_millis());
        *last = Instant::now();
        if chunk.is_empty() {
            answer.is_complete = true;
            return Ok(());
        }
        answer.body.extend_from_slice(&chunk);
        if answer.leaves_at.is_some_and(|leaves_at| Instant::now() >= leaves_at) {
            return Ok(());
        }
    }
}
