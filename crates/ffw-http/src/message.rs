//! Heads of HTTP/1.1 messages, unchanged as received, for a router that forwards them.
//!
//! `async-h1` rewrites targets and header names, and can't continue after a response that belongs
//! to no request. Routed requests therefore use its parser, `httparse`, directly.

use std::{fmt, ops::RangeInclusive};

/// Header fields of a message that are parsed without an allocation. A head with more is parsed
/// again with as many as it has lines, which its size in bytes bounds.
const USUAL_FIELDS: usize = 128;

/// A message that violates HTTP/1.1, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Malformed {}

/// A header field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field<'a> {
    /// Name, with upper and lower case as sent.
    pub name: &'a [u8],
    /// Value without surrounding white space.
    pub value: &'a [u8],
}

/// Header fields in the order in which they were received.
///
/// Names and values are in one buffer, so that a field costs its bytes and 8 more,
/// also in a head of very many short lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    /// Names and values without separators.
    text: Vec<u8>,
    /// Lengths of the name and the value of each field.
    lengths: Vec<(u32, u32)>,
}

impl Fields {
    /// All fields, in order.
    pub fn iter(&self) -> impl Iterator<Item = Field<'_>> {
        let mut rest = &self.text[..];
        self.lengths.iter().map(move |(name, value)| {
            let (name, after_name) = rest.split_at(*name as usize);
            let (value, after_value) = after_name.split_at(*value as usize);
            rest = after_value;
            Field { name, value }
        })
    }

    /// Bytes of memory that the fields take.
    pub fn held_bytes(&self) -> usize {
        self.text.capacity() + self.lengths.capacity() * size_of::<(u32, u32)>()
    }

    /// Values of all fields of a name, which is compared without regard to case.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        let named =
            self.iter().filter(move |field| field.name.eq_ignore_ascii_case(name.as_bytes()));
        named.map(|field| field.value)
    }

    /// Value of the first field of a name; `None` if there is none or it is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.all(name).next().and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Whether there is a field of the name.
    pub fn has(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Whether a field of the name lists the token, separated by commas; case is ignored.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let lists = |value: &[u8]| {
            let text = String::from_utf8_lossy(value);
            text.split(',').any(|item| item.trim().eq_ignore_ascii_case(token))
        };
        self.all(name).any(lists)
    }

    /// Adds a field at the end; fields of the same name stay. A field whose name or value has 4 GB
    /// or more is not added.
    pub fn add(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.push(name.as_bytes(), value.as_ref());
    }

    fn push(&mut self, name: &[u8], value: &[u8]) {
        let lengths = u32::try_from(name.len()).ok().zip(u32::try_from(value.len()).ok());
        if let Some(lengths) = lengths {
            self.text.extend_from_slice(name);
            self.text.extend_from_slice(value);
            self.lengths.push(lengths);
        }
    }

    /// Replaces all fields of a name by one.
    pub fn set(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.remove(name);
        self.add(name, value);
    }

    /// Removes all fields of a name.
    pub fn remove(&mut self, name: &str) {
        if self.has(name) {
            self.retain(|field| !field.eq_ignore_ascii_case(name.as_bytes()));
        }
    }

    /// Keeps the fields whose names satisfy a condition, in one pass over the bytes.
    fn retain(&mut self, is_kept: impl Fn(&[u8]) -> bool) {
        let (text, mut read, mut written) = (&mut self.text, 0, 0);
        self.lengths.retain(|(name, value)| {
            let (name, length) = (*name as usize, *name as usize + *value as usize);
            let keeps = is_kept(&text[read..read + name]);
            if keeps {
                text.copy_within(read..read + length, written);
                written += length;
            }
            read += length;
            keeps
        });
        text.truncate(written);
    }

    /// Removes the fields that apply to one connection only: the fixed list and those that
    /// `Connection` names. `Transfer-Encoding` is among them, `Content-Length` is not.
    pub fn remove_hop_by_hop(&mut self) {
        // A sender may list thousands of names beside thousands of fields.
        let mut listed: Vec<Vec<u8>> = self
            .all("connection")
            .flat_map(|value| value.split(|byte| *byte == b','))
            .map(|name| name.trim_ascii().to_ascii_lowercase())
            .chain(HOP_BY_HOP.iter().map(|name| name.as_bytes().to_vec()))
            .collect();
        listed.sort_unstable();
        self.retain(|name| listed.binary_search(&name.to_ascii_lowercase()).is_err());
    }

    fn write(&self, out: &mut Vec<u8>) {
        for field in self.iter() {
            out.extend_from_slice(field.name);
            out.extend_from_slice(b": ");
            out.extend_from_slice(field.value);
            out.extend_from_slice(b"\r\n");
        }
        out.extend_from_slice(b"\r\n");
    }

    fn from_headers(headers: &[httparse::Header<'_>]) -> Fields {
        let bytes =
            |header: &httparse::Header<'_>| header.name.len() + header.value.trim_ascii().len();
        let mut fields = Fields {
            text: Vec::with_capacity(headers.iter().map(bytes).sum()),
            lengths: Vec::with_capacity(headers.len()),
        };
        for header in headers {
            fields.push(header.name.as_bytes(), header.value.trim_ascii());
        }
        fields
    }
}

