//! The protocol of model engines: completions with the usual fields for separate prefill and decode
//! servers, cancellation by id, reports of load and of the requests that hold memory, events of the
//! prefix cache, and orders to serve a model.

use {
    ffw_http::{
        client::{self, Call},
        fault::Fault,
    },
    ffw_protocol::admission::Attempt,
    ffw_runtime::meter::Wire,
    futures_lite::{AsyncBufReadExt as _, AsyncReadExt as _, io::BufReader},
    http_types::{Body, Method},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Maximum length of a line of a token stream.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Body of a completion call, for prefill, import and decode alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Attempt that the work belongs to, as `request#number`.
    pub request_id: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens, counted from the start of the response, including those
    /// before `resume_from`.
    pub max_tokens: u32,
    /// Rank of the priority class; 0 is served first.
    pub priority: u8,
    /// Number of output tokens that the caller has already received; decoding continues after them.
    #[serde(default)]
    pub resume_from: u32,
    /// Salt of the prefix cache, so that workspaces, which may be competitors, never share cached
    /// prefixes.
    pub cache_salt: Arc<str>,
    /// Result of the prefill call; `None` in a prefill call itself.
    #[serde(default)]
    pub kv_transfer_params: Option<Handoff>,
}

/// Location of a prefill result (KV cache) that a decode engine is to import.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handoff {
    /// Address of the prefill engine that holds the result.
    pub remote_host: SocketAddr,
    /// Name of the result on the prefill engine.
    pub remote_block: Arc<str>,
    /// Time for which the prefill engine keeps the result, in milliseconds.
    pub expires_ms: u64,
    /// Number of prompt tokens that were found in the prefix cache and not computed.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// One token of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Attempt that the token belongs to, as `request#number`.
    pub id: Arc<str>,
    /// Index of the token in the response, from 0.
    pub position: u32,
    /// Text of the token.
    pub text: Arc<str>,
    /// Why the response ends with this token; `None` if it does not.
    #[serde(default)]
    pub finish_reason: Option<Arc<str>>,
}

/// Load as an engine reports it; the values can be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that hold memory.
    pub running: u32,
    /// Memory pieces in use.
    pub pieces: u32,
    /// Number of prompt tokens that wait for prefill.
    pub queued_tokens: u32,
    /// Whether the engine has announced that it will leave.
    #[serde(default)]
    pub leaving: bool,
}

/// A request that holds memory of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRequest {
    /// Attempt, as `request#number`.
    pub request_id: Arc<str>,
    /// Memory pieces in use.
    pub pieces: u32,
}

/// A prefix that was added to or removed from the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; there can be gaps.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added; `false` if it was removed.
    pub stored: bool,
}

/// An order to an engine to serve a version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease holder that sends the order.
    pub fence: u64,
    /// Model that the engine is to serve.
    pub model: Arc<str>,
    /// Version of the model.
    pub version: Arc<str>,
}

/// What an engine serves, and the fencing number of its last order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Model.
    pub model: Arc<str>,
    /// Version of the model.
    pub version: Arc<str>,
    /// Highest fencing number of an order that the engine has received; 0 before the first.
    pub fence: u64,
}

/// The name of an attempt in messages to engines, as `request#number`.
pub fn attempt_name(attempt: &Attempt) -> Arc<str> {
    format!("{}#{}", attempt.request, attempt.number).into()
}

/// Parses a name made by [`attempt_name`]; `None` if it is not one.
pub fn parse_attempt(name: &str) -> Option<Attempt> {
    let (request, number) = name.rsplit_once('#')?;
    Some(Attempt { request: request.parse().ok()?, number: number.parse().ok()? })
}

/// Runs a prefill and waits for its end.
///
/// # Errors
/// As [`client::fetch`]; a refusal proves that the engine holds no memory for the attempt.
pub async fn prefill(
    server: SocketAddr,
    completion: &Completion,
    limit: Duration,
) -> Result<Handoff, Fault> {
    let call = Call::new(server, Method::Post, "/v1/completions").json(completion).limit(limit);
    client::fetch(&call).await
}

/// Makes a decode engine import a prefill result, and waits until the import is complete.
///
/// # Errors
/// As [`client::fetch`]. A refusal with status 429 means that no slot is free yet, one with 410
/// that the prefill engine no longer has the result.
pub async fn import(
    server: SocketAddr,
    completion: &Completion,
    limit: Duration,
) -> Result<(), Fault> {
    let call = Call::new(server, Method::Post, "/v1/kv/import").json(completion).limit(limit);
    client::fetch::<serde_json::Value>(&call).await.map(drop)
}

