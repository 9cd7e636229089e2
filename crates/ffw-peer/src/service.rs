//! The calls that daemons make to each other.

use {
    ffw_protocol::{
        admission::{Ask, Attempt, Renewal, Verdict},
        config::Version,
        instance::Instance,
        ledger::{Record, Segment},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// Whether the receiver takes itself for the owner.
    pub is_owner: bool,
    /// Whether the receiver is shutting down.
    pub is_draining: bool,
    /// Number of the receiver's configuration version.
    pub config: u64,
    /// Attempts of the sender that are to move to another decode server.
    pub moves: Vec<Attempt>,
}

/// Versions that a daemon knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Number of its configuration version.
    pub config: u64,
    /// Version of its list of backend servers.
    pub servers: u64,
    /// Version of its list of daemons.
    pub daemons: u64,
}

/// What is newer than a caller's [`Versions`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Updates {
    /// Versions that the answering daemon knows.
    pub known: Versions,
    /// Its configuration version, if it is newer.
    pub config: Option<Version>,
    /// Its instance list, if it is newer.
    pub roster: Option<Roster>,
}

/// The platform's instance list. Daemons and backend servers may be read one after the other, so
/// each part has its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Version of the backend servers, as the platform numbers it.
    pub servers: u64,
    /// Version of the daemons, as the platform numbers it.
    pub daemons: u64,
    /// Instances in order of name.
    pub instances: Vec<Instance>,
}

impl Roster {
    /// A list of which both parts were read at one version.
    pub fn new(version: u64, instances: Vec<Instance>) -> Roster {
        Roster { servers: version, daemons: version, instances }
    }

    /// Whether a part is newer than another list's.
    pub fn is_newer_than(&self, known: &Versions) -> bool {
        self.servers > known.servers || self.daemons > known.daemons
    }
}

/// State of one daemon, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Start of its process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the configuration version in force.
    pub config: u64,
    /// Hash of that version.
    pub config_hash: Arc<str>,
    /// Requests in flight.
    pub open: u64,
    /// Shards that it owns.
    pub shards: Vec<ShardStatus>,
    /// Ledger records that are not stored yet.
    pub unstored_records: u64,
    /// Whether it is shutting down.
    pub is_draining: bool,
}

/// State of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// Pool.
    pub pool: Arc<str>,
    /// Requests in the queue.
    pub waiting: u32,
    /// Places held.
    pub held: u32,
}

/// Counts of one service and workspace over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// Service.
    pub service: Arc<str>,
    /// Workspace.
    pub workspace: Arc<str>,
    /// Length of the window, in seconds.
    pub window_s: u64,
    /// Requests that ended.
    pub total: u64,
    /// Requests that missed a target.
    pub missed: u64,
    /// Of these, for the first token.
    pub first_token: u64,
    /// Of these, for the time between tokens.
    pub between_tokens: u64,
    /// Of these, for want of an answer.
    pub unavailable: u64,
}

/// The calls.
#[tarpc::service]
pub trait Peer {
    /// Asks the owner of a pool's shard for a place; answers when it is decided.
    async fn admit(pool: Arc<str>, suspects: Vec<Arc<str>>, ask: Ask) -> Verdict;
    /// Tells the owner what the caller's entry holds.
    async fn renew(renewal: Renewal) -> RenewalReply;
    /// Which of the attempts the receiver, their entry, does not own any more.
    async fn disowned(attempts: Vec<Attempt>) -> Vec<Attempt>;
    /// What the receiver knows that is newer than what the caller knows.
    async fn news(known: Versions) -> Updates;
    /// Offers a configuration version; answers the number that is then in force.
    async fn offer_config(version: Version) -> u64;
    /// Asks the receiver to hold ledger records until they are stored.
    async fn hold_records(segment: Segment, stored: u64) -> bool;
    /// Ledger records of one request that the receiver has.
    async fn records_of(request: Arc<str>) -> Vec<Record>;
    /// Grants of one owner's epoch that the receiver has.
    async fn grants_of(epoch: u64) -> Vec<Record>;
    /// Service-level counts of the receiver.
    async fn burn() -> Vec<Burn>;
    /// State of the receiver.
    async fn status() -> Status;
}
