//! Reads the heads of requests and responses.

use {
    super::{Connection, Fault},
    crate::message::{Malformed, Request, Response},
};

/// Largest number of interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 8;

impl Connection {
    /// Consumes the empty lines at the start of the buffer; returns their bytes.
    fn skip_empty_lines(&mut self) -> usize {
        let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
        let count = self.buffer.bytes().iter().take_while(is_line_end).count();
        if count > 0 {
            self.stream.wire().record_examined(count);
            self.consume(count);
        }
        count
    }

    /// Parses the head at the start of the buffer, and consumes it; `None` if it is not complete.
    fn parse_head<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, Malformed>,
    ) -> Result<Option<(T, usize)>, Malformed> {
        let bytes = self.buffer.bytes();
        let (parses, looked_at) = self.head_search.advance(bytes);
        let parsed_bytes = if parses { bytes.len() } else { 0 };
        self.stream.wire().record_examined(looked_at + parsed_bytes);
        if !parses {
            return Ok(None);
        }
        let Some((head, length)) = parse(bytes)? else { return Ok(None) };
        self.consume(length);
        Ok(Some((head, length)))
    }

    /// Reads the head of a request of at most `limit` bytes.
    ///
    /// # Errors
    /// See [`Fault`].
    pub async fn read_request(&mut self, limit: usize) -> Result<Request, Fault> {
        let mut skipped = 0;
        loop {
            // RFC 9112 recommends that a server ignore empty lines before a request.
            skipped += self.skip_empty_lines();
            if let Some((head, length)) = self.parse_head(Request::parse)? {
                return if length > limit { Err(Fault::TooLarge) } else { Ok(head) };
            }
            if skipped + self.buffer.len() > limit {
                return Err(Fault::TooLarge);
            }
            self.fill().await?;
        }
    }

    /// Reads the head of a response of at most `limit` bytes; up to eight interim responses are
    /// skipped. No request asks for another protocol, so that a switch to one is malformed.
    ///
    /// # Errors
    /// See [`Fault`].
    pub async fn read_response(&mut self, limit: usize) -> Result<Response, Fault> {
        let (mut interim, mut skipped) = (0, 0);
        loop {
            skipped += self.skip_empty_lines();
            if let Some((head, _)) = self.parse_head(Response::parse)? {
                match head.status {
                    101 => return Err(Malformed("the server switches protocols").into()),
                    100..=199 => interim += 1,
                    _ => return Ok(head),
                }
                if interim > MAX_INTERIM_RESPONSES {
                    return Err(Fault::TooLarge);
                }
                continue;
            }
            if skipped + self.buffer.len() > limit {
                return Err(Fault::TooLarge);
            }
            self.fill().await?;
        }
    }
}
