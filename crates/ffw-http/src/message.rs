//! Heads of HTTP/1.1 messages, unchanged as received, for a router that forwards them.
//!
//! `async-h1` rewrites targets and header names, and can't continue after a response that belongs
//! to no request. Routed requests therefore use its parser, `httparse`, directly.

use std::fmt;

/// Maximum number of header fields of a message; a message with more is rejected as malformed.
const MAX_FIELDS: usize = 128;

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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name, with upper and lower case as sent.
    pub name: Box<str>,
    /// Value without surrounding white space.
    pub value: Box<[u8]>,
}

/// Header fields in the order in which they were received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<Field>);

impl Fields {
    /// All fields, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Field> {
        self.0.iter()
    }

    /// Values of all fields of a name, which is compared without regard to case.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        let named = self.0.iter().filter(move |field| field.name.eq_ignore_ascii_case(name));
        named.map(|field| &*field.value)
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

    /// Adds a field at the end; fields of the same name stay.
    pub fn add(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.0.push(Field { name: name.into(), value: value.as_ref().into() });
    }

    /// Replaces all fields of a name by one.
    pub fn set(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.remove(name);
        self.add(name, value);
    }

    /// Removes all fields of a name.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|field| !field.name.eq_ignore_ascii_case(name));
    }

    /// Removes the fields that apply to one connection only: the fixed list and those that
    /// `Connection` names. `Transfer-Encoding` is among them, `Content-Length` is not.
    pub fn remove_hop_by_hop(&mut self) {
        let values = self.all("connection").map(String::from_utf8_lossy);
        let listed: Vec<String> = values.map(|value| value.into_owned()).collect();
        let listed = listed.iter().flat_map(|value| value.split(',')).map(str::trim);
        for name in HOP_BY_HOP.into_iter().chain(listed) {
            self.remove(name);
        }
    }

    fn write(&self, out: &mut Vec<u8>) {
        for field in &self.0 {
            out.extend_from_slice(field.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&field.value);
            out.extend_from_slice(b"\r\n");
        }
        out.extend_from_slice(b"\r\n");
    }

    fn from_headers(headers: &[httparse::Header<'_>]) -> Fields {
        let to_field = |header: &httparse::Header<'_>| Field {
            name: header.name.into(),
            value: header.value.trim_ascii().into(),
        };
        Fields(headers.iter().map(to_field).collect())
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
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut headers);
        match parsed.parse(bytes) {
            Ok(httparse::Status::Partial) => Ok(None),
            Ok(httparse::Status::Complete(length)) => {
                let request = Request {
                    method: parsed.method.unwrap_or_default().into(),
                    target: parsed.path.unwrap_or_default().into(),
                    minor: parsed.version.unwrap_or(0),
                    fields: Fields::from_headers(parsed.headers),
                };
                Ok(Some((request, length)))
            }
            Err(_) => Err(Malformed("the head of the request is malformed")),
        }
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
    /// The bytes are not the head of a response.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Response, usize)>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut headers);
        match parsed.parse(bytes) {
            Ok(httparse::Status::Partial) => Ok(None),
            Ok(httparse::Status::Complete(length)) => {
                let response = Response {
                    status: parsed.code.unwrap_or(0),
                    reason: parsed.reason.unwrap_or_default().into(),
                    minor: parsed.version.unwrap_or(0),
                    fields: Fields::from_headers(parsed.headers),
                };
                Ok(Some((response, length)))
            }
            Err(_) => Err(Malformed("the head of the response is malformed")),
        }
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

fn keeps_connection(minor: u8, fields: &Fields) -> bool {
    if minor == 0 {
        return fields.has_token("connection", "keep-alive");
    }
    !fields.has_token("connection", "close")
}
