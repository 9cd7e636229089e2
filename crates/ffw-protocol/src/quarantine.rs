//! Evidence about parts of prompts that crash backend servers, as daemons exchange it.
//!
//! The clocks of instances are never compared: every time is an age, relative to the moment at
//! which the message is sent.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
};

/// Parts of the prompt of a request. A part is a piece of text that other prompts may have too,
/// such as a system prompt or a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Digest of the text that only this request or its session has.
    pub own: u64,
    /// Digests of the parts that other prompts may share, in their order.
    pub shared: Vec<u64>,
}

impl fmt::Display for Prompt {
    /// The shared parts in hexadecimal, separated by commas; `none` if there are none.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&names(&self.shared))
    }
}

/// Digests of parts in hexadecimal, separated by commas; `none` if there are none.
pub fn names(parts: &[u64]) -> String {
    let names: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(",") }
}

/// A run that ended because its server crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Name of the server, which another start of it does not have.
    pub server: Arc<str>,
    /// Prompt of the run.
    pub prompt: Prompt,
    /// Whether the server had begun to answer. [`Beginning`] tells of which runs the answer had just
    /// begun.
    pub had_output: bool,
    /// Time since the crash.
    pub age: Duration,
}

/// How far a run had come when its server crashed, as far as its daemon has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Its server had not begun to answer.
    Unanswered,
    /// Its answer had just begun.
    Begun,
    /// It was in the midst of its answer.
    Midway,
}

/// A run that ended with its server as its answer had just begun.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Beginning {
    /// Name of the server.
    pub server: Arc<str>,
    /// Digest of the text that only the run's request or its session has.
    pub own: u64,
}

/// Why crashes are no longer put down to a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// A run with the part ended well.
    EndedWell,
    /// An operator lifted the quarantine.
    Lifted,
}

/// A part to which earlier crashes are no longer put down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearing {
    /// Digest of the part.
    pub part: u64,
    /// Why.
    pub cause: Cause,
    /// Time since then.
    pub age: Duration,
}

/// What a daemon knows about crashes of the servers of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Runs that ended with their servers.
    pub crashes: Vec<Crash>,
    /// Parts of these runs that were cleared.
    pub clearings: Vec<Clearing>,
}

/// A set of parts that was found to crash servers, as it outlives all daemons. Ages run only while a
/// daemon lives, so they are the least that they can be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The parts, sorted; a request is refused if its prompt has all of them.
    pub parts: Vec<u64>,
    /// Crashes that led to it.
    pub crashes: u32,
    /// Different prompts among the runs that they ended.
    pub prompts: u32,
    /// Whether the crashes leave room for another cause.
    pub is_in_doubt: bool,
    /// Requests with these parts that were let through since.
    pub tries: u32,
    /// Of these, those that crashed their servers.
    pub failed_tries: u32,
    /// Time since the last crash.
    pub age: Duration,
}

/// Message to the daemon that collects the evidence of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Digest of the sender's evidence.
    pub digest: u64,
    /// The sender's evidence; `None` if the receiver has had it.
    pub evidence: Option<Evidence>,
}

/// Message that tells the collector of a pool which of the crashed runs had just begun.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beginnings {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// The runs.
    pub runs: Vec<Beginning>,
}

/// A set of parts whose requests are refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// The parts; a request is refused if its prompt has all of them.
    pub parts: Vec<u64>,
    /// Servers that crashed under it, those that crashed at the same moment counted once.
    pub crashes: u32,
    /// Different prompts among these runs.
    pub prompts: u32,
    /// Time until it expires.
    pub left: Duration,
    /// Whether it has expired once and is being tried again.
    pub is_on_trial: bool,
}
