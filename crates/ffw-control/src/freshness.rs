//! How far the configuration in force is behind the newest version that this daemon has heard of,
//! and when the store last confirmed that there is no newer one.
//!
//! A version that a daemon refuses or can't fetch leaves the version in force as it was, on all
//! daemons alike. Only the number of the newest version shows that. A daemon that doesn't hear of a
//! version shows by the time of the last confirmation.

use {
    crate::{identity, metrics::Metrics},
    ffw_decide::confirm::{self, Action, Knowledge},
    ffw_protocol::time::Moment,
    ffw_runtime::{clock, timer},
    smol::channel::{self, Receiver, Sender},
    std::{
        fmt,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Where a configuration version came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The daemon at this address.
    Peer(SocketAddr),
    /// An operator's call to this daemon, or a daemon that offered it.
    Offer,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Store => f.write_str("store"),
            Source::Peer(address) => write!(f, "peer:{address}"),
            Source::Offer => f.write_str("offer"),
        }
    }
}

/// How a configuration version came to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Where it came from.
    pub source: Source,
    /// Time from the call that returned it to its last byte; for a watch, this includes the time
    /// without a change.
    pub transfer: Duration,
    /// Time to decode it, if it was not in the router's own format.
    pub decoding: Duration,
}

impl Arrival {
    /// A version that another process offered.
    pub fn offered() -> Arrival {
        Arrival { source: Source::Offer, transfer: Duration::ZERO, decoding: Duration::ZERO }
    }
}

/// The newest version that this daemon has heard of, and since when it has not been in force.
#[derive(Debug)]
pub struct Freshness {
    state: Mutex<State>,
    /// Holds a message while a confirmation is wanted and not yet being asked for.
    wanted: (Sender<()>, Receiver<()>),
    /// Woken by each change of the state.
    waiters: Mutex<Vec<Sender<()>>>,
}

impl Default for Freshness {
    fn default() -> Freshness {
        let wanted = channel::bounded(1);
        Freshness { state: Mutex::default(), wanted, waiters: Mutex::default() }
    }
}

#[derive(Debug, Default)]
struct State {
    known: u64,
    in_force: u64,
    /// Time of day, in milliseconds since the Unix epoch, from which `known` has been above
    /// `in_force`; 0 if it is not.
    behind_since_ms: u64,
    /// On the clock that also counts the time for which the machine was suspended.
    knowledge: Knowledge,
}

impl Freshness {
    /// Records that the store, in its response to a call made at `asked_at`, had no version that
    /// this daemon has not heard of. Times are of [`clock::boot_time`].
    pub fn record_confirmed(&self, asked_at: Moment, metrics: &Metrics) {
        let mut state = self.lock();
        let knowledge = &mut state.knowledge;
        knowledge.confirmed_at = knowledge.confirmed_at.max(Some(asked_at));
        knowledge.is_store_lost = false;
        drop(state);
        let age = clock::boot_time().since(asked_at);
        metrics.config_confirmed.set(clock::unix().saturating_sub(age).as_secs().cast_signed());
        self.wake();
    }

    /// As [`Freshness::record_confirmed`], by a call of another daemon, which says nothing of this
    /// daemon's way to the store.
    pub fn record_confirmed_elsewhere(&self, asked_at: Moment) {
        let knowledge = &mut self.lock().knowledge;
        knowledge.confirmed_at = knowledge.confirmed_at.max(Some(asked_at));
    }

    /// Records whether the store answers calls about the configuration.
    pub fn record_store_lost(&self, is_lost: bool) {
        self.lock().knowledge.is_store_lost = is_lost;
        self.wake();
    }

    /// Time since the last confirmation; `None` if there was none.
    pub fn confirmation_age(&self) -> Option<Duration> {
        let confirmed_at = self.lock().knowledge.confirmed_at;
        confirmed_at.map(|at| clock::boot_time().since(at))
    }

    /// Whether a name that the configuration in force lacks is known not to exist. Unless the store
    /// has confirmed the configuration lately, asks for a confirmation and waits, for at most
    /// `limit`; the caller looks the name up again afterwards.
    pub async fn is_current(&self, limit: Duration) -> bool {
        let arrived_at = clock::boot_time();
        let deciding = async {
            loop {
                let changed = self.next_change();
                match confirm::action(clock::boot_time(), arrived_at, &self.knowledge()) {
                    Action::Refuse => return true,
                    Action::Postpone => return false,
                    Action::Wait if self.is_behind() => {}
                    Action::Wait => {
                        self.wanted.0.try_send(()).ok();
                    }
                }
                changed.recv().await.ok();
            }
        };
        timer::timeout(limit, deciding).await.unwrap_or(false)
    }

    /// Whether a newer version is to be fetched from a peer, though this daemon follows the store.
    /// `bytes` is the size of the version in force.
    pub fn fetches_from_peer(&self, bytes: usize) -> bool {
        confirm::fetches_from_peer(clock::boot_time(), &self.knowledge(), bytes)
    }

    /// Waits until a confirmation is wanted.
    pub async fn confirmation_wanted(&self) {
        self.wanted.1.recv().await.ok();
    }

    fn knowledge(&self) -> Knowledge {
        self.lock().knowledge
    }

    fn is_behind(&self) -> bool {
        self.knowledge().behind_since.is_some()
    }

    fn next_change(&self) -> Receiver<()> {
        let (sender, receiver) = channel::bounded(1);
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
        receiver
    }

    fn wake(&self) {
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        for waiter in waiters.drain(..) {
            waiter.try_send(()).ok();
        }
    }

    /// Records that a version exists, whether or not it is usable here.
    pub fn record_known(&self, number: u64, metrics: &Metrics) {
        let mut state = self.lock();
        state.known = state.known.max(number);
        state.update(metrics);
        drop(state);
        self.wake();
    }

    /// Records the version that is in force.
    pub fn record_in_force(&self, number: u64, metrics: &Metrics) {
        let mut state = self.lock();
        state.in_force = state.in_force.max(number);
        state.known = state.known.max(number);
        state.update(metrics);
        drop(state);
        self.wake();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn update(&mut self, metrics: &Metrics) {
        self.behind_since_ms = match self.known > self.in_force {
            true if self.behind_since_ms == 0 => identity::unix_ms(),
            true => self.behind_since_ms,
            false => 0,
        };
        let knowledge = &mut self.knowledge;
        knowledge.behind_since = match self.known > self.in_force {
            true => knowledge.behind_since.or_else(|| Some(clock::boot_time())),
            false => None,
        };
        metrics.config_version.set(self.in_force.cast_signed());
        metrics.config_known_version.set(self.known.cast_signed());
        metrics.config_behind_since.set((self.behind_since_ms / 1_000).cast_signed());
    }
}
