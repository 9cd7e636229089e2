//! Messages between the entry of a request and the owner of its shard.
//!
//! Clocks of instances are not compared: each span is relative to the message.

use {
    crate::id,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The request.
    pub request: id::Request,
    /// Number of the attempt, from 1.
    pub number: u32,
}

/// Asks the owner for a place. Never carries the body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Attempt that is asked for.
    pub attempt: Attempt,
    /// Workspace that pays.
    pub workspace: Arc<str>,
    /// Weight of the workspace's fair share.
    pub weight: u32,
    /// Service asked for.
    pub service: Arc<str>,
    /// Rank of the priority class; 0 goes first.
    pub rank: u8,
    /// Prompt length in tokens.
    pub tokens_in: u32,
    /// Most output tokens that may follow.
    pub tokens_out: u32,
    /// Whether the prompt was read already, so that only a decode server is needed.
    #[serde(default)]
    pub is_read: bool,
    /// Caller's estimate of the output tokens; right in the middle, and often far off.
    #[serde(default)]
    pub output_hint: Option<u32>,
    /// Time since the caller's request arrived.
    pub waited: Duration,
    /// Time left until the first token misses its target; zero if it has.
    pub target: Duration,
    /// Time left until the first token is of no use.
    pub patience: Duration,
    /// Hashes of the prompt's leading pieces, salted by workspace, shortest first.
    pub prefix: Vec<u64>,
}

/// Why a request went before those that still wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// Nothing else waited.
    Alone,
    /// Its priority class goes first.
    Priority,
    /// Its class was below the share that is kept for it.
    Floor,
    /// Its workspace had been served least for its weight.
    Share,
    /// Its target is the nearest of its workspace's that can still be met, or none can be met and
    /// its deadline is the nearest.
    Deadline,
    /// The one before it fits no backend server yet.
    Backfill,
    /// It was running before the shard changed its owner.
    Redeclared,
    /// Baseline without an owner, for measurement.
    Baseline,
    /// It goes on with work that was started.
    Started,
}

/// Values that decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Basis {
    /// Requests that waited at the decision.
    pub waiting: u32,
    /// Rank of the class.
    pub rank: u8,
    /// Tokens that the workspace had been served, over its weight.
    pub served: u64,
    /// Lowest such value among the other workspaces of the class that waited.
    pub served_least: u64,
    /// Time since arrival, in milliseconds.
    pub waited_ms: u64,
    /// Time left until the deadline, in milliseconds.
    pub patience_ms: u64,
    /// Predicted time until the first token, in milliseconds.
    pub predicted_ms: u64,
    /// Prompt tokens that the chosen prefill server is thought to have cached.
    pub cached: u32,
    /// Free slots of the chosen decode server before the decision.
    pub slots_free: u32,
}

/// A place for one attempt, held until it is released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Daemon that granted.
    pub owner: Arc<str>,
    /// Epoch of the owner that granted.
    pub epoch: u64,
    /// Number of the grant within the epoch.
    pub number: u64,
    /// Prefill server: name and address.
    pub prefill: Server,
    /// Decode server: name and address.
    pub decode: Server,
    /// Pieces of engine memory that are reserved on the decode server.
    pub pieces: u32,
    /// Time to wait before the prefill starts.
    pub start_in: Duration,
    /// Why it went before the others.
    pub reason: Reason,
    /// Values that decided.
    pub basis: Basis,
}

/// Name and address of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name in the platform's list.
    pub name: Arc<str>,
    /// Address that it answers at.
    pub address: SocketAddr,
}

/// A request that can't be served before its deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What stood against it.
    pub cause: Cause,
    /// When to come back.
    pub retry_after: Duration,
    /// Values that decided.
    pub basis: Basis,
}

/// What stood against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The predicted first token is later than the deadline.
    Deadline,
    /// No backend server of the pool is live.
    NoBackend,
    /// The request needs more memory than any decode server has.
    TooLarge,
    /// The daemon asked is not the owner of the shard.
    NotOwner,
    /// The owner leaves; ask the next one.
    Draining,
}

/// Answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// A place is held.
    Grant(Grant),
    /// No place will be there in time.
    Refusal(Refusal),
}

/// Step that a granted attempt is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Waits for its start or runs its prefill.
    Prefill,
    /// Its KV cache moves to the decode server.
    Transfer,
    /// It generates tokens.
    Decode,
}

/// State of one granted attempt, as its entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The ask that was granted; enough for a new owner to take it over.
    pub ask: Ask,
    /// Name of the prefill server.
    pub prefill: Arc<str>,
    /// Name of the decode server.
    pub decode: Arc<str>,
    /// Step that it is in.
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
    /// A server that did not do its part.
    #[serde(default)]
    pub failed: Option<Failed>,
}

/// A server that did not do its part of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failed {
    /// Name of the server.
    pub server: Arc<str>,
    /// What it did.
    pub how: Failing,
}

/// How a server did not do its part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failing {
    /// It could not be reached, broke off, or gave no answer in time.
    Broken,
    /// It is leaving or gone, or another server has its address.
    Replaced,
    /// It said that it has no room, or can't have the KV cache of the prompt.
    Refused,
}

/// What an entry tells an owner at once: renewals and ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Name of the entry instance.
    pub entry: Arc<str>,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Pool that the shard is a slice of.
    pub pool: Arc<str>,
    /// Whether `progress` lists every place that the entry holds in the pool.
    pub full: bool,
    /// Daemons before the receiver in the order of ownership that the entry can't reach.
    pub suspects: Vec<Arc<str>>,
    /// Attempts that hold a place.
    pub progress: Vec<Progress>,
    /// Attempts that gave their place back.
    pub releases: Vec<Release>,
}
