//! A body that one task writes and the server loop reads.

use {
    futures_lite::{AsyncRead, Stream as _},
    smol::channel::{self, Receiver, Sender},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// Parts that may wait to be read before the writer has to.
const CAPACITY: usize = 64;

/// The reading end. A feed whose writer is dropped without [`Writer::finish`] fails, so that an
/// answer cut short is not taken for a whole one.
#[derive(Debug)]
pub struct Feed {
    parts: Pin<Box<Receiver<Part>>>,
    current: Vec<u8>,
    taken: usize,
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

/// The reader is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// A feed and its writer.
pub fn open() -> (Writer, Feed) {
    let (sender, receiver) = channel::bounded(CAPACITY);
    let parts = Box::pin(receiver);
    (Writer { parts: sender }, Feed { parts, current: Vec::new(), taken: 0, finished: false })
}

impl Writer {
    /// Writes bytes.
    ///
    /// # Errors
    /// The reader is gone.
    pub async fn write(&self, bytes: Vec<u8>) -> Result<(), Closed> {
        self.parts.send(Part::Bytes(bytes)).await.map_err(|_| Closed)
    }

    /// Ends the body as whole.
    ///
    /// # Errors
    /// The reader is gone.
    pub async fn finish(&self) -> Result<(), Closed> {
        self.parts.send(Part::End).await.map_err(|_| Closed)
    }
}

impl AsyncRead for Feed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.taken == self.current.len() {
            if self.finished {
                return Poll::Ready(Ok(0));
            }
            match ready!(self.parts.as_mut().poll_next(cx)) {
                Some(Part::Bytes(bytes)) => {
                    self.current = bytes;
                    self.taken = 0;
                }
                Some(Part::End) => self.finished = true,
                None => {
                    let kind = io::ErrorKind::UnexpectedEof;
                    return Poll::Ready(Err(io::Error::new(kind, "the answer was cut short")));
                }
            }
        }
        let rest = &self.current[self.taken..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.taken += count;
        Poll::Ready(Ok(count))
    }
}
