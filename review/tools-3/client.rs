//! Clients.

use {
    crate::{
        net::{Connection, Head},
        Record,
    },
    std::{
        collections::BTreeSet,
        io,
        net::{Shutdown, SocketAddr},
        thread,
        time::Duration,
    },
};

/// A request.
#[derive(Clone)]
pub struct Ask {
    pub method: &'static str,
    pub path: &'static str,
    pub id: String,
    pub fields: String,
    pub deadline: Duration,
    /// Longest time without a byte after which the client gives up.
    pub patience: Duration,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// 0 if there was none.
    pub status: u16,
    pub is_signed: bool,
    /// Whether the answer came to its end.
    pub is_whole: bool,
    /// Ids of the events of a stream.
    pub events: Vec<u64>,
    /// Versions of the software that wrote them.
    pub versions: BTreeSet<String>,
    /// Why it ended early.
    pub cause: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.status / 100 == 2 && self.is_whole
    }
}

/// Sends a request and reads its answer. The connection can carry another one if the answer is whole.
pub fn send(record: &Record, connection: &mut Connection, ask: &Ask) -> Answer {
    let mut answer = Answer {
        id: ask.id.clone(),
        sent_ms: record.ms(),
        ended_ms: 0,
        status: 0,
        is_signed: false,
        is_whole: false,
        events: Vec::new(),
        versions: BTreeSet::new(),
        cause: String::new(),
    };
    record.line(&format!("client: sends {} {} as {}", ask.method, ask.path, ask.id));
    connection.stream.set_read_timeout(Some(ask.patience)).ok();
    match exchange(connection, ask, &mut answer) {
        Ok(()) => answer.is_whole = true,
        Err(err) => answer.cause = err.to_string(),
    }
    answer.ended_ms = record.ms();
    let events = match (answer.events.first(), answer.events.last()) {
        (Some(first), Some(last)) => {
            format!(", events {first} to {last} of {:?}", answer.versions)
        }
        _ => String::new(),
    };
    let end = match answer.is_whole {
        true => "whole".to_owned(),
        false => format!("not whole ({})", answer.cause),
    };
    record.line(&format!(
        "client: {} got {} after {} ms, {end}{events}",
        ask.id,
        answer.status,
        answer.ended_ms - answer.sent_ms
    ));
    answer
}

/// As [`send`], on a new connection.
pub fn send_new(record: &Record, address: SocketAddr, ask: &Ask) -> Answer {
    match Connection::open(address) {
        Ok(mut connection) => send(record, &mut connection, ask),
        Err(err) => {
            record.line(&format!("client: {} finds no connection: {err}", ask.id));
            let now = record.ms();
            Answer {
                id: ask.id.clone(),
                sent_ms: now,
                ended_ms: now,
                status: 0,
                is_signed: false,
                is_whole: false,
                events: Vec::new(),
                versions: BTreeSet::new(),
                cause: err.to_string(),
            }
        }
    }
}

/// As [`send_new`], on a connection that breaks at a time of the record.
pub fn send_until(record: &Record, address: SocketAddr, ask: &Ask, until_ms: u64) -> Answer {
    let Ok(mut connection) = Connection::open(address) else {
        return send_new(record, address, ask);
    };
    if let Ok(breaking) = connection.stream.try_clone() {
        let left = Duration::from_millis(until_ms.saturating_sub(record.ms()));
        thread::spawn(move || {
            thread::sleep(left);
            breaking.shutdown(Shutdown::Both).ok();
        });
    }
    send(record, &mut connection, ask)
}

fn exchange(connection: &mut Connection, ask: &Ask, answer: &mut Answer) -> io::Result<()> {
    let body = if ask.method == "GET" { "" } else { "body of the request" };
    let length = match ask.method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n{}{length}\r\n{body}",
        ask.method,
        ask.path,
        ask.id,
        ask.deadline.as_millis(),
        ask.fields
    );
    connection.write(text.as_bytes())?;
    let head: Head = connection.head()?;
    answer.status = head.status();
    answer.is_signed = head.field("server-signature").is_some();
    if head.field("transfer-encoding").is_none() {
        connection.body(&head)?;
        return Ok(());
    }
    let mut text = Vec::new();
    loop {
        let chunk = connection.chunk()?;
        if chunk.is_empty() {
            return Ok(());
        }
        text.extend(chunk);
        while let Some(end) = text.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = text.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event).into_owned();
            let id = event.lines().find_map(|line| line.strip_prefix("id:"));
            answer.events.extend(id.and_then(|id| id.trim().parse::<u64>().ok()));
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            let version = data.and_then(|data| data.split(' ').next());
            answer.versions.extend(version.map(str::to_owned));
        }
    }
}
