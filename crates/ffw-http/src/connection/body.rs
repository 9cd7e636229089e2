//! Reads bodies, whole or in parts.

use {
    super::{Connection, Fault},
    crate::framing::{Decoder, Step},
    rustix::net::sockopt,
    std::io,
};

impl Connection {
    /// Checks that the end of the connection is that of a body. A failed write takes the error of a
    /// reset from the socket, and a reset after a regular end does not show in what is read; both
    /// concern a request that the other side has not read whole.
    fn check_end(&self) -> Result<(), Fault> {
        if self.is_request_cut {
            return Err(Fault::Broken(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "the connection ended before the request was sent whole",
            )));
        }
        match sockopt::socket_error(self.stream.get_ref()) {
            Ok(Err(errno)) => Err(Fault::Broken(errno.into())),
            // If the system does not tell, the end that was read applies.
            Ok(Ok(())) | Err(_) => Ok(()),
        }
    }

    /// Reads the next part of a body, which is not empty; `None` at the end of the body. A part is
    /// all that has been received, of however many chunks. The end of the connection is that of a
    /// body only if the request was completely written and no reset was received.
    ///
    /// # Errors
    /// The connection ended or failed within the body, or the framing is malformed.
    pub async fn read_part(&mut self, decoder: &mut Decoder) -> Result<Option<Vec<u8>>, Fault> {
        let mut part = Vec::new();
        loop {
            let step = decoder.step(self.buffer.bytes());
            self.stream.wire().record_examined(decoder.take_examined());
            let step = match step {
                Ok(step) => step,
                Err(_) if !part.is_empty() => return Ok(Some(part)),
                Err(malformed) => return Err(malformed.into()),
            };
            match step {
                Step::End { skip } => {
                    self.consume(skip);
                    return Ok((!part.is_empty()).then_some(part));
                }
                Step::More if !part.is_empty() => return Ok(Some(part)),
                Step::Part { skip, length } => {
                    part.extend_from_slice(&self.buffer.bytes()[skip..skip + length]);
                    self.stream.wire().record_examined(length);
                    self.consume(skip + length);
                }
                Step::More => match self.fill().await {
                    Err(Fault::Closed) if decoder.ends_with_connection() => {
                        return self.check_end().map(|()| None);
                    }
                    Err(Fault::Closed) => {
                        return Err(Fault::Broken(io::ErrorKind::UnexpectedEof.into()));
                    }
                    other => other?,
                },
            }
        }
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// As [`Connection::read_part`], or [`Fault::TooLarge`].
    pub async fn read_body(
        &mut self,
        decoder: &mut Decoder,
        limit: usize,
    ) -> Result<Vec<u8>, Fault> {
        let mut body = Vec::new();
        while let Some(part) = self.read_part(decoder).await? {
            if body.len() + part.len() > limit {
                return Err(Fault::TooLarge);
            }
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    /// Reads and discards a whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// As [`Connection::read_body`].
    pub async fn skip_body(&mut self, decoder: &mut Decoder, limit: usize) -> Result<(), Fault> {
        let mut skipped = 0;
        while let Some(part) = self.read_part(decoder).await? {
            skipped += part.len();
            if skipped > limit {
                return Err(Fault::TooLarge);
            }
        }
        Ok(())
    }
}
