//! The calls that daemons make to each other.

use {
    ffw_protocol::{
        admission::{Ask, Attempt, AttemptKey, Renewal, Verdict},
        belief::Confirmation,
        config::Version,
        instance::Instance,
        ledger::{Record, Segment},
        origin,
        quarantine::{Beginning, Beginnings, Evidence, Exchange, Hold},
        quota, rate, software,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// Whether the receiver is the owner according to its own view.
    pub is_owner: bool,
    /// Whether the receiver is shutting down.
    pub is_draining: bool,
    /// Number of the receiver's configuration version.
    pub config: u64,
    /// Attempts of the sender that are to be migrated to another decode server.
    pub moves: Vec<Attempt>,
    /// Attempts that were reported without their admission request and that the receiver does not
    /// know. The sender reports them with it.
    pub unknown: Vec<AttemptKey>,
    /// Backend servers that have said in a response that they are leaving.
    pub leaving: Vec<Arc<str>>,
}

/// Versions of a daemon's configuration and instance list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Number of its configuration version.
    pub config: u64,
    /// Version of its list of backend servers.
    pub servers: u64,
    /// Version of its list of daemons.
    pub daemons: u64,
}

/// The parts of a daemon's view that are newer than the [`Versions`] of the asking daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Updates {
    /// Versions of the answering daemon.
    pub known: Versions,
    /// Its configuration version; `None` unless it is newer.
    pub config: Option<Version>,
    /// Its instance list; `None` unless a part of it is newer.
    pub roster: Option<Roster>,
    /// Backend servers that have said in a response that they are leaving.
    pub leaving: Vec<Arc<str>>,
}

/// The platform's instance list. Daemons and backend servers may be read one after the other, so
/// each part has its own version.
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
    /// A list whose two parts were read at the same version.
    pub fn new(version: u64, instances: Vec<Instance>) -> Roster {
        Roster { servers: version, daemons: version, instances }
    }

    /// The instance of this name; `None` if it is not listed.
    pub fn find(&self, name: &str) -> Option<&Instance> {
        let found = self.instances.binary_search_by(|listed| (*listed.name).cmp(name));
        found.ok().map(|index| &self.instances[index])
    }

    /// Whether at least one part is newer than in `known`.
    pub fn is_newer_than(&self, known: &Versions) -> bool {
        self.servers > known.servers || self.daemons > known.daemons
    }
}

/// State of one daemon, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Start time of its process, in microseconds since the Unix epoch.
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
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Requests in the queue.
    pub waiting: u32,
    /// Reservations held.
    pub held: u32,
}

/// Service-level counts of one service and workspace over one time window.
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
    /// Those of `missed` that missed the target for the first token.
    pub first_token: u64,
    /// Those of `missed` that missed the target between tokens.
    pub between_tokens: u64,
    /// Those of `missed` that got no answer.
    pub unavailable: u64,
}

/// The calls that a daemon answers. The receiver is the daemon that is called.
#[tarpc::service]
pub trait Peer {
    /// Requests a reservation from the owner of a pool's shard; returns when the request is
    /// decided.
    async fn admit(pool: Arc<str>, suspects: Vec<Arc<str>>, ask: Ask) -> Verdict;
    /// Reports the progress and releases of an entry's attempts to the owner.
    async fn renew(renewal: Renewal) -> RenewalReply;
    /// Returns those of the attempts for which the receiver, their entry, has no open reservation.
    async fn disowned(attempts: Vec<Attempt>) -> Vec<Attempt>;
    /// Returns the parts of the receiver's view that are newer than `known`.
    async fn news(known: Versions) -> Updates;
    /// Offers a configuration version, which the receiver puts in force if it is newer; returns the
    /// number of the version that is in force afterwards.
    async fn offer_config(version: Version) -> u64;
    /// Asks the receiver to hold copies of ledger records until they are stored. `stored` is the
    /// number of the last record that is stored already.
    async fn hold_records(segment: Segment, stored: u64) -> bool;
    /// Returns the ledger records of one request that the receiver has.
    async fn records_of(request: Arc<str>) -> Vec<Record>;
    /// Returns the grants of one owner's epoch that the receiver has.
    async fn grants_of(epoch: u64) -> Vec<Record>;
    /// Returns the service-level counts of the receiver.
    async fn burn() -> Vec<Burn>;
    /// Returns the state of the receiver.
    async fn status() -> Status;
    /// Merges the sender's evidence about crashes of a pool's servers; returns the receiver's, or
    /// none if it is the same. Daemons of earlier builds do not know this call and the following
    /// ones; a call that they do not know closes the connection.
    async fn exchange_evidence(exchange: Exchange) -> Option<Evidence>;
    /// Returns the prompt parts that the receiver holds or has on trial.
    async fn quarantined() -> Vec<Hold>;
    /// Lifts the quarantine of a prompt part in all pools; returns whether it was held or on trial.
    async fn lift_quarantine(part: u64) -> bool;
    /// Asks for permits for requests to a backend server with a rate limit. Daemons of earlier
    /// builds do not know this call.
    async fn take_permits(ask: rate::Ask) -> rate::Grant;
    /// Returns how old the receiver's beliefs about the objects of the store are. Daemons of
    /// earlier builds do not know this call.
    async fn confirmations() -> Vec<Confirmation>;
    /// Asks for units of a workspace's quota for a request. Daemons of earlier builds do not know
    /// this call.
    async fn take_quota(ask: quota::Ask) -> quota::Grant;
    /// Asks the receiver to remember where streams began. Daemons of earlier builds do not know
    /// this call and the following one.
    async fn record_origins(records: Vec<origin::Record>) -> bool;
    /// Returns the version at which a stream began, if the receiver remembers it.
    async fn find_origin(key: origin::Key) -> Option<software::Version>;
    /// Returns the software versions of backend servers, in the order of their names in the call;
    /// none for a server whose version the receiver does not know. Daemons of earlier builds do not
    /// know this call.
    async fn software_of(servers: Vec<Arc<str>>) -> Vec<Option<software::Version>>;
    /// Merges which of the crashed runs of a pool had just begun; returns those that the receiver
    /// knows. Daemons of earlier builds do not know this call.
    async fn exchange_beginnings(beginnings: Beginnings) -> Vec<Beginning>;
}
