//! Rate limits that backend servers state: how many requests a second a server takes from all
//! daemons together.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
};

/// What a response says about the rate limit of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// Nothing: it may not come from the server, or what it says can't be read.
    #[default]
    Unknown,
    /// The server has no limit.
    Unlimited,
    /// The server takes this many requests a second from all daemons together, 0 or more.
    PerSecond(f64),
}

/// A rate limit that a server has stated, and how long ago.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stated {
    /// Requests a second from all daemons together, 0 or more; `None` if the server has no limit.
    pub per_s: Option<f64>,
    /// Time since the response that said so.
    pub age: Duration,
}

/// Asks the daemon that keeps the account of a server for permits, each of which is for one request
/// to that server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Name of the asking daemon.
    pub daemon: Arc<str>,
    /// Pool of the server; the account is kept by the owner of the pool's shard.
    pub pool: Arc<str>,
    /// Name of the server.
    pub server: Arc<str>,
    /// The latest limit that the asking daemon knows.
    pub stated: Stated,
    /// Largest number of permits that are wanted; with 0, only the stated limit is passed on.
    pub count: u32,
    /// Permits of earlier grants that were not used and have expired.
    pub unused: u32,
    /// Longest time for which a permit may be waited for.
    pub patience: Duration,
    /// Names of the daemons that precede the receiver in the order of ownership and that the asking
    /// daemon can't reach.
    pub suspects: Vec<Arc<str>>,
}

/// Answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Whether the receiver keeps the account by its own view; if not, nothing was granted.
    pub is_owner: bool,
    /// Number of permits, at most as many as were wanted.
    pub count: u32,
    /// Time after which the permits may be used; zero unless a permit was waited for.
    pub start_in: Duration,
    /// If no permit was granted, time after which to ask again.
    pub retry_after: Duration,
    /// The latest limit that the owner knows.
    pub stated: Stated,
}

impl fmt::Display for Stated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.per_s {
            Some(per_s) => write!(f, "{per_s}"),
            None => f.write_str("none"),
        }
    }
}
