//! Writes the response of a model call: delivers each token once and in order, also across
//! attempts, and marks an incomplete stream, so that callers can distinguish it from a complete
//! one.

use {
    crate::{
        openai::{self, ResponseMetadata, Usage},
        record::Delivery,
    },
    ffw_backend::engine::Token,
    ffw_control::identity,
    ffw_decide::affinity::Origin,
    ffw_http::{
        body::{self, Writer},
        server,
    },
    ffw_protocol::{
        error::{Error, Kind, Result},
        software,
    },
    http_types::Response,
    log::debug,
    smol::channel::Sender,
    std::sync::Arc,
};

/// Result of [`ResponseWriter::accept`] for one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenOutcome {
    /// The token was written to the stream, or added to the text of a response that is not
    /// streamed.
    Accepted,
    /// The token was ignored: it belongs to another attempt, its position was accepted before, or
    /// it came after the last token.
    Dropped,
    /// The token was accepted and is the last one of the response.
    Last,
}

/// The response of a model call while its tokens arrive.
#[derive(Debug)]
pub struct ResponseWriter {
    metadata: ResponseMetadata,
    is_streamed: bool,
    /// Takes the HTTP response, or the error; `None` once it was sent.
    response_sender: Option<Sender<Result<Response>>>,
    /// Body of a streamed response; `None` before its first token, and if the response is not
    /// streamed.
    writer: Option<Writer>,
    /// Text so far of a response that is not streamed.
    text: String,
    next_position: u32,
    /// Where the first token was written.
    origin: Origin,
    /// Reason given with the last token; `None` before it.
    finish_reason: Option<Arc<str>>,
    delivery: Delivery,
}

impl ResponseWriter {
    /// Creates a response without tokens. The HTTP response goes to `response_sender`: with the
    /// first token if it is streamed, otherwise when it is complete.
    pub fn new(
        metadata: ResponseMetadata,
        is_streamed: bool,
        response_sender: Sender<Result<Response>>,
    ) -> ResponseWriter {
        ResponseWriter {
            metadata,
            is_streamed,
            response_sender: Some(response_sender),
            writer: None,
            text: String::new(),
            next_position: 0,
            origin: Origin::default(),
            finish_reason: None,
            delivery: Delivery::default(),
        }
    }

    /// Number of tokens accepted so far.
    pub fn count(&self) -> u32 {
        self.next_position
    }

    /// Where the first token was written.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Records that an engine of this software version, `None` if it is not known, has written a
    /// token.
    pub fn record_origin(&mut self, version: Option<&software::Version>) {
        self.origin.record_event(version);
    }

    /// Size and times of the delivered part.
    pub fn delivery(&self) -> Delivery {
        self.delivery
    }

    /// Whether the last token has been accepted.
    pub fn is_finished(&self) -> bool {
        self.finish_reason.is_some()
    }

    /// Accepts a token that the stream of the attempt named `attempt` has produced. Ignores tokens
    /// of other attempts, tokens accepted before, and tokens after the last one.
    ///
    /// # Errors
    /// [`Kind::BackendFailed`] if an earlier token is missing; [`Kind::CallerGone`] if the caller
    /// has disconnected.
    pub async fn accept(&mut self, attempt: &str, token: &Token) -> Result<TokenOutcome> {
        if *token.id != *attempt || token.position < self.next_position || self.is_finished() {
            debug!(
                "event=token_dropped attempt={attempt} token_of={} position={}",
                token.id, token.position
            );
            return Ok(TokenOutcome::Dropped);
        }
        if token.position > self.next_position {
            let message = format!(
                "received token {} where token {} was expected",
                token.position, self.next_position
            );
            return Err(Error::new(Kind::BackendFailed, message));
        }
        self.next_position += 1;
        self.update_delivery();
        self.finish_reason = token.finish_reason.clone();
        if self.is_streamed {
            self.write_event(token).await?;
        } else {
            self.text.push_str(&token.text);
        }
        Ok(if self.is_finished() { TokenOutcome::Last } else { TokenOutcome::Accepted })
    }

    fn update_delivery(&mut self) {
        let now = identity::now();
        self.delivery.delivered = u64::from(self.next_position);
        self.delivery.first_token_at.get_or_insert(now);
        self.delivery.last_token_at = Some(now);
    }

    async fn write_event(&mut self, token: &Token) -> Result<()> {
        if self.writer.is_none() {
            self.start_stream();
        }
        let event = self.metadata.stream_event(&token.text, token.finish_reason.as_deref());
        let Some(writer) = &self.writer else { return Err(caller_gone()) };
        writer.write(event).await.map_err(|_| caller_gone())
    }

    /// Sends the HTTP response of a streamed response and opens its body.
    fn start_stream(&mut self) {
        let (writer, feed) = body::channel();
        let response = server::stream_response("text/event-stream", feed);
        if let Some(sender) = self.response_sender.take()
            && sender.try_send(Ok(response)).is_ok()
        {
            self.writer = Some(writer);
        }
    }

    /// Ends a complete response: a stream with the [`openai::DONE_EVENT`], any other by sending it.
    pub async fn finish(mut self, usage: Usage) {
        if let Some(writer) = &self.writer {
            if writer.write(openai::DONE_EVENT.to_vec()).await.is_ok() {
                writer.finish().await.ok();
            }
            return;
        }
        let finish_reason = self.finish_reason.as_deref().unwrap_or("stop");
        let body = self.metadata.body(&self.text, finish_reason, usage);
        if let Some(sender) = self.response_sender.take() {
            sender.try_send(Ok(server::json_response(200, &body))).ok();
        }
    }

    /// Ends the response with an error. A stream that has started gets an error event and no
    /// terminating chunk, so that callers recognize it as incomplete.
    pub async fn fail(mut self, error: Error) {
        if let Some(sender) = self.response_sender.take() {
            sender.try_send(Err(error)).ok();
        } else if let Some(writer) = &self.writer {
            writer.write(openai::error_event(&error)).await.ok();
        }
    }
}

fn caller_gone() -> Error {
    Error::new(Kind::CallerGone, "the caller closed the connection")
}
