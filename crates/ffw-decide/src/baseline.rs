//! Baseline policies without an owner, against which the owner's policy is measured: each entry
//! picks servers on its own.

use {
    ffw_protocol::admission::Server,
    std::{str::FromStr, sync::Arc},
};

/// How reservations are granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By the owner of the shard.
    #[default]
    Owner,
    /// By each entry: the servers in turn.
    RoundRobin,
    /// By each entry: the server with the least reported load.
    LeastLoad,
    /// By each entry: within an equal share of each server's slots.
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
    /// Reported load. The values are only compared, so the unit does not matter as long as it is
    /// the same for all choices.
    pub load: u64,
}

/// The server at the index `turn` modulo the length of the list; `None` if the list is empty.
pub fn round_robin(choices: &[Choice], turn: u64) -> Option<&Server> {
    let count = choices.len().max(1) as u64;
    choices.get((turn % count) as usize).map(|choice| &choice.server)
}

/// The server with the least reported load. Among equal ones it is the first from the index `turn`
/// modulo the length of the list, continued at the start of the list. `None` if the list is empty.
pub fn least_load(choices: &[Choice], turn: u64) -> Option<&Server> {
    let count = choices.len().max(1) as u64;
    let by_load = choices.iter().enumerate().min_by_key(|(index, choice)| {
        (choice.load, (*index as u64 + count - turn % count) % count)
    });
    by_load.map(|(_, choice)| &choice.server)
}

/// One entry's share of a number of slots or memory pieces. The remainder of the division goes one
/// each to the first entries. An entry that is not listed gets the share of the first.
pub fn share(total: u32, entries: &[Arc<str>], entry: &str) -> u32 {
    let count = entries.len().max(1) as u32;
    let index = entries.iter().position(|name| &**name == entry).unwrap_or(0) as u32;
    total / count + u32::from(index < total % count)
}
