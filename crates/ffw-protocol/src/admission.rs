//! Messages between the entry of a request and the owner of its shard.
//!
//! The clocks of instances are never compared: every time in a message is a duration relative to
//! the moment at which the message is sent.

use {
    crate::id,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Id of one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The request.
    pub request: id::Request,
    /// Number of the attempt, starting at 1.
    pub number: u32,
}

/// Admission request: asks the owner for a reservation. It never carries the body of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Attempt that needs the reservation.
    pub attempt: Attempt,
    /// Workspace whose fair share the attempt counts against; the route's name for requests of
    /// routes.
    pub workspace: Arc<str>,
    /// Weight of the workspace's fair share.
    pub weight: u32,
    /// Requested service; the route's name for requests of routes.
    pub service: Arc<str>,
    /// Rank of the priority class; 0 is served first.
    pub rank: u8,
    /// Tokens of the prompt and of the output that earlier attempts have delivered.
    pub tokens_in: u32,
    /// Maximum number of output tokens that are still to be generated.
    pub tokens_out: u32,
    /// Whether the prompt is prefilled already, so that only a decode server is needed.
    #[serde(default)]
    pub is_read: bool,
    /// Caller's estimate of the output tokens: its median is right, but single estimates are often
    /// far off. `None` if the caller gave none.
    #[serde(default)]
    pub output_hint: Option<u32>,
    /// Time since the request arrived at the entry; for requests of routes, since the admission of
    /// this attempt began.
    pub waited: Duration,
    /// Time left until the target for the attempt's first token; zero if it has passed.
    pub target: Duration,
    /// Time left until the first token deadline, after which the answer is of no use.
    pub patience: Duration,
    /// Hashes of the prompt's prefixes, salted with the workspace, shortest prefix first.
    pub prefix: Vec<u64>,
    /// Servers that are pushing back requests of this entry now, and those that may not go on with
    /// the stream, in order of name.
    pub avoid: Vec<Arc<str>>,
}

impl Ask {
    /// Whether the entry may send requests to the server.
    pub fn allows(&self, server: &str) -> bool {
        self.avoid.binary_search_by(|name| (**name).cmp(server)).is_err()
    }
}

/// Why a request was served before those that still wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// No other request waited.
    Alone,
    /// Its priority class precedes another class that waited.
    Priority,
    /// Its priority class had been served less than the class's least share (`floor`).
    Floor,
    /// Its workspace had been served the fewest tokens relative to its weight.
    Share,
    /// Its target was the earliest of its workspace that could still be met; or none could be met
    /// and its deadline was the earliest.
    Deadline,
    /// The requests before it in the order fit no backend server yet.
    Backfill,
    /// It was running already when the owner of the shard changed.
    Redeclared,
    /// Granted without an owner by a baseline policy, for comparison in measurements.
    Baseline,
    /// Its prompt is prefilled already, and the prefill would be wasted otherwise.
    Started,
}

/// Values on which a decision was based.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Basis {
    /// Requests that waited at the decision.
    pub waiting: u32,
    /// Rank of the class.
    pub rank: u8,
    /// Tokens that the workspace had been served, divided by its weight.
    pub served: u64,
    /// Lowest value of `served` among the other workspaces of the class that waited; 0 if there are
    /// none.
    pub served_least: u64,
    /// Time since arrival, in milliseconds.
    pub waited_ms: u64,
    /// Time left until the first token deadline, in milliseconds.
    pub patience_ms: u64,
    /// Predicted time until the first token, in milliseconds.
    pub predicted_ms: u64,
    /// Prompt tokens that the chosen prefill server is expected to have cached.
    pub cached: u32,
    /// Free slots of the chosen decode server before the decision.
    pub slots_free: u32,
}

