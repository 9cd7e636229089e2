//! Baselines without an owner, kept for measurement: each entry picks servers by itself.

use {
    ffw_protocol::admission::Server,
    std::{str::FromStr, sync::Arc},
};

/// How places are given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By the owner of the shard.
    #[default]
    Owner,
    /// Each server in turn.
    RoundRobin,
    /// The server with the least reported load.
    LeastLoad,
    /// An equal share of each server's slots for each entry.
    FixedSplit,
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Policy, String> {
        match text {
            "owner" => Ok(Policy::Owner),
            "round-robin" => Ok(Policy::RoundRobin),
            "least-load" => Ok(Policy::LeastLoad),
            "fixed-split" => Ok(Policy::FixedSplit),
            _ => Err(format!("`{text}` is none of owner, round-robin, least-load and fixed-split")),
        }
    }
}

/// A server with its reported load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: Server,
    /// Reported load, in any unit that all choices share.
    pub load: u64,
}

/// The server whose turn it is.
pub fn round_robin(choices: &[Choice], turn: u64) -> Option<&Server> {
    let count = choices.len().max(1) as u64;
    choices.get((turn % count) as usize).map(|choice| &choice.server)
}

/// The server with the least reported load, the first of equals after the turn.
pub fn least_load(choices: &[Choice], turn: u64) -> Option<&Server> {
    let count = choices.len().max(1) as u64;
    let by_load = choices.iter().enumerate().min_by_key(|(index, choice)| {
        (choice.load, (*index as u64 + count - turn % count) % count)
    });
    by_load.map(|(_, choice)| &choice.server)
}

/// One entry's share of a number of slots or pieces, the rest going to the first entries.
pub fn share(total: u32, entries: &[Arc<str>], entry: &str) -> u32 {
    let count = entries.len().max(1) as u32;
    let place = entries.iter().position(|name| &**name == entry).unwrap_or(0) as u32;
    total / count + u32::from(place < total % count)
}