/// Fields that apply to one connection only, or to the framing of a body on it.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method, as sent.
    pub method: Box<str>,
    /// Target, usually the path with the query, as sent.
    pub target: Box<str>,
    /// Minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor: u8,
    /// Header fields.
    pub fields: Fields,
}

impl Request {
    /// A request without header fields.
    pub fn new(method: &str, target: &str) -> Request {
        Request {
            method: method.into(),
            target: target.into(),
            minor: 1,
            fields: Fields::default(),
        }
    }

    /// Parses the head at the start of `bytes`. Returns it with its length in bytes, or `None` if
    /// it is incomplete.
    ///
    /// # Errors
    /// The bytes are not the head of a request.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Request, usize)>, Malformed> {
        let mut parsed = Request::parse_into(bytes, &mut [httparse::EMPTY_HEADER; USUAL_FIELDS]);
        if parsed == Err(httparse::Error::TooManyHeaders) {
            let mut room = vec![httparse::EMPTY_HEADER; count_lines(bytes)];
            parsed = Request::parse_into(bytes, &mut room);
        }
        parsed.map_err(|_| Malformed("the head of the request is malformed"))
    }

    fn parse_into<'a>(
        bytes: &'a [u8],
        room: &mut [httparse::Header<'a>],
    ) -> Result<Option<(Request, usize)>, httparse::Error> {
        let mut parsed = httparse::Request::new(room);
        let httparse::Status::Complete(length) = parsed.parse(bytes)? else { return Ok(None) };
        let request = Request {
            method: parsed.method.unwrap_or_default().into(),
            target: parsed.path.unwrap_or_default().into(),
            minor: parsed.version.unwrap_or(0),
            fields: Fields::from_headers(parsed.headers),
        };
        Ok(Some((request, length)))
    }

    /// Bytes of memory that the head takes.
    pub fn held_bytes(&self) -> usize {
        self.method.len() + self.target.len() + self.fields.held_bytes()
    }

    /// The head as sent on the connection, always as HTTP/1.1.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = format!("{} {} HTTP/1.1\r\n", self.method, self.target).into_bytes();
        self.fields.write(&mut out);
        out
    }

    /// Whether the sender keeps its connection open after this request.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(self.minor, &self.fields)
    }

    /// Path without query.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
}

/// Status codes that a response can have; servers in trouble have sent 000, 099 and 600.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: Box<str>,
    /// Minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor: u8,
    /// Header fields.
    pub fields: Fields,
}

impl Response {
    /// A response without header fields, with the usual reason phrase of the status.
    pub fn new(status: u16) -> Response {
        let code = http_types::StatusCode::try_from(status);
        let reason = code.map_or("", |code| code.canonical_reason());
        Response { status, reason: reason.into(), minor: 1, fields: Fields::default() }
    }

    /// Parses the head at the start of `bytes`. Returns it with its length in bytes, or `None` if
    /// it is incomplete.
    ///
    /// # Errors
    /// The bytes are not the head of a response, or its status is not in 100..=599.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Response, usize)>, Malformed> {
        let mut parsed = Response::parse_into(bytes, &mut [httparse::EMPTY_HEADER; USUAL_FIELDS]);
        if parsed == Err(httparse::Error::TooManyHeaders) {
            let mut room = vec![httparse::EMPTY_HEADER; count_lines(bytes)];
            parsed = Response::parse_into(bytes, &mut room);
        }
        let parsed = parsed.map_err(|_| Malformed("the head of the response is malformed"))?;
        let is_none = |(response, _): &(Response, usize)| !STATUSES.contains(&response.status);
        if parsed.as_ref().is_some_and(is_none) {
            return Err(Malformed("the status of the response is not in 100..=599"));
        }
        Ok(parsed)
    }

    fn parse_into<'a>(
        bytes: &'a [u8],
        room: &mut [httparse::Header<'a>],
    ) -> Result<Option<(Response, usize)>, httparse::Error> {
        let mut parsed = httparse::Response::new(room);
        let httparse::Status::Complete(length) = parsed.parse(bytes)? else { return Ok(None) };
        let response = Response {
            status: parsed.code.unwrap_or(0),
            reason: parsed.reason.unwrap_or_default().into(),
            minor: parsed.version.unwrap_or(0),
            fields: Fields::from_headers(parsed.headers),
        };
        Ok(Some((response, length)))
    }

    /// The head as sent on the connection, always as HTTP/1.1.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).into_bytes();
        self.fields.write(&mut out);
        out
    }

    /// Whether the sender keeps its connection open after this response.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(self.minor, &self.fields)
    }
}

/// Number of lines in `bytes`, and so the largest number of header fields in them.
fn count_lines(bytes: &[u8]) -> usize {
    bytes.iter().filter(|byte| **byte == b'\n').count()
}

fn keeps_connection(minor: u8, fields: &Fields) -> bool {
    if minor == 0 {
        return fields.has_token("connection", "keep-alive");
    }
    !fields.has_token("connection", "close")
}