/// A reservation for one attempt, held until it is released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the daemon that granted it.
    pub owner: Arc<str>,
    /// Epoch of the owner that granted it; 0 if a baseline policy did.
    pub epoch: u64,
    /// Number of the grant within the epoch.
    pub number: u64,
    /// Prefill server.
    pub prefill: Server,
    /// Decode server.
    pub decode: Server,
    /// Memory pieces that are reserved on the decode server.
    pub pieces: u32,
    /// Time to wait before the prefill starts.
    pub start_in: Duration,
    /// Why the request was served before the others.
    pub reason: Reason,
    /// Values on which the decision was based.
    pub basis: Basis,
}

/// Name and address of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name in the platform's instance list.
    pub name: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// Refusal of an admission request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub cause: Cause,
    /// Time to wait before a retry.
    pub retry_after: Duration,
    /// Values on which the decision was based.
    pub basis: Basis,
}

/// Why an admission request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The predicted first token would miss the deadline.
    Deadline,
    /// No backend server of the pool is live.
    NoBackend,
    /// The request needs more memory than any decode server has.
    TooLarge,
    /// The receiver is not the owner of the shard.
    NotOwner,
    /// The receiver is shutting down; the next daemon in the order of ownership decides.
    Draining,
}

/// Answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// A reservation is held for the attempt.
    Grant(Grant),
    /// No reservation can be had in time, or the receiver does not decide for the shard.
    Refusal(Refusal),
}

/// Phase of a granted attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The prefill has not started yet or is running.
    Prefill,
    /// The KV cache is being transferred to the decode server.
    Transfer,
    /// The decode server generates tokens.
    Decode,
}

/// State of one granted attempt, as its entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The granted admission request; a new owner can rebuild the reservation from it.
    pub ask: Ask,
    /// Name of the prefill server.
    pub prefill: Arc<str>,
    /// Name of the decode server.
    pub decode: Arc<str>,
    /// Phase that the attempt is in.
    pub phase: Phase,
    /// Output tokens so far.
    pub emitted: u32,
}

/// An attempt of an entry's process, without the entry and the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptKey {
    /// Number of the request in its process.
    pub sequence: u64,
    /// Number of the attempt.
    pub number: u32,
}

impl Attempt {
    /// The attempt without its entry and process.
    pub fn key(&self) -> AttemptKey {
        AttemptKey { sequence: self.request.sequence, number: self.number }
    }
}

/// State of one granted attempt that the owner knows already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The attempt, of the entry that sends the renewal.
    pub attempt: AttemptKey,
    /// Phase that the attempt is in.
    pub phase: Phase,
    /// Output tokens so far.
    pub emitted: u32,
}

/// End of one granted attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The attempt.
    pub attempt: Attempt,
    /// Output tokens that were delivered.
    pub emitted: u32,
    /// Whether the decode server's memory is known to be free.
    pub confirmed: bool,
    /// The server that failed in the attempt, if any.
    #[serde(default)]
    pub failed: Option<Failed>,
}

/// Failure of a server in an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failed {
    /// Name of the server.
    pub server: Arc<str>,
    /// How it failed.
    pub how: Failing,
}

/// How a server failed in an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failing {
    /// It could not be reached, broke the connection, or did not answer in time.
    Broken,
    /// It is leaving, is no longer running, or its address belongs to another server now.
    Replaced,
    /// It answered that it has no capacity or can't get the KV cache of the prompt.
    Refused,
}

/// Periodic message from an entry to an owner: progress of its granted attempts and releases of
/// those that ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Name of the entry instance.
    pub entry: Arc<str>,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Pool that the shard belongs to.
    pub pool: Arc<str>,
    /// Whether `progress` and `updates` together list every reservation that the entry holds in the
    /// pool.
    pub full: bool,
    /// Names of the daemons that precede the receiver in the order of ownership and that the entry
    /// can't reach.
    pub suspects: Vec<Arc<str>>,
    /// Attempts that hold a reservation and that the receiver may not know.
    pub progress: Vec<Progress>,
    /// Attempts that hold a reservation and that the receiver has granted or acknowledged.
    pub updates: Vec<Update>,
    /// Attempts whose reservation is released.
    pub releases: Vec<Release>,
    /// Backend servers that have said in a response that they are leaving.
    pub leaving: Vec<Arc<str>>,
}
