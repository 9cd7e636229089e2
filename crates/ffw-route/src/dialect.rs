//! What the router reads from and writes to messages, independent of the names and formats of a
//! platform.
//!
//! The router knows only these types; the adapter of a platform supplies the functions in
//! [`Dialect`].

use {
    ffw_decide::shard::roles::Side,
    ffw_http::message::{Malformed, Request, Response},
    ffw_protocol::{quarantine::Prompt, rate::Statement},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// What the head of a caller's request states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of the request; empty if it has none.
    pub id: Arc<str>,
    /// Time for which the caller waits for the response; `None` if the request does not state it.
    pub timeout: Option<Duration>,
    /// Sizes of a request to a model; `None` for other requests.
    pub tokens: Option<Tokens>,
    /// Id of the last event that the caller received, if it resumes a broken stream.
    pub last_event_id: Option<u64>,
    /// Id of the caller's earlier request that brought the first event of the stream that it
    /// resumes; `None` if it names none.
    pub resumes: Option<Arc<str>>,
    /// Parts of the prompt of a request to a model; without any for other requests.
    pub prompt: Prompt,
    /// SHA-256 digest of the caller's key, in hexadecimal; `None` if there is no readable key.
    pub key_digest: Option<Arc<str>>,
}

/// Sizes of a request to a model, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Length of the prompt.
    pub prompt: u32,
    /// Largest number of output tokens.
    pub output: u32,
    /// Caller's estimate of the number of output tokens; `None` if it gave none.
    pub output_hint: Option<u32>,
}

/// Location of the KV cache of a prompt or of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Address of the server that prefilled the prompt, or from which the run was moved.
    pub address: SocketAddr,
    /// Handle under which that server holds the cache.
    pub handle: Arc<str>,
}

/// What a backend server has to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step<'a> {
    /// Run the whole request.
    Run,
    /// Prefill the prompt and keep its KV cache.
    Prefill,
    /// Fetch the KV cache from its source and run the request.
    Decode(&'a Source),
}

/// A call that carries a caller's request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Name of the server that is called.
    pub server: &'a str,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// What the server has to do.
    pub step: Step<'a>,
    /// Id of the last event that the caller received; `None` if it received none.
    pub last_event_id: Option<u64>,
    /// Length of the body, in bytes.
    pub body_bytes: usize,
    /// On whose behalf the call is made.
    pub principal: Principal<'a>,
}

/// On whose behalf a call to a backend server is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Principal<'a> {
    /// The deployment requires no keys; what the caller sent is passed on.
    Unidentified,
    /// The route is public: neither a key nor a workspace is passed on.
    Public,
    /// The workspace of this name, which holds the caller's key. The key is not passed on.
    Workspace(&'a str),
}

/// Load that a backend server reports in the head of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Time that work takes at the server now, divided by its usual time; `None` if it is not
    /// reported. May be any finite number that the server has written.
    pub slowdown: Option<f64>,
}

impl ServerLoad {
    /// Requests at the server for each that can run at once. The numbers may be any that the server
    /// has written.
    pub fn ratio(&self) -> f64 {
        (f64::from(self.running) + f64::from(self.waiting)) / f64::from(self.slots.max(1))
    }
}

/// What the head of a backend server's response states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that the response belongs to.
    pub id: Option<Arc<str>>,
    /// Whether the server states that the request did not run.
    pub is_not_run: bool,
    /// Whether the response carries the server's signature, which the router does not verify.
    pub is_signed: bool,
    /// Load of the server; `None` if it is not reported.
    pub load: Option<ServerLoad>,
    /// Time for which the server keeps the connection open when idle; `None` if it does not state
    /// one.
    pub keep_alive: Option<Duration>,
    /// Whether the server states that it is leaving.
    pub is_leaving: bool,
    /// Pushback: time for which the server, which refused the request, wants no further ones from
    /// this daemon; `None` if it does not state one.
    pub pushback: Option<Duration>,
    /// What the server says about its rate limit.
    pub rate_limit: Statement,
}

/// A running request that is to be moved to another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move<'a> {
    /// Name of the server that runs the request now.
    pub server: &'a str,
    /// Id of the request.
    pub id: &'a str,
    /// Address of the server to which the KV cache of the run is copied.
    pub target: SocketAddr,
}

/// State that an engine reports in its response to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Number of orders that the engine has accepted since its start.
    pub sequence: u64,
}

/// An order to an engine to change its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// Name of the engine.
    pub server: &'a str,
    /// New role of the engine.
    pub role: Side,
    /// Name of the daemon that gives the order and holds the lease.
    pub holder: &'a str,
    /// Fencing number of that daemon's lease.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before this one.
    pub sequence: u64,
}

/// Functions with which the adapter of a platform reads and writes messages.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Parses the head of a caller's request.
    pub parse_request: fn(&Request) -> Result<RequestInfo, Malformed>,
    /// Builds the head of a call from the caller's head.
    pub write_call: fn(&Request, &Call<'_>) -> Request,
    /// Parses the head of a backend server's response.
    pub parse_response: fn(&Response) -> ResponseInfo,
    /// Parses the handle of a KV cache from the body of a response to [`Step::Prefill`] or to a
    /// move.
    pub parse_handle: fn(&[u8]) -> Result<Arc<str>, Malformed>,
    /// Builds a request that probes the named engine.
    pub write_probe: fn(&str) -> Request,
    /// Parses the body of the response to [`Dialect::write_probe`] for the named engine. A report of
    /// another start of the engine is refused: what is known of the engine holds for one start.
    pub parse_report: fn(&str, &[u8]) -> Result<EngineReport, Malformed>,
    /// Builds head and body of a request that gives an order.
    pub write_order: fn(&Order<'_>) -> (Request, Vec<u8>),
    /// Builds head and body of a request that moves a run to another server.
    pub write_move: fn(&Move<'_>) -> (Request, Vec<u8>),
    /// Path at which the platform asks whether this daemon is ready.
    pub ready_path: &'static str,
}
