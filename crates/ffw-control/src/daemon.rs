//! The state that all parts of one daemon share.

use {
    crate::{
        admission::Client, identity::Identity, ledger::Ledger, metrics::Metrics,
        owned::OwnedShards, snapshot::View, suspect,
    },
    ffw_decide::{baseline::Policy, burn::Counters},
    ffw_peer::link::Pool,
    ffw_platform::store::Store,
    ffw_protocol::{
        config::Version,
        error::{Error, Kind, Result},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, atomic::AtomicU64},
        time::{Duration, Instant},
    },
};

/// How requests come, and with that, who ends work at engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Callers name declared services; engines are told to cancel, and decisions go to the ledger.
    Declared,
    /// Routes choose the pool; work ends with the connection that it came on, and decisions go to
    /// the logs.
    Routed,
}

/// State of one daemon.
#[derive(Debug)]
pub struct Daemon {
    /// How requests come.
    pub mode: Mode,
    /// Who it is.
    pub identity: Identity,
    /// Name of the deployment, under which its configuration is stored.
    pub deployment: Arc<str>,
    /// The platform's object API.
    pub store: Store,
    /// Connections to other daemons.
    pub peers: Pool,
    /// Addresses of daemons to ask while the platform is out at start.
    pub seeds: Vec<SocketAddr>,
    /// Configuration and instance list.
    pub view: View,
    /// Daemons that did not answer.
    pub suspects: suspect::List,
    /// Places of this entry's requests.
    pub admission: Client,
    /// Shards that this daemon owns.
    pub owned_shards: OwnedShards,
    /// Records of decisions.
    pub ledger: Ledger,
    /// Metrics.
    pub metrics: Metrics,
    /// How places are given.
    pub policy: Policy,
    /// Turns of the baselines.
    pub turn: AtomicU64,
    /// Requests in flight.
    pub open: AtomicU64,
    burn: Mutex<Counters>,
    draining_since: OnceLock<Instant>,
}

/// What a daemon is built from.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Connections to other daemons.
    pub peers: Pool,
    /// Addresses of daemons to ask while the platform is out at start.
    pub seeds: Vec<SocketAddr>,
    /// How places are given.
    pub policy: Policy,
    /// How requests come.
    pub mode: Mode,
}

impl Daemon {
    /// A daemon that knows nothing yet.
    ///
    /// # Errors
    /// The metrics could not be registered.
    pub fn new(setup: Setup) -> Result<Arc<Daemon>> {
        let metrics =
            Metrics::new().map_err(|err| Error::new(Kind::Internal, format!("metrics: {err}")))?;
        let identity = Identity::new(setup.instance, setup.data_centre);
        Ok(Arc::new(Daemon {
            mode: setup.mode,
            ledger: Ledger::new(&identity, setup.mode == Mode::Declared),
            identity,
            deployment: setup.deployment,
            store: Store { address: setup.platform },
            peers: setup.peers,
            seeds: setup.seeds,
            view: View::default(),
            suspects: suspect::List::default(),
            admission: Client::default(),
            owned_shards: OwnedShards::default(),
            metrics,
            policy: setup.policy,
            turn: AtomicU64::new(0),
            open: AtomicU64::new(0),
            burn: Mutex::default(),
            draining_since: OnceLock::new(),
        }))
    }

    /// Service-level counts.
    pub fn burn(&self) -> MutexGuard<'_, Counters> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a configuration over if it is newer; answers whether it was.
    pub fn update_config(&self, version: Version) -> bool {
        let is_newer = self.view.offer(version);
        self.metrics.config_version.set(self.view.config_number() as i64);
        is_newer
    }

    /// Whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }

    /// Time since the daemon began to shut down; zero if it has not.
    pub fn draining_for(&self) -> Duration {
        self.draining_since.get().map_or(Duration::ZERO, Instant::elapsed)
    }

    /// Starts to shut down: the daemon owns no shard and is not ready any more.
    pub fn drain(&self) {
        self.draining_since.get_or_init(Instant::now);
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.view.config_number() > 0
    }
}
