//! How a deployment spells what the router reads and writes in the heads of messages.
//!
//! The router knows only these types; the adapter of a platform fills in the functions.

use {
    ffw_decide::shard::roles::Side,
    ffw_http::message::{Malformed, Request, Response},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of the request; empty if it has none.
    pub id: Arc<str>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Sizes, if a model is to answer.
    pub tokens: Option<Tokens>,
    /// Id of the last event that the caller has, if it goes on with a broken stream.
    pub last_event: Option<u64>,
}

/// Sizes of a request to a model, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Length of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub output: u32,
    /// Caller's estimate of the answer's tokens.
    pub output_hint: Option<u32>,
}

/// Where the KV cache of a prompt lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Address of the server that holds it.
    pub address: SocketAddr,
    /// Handle under which it holds it.
    pub handle: Arc<str>,
}

/// What a backend server is to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step<'a> {
    /// Run it.
    Run,
    /// Read the prompt and keep its KV cache.
    Prefill,
    /// Fetch the KV cache and run it.
    Decode(&'a Source),
}

/// A request on its way to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Name of the server that is to take it.
    pub server: &'a str,
    /// Time that is left.
    pub time_left: Duration,
    /// What it is to do.
    pub step: Step<'a>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Length of the body, in bytes.
    pub body_bytes: usize,
}

/// Load that a backend server reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// What an answer of a backend server says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Id of the request that it answers.
    pub id: Option<Arc<str>>,
    /// The server states that the request did not run.
    pub is_not_run: bool,
    /// It bears the server's signature.
    pub is_signed: bool,
    /// The server's load.
    pub load: Option<Load>,
    /// Time for which the server keeps the connection open when idle.
    pub keep_alive: Option<Duration>,
}

/// A run that is to go on at another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move<'a> {
    /// Name of the server that runs it.
    pub server: &'a str,
    /// Id of its request.
    pub id: &'a str,
    /// Address of the server to which its memory is copied.
    pub target: SocketAddr,
}

/// What an engine reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// An order is being carried out.
    pub is_busy: bool,
    /// Orders that it has accepted since its start.
    pub sequence: u64,
}

/// An order to change a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Its new role.
    pub role: Side,
    /// Name of the daemon that gives the order.
    pub holder: &'a str,
    /// Fencing number of its lease.
    pub fence: u64,
    /// Orders that the server must have accepted before.
    pub sequence: u64,
}

/// The functions of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads a caller's request.
    pub parse_request: fn(&Request) -> Result<RequestInfo, Malformed>,
    /// Writes the head of a call from the caller's.
    pub write_call: fn(&Request, &Call<'_>) -> Request,
    /// Reads the head of an answer.
    pub parse_response: fn(&Response) -> ResponseInfo,
    /// Reads the handle from the body of an answer to [`Step::Prefill`] or a move.
    pub parse_handle: fn(&[u8]) -> Result<Arc<str>, Malformed>,
    /// Writes a call that asks the named engine whether it is there.
    pub write_probe: fn(&str) -> Request,
    /// Reads the answer to [`Dialect::write_probe`].
    pub parse_report: fn(&[u8]) -> Result<Report, Malformed>,
    /// Writes an order.
    pub write_order: fn(&Order<'_>) -> (Request, Vec<u8>),
    /// Writes a call that moves a run to another server.
    pub write_move: fn(&Move<'_>) -> (Request, Vec<u8>),
    /// Path of the question whether this daemon is ready.
    pub ready_path: &'static str,
}
