//! The state that all parts of one daemon share, and its shutdown.

use {
    crate::{
        admission::AdmissionClient,
        belief::Beliefs,
        freshness::{Arrival, Freshness},
        identity::Identity,
        ledger::Ledger,
        metrics::Metrics,
        origin::Origins,
        owned::OwnedShards,
        quarantine::Quarantines,
        quota::Quotas,
        rate::Rates,
        snapshot::View,
        software::Software,
        suspect,
    },
    ffw_decide::{baseline::Policy, burn::Counters},
    ffw_peer::link::PeerConnections,
    ffw_platform::store::Store,
    ffw_protocol::{
        config::Version,
        declaration::Deployment,
        error::{Error, Kind, Result},
        time::Moment,
    },
    ffw_runtime::executor,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// How requests reach their pools, which also decides how abandoned work ends at engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Callers name declared services. Work is cancelled by a call to the engine, and decisions are
    /// recorded in the ledger.
    Declared,
    /// Routes choose the pool. Work ends when the connection to the engine closes, and decisions
    /// are logged.
    Routed,
}

/// State of one daemon.
#[derive(Debug)]
pub struct Daemon {
    /// How requests reach their pools.
    pub mode: Mode,
    /// Instance, process and data centre.
    pub identity: Identity,
    /// Name of the deployment, under which its configuration is stored.
    pub deployment: Arc<str>,
    /// The platform's object API.
    pub store: Store,
    /// Connections to other daemons.
    pub peers: PeerConnections,
    /// Addresses of daemons to ask if the platform is unavailable at start.
    pub seeds: Vec<SocketAddr>,
    /// Configuration and instance list.
    pub view: View,
    /// Daemons that did not answer in time or are shutting down.
    pub suspects: suspect::Suspects,
    /// Reservations and waiting admission requests of this entry.
    pub admission: AdmissionClient,
    /// Shards that this daemon owns.
    pub owned_shards: OwnedShards,
    /// Evidence about prompt parts that crash backend servers.
    pub quarantines: Quarantines,
    /// Rate limits that backend servers have stated.
    pub rates: Rates,
    /// Quotas of workspaces.
    pub quotas: Quotas,
    /// Software versions at which streams began.
    pub origins: Origins,
    /// Records of decisions.
    pub ledger: Ledger,
    /// Metrics.
    pub metrics: Metrics,
    /// How requests are admitted and servers chosen.
    pub policy: Policy,
    /// Counter for choices that take the servers in turn, and number of the next grant of a
    /// baseline policy without an owner.
    pub turn: AtomicU64,
    /// Requests in flight.
    pub open: AtomicU64,
    /// What is believed about the objects that are followed in the store.
    pub beliefs: Arc<Beliefs>,
    /// Versions of the software of backend servers.
    pub software: Software,
    freshness: Freshness,
    config_fetches: AtomicUsize,
    burn: Mutex<Counters>,
    draining_since: OnceLock<Instant>,
}

/// Parameters of a new daemon.
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
    pub peers: PeerConnections,
    /// Addresses of daemons to ask if the platform is unavailable at start.
    pub seeds: Vec<SocketAddr>,
    /// How requests are admitted and servers chosen.
    pub policy: Policy,
    /// How requests reach their pools.
    pub mode: Mode,
}

impl Daemon {
    /// A daemon without configuration and instance list.
    ///
    /// # Errors
    /// The metrics could not be registered.
    pub fn new(setup: Setup) -> Result<Arc<Daemon>> {
        let metrics = Metrics::new()
            .map_err(|err| Error::new(Kind::Internal, format!("cannot register metrics: {err}")))?;
        let beliefs = Arc::new(Beliefs::default());
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
            suspects: suspect::Suspects::default(),
            admission: AdmissionClient::default(),
            owned_shards: OwnedShards::default(),
            quarantines: Quarantines::default(),
            rates: Rates::default(),
            quotas: Quotas::default(),
            origins: Origins::default(),
            metrics,
            policy: setup.policy,
            turn: AtomicU64::new(0),
            open: AtomicU64::new(0),
            software: Software::new(beliefs.clone()),
            beliefs,
            freshness: Freshness::default(),
            config_fetches: AtomicUsize::new(0),
            burn: Mutex::default(),
            draining_since: OnceLock::new(),
        }))
    }

    /// Counts of this daemon's requests and of those that missed their service-level objective.
    pub fn burn(&self) -> MutexGuard<'_, Counters> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a configuration in force if it is newer than the present one and usable; returns
    /// whether it did.
    pub fn update_config(&self, version: Version, arrival: Arrival) -> bool {
        self.record_known_config(version.number);
        let is_updated = self.view.offer(version, arrival);
        self.freshness.record_in_force(self.view.config_number(), &self.metrics);
        is_updated
    }

    /// As [`Daemon::update_config`], without delaying other tasks while a large version is parsed.
    pub async fn update_config_apart(self: &Arc<Self>, version: Version, arrival: Arrival) -> bool {
        let (daemon, size) = (self.clone(), version.declaration.len());
        executor::run_sized(size, move || daemon.update_config(version, arrival)).await
    }

    /// As [`Daemon::update_config`], with the declaration of the version already parsed.
    pub fn update_parsed_config(
        &self,
        version: Version,
        deployment: Deployment,
        arrival: Arrival,
    ) -> bool {
        self.record_known_config(version.number);
        let is_updated = self.view.offer_parsed(version, deployment, arrival);
        self.freshness.record_in_force(self.view.config_number(), &self.metrics);
        is_updated
    }

    /// Records that a configuration version exists.
    pub fn record_known_config(&self, number: u64) {
        self.freshness.record_known(number, &self.metrics);
    }

    /// Records that the store, in its response to a call made at `asked_at` on the clock of
    /// [`ffw_runtime::clock::boot_time`], had no configuration version that this daemon has not
    /// heard of.
    pub fn record_config_confirmed(&self, asked_at: Moment) {
        self.freshness.record_confirmed(asked_at, &self.metrics);
    }

    /// All metrics in the text format of Prometheus.
    pub fn metrics_text(&self) -> Arc<str> {
        self.beliefs.record_ages(&self.metrics.routed.belief_age);
        self.metrics.text()
    }

    /// How far the configuration in force may be behind the store.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Counts a fetch of a peer's configuration while the guard exists; `None` if `max` are under
    /// way already.
    pub(crate) fn begin_config_fetch(&self, max: usize) -> Option<ConfigFetch<'_>> {
        let fetch = ConfigFetch(&self.config_fetches);
        (self.config_fetches.fetch_add(1, Ordering::SeqCst) < max).then_some(fetch)
    }

    /// Whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }

    /// Time since the shutdown began; zero if it has not.
    pub fn draining_for(&self) -> Duration {
        self.draining_since.get().map_or(Duration::ZERO, Instant::elapsed)
    }

    /// Begins the shutdown: the daemon is no longer ready, and gives up its shards to the daemons
    /// that are left.
    pub fn drain(&self) {
        self.draining_since.get_or_init(Instant::now);
    }

    /// Whether the daemon can serve callers: it has a configuration and is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.view.config_number() > 0
    }
}

/// A fetch of a peer's configuration that is under way.
#[derive(Debug)]
pub(crate) struct ConfigFetch<'a>(&'a AtomicUsize);

impl Drop for ConfigFetch<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