/// Starts the token stream of an imported request.
///
/// # Errors
/// As [`client::send`]; a status above 299 is a refusal.
pub async fn decode(
    server: SocketAddr,
    completion: &Completion,
    limit: Duration,
) -> Result<Stream, Fault> {
    let call = Call::new(server, Method::Post, "/v1/completions").json(completion).limit(limit);
    let mut response = client::send(&call).await?;
    let status: u16 = response.status().into();
    if status > 299 {
        let bytes = client::read_body(&mut response, limit).await?;
        let message = String::from_utf8_lossy(&bytes).into_owned();
        return Err(Fault::Refused { status, message });
    }
    Ok(Stream { body: BufReader::new(response.take_body()), line: Vec::new() })
}

/// A token stream of server-sent events. Dropping it closes the connection.
#[derive(Debug)]
pub struct Stream {
    body: BufReader<Body>,
    line: Vec<u8>,
}

/// An item of a token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A token.
    Token(Token),
    /// The marker that the response is complete.
    Done,
}

impl Stream {
    /// Waits for the next item. Cancel-safe: a partly read line is kept.
    ///
    /// # Errors
    /// The stream ended before [`Step::Done`], sent an invalid token, or sent a line that is too
    /// long.
    pub async fn next(&mut self) -> Result<Step, Fault> {
        loop {
            // Bytes without a line end must not be read without end.
            let room = (MAX_LINE_BYTES + 1).saturating_sub(self.line.len()) as u64;
            let read = (&mut self.body).take(room).read_until(b'\n', &mut self.line).await;
            let count = read.map_err(|err| Fault::Broken(err.to_string()))?;
            if count == 0 || self.line.len() > MAX_LINE_BYTES {
                return Err(Fault::Broken(
                    "the token stream ended early or sent a line that is too long".into(),
                ));
            }
            if self.line.last() != Some(&b'\n') {
                continue;
            }
            let line = std::mem::take(&mut self.line);
            if let Some(step) = parse_line(&line)? {
                return Ok(step);
            }
        }
    }
}

fn parse_line(line: &[u8]) -> Result<Option<Step>, Fault> {
    let line = line.trim_ascii();
    let Some(data) = line.strip_prefix(b"data: ") else {
        return Ok(None);
    };
    if data == b"[DONE]" {
        return Ok(Some(Step::Done));
    }
    serde_json::from_slice(data)
        .map(|token| Some(Step::Token(token)))
        .map_err(|err| Fault::Broken(err.to_string()))
}

#[derive(Serialize)]
struct Cancel<'a> {
    request_id: &'a str,
}

/// Ends the work on an attempt at an engine and frees the memory it holds. Idempotent.
///
/// # Errors
/// As [`client::fetch`]: the engine did not confirm.
pub async fn cancel(server: SocketAddr, request_id: &str) -> Result<(), Fault> {
    let call = Call::new(server, Method::Post, "/v1/cancel")
        .json(&Cancel { request_id })
        .limit(Duration::from_secs(2));
    client::fetch::<serde_json::Value>(&call).await.map(drop)
}

/// Reads the load of an engine.
///
/// # Errors
/// As [`client::fetch`].
pub async fn load(server: SocketAddr) -> Result<Load, Fault> {
    let call = Call::new(server, Method::Get, "/v1/load").limit(Duration::from_secs(1));
    client::fetch(&call.wire(Wire::Report)).await
}

/// Reads which attempts hold memory of an engine.
///
/// # Errors
/// As [`client::fetch`].
pub async fn held(server: SocketAddr) -> Result<Vec<HeldRequest>, Fault> {
    let call = Call::new(server, Method::Get, "/v1/held").limit(Duration::from_secs(1));
    client::fetch(&call.wire(Wire::Report)).await
}

/// Reads the cache events with a number above `after`.
///
/// # Errors
/// As [`client::fetch`].
pub async fn cache_events(server: SocketAddr, after: u64) -> Result<Vec<CacheEvent>, Fault> {
    let path = format!("/v1/cache-events?after={after}");
    let call = Call::new(server, Method::Get, path).limit(Duration::from_secs(1));
    client::fetch(&call.wire(Wire::Report)).await
}

/// Sends an order. An engine that checks fencing numbers refuses an order with a number below the
/// highest that it has received, with status 409.
///
/// # Errors
/// As [`client::fetch`].
pub async fn order(server: SocketAddr, order: &Order) -> Result<Loaded, Fault> {
    let call = Call::new(server, Method::Post, "/v1/orders").json(order);
    client::fetch(&call.limit(Duration::from_secs(5)).wire(Wire::Report)).await
}

/// Reads which model version an engine serves.
///
/// # Errors
/// As [`client::fetch`].
pub async fn loaded(server: SocketAddr) -> Result<Loaded, Fault> {
    let call = Call::new(server, Method::Get, "/v1/orders").limit(Duration::from_secs(1));
    client::fetch(&call.wire(Wire::Report)).await
}
