//! Framing of message bodies: where a body ends according to the head, and a decoder that finds the
//! end in the received bytes.
//!
//! Contradicting lengths and transfer codings are rejected, because two readers of the same bytes
//! could otherwise disagree on where the next message starts (request smuggling).

use crate::message::{Malformed, Request, Response};

/// Number of received bytes within which a line with the size of a chunk, or a line of the trailer,
/// must end.
const MAX_LINE_BYTES: usize = 1_024;

/// Largest trailer of a body, in bytes.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes; 0 for no body.
    Length(u64),
    /// By the chunk of length 0.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Length(_) => "length",
            Framing::Chunked => "chunked",
            Framing::UntilClose => "until_close",
        }
    }

    /// Framing of a request's body.
    ///
    /// # Errors
    /// The header fields contradict each other, so that another reader might find another end, or
    /// the transfer coding is not supported.
    pub fn of_request(head: &Request) -> Result<Framing, Malformed> {
        let length = declared_length(head.fields.all("content-length"))?;
        let codings: Vec<&[u8]> = head.fields.all("transfer-encoding").collect();
        match (codings.as_slice(), length) {
            ([], length) => Ok(Framing::Length(length.unwrap_or(0))),
            (_, Some(_)) => Err(Malformed("both a length and a transfer coding are given")),
            (_, None) if head.minor == 0 => Err(Malformed("HTTP/1.0 has no transfer coding")),
            ([coding], None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
            _ => Err(Malformed("the transfer coding is not `chunked`")),
        }
    }

    /// Framing of the body of a response to a request of this method.
    ///
    /// # Errors
    /// The header fields contradict each other, or the transfer coding is not supported.
    pub fn of_response(head: &Response, method: &str) -> Result<Framing, Malformed> {
        if method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        let length = declared_length(head.fields.all("content-length"))?;
        let codings: Vec<&[u8]> = head.fields.all("transfer-encoding").collect();
        match (codings.as_slice(), length) {
            ([], Some(length)) => Ok(Framing::Length(length)),
            ([], None) => Ok(Framing::UntilClose),
            ([coding], None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
            _ => Err(Malformed(
                "the response's length and transfer coding are contradictory or unsupported",
            )),
        }
    }
}

fn declared_length<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Option<u64>, Malformed> {
    let mut declared = None;
    for value in values {
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).unwrap_or_default();
        let length = text.parse().ok().filter(|_| is_number);
        let length: u64 =
            length.ok_or(Malformed("Content-Length is not an unsigned 64-bit number"))?;
        if declared.is_some_and(|previous| previous != length) {
            return Err(Malformed("Content-Length is given twice with different values"));
        }
        declared = Some(length);
    }
    Ok(declared)
}

/// What a decoder found at the start of the received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// `length` bytes of the body, possibly 0, after `skip` bytes of framing.
    Part {
        /// Bytes of framing.
        skip: usize,
        /// Bytes of the body.
        length: usize,
    },
    /// The body has ended, after `skip` bytes of framing.
    End {
        /// Bytes of framing.
        skip: usize,
    },
    /// More bytes must be received.
    More,
}

/// Finds the parts and the end of a body in the bytes received.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
    /// Bytes of an incomplete line in which its end was searched for.
    searched: usize,
    /// Bytes that were looked at since the last [`Decoder::take_examined`].
    examined: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// Bytes that the rest of the trailer may have.
    Trailer(usize),
    UntilClose,
    Ended,
}

impl Decoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Decoder {
        let state = match framing {
            Framing::Length(0) => State::Ended,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Decoder { state, searched: 0, examined: 0 }
    }

    /// Number of bytes that were looked at since the last call.
    pub(crate) fn take_examined(&mut self) -> usize {
        std::mem::take(&mut self.examined)
    }

    /// Whether the end of the body was found.
    pub fn has_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Whether the end of the connection is the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Examines the bytes that follow. The caller must remove the bytes that the step names before
    /// the next call.
    ///
    /// # Errors
    /// The framing is malformed.
    pub fn step(&mut self, bytes: &[u8]) -> Result<Step, Malformed> {
        match self.state {
            State::Ended => Ok(Step::End { skip: 0 }),
            _ if bytes.is_empty() => Ok(Step::More),
            State::UntilClose => Ok(Step::Part { skip: 0, length: bytes.len() }),
            State::Length(remaining) => {
                let length = bytes.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
                let remaining = remaining - length as u64;
                self.state = if remaining == 0 { State::Ended } else { State::Length(remaining) };
                Ok(Step::Part { skip: 0, length })
            }
            State::ChunkData(remaining) => {
                let length = bytes.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
                let remaining = remaining - length as u64;
                self.state =
                    if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
                Ok(Step::Part { skip: 0, length })
            }
            State::ChunkSize => self.chunk_size(bytes),
            State::ChunkEnd => match bytes {
                [b'\r', b'\n', ..] => {
                    self.state = State::ChunkSize;
                    Ok(Step::Part { skip: 2, length: 0 })
                }
                [b'\r'] => Ok(Step::More),
                _ => Err(Malformed("a chunk is longer than its declared size")),
            },
            State::Trailer(left) => self.trailer(bytes, left),
        }
    }

    /// Length of the line at the start of `bytes`, with its end; `None` if its end is missing.
    fn line(&mut self, bytes: &[u8]) -> Option<usize> {
        // The same bytes are passed again, with further ones, until the line is complete.
        let from = self.searched.min(bytes.len());
        let end = bytes[from..].iter().position(|byte| *byte == b'\n');
        self.examined += end.map_or(bytes.len() - from, |index| index + 1);
        self.searched = if end.is_some() { 0 } else { bytes.len() };
        end.map(|index| from + index + 1)
    }

    fn chunk_size(&mut self, bytes: &[u8]) -> Result<Step, Malformed> {
        const MALFORMED: Malformed = Malformed("the size of a chunk is malformed");
        let Some(length) = self.line(bytes) else {
            let may_be_size = bytes[0].is_ascii_hexdigit() && bytes.len() < MAX_LINE_BYTES;
            return if may_be_size { Ok(Step::More) } else { Err(MALFORMED) };
        };
        self.examined += length;
        match httparse::parse_chunk_size(&bytes[..length]) {
            Ok(httparse::Status::Complete((skip, 0))) => {
                self.state = State::Trailer(MAX_TRAILER_BYTES);
                Ok(Step::Part { skip, length: 0 })
            }
            Ok(httparse::Status::Complete((skip, size))) => {
                self.state = State::ChunkData(size);
                Ok(Step::Part { skip, length: 0 })
            }
            _ => Err(MALFORMED),
        }
    }

    fn trailer(&mut self, bytes: &[u8], left: usize) -> Result<Step, Malformed> {
        let Some(length) = self.line(bytes) else {
            return if bytes.len() < MAX_LINE_BYTES {
                Ok(Step::More)
            } else {
                Err(TRAILER_TOO_LONG)
            };
        };
        if matches!(&bytes[..length], b"\n" | b"\r\n") {
            self.state = State::Ended;
            return Ok(Step::End { skip: length });
        }
        let left = left.checked_sub(length).ok_or(TRAILER_TOO_LONG)?;
        self.state = State::Trailer(left);
        Ok(Step::Part { skip: length, length: 0 })
    }
}

const TRAILER_TOO_LONG: Malformed = Malformed("the trailer is too long");
