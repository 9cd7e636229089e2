//! Splits the body of an event stream into events, in one pass over its bytes.
//!
//! An event ends with an empty line. Only events up to the last one with an id are passed on while
//! the stream goes on: bytes that are no events may look like events without one.

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
    /// Length of the complete events.
    complete: usize,
    /// Length of the complete events up to the last one with an id.
    numbered: usize,
}

impl Events {
    /// Adds a part of the body.
    pub(super) fn push(&mut self, part: &[u8]) {
        self.bytes.extend_from_slice(part);
        while let Some(index) = self.bytes[self.searched..].iter().position(|byte| *byte == b'\n') {
            let end = self.searched + index;
            self.end_line(end);
            self.line_start = end + 1;
            self.searched = end + 1;
        }
        self.searched = self.bytes.len();
    }

    /// Takes note of the line that ends before the line feed at `end`.
    fn end_line(&mut self, end: usize) {
        match &self.bytes[self.line_start..end] {
            [] | [b'\r'] => {
                self.complete = end + 1;
                if self.has_id {
                    self.numbered = self.complete;
                }
                self.has_id = false;
            }
            line => self.has_id |= line.starts_with(b"id:"),
        }
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
