//! The protocol of model engines: completions with the usual disaggregation fields, cancel by id,
//! load and held-request reports, cache events and orders.

use {
    ffw_http::{
        client::{self, Call},
        fault::Fault,
    },
    ffw_protocol::admission::Attempt,
    ffw_runtime::meter::Wire,
    futures_lite::{AsyncBufReadExt as _, io::BufReader},
    http_types::{Body, Method},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Longest line of a token stream, in bytes.
const MAX_LINE: usize = 64 << 10;

/// Body of a completion call, for prefill and decode alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Attempt that the work belongs to, as `request#number`.
    pub request_id: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Output tokens at most, counted from the start of the answer.
    pub max_tokens: u32,
    /// Rank of the priority class; 0 goes first.
    pub priority: u8,
    /// Output tokens that the caller has already.
    #[serde(default)]
    pub resume_from: u32,
    /// Salt of the prefix cache: rivals never share cached prefixes.
    pub cache_salt: Arc<str>,
    /// What the prefill answered; absent in a prefill call.
    #[serde(default)]
    pub kv_transfer_params: Option<Handoff>,
}

/// Where a prefill result waits for its decode engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handoff {
    /// Prefill engine that holds it.
    pub remote_host: SocketAddr,
    /// Name of the result there.
    pub remote_block: Arc<str>,
    /// Time for which it survives, in milliseconds.
    pub expires_ms: u64,
    /// Prompt tokens that were not computed because they were cached.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// One token of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Attempt that the token answers.
    pub id: Arc<str>,
    /// Place in the answer, from 0.
    pub position: u32,
    /// Text.
    pub text: Arc<str>,
    /// Why the answer ends here, if it does.
    #[serde(default)]
    pub finish_reason: Option<Arc<str>>,
}

/// Load as an engine reports it, with a lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that hold memory.
    pub running: u32,
    /// Pieces in use.
    pub pieces: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: u32,
    /// Whether the engine means to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// One request that holds memory of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRequest {
    /// Attempt, as `request#number`.
    pub request_id: Arc<str>,
    /// Pieces in use.
    pub pieces: u32,
}

/// A cached prefix that came or went.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps happen.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is there now.
    pub stored: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the holder that gives it.
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
    /// Highest fencing number seen.
    pub fence: u64,
}

/// The attempt's name towards engines.
pub fn attempt_name(attempt: &Attempt) -> Arc<str> {
    format!("{}#{}", attempt.request, attempt.number).into()
}

/// The attempt behind a name that [`attempt_name`] gave.
pub fn parse_attempt(name: &str) -> Option<Attempt> {
    let (request, number) = name.rsplit_once('#')?;
    Some(Attempt { request: request.parse().ok()?, number: number.parse().ok()? })
}

/// Runs a prefill and waits for its end.
///
/// # Errors
/// As [`client::fetch`]; a refusal proves that nothing is held.
pub async fn prefill(
    server: SocketAddr,
    completion: &Completion,
    limit: Duration,
) -> Result<Handoff, Fault> {
    let call = Call::new(server, Method::Post, "/v1/completions").json(completion).limit(limit);
    client::fetch(&call).await
}

/// Tells a decode engine to take a prefill result over, and waits until it has.
///
/// # Errors
/// A refusal with status 429 says that no slot is free yet; with 410 that the result is gone.
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

/// A token stream. Dropping it closes the connection.
#[derive(Debug)]
pub struct Stream {
    body: BufReader<Body>,
    line: Vec<u8>,
}

/// One step of a token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A token.
    Token(Token),
    /// The engine said that the answer is whole.
    Done,
}

impl Stream {
    /// The next step. Cancel-safe: a line read in part is kept.
    ///
    /// # Errors
    /// The stream ended before the engine said that it was whole, or sent something else.
    pub async fn next(&mut self) -> Result<Step, Fault> {
        loop {
            let read = self.body.read_until(b'\n', &mut self.line).await;
            let count = read.map_err(|err| Fault::Broken(err.to_string()))?;
            if count == 0 || self.line.len() > MAX_LINE {
                return Err(Fault::Broken("the token stream was cut".into()));
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

/// Ends an attempt's work at an engine and frees what it holds. Idempotent.
///
/// # Errors
/// The engine did not confirm.
pub async fn cancel(server: SocketAddr, request_id: &str) -> Result<(), Fault> {
    let call = Call::new(server, Method::Post, "/v1/cancel")
        .json(&Cancel { request_id })
        .limit(Duration::from_secs(2));
    client::fetch::<serde_json::Value>(&call).await.map(drop)
}

/// Reads an engine's load.
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

/// Reads cache events after number `after`.
///
/// # Errors
/// As [`client::fetch`].
pub async fn cache_events(server: SocketAddr, after: u64) -> Result<Vec<CacheEvent>, Fault> {
    let path = format!("/v1/cache-events?after={after}");
    let call = Call::new(server, Method::Get, path).limit(Duration::from_secs(1));
    client::fetch(&call.wire(Wire::Report)).await
}

/// Gives an order. An engine that checks fencing numbers refuses an old one with 409.
///
/// # Errors
/// As [`client::fetch`].
pub async fn order(server: SocketAddr, order: &Order) -> Result<Loaded, Fault> {
    let call = Call::new(server, Method::Post, "/v1/orders").json(order);
    client::fetch(&call.limit(Duration::from_secs(5)).wire(Wire::Report)).await
}

/// Reads what an engine serves.
///
/// # Errors
/// As [`client::fetch`].
pub async fn loaded(server: SocketAddr) -> Result<Loaded, Fault> {
    let call = Call::new(server, Method::Get, "/v1/orders").limit(Duration::from_secs(1));
    client::fetch(&call.wire(Wire::Report)).await
}
