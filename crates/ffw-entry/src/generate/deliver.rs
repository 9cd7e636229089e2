//! The one answer of a request: each token once and in order, a whole answer told apart from one
//! that was cut.

use {
    crate::{
        openai::{self, Header, Usage},
        record::Delivery,
    },
    ffw_backend::engine::Token,
    ffw_control::identity,
    ffw_http::{
        feed::{self, Writer},
        server,
    },
    ffw_protocol::error::{Error, Kind, Result},
    http_types::Response,
    log::debug,
    smol::channel::Sender,
    std::sync::Arc,
};

/// What became of one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It was delivered.
    New,
    /// It belongs to another attempt, or was delivered before.
    Dropped,
    /// It is the last one of the answer.
    Last,
}

/// An answer in the making.
#[derive(Debug)]
pub struct Delivered {
    header: Header,
    is_streamed: bool,
    head: Option<Sender<Result<Response>>>,
    writer: Option<Writer>,
    text: String,
    next: u32,
    finish: Option<Arc<str>>,
    delivery: Delivery,
}

impl Delivered {
    /// An answer without tokens; `head` takes the response as soon as it is known.
    pub fn new(header: Header, is_streamed: bool, head: Sender<Result<Response>>) -> Delivered {
        Delivered {
            header,
            is_streamed,
            head: Some(head),
            writer: None,
            text: String::new(),
            next: 0,
            finish: None,
            delivery: Delivery::default(),
        }
    }

    /// Tokens delivered so far.
    pub fn count(&self) -> u32 {
        self.next
    }

    /// Times and sizes of the delivery.
    pub fn delivery(&self) -> Delivery {
        self.delivery
    }

    /// Whether the last token has been delivered.
    pub fn is_finished(&self) -> bool {
        self.finish.is_some()
    }

    /// Takes a token of the attempt named `attempt`.
    ///
    /// # Errors
    /// [`Kind::BackendFailed`] if a token is missing before it; [`Kind::CallerGone`].
    pub async fn take(&mut self, attempt: &str, token: &Token) -> Result<Taken> {
        if *token.id != *attempt || token.position < self.next || self.is_finished() {
            debug!(
                "event=token_dropped attempt={attempt} token_of={} position={}",
                token.id, token.position
            );
            return Ok(Taken::Dropped);
        }
        if token.position > self.next {
            let message = format!("token {} came instead of {}", token.position, self.next);
            return Err(Error::new(Kind::BackendFailed, message));
        }
        self.next += 1;
        self.update_delivery();
        self.finish = token.finish_reason.clone();
        if self.is_streamed {
            self.write(token).await?;
        } else {
            self.text.push_str(&token.text);
        }
        Ok(if self.is_finished() { Taken::Last } else { Taken::New })
    }

    fn update_delivery(&mut self) {
        let now = identity::now();
        self.delivery.delivered = u64::from(self.next);
        self.delivery.first.get_or_insert(now);
        self.delivery.last = Some(now);
    }

    async fn write(&mut self, token: &Token) -> Result<()> {
        if self.writer.is_none() {
            self.open();
        }
        let part = self.header.part(&token.text, token.finish_reason.as_deref());
        let Some(writer) = &self.writer else { return Err(gone()) };
        writer.write(part).await.map_err(|_| gone())
    }

    /// Starts a streamed answer.
    fn open(&mut self) {
        let (writer, feed) = feed::open();
        let response = server::stream_response("text/event-stream", feed);
        if let Some(head) = self.head.take()
            && head.try_send(Ok(response)).is_ok()
        {
            self.writer = Some(writer);
        }
    }

    /// Ends the answer as whole.
    pub async fn finish(mut self, usage: Usage) {
        if let Some(writer) = &self.writer {
            if writer.write(openai::DONE.to_vec()).await.is_ok() {
                writer.finish().await.ok();
            }
            return;
        }
        let finish = self.finish.as_deref().unwrap_or("stop");
        let body = self.header.whole(&self.text, finish, usage);
        if let Some(head) = self.head.take() {
            head.try_send(Ok(server::json_response(200, &body))).ok();
        }
    }

    /// Ends the answer with an error. A stream that has begun gets an error event and no last
    /// chunk, so that nobody takes it for whole.
    pub async fn fail(mut self, error: Error) {
        if let Some(head) = self.head.take() {
            head.try_send(Err(error)).ok();
        } else if let Some(writer) = &self.writer {
            writer.write(openai::error_event(&error)).await.ok();
        }
    }
}

fn gone() -> Error {
    Error::new(Kind::CallerGone, "the caller closed the connection")
}
