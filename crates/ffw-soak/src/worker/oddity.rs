//! Answers of a server that are none of the request, or no answer at all.

use {
    super::{EVENT_COUNT, Worker},
    crate::wire::{Exchange, IO_TIMEOUT},
    ffw_http::message::Response,
    ffw_runtime::timer,
    std::{
        sync::{PoisonError, atomic::Ordering},
        time::Duration,
    },
};

/// Bytes of an endless stream that are written at once, each of them a chunk of its own.
const ENDLESS_BLOCK: usize = 8 << 10;

/// Pause between two blocks, which leaves the threads to the other stand-ins.
const ENDLESS_PAUSE: Duration = Duration::from_millis(1);

/// Blocks after which an endless stream is given up.
const ENDLESS_BLOCKS_MAX: usize = 500;

/// How a server answers oddly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Oddity {
    /// On a kept connection, a refusal without an id comes before the answer to each request that
    /// runs, as if an earlier one came once more.
    RepeatedRefusal,
    /// A stream that is to be continued gets an error, or a body that is no rest of a stream.
    ErrorInStream,
    /// Of the streams, each second one consists of bytes without end, in chunks of one byte.
    EndlessBytes,
}

/// Errors that a stream gets in place of its rest: status, content type and body.
const ERRORS: [(u16, &str, &str); 4] = [
    (500, "text/plain", "the engine failed\n"),
    (200, "text/plain", "id: 5\ndata: an error page\n\n"),
    (200, "text/event-stream", "HTTP/1.1 500 Internal Server Error\r\n\r\nfailed"),
    (200, "text/event-stream", ""),
];

impl Worker {
    /// Answers oddly from now on, or as usual.
    pub fn set_oddity(&self, oddity: Option<Oddity>) {
        *self.oddity.lock().unwrap_or_else(PoisonError::into_inner) = oddity;
    }

    /// Number of a request among those that a server with this oddity got; `None` without it.
    fn odd_turn(&self, oddity: Oddity) -> Option<usize> {
        let current = *self.oddity.lock().unwrap_or_else(PoisonError::into_inner);
        (current == Some(oddity)).then(|| self.odd_turns.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends a refusal that was meant for an earlier request of the connection, if the server is
    /// to.
    pub(super) async fn repeat_refusal(&self, exchange: &mut Exchange) -> Option<()> {
        if !exchange.is_first && self.odd_turn(Oddity::RepeatedRefusal).is_some() {
            let mut refusal = self.new_head(503);
            refusal.fields.set("Not-Executed", "1");
            exchange.answer(refusal, b"").await.ok()?;
        }
        Some(())
    }

    /// The error that a stream gets in place of its rest, if the server is to send one. `head` is
    /// that of the stream.
    pub(super) fn error_for(
        &self,
        head: &Response,
        first_event: u32,
    ) -> Option<(Response, &'static str)> {
        if first_event == 0 || first_event >= EVENT_COUNT {
            return None;
        }
        let turn = self.odd_turn(Oddity::ErrorInStream)?;
        let (status, media_type, body) = ERRORS[turn % ERRORS.len()];
        let mut head = Response { status, ..head.clone() };
        head.fields.set("Content-Type", media_type);
        Some((head, body))
    }

    /// Whether a stream consists of bytes without end.
    pub(super) fn is_endless(&self) -> bool {
        self.odd_turn(Oddity::EndlessBytes).is_some_and(|turn| turn % 2 == 0)
    }
}

/// Writes bytes until the connection is closed, or until [`ENDLESS_BLOCKS_MAX`] blocks were written.
pub(super) async fn write_without_end(exchange: &mut Exchange, head: &[u8]) -> Option<()> {
    exchange.connection.write(head, IO_TIMEOUT).await.ok()?;
    let block = b"1\r\nx\r\n".repeat(ENDLESS_BLOCK);
    for _ in 0..ENDLESS_BLOCKS_MAX {
        exchange.connection.write(&block, IO_TIMEOUT).await.ok()?;
        timer::sleep(ENDLESS_PAUSE).await;
    }
    None
}
