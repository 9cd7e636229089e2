//! Stand-in for clients: one request, and what came back.

use super::http::{Connection, Head};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// What a client saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Status; 0 if no answer came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer came whole.
    pub is_whole: bool,
    /// Whether the client gave up at its deadline.
    pub is_overdue: bool,
    pub took: Duration,
}

/// Sends a request on a new connection and reads the answer, until `deadline`.
pub fn send(address: SocketAddr, request: &[u8], deadline: Duration) -> Seen {
    let begun = Instant::now();
    let mut seen = Seen::default();
    let result = exchange(address, request, deadline, &mut seen);
    seen.is_whole = result.is_ok() && seen.status > 0;
    seen.took = begun.elapsed();
    seen.is_overdue = seen.took >= deadline;
    seen
}

fn exchange(
    address: SocketAddr,
    request: &[u8],
    deadline: Duration,
    seen: &mut Seen,
) -> std::io::Result<()> {
    let mut connection = Connection::open(address, Duration::from_secs(1).min(deadline))?;
    connection.stream.set_read_timeout(Some(deadline))?;
    connection.write(request)?;
    let Some(head) = connection.read_head()? else { return Ok(()) };
    seen.status = head.status();
    seen.head = head.clone();
    connection.read_body(&head, &mut seen.body)
}

/// Bytes of a request to a model.
pub fn model_request(path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let own =
        id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 3000,80\r\nPrefix-Hash: 5c1e07a2:200,{own:x}:2800\r\n\
         Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Bytes of a plain request.
pub fn plain_request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\n"
    )
    .into_bytes();
    if method == "POST" {
        bytes.extend(format!("Content-Length: {}\r\n", body.len()).into_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}
