//! The shapes of completion calls and answers that callers know.

use {
    ffw_protocol::error::{Error, Kind, Result},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::sync::Arc,
};

/// A completion call, text or chat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Model.
    pub model: Arc<str>,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Most output tokens, if the caller gave a number.
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
}

#[derive(Deserialize)]
struct Completion {
    model: Arc<str>,
    prompt: Arc<str>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Chat {
    model: Arc<str>,
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    role: Arc<str>,
    content: Arc<str>,
}

/// Parses a text completion call.
///
/// # Errors
/// [`Kind::Malformed`] with the place in the body.
pub fn parse_completion(body: &[u8]) -> Result<Call> {
    let parsed: Completion = serde_json::from_slice(body).map_err(malformed)?;
    check(Call {
        model: parsed.model,
        prompt: parsed.prompt,
        max_tokens: parsed.max_tokens,
        stream: parsed.stream,
    })
}

/// Parses a chat completion call.
///
/// # Errors
/// [`Kind::Malformed`] with the place in the body.
pub fn parse_chat(body: &[u8]) -> Result<Call> {
    let parsed: Chat = serde_json::from_slice(body).map_err(malformed)?;
    let lines = parsed.messages.iter().map(|one| format!("{}: {}\n", one.role, one.content));
    check(Call {
        model: parsed.model,
        prompt: lines.collect::<String>().into(),
        max_tokens: parsed.max_completion_tokens.or(parsed.max_tokens),
        stream: parsed.stream,
    })
}

fn check(call: Call) -> Result<Call> {
    if call.prompt.is_empty() {
        return Err(Error::new(Kind::Malformed, "the prompt is empty"));
    }
    if call.max_tokens == Some(0) {
        return Err(Error::new(Kind::Malformed, "`max_tokens` must be above 0"));
    }
    Ok(call)
}

fn malformed(err: serde_json::Error) -> Error {
    Error::new(Kind::Malformed, format!("the body is not a completion call: {err}"))
}

/// Shape of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Text completion.
    Completion,
    /// Chat completion.
    Chat,
}

/// What every part of an answer names.
#[derive(Clone, Debug)]
pub struct Header {
    /// Request id.
    pub id: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Time of the answer, in seconds since the Unix epoch.
    pub created: u64,
    /// Shape.
    pub shape: Shape,
}

/// Tokens of a request and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens.
    pub completion_tokens: u32,
    /// Both together.
    pub total_tokens: u32,
}

impl Header {
    /// The whole answer.
    pub fn whole(&self, text: &str, finish: &str, usage: Usage) -> Value {
        let (object, choice) = match self.shape {
            Shape::Completion => {
                ("text_completion", json!({ "index": 0, "text": text, "finish_reason": finish }))
            }
            Shape::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                (
                    "chat.completion",
                    json!({ "index": 0, "message": message, "finish_reason": finish }),
                )
            }
        };
        json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice], "usage": usage,
        })
    }

    /// One event of a streamed answer.
    pub fn part(&self, text: &str, finish: Option<&str>) -> Vec<u8> {
        let (object, choice) = match self.shape {
            Shape::Completion => {
                ("text_completion", json!({ "index": 0, "text": text, "finish_reason": finish }))
            }
            Shape::Chat => {
                let delta = json!({ "content": text });
                let choice = json!({ "index": 0, "delta": delta, "finish_reason": finish });
                ("chat.completion.chunk", choice)
            }
        };
        event(&json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice],
        }))
    }
}

/// The event that ends a whole stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// The event that tells of an answer cut short.
pub fn error_event(error: &Error) -> Vec<u8> {
    let row = error.kind.row();
    let detail = json!({
        "code": row.code, "message": &*error.message, "run": error.run.word(), "help": row.help,
    });
    let mut bytes = b"event: error\n".to_vec();
    bytes.extend(event(&json!({ "error": detail })));
    bytes
}

fn event(value: &Value) -> Vec<u8> {
    format!("data: {value}\n\n").into_bytes()
}
