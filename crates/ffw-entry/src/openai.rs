//! Requests and responses of the OpenAI completion and chat completion APIs.

use {
    ffw_protocol::error::{Error, Kind, Result},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::sync::Arc,
};

/// A parsed model call, text or chat completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Name of the model.
    pub model: Arc<str>,
    /// Prompt text; for a chat, the messages joined as `role: content` lines.
    pub prompt: Arc<str>,
    /// Maximum number of output tokens; `None` if the caller set no limit.
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed as server-sent events.
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

/// Parses the body of a text completion request.
///
/// # Errors
/// [`Kind::Malformed`] with the position in the body if it is not valid JSON of this type, or if
/// the prompt is empty or the maximum of output tokens is 0.
pub fn parse_completion(body: &[u8]) -> Result<Call> {
    let parsed: Completion = serde_json::from_slice(body).map_err(malformed)?;
    check(Call {
        model: parsed.model,
        prompt: parsed.prompt,
        max_tokens: parsed.max_tokens,
        stream: parsed.stream,
    })
}

/// Parses the body of a chat completion request.
///
/// # Errors
/// [`Kind::Malformed`] with the position in the body if it is not valid JSON of this type, or if
/// the prompt is empty or the maximum of output tokens is 0.
pub fn parse_chat(body: &[u8]) -> Result<Call> {
    let parsed: Chat = serde_json::from_slice(body).map_err(malformed)?;
    let lines =
        parsed.messages.iter().map(|message| format!("{}: {}\n", message.role, message.content));
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

/// Format of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFormat {
    /// Text completion.
    Completion,
    /// Chat completion.
    Chat,
}

/// Fields that are in the body of a response and in each event of a streamed response.
#[derive(Clone, Debug)]
pub struct ResponseMetadata {
    /// Request id.
    pub id: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Creation time of the response, in seconds since the Unix epoch.
    pub created: u64,
    /// Format of the response.
    pub format: ResponseFormat,
}

/// Token counts of a request and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens.
    pub completion_tokens: u32,
    /// Sum of prompt and output tokens.
    pub total_tokens: u32,
}

impl ResponseMetadata {
    /// Body of a response that is not streamed.
    pub fn body(&self, text: &str, finish_reason: &str, usage: Usage) -> Value {
        let (object, choice) = match self.format {
            ResponseFormat::Completion => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
            ),
            ResponseFormat::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                (
                    "chat.completion",
                    json!({ "index": 0, "message": message, "finish_reason": finish_reason }),
                )
            }
        };
        json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice], "usage": usage,
        })
    }

    /// One event of a streamed response, with its framing.
    pub fn stream_event(&self, text: &str, finish_reason: Option<&str>) -> Vec<u8> {
        let (object, choice) = match self.format {
            ResponseFormat::Completion => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
            ),
            ResponseFormat::Chat => {
                let delta = json!({ "content": text });
                let choice = json!({ "index": 0, "delta": delta, "finish_reason": finish_reason });
                ("chat.completion.chunk", choice)
            }
        };
        event(&json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice],
        }))
    }
}

/// The event that ends a stream after a complete response.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// The event that ends a stream whose response is incomplete.
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
