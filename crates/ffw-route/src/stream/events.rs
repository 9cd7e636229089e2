//! Splits the body of an event stream into events, in one pass over its bytes.
//!
//! An event ends with an empty line. Only events up to the last one with an id are passed on while
//! the stream goes on: bytes that are no events may look like events without one. Each line must be
//! a field of an event, so that the text of an error, or the head of a message, ends the stream.

/// Fields of an event without an id.
const KNOWN_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Received bytes of an event stream that are not passed on yet.
#[derive(Debug, Default)]
pub(super) struct Events {
    bytes: Vec<u8>,
    /// Start of the line that is not complete yet.
    line_start: usize,
    /// Bytes that were searched for the end of that line.
    searched: usize,
    /// Whether the event that is not complete yet has an id.
    has_id: bool,
    /// Whether that event has fields besides the usual ones.
    has_other_fields: bool,
    /// Whether a line was found that belongs to no event.
    is_foreign: bool,
    /// Length of the complete events.
    complete: usize,
    /// Length of the complete events up to the last one with an id.
    numbered: usize,
}

impl Events {
    /// Adds a part of the body.
    pub(super) fn push(&mut self, part: &[u8]) {
        self.bytes.extend_from_slice(part);
        while !self.is_foreign
            && let Some(index) = self.bytes[self.searched..].iter().position(|byte| *byte == b'\n')
        {
            let end = self.searched + index;
            self.end_line(end);
            self.line_start = end + 1;
            self.searched = end + 1;
        }
        self.searched = self.bytes.len();
    }

    /// Takes note of the line that ends before the line feed at `end`.
    fn end_line(&mut self, end: usize) {
        let line = &self.bytes[self.line_start..end];
        match Line::parse(line.strip_suffix(b"\r").unwrap_or(line)) {
            Line::Empty => self.end_event(end + 1),
            Line::Comment => {}
            Line::Field(name) if name == b"id" => self.has_id = true,
            Line::Field(name) => self.has_other_fields |= !KNOWN_FIELDS.contains(&name),
            Line::Foreign => self.is_foreign = true,
        }
    }

    fn end_event(&mut self, end: usize) {
        // An error may be written like a field.
        self.is_foreign |= self.has_other_fields && !self.has_id;
        if self.is_foreign {
            return;
        }
        self.complete = end;
        if self.has_id {
            self.numbered = end;
        }
        (self.has_id, self.has_other_fields) = (false, false);
    }

    /// Whether the bytes hold something else than events.
    pub(super) fn is_foreign(&self) -> bool {
        self.is_foreign
    }

    /// Number of bytes that are held.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the bytes end with an event.
    pub(super) fn is_whole(&self) -> bool {
        self.complete == self.bytes.len()
    }

    /// Removes the events up to the last one with an id; empty if there is none.
    pub(super) fn take_numbered(&mut self) -> Vec<u8> {
        if self.numbered == 0 {
            return Vec::new();
        }
        let rest = self.bytes.split_off(self.numbered);
        let taken = std::mem::replace(&mut self.bytes, rest);
        self.line_start -= taken.len();
        self.searched -= taken.len();
        self.complete -= taken.len();
        self.numbered = 0;
        taken
    }

    /// The bytes that are held.
    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}

/// A line of an event stream.
enum Line<'a> {
    /// The end of an event.
    Empty,
    Comment,
    /// A field, by its name.
    Field(&'a [u8]),
    /// No line of an event stream.
    Foreign,
}

impl Line<'_> {
    /// Names of fields are written in lower case.
    fn parse(line: &[u8]) -> Line<'_> {
        let colon = line.iter().position(|byte| *byte == b':');
        let name = &line[..colon.unwrap_or(line.len())];
        let is_name_byte = |byte: &u8| byte.is_ascii_lowercase() || matches!(byte, b'-' | b'_');
        match (line, colon) {
            ([], _) => Line::Empty,
            ([b':', ..], _) => Line::Comment,
            (_, None) if !KNOWN_FIELDS.contains(&name) => Line::Foreign,
            _ if name.iter().all(is_name_byte) => Line::Field(name),
            _ => Line::Foreign,
        }
    }
}
