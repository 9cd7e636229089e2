//! Instances of the platform's instance list.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A fireflyworks daemon; the address is the one that its peers connect to.
    Entry,
    /// A model engine that prefills prompts.
    Prefill,
    /// A model engine that generates tokens.
    Decode,
    /// A plain service.
    Plain,
}

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts new work.
    Live,
    /// Finishes its running work and accepts no new work.
    Leaving,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub name: Arc<str>,
    /// What it runs.
    pub role: Role,
    /// Data centre that it is located in.
    pub data_centre: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Pool that it belongs to; empty for daemons.
    #[serde(default)]
    pub pool: Arc<str>,
    /// Whether it accepts new work.
    pub state: State,
    /// Capacity of a daemon for work on behalf of other daemons, in thousandths of a core; 0 if it
    /// is not known, and for backend servers.
    #[serde(default)]
    pub capacity: u32,
}

impl Instance {
    /// Whether the instance accepts new work.
    pub fn is_live(&self) -> bool {
        self.state == State::Live
    }
}
