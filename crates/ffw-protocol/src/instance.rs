//! Instances as the platform lists them.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A fireflyworks daemon; the address is the one its peers use.
    Entry,
    /// A model engine that prefills.
    Prefill,
    /// A model engine that decodes.
    Decode,
    /// A plain service.
    Plain,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes work.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub name: Arc<str>,
    /// What it runs.
    pub role: Role,
    /// Data centre that it stands in.
    pub data_centre: Arc<str>,
    /// Address that it answers at.
    pub address: SocketAddr,
    /// Pool that it belongs to; empty for daemons.
    #[serde(default)]
    pub pool: Arc<str>,
    /// Whether it stays.
    pub state: State,
}

impl Instance {
    /// Whether the instance takes new work.
    pub fn is_live(&self) -> bool {
        self.state == State::Live
    }
}
