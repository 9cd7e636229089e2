//! A response body that one task writes while the server loop reads and sends it.
//!
//! The queue between them is bounded, so that a slow caller slows the writer down.

use {
    futures_lite::{AsyncRead, Stream as _},
    smol::channel::{self, Receiver, Sender},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// Maximum number of unread parts; the writer waits while there are as many.
const MAX_UNREAD_PARTS: usize = 64;

/// The reading end. Reading fails if all writers are dropped without [`Writer::finish`], so that an
/// incomplete response is not taken for a complete one.
#[derive(Debug)]
pub struct Reader {
    parts: Pin<Box<Receiver<Part>>>,
    current: Vec<u8>,
    /// Bytes of `current` that were read already.
    offset: usize,
    finished: bool,
}

/// The writing end.
#[derive(Clone, Debug)]
pub struct Writer {
    parts: Sender<Part>,
}

#[derive(Debug)]
enum Part {
    Bytes(Vec<u8>),
    End,
}

/// The reading end was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// Creates a body and its writer.
pub fn channel() -> (Writer, Reader) {
    let (sender, receiver) = channel::bounded(MAX_UNREAD_PARTS);
    let parts = Box::pin(receiver);
    (Writer { parts: sender }, Reader { parts, current: Vec::new(), offset: 0, finished: false })
}

impl Writer {
    /// Writes bytes; waits while the queue is full.
    ///
    /// # Errors
    /// The reading end was dropped.
    pub async fn write(&self, bytes: Vec<u8>) -> Result<(), Closed> {
        self.parts.send(Part::Bytes(bytes)).await.map_err(|_| Closed)
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    /// The reading end was dropped.
    pub async fn finish(&self) -> Result<(), Closed> {
        self.parts.send(Part::End).await.map_err(|_| Closed)
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.offset == self.current.len() {
            if self.finished {
                return Poll::Ready(Ok(0));
            }
            match ready!(self.parts.as_mut().poll_next(cx)) {
                Some(Part::Bytes(bytes)) => {
                    self.current = bytes;
                    self.offset = 0;
                }
                Some(Part::End) => self.finished = true,
                None => {
                    let kind = io::ErrorKind::UnexpectedEof;
                    return Poll::Ready(Err(io::Error::new(
                        kind,
                        "the response body ended before its writer finished it",
                    )));
                }
            }
        }
        let unread = &self.current[self.offset..];
        let count = unread.len().min(buffer.len());
        buffer[..count].copy_from_slice(&unread[..count]);
        self.offset += count;
        Poll::Ready(Ok(count))
    }
}
